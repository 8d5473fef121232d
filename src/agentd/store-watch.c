/*
 * Store watcher: while this instance is a watcher, runs one long poll for the configuration and one
 * per list. Failed polls are retried with exponential backoff; meanwhile the known state is kept.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "agentd.h"

#define CONFIG_KEY "cassia/config"
#define INSTANCES_LIST "cassia"
#define LONG_POLL_MS 30000
#define POLL_MIN_INTERVAL_US (100 * CS_US_PER_MS) /* time from a response to the next poll */
#define ABSENT_POLL_INTERVAL_US CS_US_PER_S
#define RETRY_MIN_US (250 * CS_US_PER_MS)
#define RETRY_MAX_US (4 * CS_US_PER_S)

/* One long poll; service is empty for the configuration. */
struct store_poll {
	LIST_ENTRY(store_poll) entry;
	struct store_watch *owner;
	char service[CS_NAME_MAX];
	struct cs_store_op *op;
	struct cs_timer timer;
	uint64_t index;
	uint64_t retry_us;
	bool wanted;
};

struct store_watch {
	struct agent *agent;
	struct cs_store *store;
	LIST_HEAD(, store_poll) polls;
	bool active;
	uint64_t revision; /* revision of the configuration whose services are polled */
};

static void on_response(const struct cs_store_result *res, void *arg);
static void on_poll_timer(struct cs_timer *t, void *arg);

struct store_watch *store_watch_create(struct agent *a, const char *url, struct cs_msg *msg)
{
	struct store_watch *w = cs_xcalloc(1, sizeof(*w));

	w->agent = a;
	LIST_INIT(&w->polls);
	w->store = cs_store_create(a->curl, a->timers, url, a->address, msg);
	if (w->store == NULL) {
		free(w);
		return NULL;
	}
	return w;
}

static void poll_free(struct store_poll *p)
{
	LIST_REMOVE(p, entry);
	cs_store_cancel(p->op);
	cs_timer_stop(&p->timer);
	free(p);
}

void store_watch_destroy(struct store_watch *w)
{
	struct store_poll *p, *next;

	if (w == NULL)
		return;
	for (p = LIST_FIRST(&w->polls); p != NULL; p = next) {
		next = LIST_NEXT(p, entry);
		poll_free(p);
	}
	cs_store_destroy(w->store);
	free(w);
}

const struct cs_store *store_watch_get_store(const struct store_watch *w)
{
	return w->store;
}

static void poll_start(struct store_poll *p)
{
	struct cs_store *s = p->owner->store;

	if (p->op != NULL)
		return;
	if (*p->service == '\0')
		p->op = cs_store_watch(s, CONFIG_KEY, p->index, LONG_POLL_MS, on_response, p);
	else
		p->op = cs_store_list(s, p->service, p->index, LONG_POLL_MS, on_response, p);
}

static void on_poll_timer(struct cs_timer *t, void *arg)
{
	poll_start(arg);
}

/* Marks the poll of a service as wanted; creates it if needed. */
static void poll_ensure(struct store_watch *w, const char *service)
{
	struct store_poll *p;

	LIST_FOREACH(p, &w->polls, entry) {
		if (strcmp(p->service, service) == 0) {
			p->wanted = true;
			return;
		}
	}
	p = cs_xcalloc(1, sizeof(*p));
	p->owner = w;
	p->wanted = true;
	cs_copy(p->service, sizeof(p->service), service);
	cs_timer_init(&p->timer, on_poll_timer, p);
	LIST_INSERT_HEAD(&w->polls, p, entry);
	poll_start(p);
}

void store_watch_update(struct store_watch *w)
{
	struct cs_config *cfg = core_current_config(w->agent->core);
	bool active = core_is_watcher(w->agent->core);
	struct store_poll *p, *next;
	uint64_t revision = cfg ? cfg->revision : 0;
	unsigned i;

	if (active == w->active && revision == w->revision)
		return;
	if (active != w->active)
		cs_log(CS_INFO, "watch", "%s",
		       active ? "Started watching the store." : "Stopped watching the store.");
	w->active = active;
	w->revision = revision;
	LIST_FOREACH(p, &w->polls, entry)
		p->wanted = false;
	if (active) {
		poll_ensure(w, "");
		poll_ensure(w, INSTANCES_LIST);
		for (i = 0; cfg != NULL && i < cfg->n_services; i++)
			poll_ensure(w, cfg->services[i].name);
	} else {
		core_set_store_ok(w->agent->core, false);
	}
	for (p = LIST_FIRST(&w->polls); p != NULL; p = next) {
		next = LIST_NEXT(p, entry);
		if (!p->wanted)
			poll_free(p);
	}
}

static uint16_t meta_port(const json_t *meta, const char *name)
{
	const char *text = json_string_value(json_object_get(meta, name));
	unsigned long v = text ? strtoul(text, NULL, 10) : 0;

	return v <= UINT16_MAX ? (uint16_t)v : 0;
}

static const char *meta_text(const json_t *meta, const char *name)
{
	const char *text = json_string_value(json_object_get(meta, name));

	return text ? text : "";
}

/* Passes a list to the core; entries without a zone or with an overlong id are skipped. */
static void apply_list(struct store_poll *p, const struct cs_store_result *res)
{
	struct cs_wire_entry *e = cs_xcalloc(res->n_entries, sizeof(*e));
	struct cs_wire_list_doc doc = {.service = p->service, .version = res->index, .entries = e};
	const struct cs_store_entry *in;
	unsigned i, n = 0;

	for (i = 0; i < res->n_entries; i++) {
		in = &res->entries[i];
		if (*meta_text(in->meta, "zone") == '\0' || strlen(in->id) >= CS_NAME_MAX) {
			cs_log(CS_WARNING, "watch",
			       "List entry skipped: no zone, or id too long. id=%s", in->id);
			continue;
		}
		e[n].id = in->id;
		e[n].zone = meta_text(in->meta, "zone");
		e[n].addr = in->addr;
		e[n].port = in->port;
		e[n].lookup_port = meta_port(in->meta, "lookup_port");
		e[n].proxy_port = meta_port(in->meta, "proxy_port");
		e[n].bus_port = meta_port(in->meta, "bus_port");
		e[n].admin_port = meta_port(in->meta, "admin_port");
		e[n].leaving = strcmp(meta_text(in->meta, "state"), "leaving") == 0;
		n++;
	}
	doc.n_entries = n;
	core_set_list(p->owner->agent->core, &doc, cs_mono_us());
	free(e);
}

/* Applies a successful response; the next poll waits for a change after its index. */
static void apply_response(struct store_poll *p, const struct cs_store_result *res)
{
	struct core *core = p->owner->agent->core;
	struct cs_msg msg = {0};
	enum core_config_result result;

	/* A decreasing index means that the store lost its state. */
	p->index = res->index >= p->index ? res->index : 0;
	p->retry_us = 0;
	core_set_store_ok(core, true);
	if (*p->service != '\0') {
		apply_list(p, res);
		return;
	}
	result = core_set_config(core, res->value, res->len, cs_mono_us(), &msg);
	if (result != CORE_CONFIG_ACCEPTED && result != CORE_CONFIG_UNCHANGED)
		cs_log(CS_WARNING, "watch", "Configuration from the store refused. reason=%s: %s",
		       core_config_result_name(result), msg.text);
}

static void on_response(const struct cs_store_result *res, void *arg)
{
	struct store_poll *p = arg;
	struct agent *a = p->owner->agent;
	uint64_t delay = POLL_MIN_INTERVAL_US;

	p->op = NULL;
	switch (res->status) {
	case CS_STORE_OK:
		apply_response(p, res);
		break;
	case CS_STORE_ABSENT:
		core_set_store_ok(a->core, true);
		p->index = res->index;
		delay = ABSENT_POLL_INTERVAL_US;
		break;
	case CS_STORE_CONFLICT:
	case CS_STORE_UNAVAILABLE:
	case CS_STORE_UNKNOWN:
	case CS_STORE_BAD:
		core_set_store_ok(a->core, false);
		p->retry_us = p->retry_us ? p->retry_us * 2 : RETRY_MIN_US;
		if (p->retry_us > RETRY_MAX_US)
			p->retry_us = RETRY_MAX_US;
		/* Jitter, so that the watchers do not all call a recovering store at once. */
		delay = p->retry_us / 2 + cs_random_u64() % p->retry_us;
		cs_log(CS_WARNING, "watch", "Store request failed: %s. status=%s service=%s",
		       res->message, cs_store_status_name(res->status), p->service);
		break;
	}
	cs_timer_start(a->timers, &p->timer, delay);
	agent_flush(a);
}
