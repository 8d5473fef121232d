/* Reads all keys of the store of the users' platform, page by page. */
#include <stdlib.h>
#include <string.h>

#include "src/ctl/platform.h"

#define KEY_MAX 256

/* State of a read of all keys. */
struct full_read {
	struct ctl *ctl;
	struct ctl_platform *out;
	struct platform_store *store;
	char last_key[KEY_MAX];
	enum platform_status status;
	struct cs_msg msg;
	bool done;
};

static void request_next_page(struct full_read *r);

static void add_server(struct ctl_platform *p, const char *id, const struct platform_item *it)
{
	struct cs_server_entry e;
	struct cs_msg msg;

	if (!platform_server_parse(id, it->value, it->len, &e, &msg)) {
		p->n_invalid++;
		return;
	}
	p->servers = g_renew(struct cs_server_entry, p->servers, p->n_servers + 1);
	p->servers[p->n_servers++] = e;
}

static void add_instance(struct ctl_platform *p, const struct platform_item *it)
{
	struct platform_instance in;

	if (!platform_instance_parse(it->value, it->len, &in)) {
		cs_log(CS_WARNING, "platform", "Ignoring a malformed entry of an instance. key=%s",
		       it->key);
		return;
	}
	p->instances = g_renew(struct platform_instance, p->instances, p->n_instances + 1);
	p->instances[p->n_instances++] = in;
}

static void add_evacuation(struct ctl_platform *p, const char *zone)
{
	p->evacuated = g_renew(char *, p->evacuated, p->n_evacuated + 1);
	p->evacuated[p->n_evacuated++] = g_strdup(zone);
}

static void parse_document(struct full_read *r, const struct platform_item *it)
{
	struct cs_msg msg;

	r->out->doc = platform_document_parse(it->value, it->len, &msg);
	if (r->out->doc == NULL)
		ctl_error(r->ctl, "invalid document in the platform's store: %s", msg.text);
}

static void handle_item(struct full_read *r, const struct platform_item *it)
{
	const char *name;

	switch (platform_key_parse(it->key, &name)) {
	case PLATFORM_KEY_DOCUMENT:
		parse_document(r, it);
		break;
	case PLATFORM_KEY_SERVER:
		add_server(r->out, name, it);
		break;
	case PLATFORM_KEY_EVACUATION:
		add_evacuation(r->out, name);
		break;
	case PLATFORM_KEY_INSTANCE:
		add_instance(r->out, it);
		break;
	case PLATFORM_KEY_OTHER:
		break;
	}
}

static void on_page(const struct platform_response *a, void *arg)
{
	struct full_read *r = arg;
	unsigned i;

	r->status = a->status;
	if (a->status != PLATFORM_OK) {
		cs_msg_set(&r->msg, "%s", a->message ? a->message : "");
		r->done = true;
	}
	for (i = 0; a->status == PLATFORM_OK && i < a->n_items; i++)
		handle_item(r, &a->items[i]);
	if (a->status == PLATFORM_OK) {
		r->out->revision = a->revision % PLATFORM_ERA_REVISIONS;
		r->done = !a->more || a->n_items == 0;
		if (a->n_items > 0)
			cs_copy(r->last_key, sizeof(r->last_key), a->items[a->n_items - 1].key);
	}
	if (r->done)
		ev_break(r->ctl->loop, EVBREAK_ALL);
	else
		request_next_page(r);
}

static void request_next_page(struct full_read *r)
{
	platform_range(r->store, "", r->last_key, r->ctl->timeout_ms, on_page, r);
}

static int compare_server_entries(const void *a, const void *b)
{
	const struct cs_server_entry *x = a, *y = b;
	int d = strcmp(x->zone, y->zone);

	if (d == 0)
		d = strcmp(x->service, y->service);
	return d != 0 ? d : strcmp(x->id, y->id);
}

static int compare_platform_instances(const void *a, const void *b)
{
	const struct platform_instance *x = a, *y = b;
	int d = strcmp(x->member.zone, y->member.zone);

	return d != 0 ? d : strcmp(x->member.name, y->member.name);
}

int ctl_platform_load(struct ctl *ctl, struct ctl_platform *p)
{
	struct full_read r = {.ctl = ctl, .out = p};
	struct platform_endpoint at;

	memset(p, 0, sizeof(*p));
	if (!platform_endpoint_parse(ctl->platform, &at)) {
		ctl_error(ctl, "--platform: '%s' is not allowed; allowed: IPV4:PORT",
			  ctl->platform);
		return CTL_USAGE;
	}
	r.store = platform_store_create(ctl->curl, &at);
	request_next_page(&r);
	while (!r.done)
		ev_run(ctl->loop, 0);
	platform_store_destroy(r.store);
	if (r.status != PLATFORM_OK) {
		ctl_error(ctl, "the platform's store at %s: %s: %s", ctl->platform,
			  platform_status_name(r.status), r.msg.text);
		return CTL_STORE;
	}
	if (p->n_servers > 0)
		qsort(p->servers, p->n_servers, sizeof(*p->servers), compare_server_entries);
	if (p->n_instances > 0)
		qsort(p->instances, p->n_instances, sizeof(*p->instances),
		      compare_platform_instances);
	return CTL_OK;
}

void ctl_platform_free(struct ctl_platform *p)
{
	unsigned i;

	cs_document_destroy(p->doc);
	g_free(p->servers);
	g_free(p->instances);
	for (i = 0; i < p->n_evacuated; i++)
		g_free(p->evacuated[i]);
	g_free(p->evacuated);
}

bool ctl_platform_evacuated(const struct ctl_platform *p, const char *zone)
{
	unsigned i;

	for (i = 0; i < p->n_evacuated; i++)
		if (strcmp(p->evacuated[i], zone) == 0)
			return true;
	return false;
}
