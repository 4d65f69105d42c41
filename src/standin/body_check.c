#include "standin/body_check.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "standin/pattern.h"

const char *const body_verdict_string[BODY_VERDICT_COUNT] = {
	"good",
	"the answer belongs to another request",
	"the answer is not whole",
	"the answer's content is wrong",
};

void body_check_init(body_check_t *check, const char *key,
		     uint64_t request_bytes, uint64_t checksum,
		     uint64_t response_bytes)
{
	check->key = key;
	check->request_bytes = request_bytes;
	check->checksum = checksum;
	check->response_bytes = response_bytes;
	check->received = 0;
	check->other = false;
	check->corrupt = false;
}

static char prefix_char_(const body_check_t *check, uint64_t position,
			 size_t key_length)
{
	return position == key_length ? '\n' : check->key[position];
}

static void add_pattern_(body_check_t *check, const char *bytes, size_t length)
{
	size_t key_length = strlen(check->key);
	uint64_t position = check->received;

	for (; length > 0 && position <= key_length; position++) {
		if (*bytes++ != prefix_char_(check, position, key_length))
			check->other = true;
		length--;
	}
	if (length > 0 &&
	    !pattern_matches(position - key_length - 1, bytes, length))
		check->corrupt = true;
}

void body_check_add(body_check_t *check, const void *data, size_t length)
{
	uint64_t room;

	if (check->response_bytes > 0) {
		add_pattern_(check, data, length);
	} else if (check->received < BODY_CHECK_JSON_MAX) {
		room = BODY_CHECK_JSON_MAX - check->received;
		memcpy(check->json + check->received, data, MIN(length, room));
	}
	check->received += length;
}

static body_verdict_t finish_json_(const body_check_t *check)
{
	body_verdict_t verdict = BODY_GOOD;
	const char *key = NULL;
	const char *checksum = NULL;
	json_int_t bytes = 0;
	json_t *root;

	if (check->received > BODY_CHECK_JSON_MAX)
		return BODY_CORRUPT;
	root = json_loadb(check->json, check->received, 0, NULL);
	if (!root)
		return BODY_NOT_WHOLE;
	if (json_unpack(root, "{s:s,s:s,s:I}", "key", &key, "checksum",
			&checksum, "bytes", &bytes) ||
	    (uint64_t)bytes != check->request_bytes ||
	    g_ascii_strtoull(checksum, NULL, 16) != check->checksum)
		verdict = BODY_CORRUPT;
	if (key && strcmp(key, check->key) != 0)
		verdict = BODY_OTHER_REQUEST;
	json_decref(root);
	return verdict;
}

body_verdict_t body_check_finish(const body_check_t *check)
{
	if (check->response_bytes == 0)
		return finish_json_(check);
	if (check->other)
		return BODY_OTHER_REQUEST;
	if (check->received != check->response_bytes)
		return BODY_NOT_WHOLE;
	return check->corrupt ? BODY_CORRUPT : BODY_GOOD;
}
