/* Views and configurations for the tests and the benchmark of lib/policy. */
#include <glib.h>
#include <string.h>

#include "tests/unit/policy-fixture.h"

static void add_class(GString *s, const char *name, const char *service, const char *options,
		      const struct fx_shape *x)
{
	g_string_append_printf(s,
			       "{\"name\":\"%s\",\"service\":\"%s\",\"latency_target_ms\":400,"
			       "\"timeout_ms\":%u,\"headroom_pct\":%u,%s}",
			       name, service, x->timeout_ms ? x->timeout_ms : 3000,
			       x->headroom_pct ? x->headroom_pct : 20, options);
}

static void add_zones(GString *s, const struct fx_shape *x)
{
	unsigned regions = x->regions ? x->regions : 2, zones = x->zones ? x->zones : 2, r, z, b;
	unsigned blocks = x->blocks ? x->blocks : regions * zones;

	g_string_append(s, "\"regions\":[");
	for (r = 0; r < regions; r++)
		g_string_append_printf(s, "%s{\"name\":\"r-%u\"}", r ? "," : "", r);
	g_string_append(s, "],\"zones\":[");
	for (r = 0; r < regions; r++) {
		for (z = 0; z < zones; z++) {
			unsigned index = r * zones + z;
			const char *comma = "";

			g_string_append_printf(
				s, "%s{\"name\":\"z-%u-%u\",\"region\":\"r-%u\",\"clients\":[",
				index ? "," : "", r, z, r);
			for (b = index; b < blocks; b += regions * zones) {
				g_string_append_printf(s, "%s\"%u.%u.%u.0/24\"", comma,
						       10 + (b >> 16), (b >> 8) & 255, b & 255);
				comma = ",";
			}
			g_string_append(s, "]}");
		}
	}
	g_string_append(s, "],");
}

struct cs_config *fx_config(const struct fx_shape *shape)
{
	GString *s = g_string_new("{\"format\":1,\"deployment\":\"test\",");
	struct cs_config *cfg;
	struct cs_msg msg = {""};
	unsigned slots = shape->slots ? shape->slots : 9;

	g_string_append_printf(s,
			       "\"revision\":%u,\"network\":{\"zone_delay_ms\":1,"
			       "\"region_delay_ms\":20,\"link_mbit_s\":4000},",
			       shape->revision ? shape->revision : 1);
	add_zones(s, shape);
	g_string_append_printf(
		s,
		"\"services\":[{\"name\":\"web\",\"slots\":%u,\"connections\":360},"
		"{\"name\":\"files\",\"slots\":%u,\"connections\":360}],\"classes\":[",
		slots, slots);
	add_class(s, "lookups", "web", "\"idempotent\":true,\"priority\":2", shape);
	g_string_append(s, ",");
	add_class(s, "bookings", "web", "\"idempotent\":false,\"priority\":1", shape);
	g_string_append(s, ",");
	add_class(s, "photos", "files", "\"idempotent\":true,\"bulk\":true", shape);
	if (!shape->no_bulk) {
		g_string_append(s, ",");
		add_class(s, "uploads", "web", "\"idempotent\":false,\"bulk\":true", shape);
	}
	g_string_append_printf(s,
			       "],\"shift\":{\"cap_pct_s\":%g,\"lookup_ttl_ms\":2000},"
			       "\"drains\":[%s]}",
			       shape->cap_pct_s > 0 ? shape->cap_pct_s : 5,
			       shape->drains ? shape->drains : "");
	cfg = cs_config_parse(s->str, s->len, &msg);
	if (cfg == NULL)
		g_error("configuration of the fixture refused: %s", msg.text);
	g_string_free(s, TRUE);
	return cfg;
}

struct cs_view *fx_view(const struct fx_shape *shape)
{
	struct cs_view *v = cs_view_create();

	v->cfg = fx_config(shape);
	v->store_ok = true;
	return v;
}

struct cs_member *fx_member(struct cs_view *v, const char *name, const char *zone)
{
	struct cs_member *m;

	v->members = cs_xrealloc(v->members, v->n_members + 1, sizeof(*v->members));
	m = &v->members[v->n_members++];
	memset(m, 0, sizeof(*m));
	cs_copy(m->name, sizeof(m->name), name);
	cs_copy(m->zone, sizeof(m->zone), zone);
	cs_copy(m->addr, sizeof(m->addr), "127.0.0.1");
	m->proxy_port = 8080;
	m->listed = m->ready = true;
	m->state = CS_MEMBER_ALIVE;
	return m;
}

struct cs_server *fx_server(struct cs_view *v, const char *name, const char *service,
			    const char *zone)
{
	struct cs_server *s;

	v->servers = cs_xrealloc(v->servers, v->n_servers + 1, sizeof(*v->servers));
	s = &v->servers[v->n_servers++];
	memset(s, 0, sizeof(*s));
	cs_copy(s->name, sizeof(s->name), name);
	cs_copy(s->service, sizeof(s->service), service);
	cs_copy(s->zone, sizeof(s->zone), zone);
	cs_copy(s->addr, sizeof(s->addr), "127.0.0.2");
	s->port = 9000;
	s->state = CS_SERVER_READY;
	return s;
}

struct cs_zone_load *fx_load(struct cs_view *v, const char *zone, const char *service,
			     unsigned capacity, unsigned in_flight)
{
	struct cs_zone_load *l;

	v->loads = cs_xrealloc(v->loads, v->n_loads + 1, sizeof(*v->loads));
	l = &v->loads[v->n_loads++];
	memset(l, 0, sizeof(*l));
	cs_copy(l->zone, sizeof(l->zone), zone);
	cs_copy(l->service, sizeof(l->service), service);
	l->version = 1;
	l->capacity = capacity;
	l->in_flight = in_flight;
	return l;
}

struct cs_policy *fx_policy(const char *instance, uint64_t seed)
{
	struct cs_policy_opts opts = {.zone = "z-0-0", .seed = seed};

	cs_copy(opts.instance, sizeof(opts.instance), instance);
	return cs_policy_create(&opts);
}

struct cs_policy_request fx_request(unsigned class_index, uint64_t hash, uint64_t now_us)
{
	struct cs_policy_request req = {
		.class_index = class_index, .hash = hash, .arrived_us = now_us};

	req.deadline_us = now_us + 3 * CS_US_PER_S;
	return req;
}

void fx_announce_roster(struct cs_policy *p, struct cs_view *v, uint64_t now_us)
{
	uint64_t roster = cs_policy_roster(p);
	unsigned i;

	for (i = 0; i < v->n_members; i++) {
		if (strcmp(v->members[i].zone, "z-0-0") != 0)
			continue;
		v->members[i].roster = roster;
		cs_policy_peer_roster(p, v->members[i].name, roster, now_us);
	}
}
