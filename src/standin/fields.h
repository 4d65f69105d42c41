/**
 * Fields of a control request: a table that binds JSON keys to variables.
 *
 * POST /control replaces the named fields only. Either all of them are valid
 * and are set, or none is.
 */
#ifndef STANDIN_FIELDS_H
#define STANDIN_FIELDS_H

#include <jansson.h>

#include "masticmux/error.h"

typedef enum field_type_t {
	FIELD_BOOL,   /**< bool */
	FIELD_NUMBER, /**< double */
	FIELD_CHOICE, /**< int, index of one of the choices */
	FIELD_TEXT,   /**< char *, freed with g_free(), "" for none */
	FIELD_TYPE_COUNT
} field_type_t;

extern const char *const field_type_string[FIELD_TYPE_COUNT];

typedef struct field_t {
	const char *key;
	field_type_t type;
	size_t position; /**< of the variable in the structure */
	double min;	 /**< for FIELD_NUMBER */
	double max;
	const char *const *choices; /**< for FIELD_CHOICE, ended by NULL */
} field_t;

/**
 * Sets the fields that an object names.
 *
 * @param fields  table ended by a NULL key
 * @param base    structure that holds the variables
 * @return false with the error filled when a key is unknown or a value is
 *         not allowed
 */
bool fields_set(const field_t *fields, void *base, json_t *object,
		mmx_error_t *error);

/** All fields with their present values, a new reference. */
json_t *fields_get(const field_t *fields, const void *base);

/** Lines that explain the keys, for --help; freed with g_free(). */
char *fields_help(const field_t *fields);

/** Frees the texts. */
void fields_clear(const field_t *fields, void *base);

#endif
