/*
 * Store: while this instance is a watcher, one long poll for the configuration and one for each
 * list. A failed poll is repeated with a growing delay; what is known stays meanwhile.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "agentd.h"

#define CONFIG_KEY "cassia/config"
#define SELF_LIST "cassia"
#define WAIT_MS 30000
#define AGAIN_US (100 * CS_US_PER_MS) /* shortest time between two polls of one thing */
#define ABSENT_US CS_US_PER_S
#define RETRY_US (250 * CS_US_PER_MS)
#define RETRY_MAX_US (4 * CS_US_PER_S)

/* One long poll; service is empty for the configuration. */
struct poll {
	LIST_ENTRY(poll) entry;
	struct watch *owner;
	char service[CS_NAME_MAX];
	struct cs_store_op *op;
	struct cs_timer again;
	uint64_t index;
	uint64_t retry_us;
	bool wanted;
};

struct watch {
	struct agent *agent;
	struct cs_store *store;
	LIST_HEAD(, poll) polls;
	bool active;
	uint64_t revision; /* of the document whose services are polled */
};

static void on_answer(const struct cs_store_result *res, void *arg);
static void on_again(struct cs_timer *t, void *arg);

struct watch *watch_create(struct agent *a, const char *url, struct cs_msg *msg)
{
	struct watch *w = cs_xcalloc(1, sizeof(*w));

	w->agent = a;
	LIST_INIT(&w->polls);
	w->store = cs_store_create(a->curl, a->timers, url, a->address, msg);
	if (w->store == NULL) {
		free(w);
		return NULL;
	}
	return w;
}

static void poll_free(struct poll *p)
{
	LIST_REMOVE(p, entry);
	cs_store_cancel(p->op);
	cs_timer_stop(&p->again);
	free(p);
}

void watch_destroy(struct watch *w)
{
	struct poll *p, *next;

	if (w == NULL)
		return;
	for (p = LIST_FIRST(&w->polls); p != NULL; p = next) {
		next = LIST_NEXT(p, entry);
		poll_free(p);
	}
	cs_store_destroy(w->store);
	free(w);
}

const struct cs_store *watch_store(const struct watch *w)
{
	return w->store;
}

static void poll_start(struct poll *p)
{
	struct cs_store *s = p->owner->store;

	if (p->op != NULL)
		return;
	if (*p->service == '\0')
		p->op = cs_store_watch(s, CONFIG_KEY, p->index, WAIT_MS, on_answer, p);
	else
		p->op = cs_store_list(s, p->service, p->index, WAIT_MS, on_answer, p);
}

static void on_again(struct cs_timer *t, void *arg)
{
	poll_start(arg);
}

/* Marks the poll of a service as wanted, adding it if it is new. */
static void poll_want(struct watch *w, const char *service)
{
	struct poll *p;

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
	cs_timer_init(&p->again, on_again, p);
	LIST_INSERT_HEAD(&w->polls, p, entry);
	poll_start(p);
}

void watch_update(struct watch *w)
{
	struct cs_config *cfg = core_current(w->agent->core);
	bool active = core_is_watcher(w->agent->core);
	struct poll *p, *next;
	uint64_t revision = cfg ? cfg->revision : 0;
	unsigned i;

	if (active == w->active && revision == w->revision)
		return;
	if (active != w->active)
		cs_log(CS_INFO, "watch", "%s", active ? "Watching the store." : "Not watching.");
	w->active = active;
	w->revision = revision;
	LIST_FOREACH(p, &w->polls, entry)
		p->wanted = false;
	if (active) {
		poll_want(w, "");
		poll_want(w, SELF_LIST);
		for (i = 0; cfg != NULL && i < cfg->n_services; i++)
			poll_want(w, cfg->services[i].name);
	} else {
		core_store_state(w->agent->core, false);
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

/* Turns the store's list into entries; those without a zone are left out. */
static void take_list(struct poll *p, const struct cs_store_result *res)
{
	struct cs_wire_entry *e = cs_xcalloc(res->n_entries, sizeof(*e));
	struct cs_wire_list_doc doc = {.service = p->service, .version = res->index, .entries = e};
	const struct cs_store_entry *in;
	unsigned i, n = 0;

	for (i = 0; i < res->n_entries; i++) {
		in = &res->entries[i];
		if (*meta_text(in->meta, "zone") == '\0' || strlen(in->id) >= CS_NAME_MAX) {
			cs_log(CS_WARNING, "watch", "List entry without a zone or too long. id=%s",
			       in->id);
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
	core_list_read(p->owner->agent->core, &doc, cs_mono_us());
	free(e);
}

/* Takes a good answer; the next poll waits from its index. */
static void take_answer(struct poll *p, const struct cs_store_result *res)
{
	struct core *core = p->owner->agent->core;
	struct cs_msg msg = {0};
	enum core_accept a;

	/* An index that goes back means that the store lost its state. */
	p->index = res->index >= p->index ? res->index : 0;
	p->retry_us = 0;
	core_store_state(core, true);
	if (*p->service != '\0') {
		take_list(p, res);
		return;
	}
	a = core_config(core, res->value, res->len, cs_mono_us(), &msg);
	if (a != CORE_ACCEPTED && a != CORE_SAME)
		cs_log(CS_WARNING, "watch", "Document of the store refused. reason=%s: %s",
		       core_accept_name(a), msg.text);
}

static void on_answer(const struct cs_store_result *res, void *arg)
{
	struct poll *p = arg;
	struct agent *a = p->owner->agent;
	uint64_t delay = AGAIN_US;

	p->op = NULL;
	switch (res->status) {
	case CS_STORE_OK:
		take_answer(p, res);
		break;
	case CS_STORE_ABSENT:
		core_store_state(a->core, true);
		p->index = res->index;
		delay = ABSENT_US;
		break;
	case CS_STORE_CONFLICT:
	case CS_STORE_UNAVAILABLE:
	case CS_STORE_UNKNOWN:
	case CS_STORE_BAD:
		core_store_state(a->core, false);
		p->retry_us = p->retry_us ? p->retry_us * 2 : RETRY_US;
		if (p->retry_us > RETRY_MAX_US)
			p->retry_us = RETRY_MAX_US;
		/* The spread keeps watchers from calling a recovering store all at once. */
		delay = p->retry_us / 2 + cs_random_u64() % p->retry_us;
		cs_log(CS_WARNING, "watch", "Store call failed: %s. status=%s service=%s",
		       res->message, cs_store_status_name(res->status), p->service);
		break;
	}
	cs_timer_start(a->timers, &p->again, delay);
	agent_flush(a);
}
