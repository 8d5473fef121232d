/* Decisions of lib/steer: homes, objects, cold servers, budgets, evacuations, directory. */
#include <string.h>

#include "steer/feed.h"
#include "tests/unit/steer-fixture.h"

/* Decides once and returns the server's id, or NULL if the request is not sent. */
static const char *decide(struct cs_steer *s, struct cs_steer_request *ask, uint64_t now)
{
	struct cs_steer_decision d;

	cs_steer_decide(s, ask, now, &d);
	if (d.verdict == CS_STEER_SEND)
		return cs_backend_id(d.u.send.backend);
	cs_steer_dequeue(s, ask);
	return NULL;
}

/* Guards against a request that leaves its home regions when these have no server at all. */
static void test_home_without_servers(void)
{
	uint64_t now = MS(1000);
	struct cs_steer *s = fixture_create("i1", "a1", now);
	struct cs_steer_request ask;
	int i;

	cs_steer_set_document(s, fixture_document(1, "rb"), now);
	fixture_server(s, "s1", "a1", 0, now);
	fixture_server(s, "s2", "b1", 0, now);
	fixture_run(s, &now, MS(3000));
	for (i = 0; i < 50; i++) {
		fixture_ask(s, &ask, i % 2 ? (uint64_t)i << 40 : 0, now);
		g_assert_cmpstr(decide(s, &ask, now), !=, "s1");
	}
	cs_steer_remove_server(s, "s2", 0, now);
	fixture_run(s, &now, MS(5000));
	for (i = 0; i < 50; i++) {
		fixture_ask(s, &ask, i % 2 ? (uint64_t)i << 40 : 0, now);
		g_assert_null(decide(s, &ask, now));
	}
	cs_steer_destroy(s);
}

/* Guards against homes that name no region of the deployment being taken for none. */
static void test_home_unknown(void)
{
	uint64_t now = MS(1000);
	struct cs_steer *s = fixture_create("i1", "a1", now);
	struct cs_steer_request ask;

	cs_steer_set_document(s, fixture_document(1, "elsewhere"), now);
	fixture_server(s, "s1", "a1", 0, now);
	fixture_run(s, &now, MS(2000));
	fixture_ask(s, &ask, 0, now);
	g_assert_null(decide(s, &ask, now));
	cs_steer_destroy(s);
}

/* Guards against an object that wanders over many servers, whose caches then hold nothing. */
static void test_object_stays(void)
{
	uint64_t now = MS(1000);
	struct cs_steer *s = fixture_create("i1", "a1", now);
	char seen[8][CS_NAME_MAX];
	unsigned n = 0, k;
	struct cs_steer_request ask;
	struct cs_steer_decision d;
	char id[16];
	int i;

	cs_steer_set_document(s, fixture_document(1, NULL), now);
	for (i = 0; i < 8; i++) {
		g_snprintf(id, sizeof(id), "s%d", i);
		fixture_server(s, id, i % 2 ? "a1" : "a2", 0, now);
	}
	fixture_run(s, &now, MS(3000));
	for (i = 0; i < 200; i++, now += MS(5)) {
		fixture_ask(s, &ask, 0x1234567890abcdefULL, now);
		cs_steer_decide(s, &ask, now, &d);
		g_assert_cmpint(d.verdict, ==, CS_STEER_SEND);
		for (k = 0; k < n; k++)
			if (strcmp(seen[k], cs_backend_id(d.u.send.backend)) == 0)
				break;
		if (k == n)
			cs_copy(seen[n++], CS_NAME_MAX, cs_backend_id(d.u.send.backend));
		cs_steer_attempt_ended(s, &ask, d.u.send.backend, CS_STEER_OK, MS(4), now + MS(4));
	}
	g_assert_cmpuint(n, <=, 2);
	cs_steer_destroy(s);
}

/* Requests of one second, one every 5 ms, that are sent. */
static unsigned sent_in_a_second(struct cs_steer *s, uint64_t *now)
{
	uint64_t start = *now;
	struct cs_steer_decision d;
	struct cs_steer_request ask;
	unsigned sent = 0;

	for (; *now < start + MS(1000); *now += MS(5)) {
		fixture_ask(s, &ask, 0, *now);
		cs_steer_decide(s, &ask, *now, &d);
		if (d.verdict != CS_STEER_SEND) {
			cs_steer_dequeue(s, &ask);
			continue;
		}
		sent++;
		cs_steer_attempt_ended(s, &ask, d.u.send.backend, CS_STEER_OK, MS(1), *now);
	}
	return sent;
}

/* Guards against more requests in a second than a cold server bears, and against none at all. */
static void test_cold_rate(void)
{
	uint64_t now = MS(1000);
	struct cs_steer *s = fixture_create("i1", "a1", now);
	unsigned sent, i;

	cs_steer_set_document(s, fixture_document(1, NULL), now);
	fixture_server(s, "s1", "a1", 60000, now);
	fixture_run(s, &now, MS(5000));
	sent = sent_in_a_second(s, &now);
	g_assert_cmpuint(sent, >, 0);
	g_assert_cmpuint(sent, <=, 15);
	/* An instance that hears none of nine others takes only its part. */
	for (i = 0; i < 9; i++) {
		char name[16];

		g_snprintf(name, sizeof(name), "p%u", i);
		fixture_member(s, name, "a1", now);
	}
	fixture_run(s, &now, now + MS(10000));
	sent = sent_in_a_second(s, &now);
	g_assert_cmpuint(sent, <=, 2);
	cs_steer_destroy(s);
}

/* Guards against repeated sends beyond the budget of all instances. */
static void test_repeat_budget(void)
{
	uint64_t now = MS(20000);
	struct cs_steer *s = fixture_create("i1", "a1", now);
	struct cs_steer_request ask;
	struct cs_steer_decision d;
	unsigned repeats = 0;
	char id[16];
	int i;

	cs_steer_set_document(s, fixture_document(1, NULL), now);
	for (i = 0; i < 4; i++) {
		g_snprintf(id, sizeof(id), "s%d", i);
		fixture_server(s, id, "a1", 0, now);
	}
	fixture_run(s, &now, MS(21000));
	for (i = 0; i < 500; i++, now += MS(2)) {
		fixture_ask(s, &ask, 0, now);
		cs_steer_decide(s, &ask, now, &d);
		g_assert_cmpint(d.verdict, ==, CS_STEER_SEND);
		cs_steer_attempt_ended(s, &ask, d.u.send.backend, CS_STEER_ERROR, MS(1), now);
		cs_steer_decide(s, &ask, now, &d);
		if (d.verdict == CS_STEER_SEND) {
			repeats++;
			cs_steer_attempt_ended(s, &ask, d.u.send.backend, CS_STEER_OK, MS(1), now);
		} else {
			cs_steer_dequeue(s, &ask);
		}
	}
	g_assert_cmpuint(repeats, >, 50);
	g_assert_cmpuint(repeats, <=, 500 / 5 + 60);
	cs_steer_destroy(s);
}

/* Guards against sends to an evacuated zone, and to its servers, often cold, right afterwards. */
static void test_evacuation(void)
{
	uint64_t now = MS(1000);
	struct cs_steer *s = fixture_create("i1", "a1", now);
	struct cs_steer_request ask;
	struct cs_backend *b;

	cs_steer_set_document(s, fixture_document(1, NULL), now);
	fixture_server(s, "s1", "a1", 0, now);
	fixture_run(s, &now, MS(2000));
	cs_steer_set_evacuated(s, "a1", true, now);
	fixture_ask(s, &ask, 0, now);
	g_assert_null(decide(s, &ask, now));
	g_assert_null(cs_steer_next_probe(s, now));
	cs_steer_set_evacuated(s, "a1", false, now);
	fixture_ask(s, &ask, 0, now);
	g_assert_null(decide(s, &ask, now));
	b = cs_steer_next_probe(s, now);
	g_assert_nonnull(b);
	cs_steer_probe_done(s, b, true, 0, now);
	fixture_ask(s, &ask, 0, now);
	g_assert_cmpstr(decide(s, &ask, now), ==, "s1");
	cs_steer_destroy(s);
}

/* Guards against the end of a server whose entry lapsed only because the store was away. */
static void test_lapsed_entry(void)
{
	uint64_t now = MS(1000);
	struct cs_steer *s = fixture_create("i1", "a1", now);
	struct cs_steer_request ask;

	cs_steer_set_document(s, fixture_document(1, NULL), now);
	fixture_server(s, "s1", "a1", 0, now);
	fixture_server(s, "s2", "a2", 0, now);
	cs_steer_full_read_begin(s);
	fixture_server(s, "s2", "a2", 0, now);
	cs_steer_full_read_end(s, MS(2000), now);
	cs_steer_remove_server(s, "s2", 0, now);
	fixture_run(s, &now, MS(2900));
	fixture_ask(s, &ask, 0, now);
	g_assert_cmpstr(decide(s, &ask, now), ==, "s1");
	fixture_run(s, &now, MS(3100));
	fixture_ask(s, &ask, 0, now);
	g_assert_null(decide(s, &ask, now));
	cs_steer_destroy(s);
}

/* Requests of one 2 s window at a rate of 100/s; returns the part that ran in the own region. */
static double own_part(struct cs_steer *s, uint64_t *now, bool sticky)
{
	unsigned own = 0, all = 0, i;
	struct cs_steer_decision d;
	struct cs_steer_request ask;

	for (i = 0; i < 200; i++, *now += MS(10)) {
		if (i % 5 == 0)
			cs_steer_tick(s, *now);
		fixture_ask(s, &ask, sticky ? cs_hash(&i, sizeof(i), 0) : 0, *now);
		cs_steer_decide(s, &ask, *now, &d);
		if (d.verdict != CS_STEER_SEND) {
			cs_steer_dequeue(s, &ask);
			continue;
		}
		all++;
		own += cs_backend_zone(d.u.send.backend)[0] == 'a';
		cs_steer_attempt_ended(s, &ask, d.u.send.backend, CS_STEER_OK, MS(100), *now);
	}
	return all > 0 ? (double)own / all : 0;
}

/*
 * Guards against requests of a region that change region faster than the bound while demand
 * elsewhere rises and falls. Load pattern: 10 busy slots here of 8 of this region, waves in the
 * others.
 */
static void test_region_shift(void)
{
	static struct cs_steer_report r = {.name = "j1", .boot = 1, .ready = true, .n_services = 1};
	uint64_t now = MS(1000);
	struct cs_steer *s = fixture_create("i1", "a1", now);
	double part, before = -1, least = 1, most = 0;
	char id[16];
	int i, sticky;

	cs_steer_set_document(s, fixture_document(1, NULL), now);
	for (i = 0; i < 12; i++) {
		g_snprintf(id, sizeof(id), "s%d", i);
		fixture_server(s, id, i < 2 ? "a1" : i < 7 ? "b1" : "c1", 0, now);
	}
	fixture_member(s, "j1", "b1", now);
	fixture_run(s, &now, MS(1500));
	r.services[0].service = (uint32_t)cs_hash_str("s", 0);
	for (sticky = 0; sticky < 2; sticky++)
		for (i = 0; i < 20; i++) {
			r.seq = now;
			r.services[0].busy_slots = i % 10 < 5 ? 0 : 60;
			cs_steer_handle_report(s, &r, now);
			part = own_part(s, &now, sticky);
			if (before >= 0)
				g_assert_cmpfloat(part - before < 0 ? before - part : part - before,
						  <=, 0.15);
			before = part;
			least = part < least ? part : least;
			most = part > most ? part : most;
			if (i == 19)
				before = -1;
		}
	/* It does move. */
	g_assert_cmpfloat(most - least, >, 0.02);
	cs_steer_destroy(s);
}

/* Guards against servers kept for a store that was never away, only out of this instance's reach. */
static void test_lapsed_beside_steady_peer(void)
{
	struct cs_steer_report r = {.name = "i2", .boot = 1, .ready = true, .store_stable = true};
	uint64_t now = MS(1000);
	struct cs_steer *s = fixture_create("i1", "a1", now);
	struct cs_steer_request ask;

	cs_steer_set_document(s, fixture_document(1, NULL), now);
	fixture_server(s, "s1", "a1", 0, now);
	fixture_member(s, "i2", "a2", now);
	g_assert_false(cs_steer_store_stable(s, now));
	cs_steer_remove_server(s, "s1", MS(2000), now);
	fixture_run(s, &now, MS(1100));
	fixture_ask(s, &ask, 0, now);
	g_assert_cmpstr(decide(s, &ask, now), ==, "s1");
	r.seq = now;
	cs_steer_handle_report(s, &r, now);
	fixture_run(s, &now, MS(1200));
	fixture_ask(s, &ask, 0, now);
	g_assert_null(decide(s, &ask, now));
	cs_steer_destroy(s);
}

/* Guards against a document of a lower version taking the place of a newer one. */
static void test_version_grows(void)
{
	uint64_t now = MS(1000);
	struct cs_steer *s = fixture_create("i1", "a1", now);

	g_assert_true(cs_steer_set_document(s, fixture_document(5, NULL), now));
	g_assert_false(cs_steer_set_document(s, fixture_document(4, NULL), now));
	g_assert_false(cs_steer_set_document(s, fixture_document(5, NULL), now));
	g_assert_cmpuint(cs_steer_current_document(s)->version, ==, 5);
	cs_steer_destroy(s);
}

/* Guards against answers that name an instance that is silent, leaving or not ready. */
static void test_directory(void)
{
	struct cs_steer_member self = {.name = "i1", .zone = "a1", .front = "self", .ready = true};
	uint64_t now = MS(1000);
	struct cs_steer *s = fixture_create("i1", "a1", now);
	char out[CS_CALLER_ADDRESSES_MAX][CS_ADDR_MAX + 8];

	fixture_member(s, "i2", "a1", now);
	fixture_member(s, "i3", "b1", now);
	g_assert_cmpuint(cs_steer_caller_addresses(s, "a1", "ra", &self, now, out,
						   CS_CALLER_ADDRESSES_MAX),
			 ==, 2);
	g_assert_cmpuint(cs_steer_caller_addresses(s, "b1", "rb", &self, now, out,
						   CS_CALLER_ADDRESSES_MAX),
			 >=, 1);
	g_assert_cmpstr(out[0], ==, "i3");
	now += MS(3500);
	g_assert_cmpuint(cs_steer_caller_addresses(s, "a1", "ra", &self, now, out,
						   CS_CALLER_ADDRESSES_MAX),
			 ==, 1);
	g_assert_cmpstr(out[0], ==, "self");
	self.leaving = true;
	g_assert_cmpuint(cs_steer_caller_addresses(s, "a1", "ra", &self, now, out,
						   CS_CALLER_ADDRESSES_MAX),
			 ==, 0);
	cs_steer_destroy(s);
}

/* Guards against a split that is off its weights after a few hundred requests. */
static void test_split(void)
{
	struct cs_document *doc = fixture_document(1, NULL);
	struct cs_route *r = &doc->routes[0];
	uint64_t now = MS(1000);
	struct cs_steer *s = fixture_create("i1", "a1", now);
	struct cs_steer_request ask;
	int i, second = 0;

	r->n_parts = 2;
	r->parts[0].weight = 90;
	cs_copy(r->parts[1].service, CS_NAME_MAX, "t");
	r->parts[1].weight = 10;
	cs_steer_set_document(s, doc, now);
	for (i = 0; i < 200; i++) {
		fixture_ask(s, &ask, 0, now);
		second += strcmp(ask.service, "t") == 0;
	}
	g_assert_cmpint(second, >=, 19);
	g_assert_cmpint(second, <=, 21);
	cs_steer_destroy(s);
}

/* Guards against a route chosen by a shorter prefix, or of another host. */
static void test_routes(void)
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

/* Guards against changes between two pages of a reading being missed. */
static void test_feed_pages(void)
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

/* Guards against servers dropped at the store's return, and against keeping them for long. */
static void test_feed_away(void)
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
	cs_feed_watch_answered(&f, 20, 3, now);
	g_assert_false(cs_feed_is_unavailable(&f));
	g_assert_cmpuint(cs_feed_grace_us(&f, now), >=, MS(1900));
	g_assert_cmpuint(cs_feed_grace_us(&f, now + MS(2100)), ==, 0);
}

/* Guards against the store's return being seen only seconds later. */
static void test_feed_returns_soon(void)
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
	/* The call that is out when the store returns, and the pause after it. */
	g_assert_cmpuint(longest, <=, MS(1000));
}

/* Guards against followers that call the store all the time, or miss what was not handed on. */
static void test_feed_follower(void)
{
	struct cs_feed_step step;
	uint64_t now = MS(1000);
	struct cs_feed f;

	cs_feed_init(&f, 1, now);
	cs_feed_page_read(&f, 10, false, now);
	cs_feed_set_role(&f, CS_FEED_FOLLOWER, 10, now);
	cs_feed_next(&f, now, &step);
	g_assert_cmpint(step.kind, ==, CS_FEED_PAUSE);
	/* Handed on without a gap: taken once. */
	g_assert_true(cs_feed_apply_relayed(&f, 10, 12, now));
	g_assert_false(cs_feed_apply_relayed(&f, 10, 12, now));
	/* With a gap: not taken, and the store is asked soon. */
	g_assert_false(cs_feed_apply_relayed(&f, 14, 15, now));
	cs_feed_set_role(&f, CS_FEED_FOLLOWER, 15, now);
	now += MS(300);
	cs_feed_set_role(&f, CS_FEED_FOLLOWER, 15, now);
	cs_feed_next(&f, now, &step);
	g_assert_cmpint(step.kind, ==, CS_FEED_WATCH);
	g_assert_cmpuint(step.after, ==, 12);
	cs_feed_watch_answered(&f, 15, 1, now);
	/* Nobody watches any more: it does itself. */
	now += MS(300);
	cs_feed_set_role(&f, CS_FEED_FOLLOWER, 0, now);
	cs_feed_next(&f, now, &step);
	g_assert_cmpint(step.kind, ==, CS_FEED_WATCH);
}

/* Calls to a store that does not answer, in a time. */
static unsigned calls_while_away(enum cs_feed_role role, uint64_t for_us)
{
	uint64_t now = MS(1000), until = now + for_us;
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
 * Guards against an outage in which all instances of a large fleet call the store as often as its
 * roots do, and against followers that then notice late that a root reaches it again.
 */
static void test_feed_outage(void)
{
	unsigned roots = calls_while_away(CS_FEED_ROOT, MS(20000));
	unsigned followers = calls_while_away(CS_FEED_FOLLOWER, MS(20000));
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
	/* A root knows a later revision, and it was not handed on. */
	cs_feed_set_role(&f, CS_FEED_FOLLOWER, 12, now);
	now += MS(300);
	cs_feed_set_role(&f, CS_FEED_FOLLOWER, 12, now);
	cs_feed_next(&f, now, &step);
	g_assert_cmpint(step.kind, ==, CS_FEED_WATCH);
}

/* Guards against two zones' figures being lost or counted twice when a zone sends its digest. */
static void test_digest(void)
{
	static struct cs_steer_report r;
	uint64_t now = MS(1000);
	struct cs_steer *a = fixture_create("i1", "a1", now), *b = fixture_create("j1", "b1", now);
	struct cs_steer_request ask;
	struct cs_steer_decision d;
	char name[16];
	int i;

	for (i = 0; i < 20; i++) {
		g_snprintf(name, sizeof(name), "m%d", i);
		fixture_member(a, name, "c1", now);
	}
	g_assert_true(cs_steer_is_large_fleet(a));
	cs_steer_set_document(a, fixture_document(1, NULL), now);
	cs_steer_set_document(b, fixture_document(1, NULL), now);
	fixture_server(a, "s1", "a1", 0, now);
	fixture_server(b, "s1", "a1", 0, now);
	fixture_member(b, "i1", "a1", now);
	fixture_run(a, &now, MS(1200));
	for (i = 0; i < 4; i++) {
		fixture_ask(a, &ask, 0, now);
		cs_steer_decide(a, &ask, now, &d);
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
	fixture_ask(b, &ask, 0, now);
	cs_steer_decide(b, &ask, now, &d);
	/* The other zone's requests fill the server's slots. */
	g_assert_cmpint(d.verdict, !=, CS_STEER_SEND);
	cs_steer_dequeue(b, &ask);
	cs_steer_destroy(a);
	cs_steer_destroy(b);
}

/* Guards against a digest that was handed on late and makes a leaving instance look ready again. */
static void test_late_digest(void)
{
	struct cs_steer_member self = {.name = "i1", .zone = "a1", .front = "own", .ready = true};
	static struct cs_steer_report r;
	uint64_t now = MS(1000);
	struct cs_steer *s = fixture_create("i1", "a1", now);
	char out[CS_CALLER_ADDRESSES_MAX][CS_ADDR_MAX + 8];

	fixture_member(s, "i2", "a1", now);
	g_assert_cmpuint(cs_steer_caller_addresses(s, "a1", "ra", &self, now, out,
						   CS_CALLER_ADDRESSES_MAX),
			 ==, 2);
	memset(&r, 0, sizeof(r));
	cs_copy(r.name, sizeof(r.name), "i2");
	r.boot = 1;
	r.seq = now + 10;
	r.leaving = true;
	cs_steer_handle_report(s, &r, now);
	r.seq = now + 9;
	r.leaving = false;
	r.ready = r.digest = true;
	r.n_ready = 1;
	r.ready_members[0] = (uint32_t)cs_hash_str("i2", 0);
	cs_steer_handle_digest(s, &r, now);
	g_assert_cmpuint(cs_steer_caller_addresses(s, "a1", "ra", &self, now, out,
						   CS_CALLER_ADDRESSES_MAX),
			 ==, 1);
	cs_steer_destroy(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/steer/home/without-servers", test_home_without_servers);
	g_test_add_func("/steer/home/unknown", test_home_unknown);
	g_test_add_func("/steer/object/stays", test_object_stays);
	g_test_add_func("/steer/cold/rate", test_cold_rate);
	g_test_add_func("/steer/repeat/budget", test_repeat_budget);
	g_test_add_func("/steer/evacuation", test_evacuation);
	g_test_add_func("/steer/lapsed-entry", test_lapsed_entry);
	g_test_add_func("/steer/lapsed-beside-steady-peer", test_lapsed_beside_steady_peer);
	g_test_add_func("/steer/version-grows", test_version_grows);
	g_test_add_func("/steer/directory", test_directory);
	g_test_add_func("/steer/split", test_split);
	g_test_add_func("/steer/routes", test_routes);
	g_test_add_func("/steer/feed/pages", test_feed_pages);
	g_test_add_func("/steer/feed/away", test_feed_away);
	g_test_add_func("/steer/feed/follower", test_feed_follower);
	g_test_add_func("/steer/feed/outage", test_feed_outage);
	g_test_add_func("/steer/digest", test_digest);
	g_test_add_func("/steer/digest/late", test_late_digest);
	g_test_add_func("/steer/region/shift", test_region_shift);
	g_test_add_func("/steer/feed/returns-soon", test_feed_returns_soon);
	return g_test_run();
}
