/*
 * Filter quota: takes a token of the fleet-wide limit of a request's account
 * before the request goes on, and holds the request while the decision is
 * pending. Requests without an account, and those of accounts without a rate,
 * pass at once.
 */
#ifndef MASTICMUX_PRIVATE_FILTER_QUOTA_H
#define MASTICMUX_PRIVATE_FILTER_QUOTA_H

#include "private/filter.h"
#include "private/quota.h"

/* Longest text about a decision, bytes with the terminating null. */
#define MMX_QUOTA_TEXT_SIZE 256

struct mmx_entry_t;

/* Source of the decisions; implemented by the part quota. */
typedef struct mmx_entry_quota_ops_t {
	/* Takes a token for the exchange, whose account has a rate. If the
	 * result is pending, mmx_filter_quota_decided() follows unless cancel
	 * is called before. Sets retry_after, microseconds, if it is refused. */
	mmx_quota_result_t (*take)(void *context, mmx_exchange_t *exchange,
				   mmx_time_t *retry_after);
	void (*cancel)(void *context, mmx_exchange_t *exchange);
	/* Returns the token of an exchange that certainly did not run. */
	void (*give_back)(void *context, const mmx_exchange_t *exchange);
	/* Use of the account's limit in the fleet, permille; 0: unknown. */
	unsigned int (*get_use)(void *context, const char *account);
	/* The exchange is refused with exchange->retry_after. */
	void (*on_refused)(void *context, const mmx_exchange_t *exchange);
	/* Describes what the latest decision on the account rests on. */
	void (*describe)(void *context, const char *account,
			 char text[MMX_QUOTA_TEXT_SIZE]);
} mmx_entry_quota_ops_t;

mmx_filter_t *mmx_filter_quota_create(struct mmx_entry_t *entry,
				      const mmx_entry_quota_ops_t *ops,
				      void *context);

/*
 * The decision on an exchange for which take() returned pending. The exchange
 * may have ended when the function returns.
 *
 * result: granted or refused, asserted
 * retry_after: microseconds
 */
void mmx_filter_quota_decided(mmx_exchange_t *exchange,
			      mmx_quota_result_t result,
			      mmx_time_t retry_after);

/* The deadline of an exchange that the filter holds has changed. */
void mmx_filter_quota_deadline_changed(mmx_exchange_t *exchange);

/* Returns the token of the exchange, if it holds one. To be called when the
 * exchange ends and certainly did not run. */
void mmx_filter_quota_give_back(mmx_filter_t *filter, mmx_exchange_t *exchange);

#endif
