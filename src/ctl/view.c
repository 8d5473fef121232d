/* Merges the states of agents into a view; of two rows with the same key the newer one is kept. */
#include <stdlib.h>
#include <string.h>

#include "src/ctl/fleet.h"

/*
 * The view being merged, with hash tables from key to row index + 1. Linear searches would be slow:
 * in a deployment of 96 zones, each state lists 1,700 members.
 */
struct merge {
	struct cs_view *view;
	GHashTable *members, *servers, *loads;
};

static const char *text_value(const json_t *obj, const char *key)
{
	const char *s = json_string_value(json_object_get(obj, key));

	return s != NULL ? s : "";
}

static unsigned unsigned_value(const json_t *obj, const char *key)
{
	json_int_t n = json_integer_value(json_object_get(obj, key));

	return n > 0 ? (unsigned)n : 0;
}

/* Age in us; UINT64_MAX for null, which means that nothing was ever received. */
static uint64_t age_value(const json_t *obj, const char *key)
{
	const json_t *v = json_object_get(obj, key);

	return json_is_integer(v) ? (uint64_t)json_integer_value(v) * CS_US_PER_MS : UINT64_MAX;
}

static enum cs_member_state member_state(const char *name)
{
	int i;

	for (i = CS_MEMBER_ALIVE; i <= CS_MEMBER_DEAD; i++) {
		if (strcmp(cs_member_state_name((enum cs_member_state)i), name) == 0)
			return (enum cs_member_state)i;
	}
	return CS_MEMBER_DEAD;
}

/* Returns the index of a row plus 1, or 0 if there is none. */
static unsigned row_index(GHashTable *rows, const char *key)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(rows, key));
}

static void row_add(GHashTable *rows, const char *key, unsigned index_plus_1)
{
	g_hash_table_insert(rows, g_strdup(key), GUINT_TO_POINTER(index_plus_1));
}

static void merge_member(struct merge *g, const json_t *e)
{
	struct cs_member m = {.state = member_state(text_value(e, "state"))};
	struct cs_view *v = g->view;
	unsigned at;

	cs_copy(m.name, sizeof(m.name), text_value(e, "name"));
	cs_copy(m.zone, sizeof(m.zone), text_value(e, "zone"));
	cs_copy(m.addr, sizeof(m.addr), text_value(e, "addr"));
	m.lookup_port = (uint16_t)unsigned_value(e, "lookup_port");
	m.proxy_port = (uint16_t)unsigned_value(e, "proxy_port");
	m.bus_port = (uint16_t)unsigned_value(e, "bus_port");
	m.admin_port = (uint16_t)unsigned_value(e, "admin_port");
	m.listed = json_is_true(json_object_get(e, "listed"));
	m.ready = json_is_true(json_object_get(e, "ready"));
	m.revision = (uint64_t)json_integer_value(json_object_get(e, "revision"));
	m.silent_us = age_value(e, "silent_ms");
	at = row_index(g->members, m.name);
	if (at > 0) {
		if (m.silent_us < v->members[at - 1].silent_us)
			v->members[at - 1] = m;
		return;
	}
	v->members = cs_xrealloc(v->members, v->n_members + 1, sizeof(m));
	v->members[v->n_members++] = m;
	row_add(g->members, m.name, v->n_members);
}

static void merge_server(struct merge *g, const json_t *e)
{
	struct cs_server s = {.port = (uint16_t)unsigned_value(e, "port")};
	int st = cs_server_state_parse(text_value(e, "state"));
	struct cs_view *v = g->view;
	unsigned at;

	cs_copy(s.name, sizeof(s.name), text_value(e, "name"));
	cs_copy(s.service, sizeof(s.service), text_value(e, "service"));
	cs_copy(s.zone, sizeof(s.zone), text_value(e, "zone"));
	cs_copy(s.addr, sizeof(s.addr), text_value(e, "addr"));
	s.state = st < 0 ? CS_SERVER_DOWN : (enum cs_server_state)st;
	s.slots = unsigned_value(e, "slots");
	s.reported_in_flight = unsigned_value(e, "in_flight");
	s.reported_service_us = unsigned_value(e, "service_us");
	s.reported_age_us = age_value(e, "age_ms");
	at = row_index(g->servers, s.name);
	if (at > 0) {
		if (s.reported_age_us < v->servers[at - 1].reported_age_us)
			v->servers[at - 1] = s;
		return;
	}
	v->servers = cs_xrealloc(v->servers, v->n_servers + 1, sizeof(s));
	v->servers[v->n_servers++] = s;
	row_add(g->servers, s.name, v->n_servers);
}

static void merge_load(struct merge *g, const json_t *e)
{
	char key[2 * CS_NAME_MAX];
	struct cs_zone_load l = {.capacity = unsigned_value(e, "capacity")};
	struct cs_view *v = g->view;
	unsigned at;

	cs_copy(l.zone, sizeof(l.zone), text_value(e, "zone"));
	cs_copy(l.service, sizeof(l.service), text_value(e, "service"));
	l.in_flight = unsigned_value(e, "in_flight");
	l.waiting = unsigned_value(e, "waiting");
	l.foreign = unsigned_value(e, "foreign");
	l.service_us = unsigned_value(e, "service_us");
	l.out_of_target = json_is_true(json_object_get(e, "out_of_target"));
	l.age_us = age_value(e, "age_ms");
	snprintf(key, sizeof(key), "%s %s", l.zone, l.service);
	at = row_index(g->loads, key);
	if (at > 0) {
		if (l.age_us < v->loads[at - 1].age_us)
			v->loads[at - 1] = l;
		return;
	}
	v->loads = cs_xrealloc(v->loads, v->n_loads + 1, sizeof(l));
	v->loads[v->n_loads++] = l;
	row_add(g->loads, key, v->n_loads);
}

static void merge_rows(struct merge *g, const json_t *state, const char *key,
		       void (*merge)(struct merge *, const json_t *))
{
	json_t *e;
	size_t i;

	json_array_foreach(json_object_get(state, key), i, e)
		merge(g, e);
}

static GHashTable *rows_create(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

struct cs_view *ctl_fleet_view(const struct ctl_fleet *fleet, struct cs_config *cfg)
{
	struct merge g = {.view = cs_view_create(),
			  .members = rows_create(),
			  .servers = rows_create(),
			  .loads = rows_create()};
	unsigned i;

	g.view->cfg = cs_config_ref(cfg);
	for (i = 0; i < fleet->n; i++) {
		const json_t *state = fleet->list[i].agent;

		if (state == NULL)
			continue;
		merge_rows(&g, state, "members", merge_member);
		merge_rows(&g, state, "servers", merge_server);
		merge_rows(&g, state, "loads", merge_load);
	}
	g_hash_table_destroy(g.members);
	g_hash_table_destroy(g.servers);
	g_hash_table_destroy(g.loads);
	return g.view;
}

const struct cs_zone_load *ctl_zone_load(const struct cs_view *v, const char *zone,
					 const char *service)
{
	unsigned i;

	for (i = 0; i < v->n_loads; i++) {
		if (strcmp(v->loads[i].zone, zone) == 0 &&
		    strcmp(v->loads[i].service, service) == 0)
			return &v->loads[i];
	}
	return NULL;
}
