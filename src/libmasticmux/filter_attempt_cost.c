/* Expected and true run times of attempts, for the choice of their target. */
#include <event2/buffer.h>
#include <glib.h>

#include "private/filter_attempt.h"

void mmx_attempt_set_cost(mmx_attempt_filter_t *self, mmx_exchange_t *exchange,
			  mmx_balance_request_t *request)
{
	/* Later, parts of a long body may have been drained. */
	if (exchange->attempts == 0)
		exchange->cost_key = mmx_cost_request_key(
			mmx_attempt_route_number(exchange), exchange->head,
			evbuffer_get_length(exchange->body));
	mmx_view_set_cost(self->view, exchange->service, exchange->cost_key,
			  request);
}

static mmx_counter_t *counter_(mmx_counters_t *counters, const char *name,
			       const char *service, const char *help)
{
	char labels[MMX_NAME_MAX + 16];

	g_snprintf(labels, sizeof(labels), "service=\"%s\"", service);
	return mmx_counters_get(counters, MMX_COUNTER, name, labels, help);
}

static mmx_attempt_error_t *find_or_add_error_(mmx_attempt_filter_t *self,
					       const char *service)
{
	mmx_counters_t *counters = mmx_entry_counters(self->entry);
	mmx_attempt_error_t *error;

	if (!counters)
		return NULL;
	if (!self->cost_errors)
		self->cost_errors = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, g_free);
	error = g_hash_table_lookup(self->cost_errors, service);
	if (error)
		return error;
	error = g_new0(mmx_attempt_error_t, 1);
	error->run = counter_(counters, "masticmux_cost_run_ms_total", service,
			      "Run times of attempts with an expected one.");
	error->expected =
		counter_(counters, "masticmux_cost_expected_ms_total", service,
			 "Expected run times of these attempts.");
	error->error = counter_(counters, "masticmux_cost_error_ms_total",
				service, "Sum of the distances of the two.");
	g_hash_table_insert(self->cost_errors, g_strdup(service), error);
	return error;
}

void mmx_attempt_record_cost(mmx_attempt_filter_t *self,
			     mmx_exchange_t *exchange, int status)
{
	mmx_time_t run = exchange->target_time + mmx_clock_now(self->clock) -
			 exchange->head_received_at;
	mmx_time_t expected = exchange->expected_cost;
	mmx_attempt_error_t *error;

	if (status >= 500)
		return;
	mmx_view_learn_cost(self->view, exchange->service, exchange->cost_key,
			    run);
	if (expected == 0)
		return;
	mmx_entry_trace_cost(exchange, run);
	error = find_or_add_error_(self, exchange->service);
	if (!error)
		return;
	mmx_counter_add(error->run, run / MMX_US_PER_MS);
	mmx_counter_add(error->expected, expected / MMX_US_PER_MS);
	mmx_counter_add(error->error, ABS(run - expected) / MMX_US_PER_MS);
}
