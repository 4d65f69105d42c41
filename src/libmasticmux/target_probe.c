#include "private/target_probe.h"

#include <event2/http.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "private/http_client.h"
#include "private/schema.h"

/* A health check waits for a slot like any request. If it takes longer than
 * this, the next announcement is expected no later than the response. */
#define TIMEOUT_US (500 * MMX_US_PER_MS)
#define BODY_BYTES_MAX (64 * 1024)
/* The first real announcement replaces this lease; a target that sends none is
 * removed when it expires. */
#define LEASE_US (600 * MMX_US_PER_S)

struct mmx_target_probe_t {
	mmx_target_probe_config_t config;
	mmx_http_client_t *http; /* NULL until started */
	char *path;
	bool in_progress;
};

mmx_target_probe_t *
mmx_target_probe_create(const mmx_target_probe_config_t *config)
{
	mmx_target_probe_t *probe = g_new0(mmx_target_probe_t, 1);

	probe->config = *config;
	return probe;
}

void mmx_target_probe_destroy(mmx_target_probe_t *probe)
{
	if (!probe)
		return;
	mmx_http_client_destroy(probe->http);
	g_free(probe->path);
	g_free(probe);
}

mmx_target_announced_t *
mmx_target_probe_parse_response(const mmx_target_probe_config_t *config,
				int status, const char *name, const char *load)
{
	unsigned int running;
	unsigned int waiting;
	unsigned int slots = 0;
	mmx_target_announced_t *announced;

	if (status != HTTP_OK || !name ||
	    !mmx_schema_is_valid_name(name, strlen(name)) || !load ||
	    sscanf(load, "%9u,%9u,%9u", &running, &waiting, &slots) != 3 ||
	    slots < 1 || slots > UINT16_MAX)
		return NULL;
	announced = mmx_new_target_announced();
	g_strlcpy(announced->name, name, sizeof(announced->name));
	g_strlcpy(announced->service, config->service,
		  sizeof(announced->service));
	announced->address = config->address;
	announced->slots = (uint16_t)slots;
	announced->state = MMX_TARGET_WARM;
	announced->lease = LEASE_US;
	announced->assumed = true;
	return announced;
}

static void on_reply_(void *arg, const mmx_http_reply_t *reply)
{
	mmx_target_probe_t *probe = arg;
	const mmx_header_names_t *names = probe->config.header_names;
	mmx_target_announced_t *announced;

	probe->in_progress = false;
	if (!reply)
		return;
	announced = mmx_target_probe_parse_response(
		&probe->config, reply->status,
		mmx_http_reply_header(reply, names->reported_target),
		mmx_http_reply_header(reply, names->load));
	if (announced)
		mmx_task_post(probe->config.exit, &announced->message);
}

void mmx_target_probe_start(mmx_target_probe_t *probe, const char *path)
{
	const mmx_target_probe_config_t *config = &probe->config;

	if (probe->http)
		return;
	probe->http = mmx_http_client_create(&(mmx_http_client_config_t){
		.base = mmx_runtime_base(config->runtime),
		.clock = mmx_runtime_clock(config->runtime),
		.address = config->address,
		.body_max = BODY_BYTES_MAX,
		.backoff_min = MMX_US_PER_S,
		.backoff_max = MMX_US_PER_S,
	});
	probe->path = g_strdup(path);
	mmx_target_probe_repeat(probe);
}

void mmx_target_probe_repeat(mmx_target_probe_t *probe)
{
	if (!probe->http || probe->in_progress)
		return;
	probe->in_progress = true;
	mmx_http_client_get(probe->http, probe->path, TIMEOUT_US, on_reply_,
			    probe);
}
