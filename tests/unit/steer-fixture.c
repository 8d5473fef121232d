#include <string.h>

#include "tests/unit/steer-fixture.h"

static const struct cs_steer_zone zones[] = {{"a1", "ra"}, {"a2", "ra"}, {"b1", "rb"},
					     {"b2", "rb"}, {"c1", "rc"}, {"c2", "rc"}};

struct cs_steer *fixture_create_seeded(const char *name, const char *zone, uint64_t seed,
				       uint64_t now)
{
	struct cs_steer_opts o = {.zones = zones,
				  .n_zones = G_N_ELEMENTS(zones),
				  .bounds = {.retry_ratio = 0.2,
					     .retry_window_s = 10,
					     .retry_extra = 60,
					     .max_shift = 0.15,
					     .lookup_ttl_ms = 5000,
					     .member_silence_ms = 3000},
				  .seed = seed};

	cs_copy(o.instance, sizeof(o.instance), name);
	cs_copy(o.zone, sizeof(o.zone), zone);
	return cs_steer_create(&o, now);
}

struct cs_steer *fixture_create(const char *name, const char *zone, uint64_t now)
{
	return fixture_create_seeded(name, zone, 1, now);
}

struct cs_document *fixture_document(uint64_t version, const char *home)
{
	struct cs_document *doc = cs_document_create(1, 1);
	struct cs_route *r = &doc->routes[0];

	doc->version = version;
	cs_copy(r->name, sizeof(r->name), "r");
	r->host = cs_xstrdup("h.example");
	r->prefix = cs_xstrdup("/x/");
	r->timeout_ms = 1200;
	r->target_ms = 400;
	r->max_attempts = 2;
	r->sticky = true;
	r->n_parts = 1;
	cs_copy(r->parts[0].service, CS_NAME_MAX, "s");
	r->parts[0].weight = 1;
	if (home != NULL)
		cs_copy(r->home_regions[r->n_home_regions++], CS_NAME_MAX, home);
	cs_copy(doc->services[0].name, CS_NAME_MAX, "s");
	cs_copy(doc->services[0].health_path, CS_NAME_MAX, "/health");
	doc->services[0].cold_per_s = 10;
	cs_document_sort_routes(doc);
	return doc;
}

void fixture_add_server(struct cs_steer *s, const char *id, const char *zone, unsigned cold_ms,
			uint64_t now)
{
	struct cs_server_entry e = {.port = 80,
				    .slots = 4,
				    .cold_ms = cold_ms,
				    .started_ms = 1000,
				    .addr = "127.0.0.1"};

	cs_copy(e.id, sizeof(e.id), id);
	cs_copy(e.service, sizeof(e.service), "s");
	cs_copy(e.zone, sizeof(e.zone), zone);
	cs_steer_update_server(s, &e, now);
}

void fixture_init_request(struct cs_steer *s, struct cs_steer_request *req, uint64_t object,
			  uint64_t now)
{
	memset(req, 0, sizeof(*req));
	req->object = object;
	cs_steer_request_init(s, req, &cs_steer_current_document(s)->routes[0], 2500, now);
}

struct cs_server_entry fixture_make_entry(int64_t started_ms, int64_t sequence)
{
	return (struct cs_server_entry){.port = 80,
					.slots = 4,
					.started_ms = started_ms,
					.sequence = sequence,
					.addr = "127.0.0.1",
					.id = "s1",
					.service = "s",
					.zone = "a1"};
}

bool fixture_sends(struct cs_steer *s, uint64_t now)
{
	struct cs_steer_decision d;
	struct cs_steer_request req;

	fixture_init_request(s, &req, 1, now);
	cs_steer_decide(s, &req, now, &d);
	if (d.verdict != CS_STEER_SEND) {
		cs_steer_dequeue(s, &req);
		return false;
	}
	cs_steer_attempt_ended(s, &req, d.u.send.backend, CS_STEER_OK, MS(100), now);
	return true;
}

void fixture_add_member(struct cs_steer *s, const char *name, const char *zone, uint64_t now)
{
	struct cs_steer_member m = {.boot = 1, .ready = true};
	static struct cs_steer_report r;

	cs_copy(m.name, sizeof(m.name), name);
	cs_copy(m.zone, sizeof(m.zone), zone);
	cs_copy(m.front, sizeof(m.front), name);
	cs_steer_update_member(s, &m, now);
	memset(&r, 0, sizeof(r));
	cs_copy(r.name, sizeof(r.name), name);
	r.boot = 1;
	r.seq = now;
	r.ready = true;
	cs_steer_handle_report(s, &r, now);
}

void fixture_run(struct cs_steer *s, uint64_t *now, uint64_t until)
{
	for (; *now < until; *now += MS(50))
		cs_steer_tick(s, *now);
}
