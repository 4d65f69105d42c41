/**
 * Table of texts with aligned columns, for a person to read.
 */
#ifndef MASTICMUX_PROGRAM_TABLE_H
#define MASTICMUX_PROGRAM_TABLE_H

#include <stdio.h>

#define MMX_TABLE_COLUMNS_MAX 8

typedef struct mmx_table_t mmx_table_t;

/** columns: 1..MMX_TABLE_COLUMNS_MAX. */
mmx_table_t *mmx_table_create(size_t columns);
void mmx_table_destroy(mmx_table_t *table);

/** Adds a row of that many texts, which are copied. */
void mmx_table_add(mmx_table_t *table, const char *const *texts);

/** Writes the rows, each indented by two blanks. */
void mmx_table_print(const mmx_table_t *table, FILE *out);

#endif
