#include "standin/fields.h"

#include <glib.h>
#include <string.h>

const char *const field_type_string[FIELD_TYPE_COUNT] = {
	"true or false",
	"a number",
	"one of the choices",
	"a text",
};

static const field_t *find_(const field_t *fields, const char *key)
{
	for (; fields->key; fields++)
		if (strcmp(fields->key, key) == 0)
			return fields;
	return NULL;
}

static int choice_(const field_t *field, json_t *value)
{
	int i;

	if (!json_is_string(value))
		return -1;
	for (i = 0; field->choices[i]; i++)
		if (strcmp(field->choices[i], json_string_value(value)) == 0)
			return i;
	return -1;
}

static bool valid_(const field_t *field, json_t *value)
{
	switch (field->type) {
	case FIELD_BOOL:
		return json_is_boolean(value);
	case FIELD_NUMBER:
		return json_is_number(value) &&
		       json_number_value(value) >= field->min &&
		       json_number_value(value) <= field->max;
	case FIELD_CHOICE:
		return choice_(field, value) >= 0;
	default:
		return json_is_string(value);
	}
}

static void assign_(const field_t *field, void *base, json_t *value)
{
	void *variable = (char *)base + field->position;

	switch (field->type) {
	case FIELD_BOOL:
		*(bool *)variable = json_is_true(value);
		break;
	case FIELD_NUMBER:
		*(double *)variable = json_number_value(value);
		break;
	case FIELD_CHOICE:
		*(int *)variable = choice_(field, value);
		break;
	default:
		g_free(*(char **)variable);
		*(char **)variable = g_strdup(json_string_value(value));
		break;
	}
}

/* What a field requires, as text for g_free(). */
static char *requirement_(const field_t *field)
{
	char *choices;
	char *text;

	if (field->type == FIELD_NUMBER)
		return g_strdup_printf("a number from %g to %g", field->min,
				       field->max);
	if (field->type != FIELD_CHOICE)
		return g_strdup(field_type_string[field->type]);
	choices = g_strjoinv(", ", (char **)field->choices);
	text = g_strdup_printf("one of %s", choices);
	g_free(choices);
	return text;
}

static bool fault_(const field_t *field, mmx_error_t *error)
{
	char *requirement = requirement_(field);

	mmx_error_set(error, MMX_ERROR_INVALID, "%s: %s is required",
		      field->key, requirement);
	g_free(requirement);
	return false;
}

bool fields_set(const field_t *fields, void *base, json_t *object,
		mmx_error_t *error)
{
	const field_t *field;
	const char *key;
	json_t *value;

	json_object_foreach(object, key, value)
	{
		field = find_(fields, key);
		if (!field)
			return mmx_error_set(error, MMX_ERROR_INVALID,
					     "unknown key '%s'", key);
		if (!valid_(field, value))
			return fault_(field, error);
	}
	json_object_foreach(object, key, value)
		assign_(find_(fields, key), base, value);
	return true;
}

json_t *fields_get(const field_t *fields, const void *base)
{
	json_t *object = json_object();
	const void *variable;
	json_t *value;

	for (; fields->key; fields++) {
		variable = (const char *)base + fields->position;
		if (fields->type == FIELD_BOOL)
			value = json_boolean(*(const bool *)variable);
		else if (fields->type == FIELD_NUMBER)
			value = json_real(*(const double *)variable);
		else if (fields->type == FIELD_CHOICE)
			value = json_string(
				fields->choices[*(const int *)variable]);
		else
			value = json_string(*(char *const *)variable
						    ? *(char *const *)variable
						    : "");
		json_object_set_new(object, fields->key, value);
	}
	return object;
}

char *fields_help(const field_t *fields)
{
	GString *help = g_string_new("Keys of POST /control (JSON):\n");
	char *requirement;

	for (; fields->key; fields++) {
		requirement = requirement_(fields);
		g_string_append_printf(help, "  %-22s %s\n", fields->key,
				       requirement);
		g_free(requirement);
	}
	return g_string_free(help, FALSE);
}

void fields_clear(const field_t *fields, void *base)
{
	for (; fields->key; fields++) {
		if (fields->type != FIELD_TEXT)
			continue;
		g_free(*(char **)((char *)base + fields->position));
		*(char **)((char *)base + fields->position) = NULL;
	}
}
