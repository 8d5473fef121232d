/* Health checks: polls each server of the own zone; consecutive failed polls mark it as down. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "agentd.h"

#define POLL_INTERVAL_US (500 * CS_US_PER_MS)
#define POLL_TIMEOUT_MS 1000
#define MAX_FAILED_POLLS 2
#define RESPONSE_MAX_BYTES 4096

struct probe {
	TAILQ_ENTRY(probe) entry;
	struct health *owner;
	char name[CS_NAME_MAX];
	char addr[CS_ADDR_MAX];
	uint16_t port;
	struct cs_fetch *fetch;
	unsigned failed_polls;
	bool listed;
};

struct health {
	struct agent *agent;
	struct cs_timer period;
	TAILQ_HEAD(, probe) probes;
	uint64_t *polls, *failed;
};

static void on_poll_timer(struct cs_timer *t, void *arg);
static void on_response(const struct cs_fetch_result *res, void *arg);

struct health *health_create(struct agent *a)
{
	struct health *h = cs_xcalloc(1, sizeof(*h));

	h->agent = a;
	TAILQ_INIT(&h->probes);
	h->polls = cs_metrics_counter(a->metrics, "cassia_health_polls_total", "",
				      "Polls of servers' health endpoints.");
	h->failed = cs_metrics_counter(a->metrics, "cassia_health_polls_failed_total", "",
				       "Polls without a usable answer.");
	cs_timer_init(&h->period, on_poll_timer, h);
	cs_timer_start_every(a->timers, &h->period, POLL_INTERVAL_US);
	return h;
}

static void probe_free(struct probe *p)
{
	TAILQ_REMOVE(&p->owner->probes, p, entry);
	cs_fetch_cancel(p->fetch);
	free(p);
}

void health_destroy(struct health *h)
{
	struct probe *p, *next;

	if (h == NULL)
		return;
	TAILQ_FOREACH_SAFE(p, &h->probes, entry, next)
		probe_free(p);
	cs_timer_stop(&h->period);
	free(h);
}

/* Adds or updates the probe of a listed server. */
static void probe_add(const char *name, const char *addr, uint16_t port, void *arg)
{
	struct health *h = arg;
	struct probe *p;

	TAILQ_FOREACH(p, &h->probes, entry)
		if (strcmp(p->name, name) == 0)
			break;
	if (p == NULL) {
		p = cs_xcalloc(1, sizeof(*p));
		p->owner = h;
		cs_copy(p->name, sizeof(p->name), name);
		TAILQ_INSERT_TAIL(&h->probes, p, entry);
	}
	cs_copy(p->addr, sizeof(p->addr), addr);
	p->port = port;
	p->listed = true;
}

static void probe_start(struct probe *p)
{
	struct agent *a = p->owner->agent;
	char *url = cs_xasprintf("http://%s:%u/health", p->addr, p->port);
	struct cs_fetch_opts opts = {.url = url,
				     .interface = a->address,
				     .timeout_ms = POLL_TIMEOUT_MS,
				     .max_response = RESPONSE_MAX_BYTES};

	(*p->owner->polls)++;
	p->fetch = cs_fetch_start(a->curl, &opts, on_response, p);
	free(url);
}

static void on_poll_timer(struct cs_timer *t, void *arg)
{
	struct health *h = arg;
	struct probe *p, *next;

	TAILQ_FOREACH(p, &h->probes, entry)
		p->listed = false;
	core_for_each_server(h->agent->core, probe_add, h);
	TAILQ_FOREACH_SAFE(p, &h->probes, entry, next) {
		if (!p->listed)
			probe_free(p);
		else if (p->fetch == NULL)
			probe_start(p);
	}
}

static unsigned get_unsigned(const json_t *doc, const char *name)
{
	json_int_t v = json_integer_value(json_object_get(doc, name));

	return v > 0 && v <= UINT32_MAX ? (unsigned)v : 0;
}

/* Applies a health response; false if it is not valid. */
static bool apply_response(struct probe *p, const struct cs_fetch_result *res)
{
	json_t *doc = json_loadb(res->body, res->len, 0, NULL);
	const char *name = json_string_value(json_object_get(doc, "state"));
	int st = name != NULL ? cs_server_state_parse(name) : -1;
	unsigned ms = get_unsigned(doc, "service_ms");

	if (st >= 0)
		core_update_server(p->owner->agent->core, p->name, (enum cs_server_state)st,
				   get_unsigned(doc, "slots"), get_unsigned(doc, "in_flight"),
				   ms < UINT32_MAX / 1000 ? ms * 1000 : UINT32_MAX, cs_mono_us());
	json_decref(doc);
	return st >= 0;
}

static void on_response(const struct cs_fetch_result *res, void *arg)
{
	struct probe *p = arg;

	p->fetch = NULL;
	if (res->code == CURLE_OK && res->status == 200 && apply_response(p, res)) {
		p->failed_polls = 0;
		return;
	}
	(*p->owner->failed)++;
	if (++p->failed_polls >= MAX_FAILED_POLLS)
		core_update_server(p->owner->agent->core, p->name, CS_SERVER_DOWN, 0, 0, 0,
				   cs_mono_us());
}
