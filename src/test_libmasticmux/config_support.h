/* Records of the stream `config` for tests. */
#ifndef MASTICMUX_TEST_CONFIG_SUPPORT_H
#define MASTICMUX_TEST_CONFIG_SUPPORT_H

#include "masticmux/config_state.h"

/* A change with one account; base 0 creates it. */
char *test_account_record(const char *id, const char *name, uint64_t base,
			  uint8_t floor_percent);

/* A change with accounts NAME-0, NAME-1 and so on. */
char *test_accounts_record(const char *id, const char *name, int count);

/* A change with one template. */
char *test_template_record(const char *id, const char *name, uint64_t base);

/* A change with one service and its routes, "host/prefix" each, ended by
 * NULL. */
char *test_service_record(const char *id, const char *name, uint64_t base,
			  const char *template_name,
			  const char *const routes[]);

/* Applies a record at the next offset and frees it. */
mmx_config_state_result_t test_apply(mmx_config_state_t *config_state,
				     char *record);

#endif
