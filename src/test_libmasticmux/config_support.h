/* Builds records of the stream `config` for tests. The strings are allocated.
 */
#ifndef MASTICMUX_TEST_CONFIG_SUPPORT_H
#define MASTICMUX_TEST_CONFIG_SUPPORT_H

#include "masticmux/config_state.h"

/* A change of one account; base 0 creates the account. */
char *test_account_record(const char *id, const char *name, uint64_t base,
			  uint8_t floor_percent);

/* The same with keys, of which only the digests are in the record; `keys` is a
 * NULL-terminated array. */
char *test_keys_record(const char *id, const char *name, uint64_t base,
		       const char *const keys[]);

/* A change that creates the accounts NAME-0 to NAME-(count - 1). */
char *test_accounts_record(const char *id, const char *name, int count);

/* A change of one template. */
char *test_template_record(const char *id, const char *name, uint64_t base);

/* A change of one service; `routes` is a NULL-terminated array of
 * "host/prefix"; a route that begins with '+' is public. */
char *test_service_record(const char *id, const char *name, uint64_t base,
			  const char *template_name,
			  const char *const routes[]);

/* Applies a record at the next offset and frees it. */
mmx_config_state_result_t test_apply(mmx_config_state_t *config_state,
				     char *record);

#endif
