/*
 * Decisions of lib/steer: home regions, affinity, cold servers, retry budgets, evacuations, client
 * addresses, digests, and the change feed.
 */
#include <string.h>

#include "steer/feed.h"
#include "tests/unit/steer-fixture.h"

/* Decides once; returns the id of the chosen server, or NULL if the request is not sent. */
static const char *decide(struct cs_steer *s, struct cs_steer_request *req, uint64_t now)
{
	struct cs_steer_decision d;

	cs_steer_decide(s, req, now, &d);
	if (d.verdict == CS_STEER_SEND)
		return cs_backend_id(d.u.send.backend);
	cs_steer_dequeue(s, req);
	return NULL;
}

/* Guards against requests leaving their home regions when these have no server. */
static void test_home_without_servers_not_left(void)
{
	uint64_t now = MS(1000);
	struct cs_steer *s = fixture_create("i1", "a1", now);
	struct cs_steer_request req;
	int i;

	cs_steer_set_document(s, fixture_document(1, "rb"), now);
	fixture_add_server(s, "s1", "a1", 0, now);
	fixture_add_server(s, "s2", "b1", 0, now);
	fixture_run(s, &now, MS(3000));
	for (i = 0; i < 50; i++) {
		fixture_init_request(s, &req, i % 2 ? (uint64_t)i << 40 : 0, now);
		g_assert_cmpstr(decide(s, &req, now), !=, "s1");
	}
	cs_steer_remove_server(s, "s2", 0, now);
	fixture_run(s, &now, MS(5000));
	for (i = 0; i < 50; i++) {
		fixture_init_request(s, &req, i % 2 ? (uint64_t)i << 40 : 0, now);
		g_assert_null(decide(s, &req, now));
	}
	cs_steer_destroy(s);
}

/* Guards against treating a home region unknown to the deployment as no restriction. */
static void test_unknown_home_allows_no_region(void)
{
	uint64_t now = MS(1000);
	struct cs_steer *s = fixture_create("i1", "a1", now);
	struct cs_steer_request req;

	cs_steer_set_document(s, fixture_document(1, "elsewhere"), now);
	fixture_add_server(s, "s1", "a1", 0, now);
	fixture_run(s, &now, MS(2000));
	fixture_init_request(s, &req, 0, now);
	g_assert_null(decide(s, &req, now));
	cs_steer_destroy(s);
}

/* Guards against spreading one object over many servers, which defeats their caches. */
static void test_object_stays_on_two_servers(void)
{
	uint64_t now = MS(1000);
	struct cs_steer *s = fixture_create("i1", "a1", now);
	char seen[8][CS_NAME_MAX];
	unsigned n = 0, k;
	struct cs_steer_request req;
	struct cs_steer_decision d;
	char id[16];
	int i;

	cs_steer_set_document(s, fixture_document(1, NULL), now);
	for (i = 0; i < 8; i++) {
		g_snprintf(id, sizeof(id), "s%d", i);
		fixture_add_server(s, id, i % 2 ? "a1" : "a2", 0, now);
	}
	fixture_run(s, &now, MS(3000));
	for (i = 0; i < 200; i++, now += MS(5)) {
		fixture_init_request(s, &req, 0x1234567890abcdefULL, now);
		cs_steer_decide(s, &req, now, &d);
		g_assert_cmpint(d.verdict, ==, CS_STEER_SEND);
		for (k = 0; k < n; k++)
			if (strcmp(seen[k], cs_backend_id(d.u.send.backend)) == 0)
				break;
		if (k == n)
			cs_copy(seen[n++], CS_NAME_MAX, cs_backend_id(d.u.send.backend));
		cs_steer_attempt_ended(s, &req, d.u.send.backend, CS_STEER_OK, MS(4), now + MS(4));
	}
	g_assert_cmpuint(n, <=, 2);
	cs_steer_destroy(s);
}

/* Offers a request every 5 ms for one second; returns the number sent. */
static unsigned count_sent_in_one_second(struct cs_steer *s, uint64_t *now)
{
	uint64_t start = *now;
	struct cs_steer_decision d;
	struct cs_steer_request req;
	unsigned sent = 0;

	for (; *now < start + MS(1000); *now += MS(5)) {
		fixture_init_request(s, &req, 0, *now);
		cs_steer_decide(s, &req, *now, &d);
		if (d.verdict != CS_STEER_SEND) {
			cs_steer_dequeue(s, &req);
			continue;
		}
		sent++;
		cs_steer_attempt_ended(s, &req, d.u.send.backend, CS_STEER_OK, MS(1), *now);
	}
	return sent;
}

/* Guards against exceeding the rate limit of a cold server, and against sending it nothing. */
static void test_cold_server_rate_limited(void)
{
	uint64_t now = MS(1000);
	struct cs_steer *s = fixture_create("i1", "a1", now);
	unsigned sent, i;

	cs_steer_set_document(s, fixture_document(1, NULL), now);
	fixture_add_server(s, "s1", "a1", 60000, now);
	fixture_run(s, &now, MS(5000));
	sent = count_sent_in_one_second(s, &now);
	g_assert_cmpuint(sent, >, 0);
	g_assert_cmpuint(sent, <=, 15);
	/*
	 * One instance, the owner, sends all requests to a cold server. Without messages of the
	 * nine others this one uses only its share of the rate, since several may consider
	 * themselves the owner.
	 */
	for (i = 0; i < 9; i++) {
		char name[16];

		g_snprintf(name, sizeof(name), "p%u", i);
		fixture_add_member(s, name, "a1", now);
	}
	fixture_run(s, &now, now + MS(10000));
	sent = count_sent_in_one_second(s, &now);
	g_assert_cmpuint(sent, <=, 2);
	cs_steer_destroy(s);
}

/*
 * Guards against more requests to a cold server than it can take while instances are cut off from
 * each other: each of 77 considers itself the owner. Limit and slack are those of the platform.
 */
static void test_cold_server_of_cut_off_instances(void)
{
	unsigned per_second[12] = {0}, i, k, total = 0;
	struct cs_steer *s;
	char name[16];
	uint64_t now;

	for (i = 0; i < 77; i++) {
		now = MS(1000);
		g_snprintf(name, sizeof(name), "i%u", i);
		s = fixture_create_seeded(name, "a1", 100 + i, now);
		cs_steer_set_document(s, fixture_document(1, NULL), now);
		for (k = 0; k < 77; k++) {
			g_snprintf(name, sizeof(name), "i%u", k);
			fixture_add_member(s, name, "a1", now);
		}
		fixture_add_server(s, "s1", "a1", 60000, now);
		fixture_run(s, &now, MS(10000));
		for (k = 0; k < G_N_ELEMENTS(per_second); k++)
			per_second[k] += count_sent_in_one_second(s, &now);
		cs_steer_destroy(s);
	}
	for (k = 0; k < G_N_ELEMENTS(per_second); k++) {
		g_assert_cmpuint(per_second[k], <=, 10 * 3 / 2 + 5);
		total += per_second[k];
	}
	g_assert_cmpuint(total, >, 0);
}

/* Guards against retries beyond the retry budget, which all instances share. */
static void test_retries_within_budget(void)
{
	uint64_t now = MS(20000);
	struct cs_steer *s = fixture_create("i1", "a1", now);
	struct cs_steer_request req;
	struct cs_steer_decision d;
	unsigned repeats = 0;
	char id[16];
	int i;

	cs_steer_set_document(s, fixture_document(1, NULL), now);
	for (i = 0; i < 4; i++) {
		g_snprintf(id, sizeof(id), "s%d", i);
		fixture_add_server(s, id, "a1", 0, now);
	}
	fixture_run(s, &now, MS(21000));
	for (i = 0; i < 500; i++, now += MS(2)) {
		fixture_init_request(s, &req, 0, now);
		cs_steer_decide(s, &req, now, &d);
		g_assert_cmpint(d.verdict, ==, CS_STEER_SEND);
		cs_steer_attempt_ended(s, &req, d.u.send.backend, CS_STEER_ERROR, MS(1), now);
		cs_steer_decide(s, &req, now, &d);
		if (d.verdict == CS_STEER_SEND) {
			repeats++;
			cs_steer_attempt_ended(s, &req, d.u.send.backend, CS_STEER_OK, MS(1), now);
		} else {
			cs_steer_dequeue(s, &req);
		}
	}
	g_assert_cmpuint(repeats, >, 50);
	g_assert_cmpuint(repeats, <=, 500 / 5 + 60);
	cs_steer_destroy(s);
}

/*
 * Guards against sending to an evacuated zone, and to its servers after the evacuation before a
 * health check has passed: they are often cold.
 */
static void test_evacuated_zone_unused_until_probed(void)
{
	uint64_t now = MS(1000);
	struct cs_steer *s = fixture_create("i1", "a1", now);
	struct cs_steer_request req;
	struct cs_backend *b;

	cs_steer_set_document(s, fixture_document(1, NULL), now);
	fixture_add_server(s, "s1", "a1", 0, now);
	fixture_run(s, &now, MS(2000));
	cs_steer_set_evacuated(s, "a1", true, now);
	fixture_init_request(s, &req, 0, now);
	g_assert_null(decide(s, &req, now));
	g_assert_null(cs_steer_next_probe(s, now));
	cs_steer_set_evacuated(s, "a1", false, now);
	fixture_init_request(s, &req, 0, now);
	g_assert_null(decide(s, &req, now));
	b = cs_steer_next_probe(s, now);
	g_assert_nonnull(b);
	cs_steer_probe_done(s, b, true, 0, now);
	fixture_init_request(s, &req, 0, now);
	g_assert_cmpstr(decide(s, &req, now), ==, "s1");
	cs_steer_destroy(s);
}

/*
 * Guards against requests to a server that turned cold before the end of an evacuation, but whose
 * entry, written again after a cut, does not say so.
 */
static void test_entry_after_evacuation_does_not_replace_probe(void)
{
	uint64_t now = MS(1000);
	struct cs_steer *s = fixture_create("i1", "a1", now);
	struct cs_steer_request req;
	struct cs_backend *b;

	cs_steer_set_document(s, fixture_document(1, NULL), now);
	fixture_add_server(s, "s1", "a1", 0, now);
	fixture_run(s, &now, MS(2000));
	cs_steer_set_evacuated(s, "a1", true, now);
	cs_steer_remove_server(s, "s1", 0, now);
	fixture_run(s, &now, MS(3000));
	cs_steer_set_evacuated(s, "a1", false, now);
	fixture_add_server(s, "s1", "a1", 0, now);
	fixture_init_request(s, &req, 0, now);
	g_assert_null(decide(s, &req, now));
	b = cs_steer_next_probe(s, now);
	g_assert_nonnull(b);
	fixture_add_server(s, "s1", "a1", 0, now);
	cs_steer_probe_done(s, b, true, 0, now);
	fixture_init_request(s, &req, 0, now);
	g_assert_cmpstr(decide(s, &req, now), ==, "s1");
	cs_steer_destroy(s);
}

/* Sends a request that another server rejects with 421. */
static void misdirect(struct cs_steer *s, struct cs_steer_request *req, uint64_t now)
{
	struct cs_steer_decision d;

	fixture_init_request(s, req, 0, now);
	cs_steer_decide(s, req, now, &d);
	g_assert_cmpint(d.verdict, ==, CS_STEER_SEND);
	cs_steer_attempt_ended(s, req, d.u.send.backend, CS_STEER_MISDIRECTED, MS(1), now);
}

/*
 * Guards against requests to a server that another one replaced or that became cold, because a
 * health check that was sent before, and whose response is late, ends the exclusion.
 */
static void test_late_probe_does_not_end_exclusion(void)
{
	enum { MISDIRECTS, EVACUATED, RESTARTS, CASES };
	struct cs_server_entry e = {
		.port = 80, .slots = 4, .started_ms = 2000, .addr = "127.0.0.1"};
	struct cs_steer_request req;
	struct cs_backend *b;
	struct cs_steer *s;
	uint64_t now;
	unsigned i;

	cs_copy(e.id, sizeof(e.id), "s1");
	cs_copy(e.service, sizeof(e.service), "s");
	cs_copy(e.zone, sizeof(e.zone), "a1");
	for (i = 0; i < CASES; i++) {
		now = MS(1000);
		s = fixture_create("i1", "a1", now);
		cs_steer_set_document(s, fixture_document(1, NULL), now);
		fixture_add_server(s, "s1", "a1", 0, now);
		fixture_run(s, &now, MS(2000));
		misdirect(s, &req, now);
		/* Entries that follow an evacuation do not replace the health check. */
		if (i == RESTARTS) {
			cs_steer_set_evacuated(s, "a1", true, now);
			cs_steer_set_evacuated(s, "a1", false, now);
		}
		b = cs_steer_next_probe(s, now);
		g_assert_nonnull(b);
		fixture_run(s, &now, MS(2200));
		if (i == MISDIRECTS) {
			fixture_add_server(s, "s1", "a1", 0, now);
			misdirect(s, &req, now);
		} else if (i == EVACUATED) {
			cs_steer_set_evacuated(s, "a1", true, now);
			cs_steer_set_evacuated(s, "a1", false, now);
		} else {
			cs_steer_update_server(s, &e, now);
		}
		fixture_run(s, &now, MS(2400));
		cs_steer_probe_done(s, b, true, 0, now);
		fixture_init_request(s, &req, 0, now);
		g_assert_null(decide(s, &req, now));
		g_assert_true(cs_steer_next_probe(s, now) == b);
		cs_steer_probe_done(s, b, true, 0, now);
		fixture_init_request(s, &req, 0, now);
		g_assert_cmpstr(decide(s, &req, now), ==, "s1");
		cs_steer_destroy(s);
	}
}

/*
 * Guards against dropping a server at once when its entry expired during a store outage, and
 * against keeping it beyond the grace period.
 */
static void test_expired_entry_usable_for_grace(void)
{
	uint64_t now = MS(1000);
	struct cs_steer *s = fixture_create("i1", "a1", now);
	struct cs_steer_request req;

	cs_steer_set_document(s, fixture_document(1, NULL), now);
	fixture_add_server(s, "s1", "a1", 0, now);
	fixture_add_server(s, "s2", "a2", 0, now);
	cs_steer_full_read_begin(s);
	fixture_add_server(s, "s2", "a2", 0, now);
	cs_steer_full_read_end(s, MS(2000), now);
	cs_steer_remove_server(s, "s2", 0, now);
	fixture_run(s, &now, MS(2900));
	fixture_init_request(s, &req, 0, now);
	g_assert_cmpstr(decide(s, &req, now), ==, "s1");
	fixture_run(s, &now, MS(3100));
	fixture_init_request(s, &req, 0, now);
	g_assert_null(decide(s, &req, now));
	cs_steer_destroy(s);
}

/* Fraction of the requests of one 2 s window, at 100/s, that are sent to the own region. */
static double own_region_fraction(struct cs_steer *s, uint64_t *now, bool sticky)
{
	unsigned own = 0, total = 0, i;
	struct cs_steer_decision d;
	struct cs_steer_request req;

	for (i = 0; i < 200; i++, *now += MS(10)) {
		if (i % 5 == 0)
			cs_steer_tick(s, *now);
		fixture_init_request(s, &req, sticky ? cs_hash(&i, sizeof(i), 0) : 0, *now);
		cs_steer_decide(s, &req, *now, &d);
		if (d.verdict != CS_STEER_SEND) {
			cs_steer_dequeue(s, &req);
			continue;
		}
		total++;
		own += cs_backend_zone(d.u.send.backend)[0] == 'a';
		cs_steer_attempt_ended(s, &req, d.u.send.backend, CS_STEER_OK, MS(100), *now);
	}
	return total > 0 ? (double)own / total : 0;
}

/*
 * Guards against shifting requests between regions faster than max_shift while the load of another
 * region changes. Offered load: 10 busy slots against the 8 of this region; the other region
 * alternates between 0 and 60 busy slots.
 */
static void test_region_shift_bounded(void)
{
	static struct cs_steer_report r = {.name = "j1", .boot = 1, .ready = true, .n_services = 1};
	uint64_t now = MS(1000);
	struct cs_steer *s = fixture_create("i1", "a1", now);
	double fraction, previous = -1, min = 1, max = 0;
	char id[16];
	int i, sticky;

	cs_steer_set_document(s, fixture_document(1, NULL), now);
	for (i = 0; i < 12; i++) {
		g_snprintf(id, sizeof(id), "s%d", i);
		fixture_add_server(s, id, i < 2 ? "a1" : i < 7 ? "b1" : "c1", 0, now);
	}
	fixture_add_member(s, "j1", "b1", now);
	fixture_run(s, &now, MS(1500));
	r.services[0].service = (uint32_t)cs_hash_str("s", 0);
	for (sticky = 0; sticky < 2; sticky++)
		for (i = 0; i < 20; i++) {
			r.seq = now;
			r.services[0].busy_slots = i % 10 < 5 ? 0 : 60;
			cs_steer_handle_report(s, &r, now);
			fraction = own_region_fraction(s, &now, sticky);
			if (previous >= 0)
				g_assert_cmpfloat(fraction - previous < 0 ? previous - fraction
									  : fraction - previous,
						  <=, 0.15);
			previous = fraction;
			min = fraction < min ? fraction : min;
			max = fraction > max ? fraction : max;
			if (i == 19)
				previous = -1;
		}
	/* Some load must have shifted. */
	g_assert_cmpfloat(max - min, >, 0.02);
	cs_steer_destroy(s);
}

/*
 * Guards against keeping a removed server when the store was available all along and only this
 * instance could not reach it: a report of a peer with uninterrupted access to the store ends the
 * grace period.
 */
static void test_stable_peer_ends_grace(void)
{
	struct cs_steer_report r = {.name = "i2", .boot = 1, .ready = true, .store_stable = true};
	uint64_t now = MS(1000);
	struct cs_steer *s = fixture_create("i1", "a1", now);
	struct cs_steer_request req;

	cs_steer_set_document(s, fixture_document(1, NULL), now);
	fixture_add_server(s, "s1", "a1", 0, now);
	fixture_add_member(s, "i2", "a2", now);
	g_assert_false(cs_steer_store_stable(s, now));
	cs_steer_remove_server(s, "s1", MS(2000), now);
	fixture_run(s, &now, MS(1100));
	fixture_init_request(s, &req, 0, now);
	g_assert_cmpstr(decide(s, &req, now), ==, "s1");
	r.seq = now;
	cs_steer_handle_report(s, &r, now);
	fixture_run(s, &now, MS(1200));
	fixture_init_request(s, &req, 0, now);
	g_assert_null(decide(s, &req, now));
	cs_steer_destroy(s);
}

/* Guards against replacing a document by one of a lower or equal version. */
static void test_document_version_must_grow(void)
{
	uint64_t now = MS(1000);
	struct cs_steer *s = fixture_create("i1", "a1", now);

	g_assert_true(cs_steer_set_document(s, fixture_document(5, NULL), now));
	g_assert_false(cs_steer_set_document(s, fixture_document(4, NULL), now));
	g_assert_false(cs_steer_set_document(s, fixture_document(5, NULL), now));
	g_assert_cmpuint(cs_steer_current_document(s)->version, ==, 5);
	cs_steer_destroy(s);
}

/*
 * Guards against clients that are sent to other regions while an instance of their own is left, as
 * during the planned stops of a region with two instances, and against none being returned when
 * the region has none.
 */
static void test_client_addresses_stay_in_region(void)
{
	uint64_t now = MS(1000);
	struct cs_steer *s = fixture_create("i1", "a1", now);
	struct cs_steer_member self = {.ready = true};
	char out[8][CS_ADDR_MAX + 8];

	cs_copy(self.front, sizeof(self.front), "self");
	fixture_add_member(s, "i2", "a2", now);
	fixture_add_member(s, "j1", "b1", now);
	fixture_add_member(s, "j2", "b2", now);
	fixture_add_member(s, "k1", "c1", now);
	/* Two instances in the region of the client, then one, then none. */
	g_assert_cmpuint(cs_steer_client_addresses(s, "b1", "rb", &self, now, out, 8), ==, 2);
	g_assert_cmpuint(cs_steer_client_addresses(s, "c1", "rc", &self, now, out, 8), ==, 1);
	g_assert_cmpstr(out[0], ==, "k1");
	g_assert_cmpuint(cs_steer_client_addresses(s, "d1", "rd", &self, now, out, 8), ==, 5);
	cs_steer_destroy(s);
}

/* Guards against returning the address of a silent or leaving instance to clients. */
static void test_client_addresses_omit_unusable(void)
{
	struct cs_steer_member self = {.name = "i1", .zone = "a1", .front = "self", .ready = true};
	uint64_t now = MS(1000);
	struct cs_steer *s = fixture_create("i1", "a1", now);
	char out[CS_CLIENT_ADDRESSES_MAX][CS_ADDR_MAX + 8];

	fixture_add_member(s, "i2", "a1", now);
	fixture_add_member(s, "i3", "b1", now);
	g_assert_cmpuint(cs_steer_client_addresses(s, "a1", "ra", &self, now, out,
						   CS_CLIENT_ADDRESSES_MAX),
			 ==, 2);
	g_assert_cmpuint(cs_steer_client_addresses(s, "b1", "rb", &self, now, out,
						   CS_CLIENT_ADDRESSES_MAX),
			 >=, 1);
	g_assert_cmpstr(out[0], ==, "i3");
	now += MS(3500);
	g_assert_cmpuint(cs_steer_client_addresses(s, "a1", "ra", &self, now, out,
						   CS_CLIENT_ADDRESSES_MAX),
			 ==, 1);
	g_assert_cmpstr(out[0], ==, "self");
	self.leaving = true;
	g_assert_cmpuint(cs_steer_client_addresses(s, "a1", "ra", &self, now, out,
						   CS_CLIENT_ADDRESSES_MAX),
			 ==, 0);
	cs_steer_destroy(s);
}

/* Guards against a traffic split that deviates from its weights over 200 requests. */
static void test_traffic_split_follows_weights(void)
{
	struct cs_document *doc = fixture_document(1, NULL);
	struct cs_route *r = &doc->routes[0];
	uint64_t now = MS(1000);
	struct cs_steer *s = fixture_create("i1", "a1", now);
	struct cs_steer_request req;
	int i, n_second = 0;

	r->n_parts = 2;
	r->parts[0].weight = 90;
	cs_copy(r->parts[1].service, CS_NAME_MAX, "t");
	r->parts[1].weight = 10;
	cs_steer_set_document(s, doc, now);
	for (i = 0; i < 200; i++) {
		fixture_init_request(s, &req, 0, now);
		n_second += strcmp(req.service, "t") == 0;
	}
	g_assert_cmpint(n_second, >=, 19);
	g_assert_cmpint(n_second, <=, 21);
	cs_steer_destroy(s);
}

/* Guards against choosing a route with a shorter prefix or of another host. */
static void test_longest_prefix_of_host_wins(void)
{
	struct cs_document *doc = cs_document_create(3, 0);
	const char *const rows[][3] = {{"one", "h.example", "/a/"},
				       {"two", "h.example", "/a/b/"},
				       {"three", "g.example", "/"}};
	unsigned i;

	for (i = 0; i < 3; i++) {
		cs_copy(doc->routes[i].name, CS_NAME_MAX, rows[i][0]);
		doc->routes[i].host = cs_xstrdup(rows[i][1]);
		doc->routes[i].prefix = cs_xstrdup(rows[i][2]);
	}
	cs_document_sort_routes(doc);
	g_assert_cmpstr(cs_document_route(doc, "h.example", "/a/b/c")->name, ==, "two");
	g_assert_cmpstr(cs_document_route(doc, "H.Example:80", "/a/x")->name, ==, "one");
	g_assert_cmpstr(cs_document_route(doc, "g.example", "/a/x")->name, ==, "three");
	g_assert_null(cs_document_route(doc, "h.example", "/b/"));
	g_assert_null(cs_document_route(doc, "h.example.org", "/a/"));
	cs_document_destroy(doc);
}

/* Guards against missing changes that are made to the store between two pages of a full read. */
static void test_feed_watches_from_first_page(void)
{
	struct cs_feed_step step;
	struct cs_feed f;
	uint64_t now = MS(1000);

	cs_feed_init(&f, 1, now);
	cs_feed_next(&f, now, &step);
	g_assert_cmpint(step.kind, ==, CS_FEED_READ);
	g_assert_true(step.first);
	g_assert_false(cs_feed_page_read(&f, 10, true, now));
	cs_feed_next(&f, now, &step);
	g_assert_cmpint(step.kind, ==, CS_FEED_READ);
	g_assert_false(step.first);
	g_assert_true(cs_feed_page_read(&f, 15, false, now));
	cs_feed_next(&f, now, &step);
	g_assert_cmpint(step.kind, ==, CS_FEED_WATCH);
	g_assert_cmpuint(step.after, ==, 10);
	cs_feed_history_lost(&f, now);
	cs_feed_next(&f, now, &step);
	g_assert_cmpint(step.kind, ==, CS_FEED_READ);
	g_assert_true(step.first);
}

/*
 * Guards against dropping servers whose entries expired during an outage as soon as the store
 * responds again, and against keeping them for more than 2 s after that.
 */
static void test_feed_grace_after_outage(void)
{
	struct cs_feed_step step;
	struct cs_feed f;
	uint64_t now = MS(1000);

	cs_feed_init(&f, 1, now);
	g_assert_true(cs_feed_page_read(&f, 10, false, now));
	g_assert_cmpuint(cs_feed_grace_us(&f, now), ==, 0);
	for (; now < MS(6000); now += MS(100)) {
		cs_feed_next(&f, now, &step);
		if (step.kind == CS_FEED_WATCH)
			cs_feed_call_failed(&f, now);
	}
	g_assert_true(cs_feed_is_unavailable(&f));
	cs_feed_watch_completed(&f, 20, 3, now);
	g_assert_false(cs_feed_is_unavailable(&f));
	g_assert_cmpuint(cs_feed_grace_us(&f, now), >=, MS(1900));
	g_assert_cmpuint(cs_feed_grace_us(&f, now + MS(2100)), ==, 0);
}

/*
 * Guards against pauses between calls during an outage that are so long that the return of the
 * store is noticed seconds later.
 */
static void test_feed_notices_store_return_soon(void)
{
	uint64_t now = MS(1000), longest = 0, began;
	struct cs_feed_step step;
	struct cs_feed f;
	int i;

	cs_feed_init(&f, 1, now);
	cs_feed_page_read(&f, 10, false, now);
	for (i = 0; i < 100; i++) {
		began = now;
		cs_feed_next(&f, now, &step);
		if (step.kind == CS_FEED_PAUSE)
			now = step.until_us;
		else
			now += MS(step.timeout_ms);
		if (step.kind != CS_FEED_PAUSE)
			cs_feed_call_failed(&f, now);
		if (i > 4 && now - began > longest)
			longest = now - began;
	}
	/* Noticing the return takes at most the call in progress and the pause after it. */
	g_assert_cmpuint(longest, <=, MS(1000));
}

/*
 * Followers are the instances that get changes from the roots, the two instances of their zone that
 * watch the store. Guards against followers that poll the store, or miss changes that were not
 * relayed.
 */
static void test_feed_follower_watches_only_if_behind(void)
{
	struct cs_feed_step step;
	uint64_t now = MS(1000);
	struct cs_feed f;

	cs_feed_init(&f, 1, now);
	cs_feed_page_read(&f, 10, false, now);
	cs_feed_set_role(&f, CS_FEED_FOLLOWER, 10, now);
	cs_feed_next(&f, now, &step);
	g_assert_cmpint(step.kind, ==, CS_FEED_PAUSE);
	/* Changes relayed without a gap are applied once. */
	g_assert_true(cs_feed_apply_relayed(&f, 10, 12, now));
	g_assert_false(cs_feed_apply_relayed(&f, 10, 12, now));
	/* Changes relayed with a gap are not applied; the follower watches the store soon after. */
	g_assert_false(cs_feed_apply_relayed(&f, 14, 15, now));
	cs_feed_set_role(&f, CS_FEED_FOLLOWER, 15, now);
	now += MS(300);
	cs_feed_set_role(&f, CS_FEED_FOLLOWER, 15, now);
	cs_feed_next(&f, now, &step);
	g_assert_cmpint(step.kind, ==, CS_FEED_WATCH);
	g_assert_cmpuint(step.after, ==, 12);
	cs_feed_watch_completed(&f, 15, 1, now);
	/* No instance watches any more: the follower watches the store itself. */
	now += MS(300);
	cs_feed_set_role(&f, CS_FEED_FOLLOWER, 0, now);
	cs_feed_next(&f, now, &step);
	g_assert_cmpint(step.kind, ==, CS_FEED_WATCH);
}

/* Number of calls made within duration_us to a store that does not respond. */
static unsigned count_calls_during_outage(enum cs_feed_role role, uint64_t duration_us)
{
	uint64_t now = MS(1000), until = now + duration_us;
	struct cs_feed_step step;
	struct cs_feed f;
	unsigned n = 0;

	cs_feed_init(&f, 1, now);
	cs_feed_page_read(&f, 10, false, now);
	while (now < until) {
		cs_feed_set_role(&f, role, 0, now);
		cs_feed_next(&f, now, &step);
		if (step.kind == CS_FEED_PAUSE) {
			now = step.until_us;
			continue;
		}
		n++;
		now += MS(5);
		cs_feed_call_failed(&f, now);
	}
	return n;
}

/*
 * Guards against all instances of a large fleet calling the store as often as its roots do during
 * an outage, and against followers that then notice late that a root reaches the store again.
 */
static void test_feed_followers_back_off_in_outage(void)
{
	unsigned roots = count_calls_during_outage(CS_FEED_ROOT, MS(20000));
	unsigned followers = count_calls_during_outage(CS_FEED_FOLLOWER, MS(20000));
	struct cs_feed_step step;
	uint64_t now = MS(1000);
	struct cs_feed f;
	int i;

	g_assert_cmpuint(3 * followers, <=, roots);
	cs_feed_init(&f, 1, now);
	cs_feed_page_read(&f, 10, false, now);
	for (i = 0; i < 8; i++) {
		cs_feed_set_role(&f, CS_FEED_FOLLOWER, 0, now);
		cs_feed_call_failed(&f, now);
		now = f.pause_until_us;
	}
	cs_feed_call_failed(&f, now);
	/* A root has a later revision that was not relayed. */
	cs_feed_set_role(&f, CS_FEED_FOLLOWER, 12, now);
	now += MS(300);
	cs_feed_set_role(&f, CS_FEED_FOLLOWER, 12, now);
	cs_feed_next(&f, now, &step);
	g_assert_cmpint(step.kind, ==, CS_FEED_WATCH);
}

/*
 * Guards against treating slots as free that requests of another zone occupy according to its
 * digest.
 */
static void test_digest_counted_once(void)
{
	static struct cs_steer_report r;
	uint64_t now = MS(1000);
	struct cs_steer *a = fixture_create("i1", "a1", now), *b = fixture_create("j1", "b1", now);
	struct cs_steer_request req;
	struct cs_steer_decision d;
	char name[16];
	int i;

	for (i = 0; i < 20; i++) {
		g_snprintf(name, sizeof(name), "m%d", i);
		fixture_add_member(a, name, "c1", now);
	}
	g_assert_true(cs_steer_is_large_fleet(a));
	cs_steer_set_document(a, fixture_document(1, NULL), now);
	cs_steer_set_document(b, fixture_document(1, NULL), now);
	fixture_add_server(a, "s1", "a1", 0, now);
	fixture_add_server(b, "s1", "a1", 0, now);
	fixture_add_member(b, "i1", "a1", now);
	fixture_run(a, &now, MS(1200));
	for (i = 0; i < 4; i++) {
		fixture_init_request(a, &req, 0, now);
		cs_steer_decide(a, &req, now, &d);
		g_assert_cmpint(d.verdict, ==, CS_STEER_SEND);
	}
	memset(&r, 0, sizeof(r));
	cs_copy(r.name, sizeof(r.name), "i1");
	r.boot = 1;
	r.seq = 1;
	r.ready = true;
	cs_steer_build_digest(a, &r, CS_DIGEST_REGION, now);
	g_assert_cmpuint(r.n_rows, ==, 1);
	g_assert_cmpuint(r.n_ready, ==, 1);
	cs_steer_handle_digest(b, &r, now);
	cs_steer_handle_digest(b, &r, now);
	fixture_run(b, &now, now + MS(200));
	fixture_init_request(b, &req, 0, now);
	cs_steer_decide(b, &req, now, &d);
	/* The requests of the other zone occupy all slots of the server. */
	g_assert_cmpint(d.verdict, !=, CS_STEER_SEND);
	cs_steer_dequeue(b, &req);
	cs_steer_destroy(a);
	cs_steer_destroy(b);
}

/* Guards against a late digest that makes a leaving instance appear ready again. */
static void test_late_digest_keeps_member_leaving(void)
{
	struct cs_steer_member self = {.name = "i1", .zone = "a1", .front = "own", .ready = true};
	static struct cs_steer_report r;
	uint64_t now = MS(1000);
	struct cs_steer *s = fixture_create("i1", "a1", now);
	char out[CS_CLIENT_ADDRESSES_MAX][CS_ADDR_MAX + 8];

	fixture_add_member(s, "i2", "a1", now);
	g_assert_cmpuint(cs_steer_client_addresses(s, "a1", "ra", &self, now, out,
						   CS_CLIENT_ADDRESSES_MAX),
			 ==, 2);
	memset(&r, 0, sizeof(r));
	cs_copy(r.name, sizeof(r.name), "i2");
	r.boot = 1;
	r.seq = now + 10;
	r.leaving = true;
	cs_steer_handle_report(s, &r, now);
	r.seq = now + 9;
	r.leaving = false;
	r.ready = r.is_digest = true;
	r.n_ready = 1;
	r.ready_members[0] = (uint32_t)cs_hash_str("i2", 0);
	cs_steer_handle_digest(s, &r, now);
	g_assert_cmpuint(cs_steer_client_addresses(s, "a1", "ra", &self, now, out,
						   CS_CLIENT_ADDRESSES_MAX),
			 ==, 1);
	cs_steer_destroy(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/steer/directory/stay-in-region", test_client_addresses_stay_in_region);
	g_test_add_func("/steer/home/not-left-without-servers", test_home_without_servers_not_left);
	g_test_add_func("/steer/home/unknown-allows-no-region", test_unknown_home_allows_no_region);
	g_test_add_func("/steer/affinity/object-stays-on-two-servers",
			test_object_stays_on_two_servers);
	g_test_add_func("/steer/cold/rate-limited", test_cold_server_rate_limited);
	g_test_add_func("/steer/cold/entry-after-evacuation",
			test_entry_after_evacuation_does_not_replace_probe);
	g_test_add_func("/steer/cold/cut-off-instances", test_cold_server_of_cut_off_instances);
	g_test_add_func("/steer/retry/within-budget", test_retries_within_budget);
	g_test_add_func("/steer/late-probe-does-not-end-exclusion",
			test_late_probe_does_not_end_exclusion);
	g_test_add_func("/steer/evacuation/unused-until-probed",
			test_evacuated_zone_unused_until_probed);
	g_test_add_func("/steer/grace/expired-entry-usable", test_expired_entry_usable_for_grace);
	g_test_add_func("/steer/grace/ended-by-stable-peer", test_stable_peer_ends_grace);
	g_test_add_func("/steer/document/version-must-grow", test_document_version_must_grow);
	g_test_add_func("/steer/client-addresses/omit-unusable",
			test_client_addresses_omit_unusable);
	g_test_add_func("/steer/route/split-follows-weights", test_traffic_split_follows_weights);
	g_test_add_func("/steer/route/longest-prefix-of-host-wins",
			test_longest_prefix_of_host_wins);
	g_test_add_func("/steer/feed/watches-from-first-page", test_feed_watches_from_first_page);
	g_test_add_func("/steer/feed/grace-after-outage", test_feed_grace_after_outage);
	g_test_add_func("/steer/feed/follower-watches-only-if-behind",
			test_feed_follower_watches_only_if_behind);
	g_test_add_func("/steer/feed/followers-back-off-in-outage",
			test_feed_followers_back_off_in_outage);
	g_test_add_func("/steer/digest/counted-once", test_digest_counted_once);
	g_test_add_func("/steer/digest/late-keeps-member-leaving",
			test_late_digest_keeps_member_leaving);
	g_test_add_func("/steer/region/shift-bounded", test_region_shift_bounded);
	g_test_add_func("/steer/feed/notices-store-return-soon",
			test_feed_notices_store_return_soon);
	return g_test_run();
}
