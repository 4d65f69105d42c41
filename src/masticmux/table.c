#include "table.h"

#include <assert.h>
#include <glib.h>

struct mmx_table_t {
	size_t columns;
	glong widths[MMX_TABLE_COLUMNS_MAX];
	GPtrArray *texts;
};

mmx_table_t *mmx_table_create(size_t columns)
{
	mmx_table_t *table = g_new0(mmx_table_t, 1);

	assert(columns >= 1 && columns <= MMX_TABLE_COLUMNS_MAX);
	table->columns = columns;
	table->texts = g_ptr_array_new_with_free_func(g_free);
	return table;
}

void mmx_table_destroy(mmx_table_t *table)
{
	g_ptr_array_free(table->texts, TRUE);
	g_free(table);
}

void mmx_table_add(mmx_table_t *table, const char *const *texts)
{
	size_t i;

	for (i = 0; i < table->columns; i++) {
		char *text = g_utf8_make_valid(texts[i], -1);
		glong width = g_utf8_strlen(text, -1);

		table->widths[i] = MAX(table->widths[i], width);
		g_ptr_array_add(table->texts, text);
	}
}

void mmx_table_print(const mmx_table_t *table, FILE *out)
{
	size_t i;

	for (i = 0; i < table->texts->len; i++) {
		const char *text = g_ptr_array_index(table->texts, i);
		size_t column = i % table->columns;
		glong pad = table->widths[column] - g_utf8_strlen(text, -1);

		fprintf(out, "  %s", text);
		if (column + 1 == table->columns)
			fputc('\n', out);
		else
			fprintf(out, "%*s", (int)pad, "");
	}
}
