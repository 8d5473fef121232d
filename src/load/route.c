/* Lookups: each client caches the response for each class until its TTL expires. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "src/load/load.h"

#define LOOKUP_TIMEOUT_MS 1000
#define FAILBACK_DELAY_US (5 * CS_US_PER_S) /* until the first lookup daemon is preferred again */
#define LOOKUP_RETRY_US (200 * CS_US_PER_MS) /* after all lookup daemons failed */

static void send_lookup(struct route *rt);

static struct route *route_get_or_create(struct client *c, const char *class)
{
	struct route *rt;

	TAILQ_FOREACH(rt, &c->routes, entry)
		if (strcmp(rt->class, class) == 0)
			return rt;
	rt = cs_xcalloc(1, sizeof(*rt));
	rt->client = c;
	cs_copy(rt->class, sizeof(rt->class), class);
	TAILQ_INIT(&rt->waiting);
	TAILQ_INSERT_TAIL(&c->routes, rt, entry);
	return rt;
}

static void send_by_route(struct request *r, const struct route *rt)
{
	memcpy(r->targets, rt->entries, sizeof(r->targets));
	r->n_targets = rt->n_entries;
	request_send(r);
}

/* Sends all requests that waited for the lookup. */
static void send_waiting(struct route *rt)
{
	struct request *r;

	rt->lookup_pending = false;
	while ((r = TAILQ_FIRST(&rt->waiting)) != NULL) {
		TAILQ_REMOVE(&rt->waiting, r, entry);
		send_by_route(r, rt);
	}
}

static bool parse_lookup_response(struct route *rt, const struct cs_fetch_result *res)
{
	json_t *doc = json_loadb(res->body, res->len, 0, NULL), *rows, *row;
	const char *instance, *url;
	struct target *t;
	size_t i;

	rows = json_object_get(doc, "entries");
	if (json_array_size(rows) == 0) {
		json_decref(doc);
		return false;
	}
	rt->n_entries = 0;
	json_array_foreach(rows, i, row) {
		if (rt->n_entries >= LOAD_ENTRIES_MAX ||
		    json_unpack(row, "{s:s,s:s}", "instance", &instance, "url", &url) != 0)
			continue;
		t = &rt->entries[rt->n_entries++];
		cs_copy(t->instance, sizeof(t->instance), instance);
		cs_copy(t->url, sizeof(t->url), url);
	}
	rt->expires_us =
		cs_mono_us() +
		(uint64_t)json_integer_value(json_object_get(doc, "ttl_ms")) * CS_US_PER_MS;
	json_decref(doc);
	return rt->n_entries > 0;
}

static void on_lookup_done(const struct cs_fetch_result *res, void *arg)
{
	struct route *rt = arg;
	struct client *c = rt->client;

	if (res->code == CURLE_OK && res->status == 200 && parse_lookup_response(rt, res)) {
		send_waiting(rt);
		return;
	}
	load.lookup_errors++;
	c->lookup_failed_us = cs_mono_us();
	c->lookup = (c->lookup + 1) % c->n_lookups;
	if (++rt->lookups_tried < c->n_lookups) {
		send_lookup(rt);
		return;
	}
	/* All lookup daemons failed: the expired response stays in use. */
	rt->expires_us = cs_mono_us() + LOOKUP_RETRY_US;
	send_waiting(rt);
}

static void send_lookup(struct route *rt)
{
	struct client *c = rt->client;
	char url[256], source[64];
	struct cs_fetch_opts opts = {.url = url, .timeout_ms = LOOKUP_TIMEOUT_MS};

	snprintf(url, sizeof(url), "%s/v1/lookup?class=%s", c->lookups[c->lookup], rt->class);
	snprintf(source, sizeof(source), "host!%s", c->addr);
	if (*c->addr != '\0')
		opts.interface = source;
	load.lookups++;
	cs_fetch_start(load.curl, &opts, on_lookup_done, rt);
}

void route_request(struct request *r)
{
	struct route *rt = route_get_or_create(r->client, r->stream->class);

	if (cs_mono_us() < rt->expires_us || r->client->n_lookups == 0) {
		send_by_route(r, rt);
		return;
	}
	TAILQ_INSERT_TAIL(&rt->waiting, r, entry);
	if (rt->lookup_pending)
		return;
	rt->lookup_pending = true;
	rt->lookups_tried = 0;
	if (cs_mono_us() - r->client->lookup_failed_us > FAILBACK_DELAY_US)
		r->client->lookup = 0;
	send_lookup(rt);
}
