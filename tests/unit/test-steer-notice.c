/* Effect of what servers state about themselves in responses (lib/steer/leaving.c). */
#include <limits.h>
#include <string.h>

#include "tests/unit/steer-fixture.h"

static struct cs_steer_request reqs[64];
static struct cs_steer_report report;

/* Two servers of region ra, s1 and s2, at an instance of that region. */
static struct cs_steer *two_servers(uint64_t now)
{
	struct cs_steer *s = fixture_create("i1", "a1", now);

	cs_steer_set_document(s, fixture_document(1, "ra"), now);
	fixture_add_server(s, "s1", "a1", 0, now);
	fixture_add_server(s, "s2", "a2", 0, now);
	cs_steer_tick(s, now + MS(50));
	return s;
}

/* Sends n requests for different objects; returns how many are sent to the server. */
static unsigned count_sent(struct cs_steer *s, const char *server, unsigned n, uint64_t now)
{
	struct cs_steer_decision d;
	unsigned i, sent = 0;

	for (i = 0; i < n; i++) {
		fixture_init_request(s, &reqs[i], i + 1, now);
		cs_steer_decide(s, &reqs[i], now, &d);
		if (d.verdict != CS_STEER_SEND) {
			cs_steer_dequeue(s, &reqs[i]);
			continue;
		}
		sent += strcmp(cs_backend_id(d.u.send.backend), server) == 0;
		cs_steer_attempt_ended(s, &reqs[i], d.u.send.backend, CS_STEER_OK, MS(100), now);
	}
	return sent;
}

/* Sends requests until one is sent to the server; returns the backend. */
static struct cs_backend *backend_of(struct cs_steer *s, const char *server, uint64_t now)
{
	struct cs_steer_decision d;
	unsigned i;

	for (i = 0; i < 200; i++) {
		fixture_init_request(s, &reqs[0], i + 1, now);
		cs_steer_decide(s, &reqs[0], now, &d);
		g_assert_cmpint(d.verdict, ==, CS_STEER_SEND);
		cs_steer_attempt_ended(s, &reqs[0], d.u.send.backend, CS_STEER_OK, MS(100), now);
		if (strcmp(cs_backend_id(d.u.send.backend), server) == 0)
			return d.u.send.backend;
	}
	g_assert_not_reached();
}

/* Guards against a queued request, a further attempt or a hedge that is sent to a leaving server. */
static void test_leaving_gets_no_attempt(void)
{
	uint64_t now = MS(10000);
	struct cs_steer *s = two_servers(now);
	struct cs_backend *b = backend_of(s, "s1", now);
	struct cs_steer_decision d;
	struct cs_steer_request *next;
	unsigned i, waiting;

	/* Fills both servers, so that further requests wait. */
	for (i = 0; i < G_N_ELEMENTS(reqs); i++) {
		fixture_init_request(s, &reqs[i], 0, now);
		cs_steer_decide(s, &reqs[i], now, &d);
		if (d.verdict == CS_STEER_WAIT)
			break;
		g_assert_cmpint(d.verdict, ==, CS_STEER_SEND);
	}
	g_assert_cmpuint(cs_steer_count_waiting(s), ==, 1);
	waiting = i;
	g_assert_true(cs_steer_server_leaving(b, now, now));
	g_assert_null(cs_steer_hedge(s, &reqs[0], now));
	/* A slot of s1 becomes free; the request that waits must not take it. */
	for (i = 0; i < waiting; i++)
		if (reqs[i].tried[0] == reqs[0].tried[0])
			break;
	cs_steer_attempt_ended(s, &reqs[i], b, CS_STEER_SHED, MS(1), now);
	next = cs_steer_next_waiting(s, now, &d);
	if (next != NULL && d.verdict == CS_STEER_SEND)
		g_assert_cmpstr(cs_backend_id(d.u.send.backend), ==, "s2");
	cs_steer_decide(s, &reqs[i], now, &d);
	if (d.verdict == CS_STEER_SEND)
		g_assert_cmpstr(cs_backend_id(d.u.send.backend), ==, "s2");
	cs_steer_destroy(s);
}

/*
 * Guards against an entry that undoes the statement: one that is read late, or that expired in a
 * store outage and was written again long after the server was forgotten.
 */
static void test_entry_does_not_undo_leaving(void)
{
	uint64_t now = MS(10000);
	struct cs_steer *s = two_servers(now);

	g_assert_cmpuint(count_sent(s, "s1", 40, now), >, 0);
	g_assert_true(cs_steer_server_leaving(backend_of(s, "s1", now), now, now));
	g_assert_cmpuint(count_sent(s, "s1", 40, now), ==, 0);
	fixture_add_server(s, "s1", "a1", 0, now);
	g_assert_cmpuint(count_sent(s, "s1", 40, now), ==, 0);
	cs_steer_remove_server(s, "s1", 0, now);
	fixture_run(s, &now, now + MS(60000));
	fixture_add_server(s, "s1", "a1", 0, now);
	g_assert_cmpuint(count_sent(s, "s1", 40, now), ==, 0);
	cs_steer_full_read_begin(s);
	fixture_add_server(s, "s1", "a1", 0, now);
	fixture_add_server(s, "s2", "a2", 0, now);
	cs_steer_full_read_end(s, 0, now);
	g_assert_cmpuint(count_sent(s, "s1", 40, now), ==, 0);
	cs_steer_destroy(s);
}

static void start_process(struct cs_steer *s, int64_t started_ms, uint64_t now)
{
	struct cs_server_entry e = {.port = 80,
				    .slots = 4,
				    .started_ms = started_ms,
				    .addr = "127.0.0.1",
				    .id = "s1",
				    .service = "s",
				    .zone = "a1"};

	cs_steer_update_server(s, &e, now);
}

static void restart_server(struct cs_steer *s, uint64_t now)
{
	start_process(s, 2000, now);
}

/* Guards against a new process that is not used because the former one of its id left. */
static void test_new_process_is_used(void)
{
	uint64_t now = MS(10000);
	struct cs_steer *s = two_servers(now);
	struct cs_backend *b = backend_of(s, "s1", now);

	g_assert_true(cs_steer_server_leaving(b, now, now));
	restart_server(s, now + MS(100));
	g_assert_cmpuint(count_sent(s, "s1", 40, now + MS(200)), >, 0);
	/* A response that the former process sent late. */
	g_assert_false(cs_steer_server_leaving(b, now + MS(50), now + MS(200)));
	g_assert_cmpuint(count_sent(s, "s1", 40, now + MS(200)), >, 0);
	cs_steer_destroy(s);
}

/* Sends requests until one waits; returns how many of them the server has. */
static unsigned count_slots(struct cs_steer *s, const char *server, uint64_t now)
{
	struct cs_steer_decision d;
	unsigned i, sent = 0;

	for (i = 0; i < G_N_ELEMENTS(reqs); i++) {
		fixture_init_request(s, &reqs[i], 0, now);
		cs_steer_decide(s, &reqs[i], now, &d);
		if (d.verdict != CS_STEER_SEND)
			break;
		sent += strcmp(cs_backend_id(d.u.send.backend), server) == 0;
	}
	return sent;
}

/* Guards against a new process that is seen as full by a response that the former one sent late. */
static void test_load_of_former_process_ignored(void)
{
	struct cs_server_load load = {.slots = 1};
	uint64_t now = MS(10000);
	struct cs_steer *s = two_servers(now);
	struct cs_backend *b = backend_of(s, "s1", now);

	restart_server(s, now + MS(100));
	cs_steer_update_load(b, &load, now + MS(50), now + MS(200));
	g_assert_cmpuint(count_slots(s, "s1", now + MS(200)), ==, 4);
	cs_steer_destroy(s);
}

/* Guards against instances that each send a leaving server requests until it tells them too. */
static void test_reported_to_other_instances(void)
{
	uint64_t now = MS(10000);
	struct cs_steer *s = two_servers(now), *other = two_servers(now);

	fixture_add_member(other, "i2", "a1", now);
	g_assert_true(cs_steer_server_leaving(backend_of(s, "s1", now), now, now));
	memset(&report, 0, sizeof(report));
	cs_steer_build_report(s, &report, now);
	cs_copy(report.name, sizeof(report.name), "i2");
	report.boot = 1;
	report.seq = now + 1;
	cs_steer_handle_report(other, &report, now);
	g_assert_cmpuint(count_sent(other, "s1", 40, now), ==, 0);
	g_assert_cmpstr(cs_backend_id(cs_steer_next_reported_leaving(other)), ==, "s1");
	g_assert_null(cs_steer_next_reported_leaving(other));
	/* What another instance reported is not reported again, or it would circulate for ever. */
	memset(&report, 0, sizeof(report));
	cs_steer_build_report(other, &report, now);
	g_assert_cmpuint(report.n_leaving_servers, ==, 0);
	cs_steer_destroy(s);
	cs_steer_destroy(other);
}

#define MANY 200 /* servers; more than fit into one message */
static struct cs_backend *backends[MANY];

/* Adds the servers s0 to s199 and sends requests until each got one, which returns the backend. */
static void add_backends(struct cs_steer *s, uint64_t now)
{
	struct cs_steer_decision d;
	unsigned i, found = 0;
	uint64_t object;
	char id[16];

	memset(backends, 0, sizeof(backends));
	for (i = 0; i < MANY; i++) {
		g_snprintf(id, sizeof(id), "s%u", i);
		fixture_add_server(s, id, "a1", 0, now);
	}
	for (object = 1; found < MANY; object++) {
		g_assert_cmpuint(object, <, 100 * MANY);
		fixture_init_request(s, &reqs[0], object, now);
		cs_steer_decide(s, &reqs[0], now, &d);
		g_assert_cmpint(d.verdict, ==, CS_STEER_SEND);
		i = (unsigned)g_ascii_strtoull(cs_backend_id(d.u.send.backend) + 1, NULL, 10);
		found += backends[i] == NULL;
		backends[i] = d.u.send.backend;
		cs_steer_attempt_ended(s, &reqs[0], d.u.send.backend, CS_STEER_OK, MS(100), now);
	}
}

/*
 * Guards against servers that other instances never learn to be leaving, because many leave at the
 * same time.
 */
static void test_all_leaving_reported(void)
{
	uint64_t now = MS(10000), end = now + MS(5000);
	struct cs_steer *s = fixture_create("i1", "a1", now);
	GHashTable *reported = g_hash_table_new(g_direct_hash, g_direct_equal);
	unsigned i;

	cs_steer_set_document(s, fixture_document(1, NULL), now);
	add_backends(s, now);
	for (i = 0; i < MANY; i++)
		g_assert_true(cs_steer_server_leaving(backends[i], now, now));
	for (; now < end; now += MS(450)) {
		memset(&report, 0, sizeof(report));
		cs_steer_build_report(s, &report, now);
		for (i = 0; i < report.n_leaving_servers; i++)
			g_hash_table_add(reported,
					 GUINT_TO_POINTER(report.leaving_servers[i].server));
	}
	g_assert_cmpuint(g_hash_table_size(reported), ==, MANY);
	g_hash_table_destroy(reported);
	cs_steer_destroy(s);
}

/* Guards against a report on a former process that takes its successor out of use. */
static void test_report_on_former_process_ignored(void)
{
	uint64_t now = MS(10000);
	struct cs_steer *s = two_servers(now), *other = two_servers(now);

	fixture_add_member(other, "i2", "a1", now);
	g_assert_true(cs_steer_server_leaving(backend_of(s, "s1", now), now, now));
	restart_server(other, now);
	memset(&report, 0, sizeof(report));
	cs_steer_build_report(s, &report, now);
	g_assert_cmpuint(report.n_leaving_servers, ==, 1);
	cs_copy(report.name, sizeof(report.name), "i2");
	report.boot = 1;
	report.seq = now + 1;
	cs_steer_handle_report(other, &report, now);
	g_assert_cmpuint(count_sent(other, "s1", 40, now), >, 0);
	cs_steer_destroy(s);
	cs_steer_destroy(other);
}

/* Guards against a limit that is forgotten because the entry lapses in a store outage. */
static void test_limit_outlasts_entry(void)
{
	uint64_t now = MS(10000);
	struct cs_steer *s = two_servers(now);

	g_assert_true(cs_steer_server_limit(s, backend_of(s, "s1", now), 0.5, now, now));
	cs_steer_remove_server(s, "s1", 0, now);
	fixture_run(s, &now, now + MS(5000));
	fixture_add_server(s, "s1", "a1", 0, now);
	g_assert_cmpuint(cs_steer_count_limited(s), ==, 1);
	g_assert_cmpuint(count_sent(s, "s1", 40, now), <=, 1);
	cs_steer_destroy(s);
}

/* Guards against a limit or a pause of a new process that the former one named, told late. */
static void test_limit_of_former_process_ignored(void)
{
	uint64_t now = MS(10000);
	struct cs_steer *s = two_servers(now), *other = two_servers(now);
	struct cs_backend *b = backend_of(other, "s1", now);

	fixture_add_member(other, "i2", "a1", now);
	g_assert_true(cs_steer_server_limit(s, backend_of(s, "s1", now), 0.5, now, now));
	memset(&report, 0, sizeof(report));
	cs_steer_build_report(s, &report, now);
	g_assert_cmpuint(report.n_limits, ==, 1);
	cs_copy(report.name, sizeof(report.name), "i2");
	report.boot = 1;
	report.seq = now + 1;
	restart_server(other, now + MS(100));
	cs_steer_handle_report(other, &report, now + MS(200));
	g_assert_false(cs_steer_server_limit(other, b, 0.5, now + MS(50), now + MS(200)));
	g_assert_false(cs_steer_server_retry_after(b, 3000, now + MS(50), now + MS(200)));
	g_assert_cmpuint(cs_steer_count_limited(other), ==, 0);
	g_assert_cmpuint(count_sent(other, "s1", 40, now + MS(200)), >, 1);
	cs_steer_destroy(s);
	cs_steer_destroy(other);
}

/*
 * Guards against reports that arrive twice, late or after one of the sender's next process, and
 * bring back a limit that has ended.
 */
static void test_late_report_ignored(void)
{
	uint64_t now = MS(10000);
	struct cs_steer *s = two_servers(now), *other = two_servers(now);
	struct cs_backend *b = backend_of(other, "s1", now);

	fixture_add_member(other, "i2", "a1", now);
	g_assert_true(cs_steer_server_limit(s, backend_of(s, "s1", now), 0.5, now, now));
	memset(&report, 0, sizeof(report));
	cs_steer_build_report(s, &report, now);
	cs_copy(report.name, sizeof(report.name), "i2");
	report.boot = 1;
	report.seq = now + 1;
	cs_steer_handle_report(other, &report, now);
	g_assert_cmpuint(cs_steer_count_limited(other), ==, 1);
	cs_steer_server_limit(other, b, 0, now + MS(10), now + MS(20));
	g_assert_cmpuint(cs_steer_count_limited(other), ==, 0);
	cs_steer_handle_report(other, &report, now + MS(100));
	g_assert_cmpuint(cs_steer_count_limited(other), ==, 0);
	report.seq--;
	cs_steer_handle_report(other, &report, now + MS(100));
	g_assert_cmpuint(cs_steer_count_limited(other), ==, 0);
	report.boot = 2;
	report.n_limits = 0;
	cs_steer_handle_report(other, &report, now + MS(200));
	report.boot = 1;
	report.n_limits = 1;
	report.seq = now + 2;
	cs_steer_handle_report(other, &report, now + MS(300));
	g_assert_cmpuint(cs_steer_count_limited(other), ==, 0);
	cs_steer_destroy(s);
	cs_steer_destroy(other);
}

/* The greatest age in a report that is sent after ms without any response from the servers. */
static unsigned oldest_reported_ms(unsigned ms)
{
	uint64_t now = MS(10000);
	struct cs_steer *s = fixture_create("i1", "a1", now);
	unsigned i, age, oldest = 0;

	cs_steer_set_document(s, fixture_document(1, NULL), now);
	add_backends(s, now);
	for (i = 0; i < MANY; i++)
		cs_steer_server_limit(s, backends[i], 0.1, now, now);
	fixture_run(s, &now, now + MS(ms));
	g_assert_cmpuint(cs_steer_count_limited(s), >, 0);
	memset(&report, 0, sizeof(report));
	cs_steer_build_report(s, &report, now);
	for (i = 0; i < report.n_limits; i++) {
		age = report.limits[i].age_ms;
		oldest = age > oldest ? age : oldest;
	}
	cs_steer_destroy(s);
	return oldest;
}

/* Guards against the report of a limit that no response confirmed for long as one just named. */
static void test_age_of_limit_does_not_wrap(void)
{
	g_assert_cmpuint(oldest_reported_ms(60500), >=, 60000);
	g_assert_cmpuint(oldest_reported_ms(66500), >=, 60000);
}

/* Finds 4 objects whose requests are sent to the server while all slots are free. */
static void objects_of(struct cs_steer *s, const char *server, uint64_t objects[4], uint64_t now)
{
	struct cs_steer_decision d;
	unsigned found = 0;
	uint64_t object;

	for (object = 1; found < 4; object++) {
		fixture_init_request(s, &reqs[0], object, now);
		cs_steer_decide(s, &reqs[0], now, &d);
		g_assert_cmpint(d.verdict, ==, CS_STEER_SEND);
		if (strcmp(cs_backend_id(d.u.send.backend), server) == 0)
			objects[found++] = object;
		cs_steer_attempt_ended(s, &reqs[0], d.u.send.backend, CS_STEER_OK, MS(100), now);
	}
}

/* Checks that a request for each object gets one of the 4 slots of the server. */
static void check_sent_to(struct cs_steer *s, const char *server, const uint64_t objects[4],
			  uint64_t now)
{
	struct cs_steer_decision d;
	unsigned i;

	for (i = 0; i < 4; i++) {
		fixture_init_request(s, &reqs[i], objects[i], now);
		cs_steer_decide(s, &reqs[i], now, &d);
		g_assert_cmpint(d.verdict, ==, CS_STEER_SEND);
		g_assert_cmpstr(cs_backend_id(d.u.send.backend), ==, server);
	}
}

/*
 * Guards against limits that other instances never learn, because those of the same servers take
 * all room in the reports.
 */
static void test_all_limits_reported(void)
{
	uint64_t now = MS(10000), end = now + MS(10000);
	struct cs_steer *s = fixture_create("i1", "a1", now);
	GHashTable *reported = g_hash_table_new(g_direct_hash, g_direct_equal);
	unsigned i;

	cs_steer_set_document(s, fixture_document(1, NULL), now);
	add_backends(s, now);
	while (now < end) {
		for (i = 0; i < MANY; i++)
			cs_steer_server_limit(s, backends[i], 5, now, now);
		memset(&report, 0, sizeof(report));
		cs_steer_build_report(s, &report, now);
		for (i = 0; i < report.n_limits; i++)
			g_hash_table_add(reported, GUINT_TO_POINTER(report.limits[i].server));
		fixture_run(s, &now, now + MS(450));
	}
	g_assert_cmpuint(g_hash_table_size(reported), ==, MANY);
	g_hash_table_destroy(reported);
	cs_steer_destroy(s);
}

/*
 * Guards against requests that are refused although a limited server has free slots and takes them,
 * because it does not cache their objects.
 */
static void test_limit_and_slots_used(void)
{
	uint64_t now = MS(10000), objects[4];
	struct cs_steer *s = two_servers(now);

	objects_of(s, "s2", objects, now);
	g_assert_true(cs_steer_server_limit(s, backend_of(s, "s1", now), 1000, now, now));
	g_assert_true(cs_steer_server_limit(s, backend_of(s, "s2", now), 0.1, now, now));
	fixture_run(s, &now, now + MS(500));
	check_sent_to(s, "s1", objects, now);
	cs_steer_destroy(s);
}

/*
 * Guards against requests, attempts, hedges and health checks to a server within the Retry-After of
 * its 503, also if a later response has a shorter one, a back-off ends or its entry is written
 * again.
 */
static void test_retry_after_kept(void)
{
	uint64_t now = MS(10000), end = now + MS(3000);
	struct cs_steer *s = two_servers(now);
	struct cs_backend *b = backend_of(s, "s1", now);
	struct cs_steer_decision d;

	g_assert_true(cs_steer_server_retry_after(b, 3000, now, now));
	g_assert_false(cs_steer_server_retry_after(b, 100, now, now));
	fixture_init_request(s, &reqs[1], 0, now);
	cs_steer_decide(s, &reqs[1], now, &d);
	g_assert_cmpstr(cs_backend_id(d.u.send.backend), ==, "s2");
	g_assert_null(cs_steer_hedge(s, &reqs[1], now));
	cs_steer_attempt_ended(s, &reqs[1], d.u.send.backend, CS_STEER_SHED, MS(1), now);
	cs_steer_decide(s, &reqs[1], now, &d);
	g_assert_cmpint(d.verdict, ==, CS_STEER_REFUSE);
	cs_steer_remove_server(s, "s1", 0, now);
	fixture_run(s, &now, now + MS(2000));
	fixture_add_server(s, "s1", "a1", 0, now);
	/* The end of an evacuation requires a health check. */
	cs_steer_set_evacuated(s, "a1", true, now);
	cs_steer_set_evacuated(s, "a1", false, now);
	fixture_run(s, &now, end - MS(50));
	g_assert_null(cs_steer_next_probe(s, now));
	g_assert_cmpuint(count_sent(s, "s1", 40, now), ==, 0);
	fixture_run(s, &now, end + MS(50));
	g_assert_true(cs_steer_next_probe(s, now) == b);
	cs_steer_probe_done(s, b, true, 0, now);
	g_assert_cmpuint(count_sent(s, "s1", 40, now), >, 0);
	cs_steer_destroy(s);
}

/*
 * Guards against requests within the Retry-After of a server that has started again and whose first
 * entry is read after that response; that of the former process ends with it.
 */
static void test_retry_after_before_first_entry(void)
{
	uint64_t now = MS(10000);
	struct cs_steer *s = two_servers(now);
	struct cs_backend *b = backend_of(s, "s1", now);
	struct cs_steer_decision d;

	/* The former process states one and ends. */
	g_assert_true(cs_steer_server_retry_after(b, 60000, now, now));
	restart_server(s, now + MS(100));
	g_assert_cmpuint(count_sent(s, "s1", 40, now + MS(100)), >, 0);
	/* Not even a connection can be made to it; then its next process answers. */
	now += MS(1000);
	do {
		fixture_init_request(s, &reqs[1], 0, now);
		cs_steer_decide(s, &reqs[1], now, &d);
		g_assert_cmpint(d.verdict, ==, CS_STEER_SEND);
		cs_steer_attempt_ended(s, &reqs[1], d.u.send.backend,
				       d.u.send.backend == b ? CS_STEER_UNSENT : CS_STEER_OK, MS(1),
				       now);
	} while (d.u.send.backend != b);
	now += MS(400);
	g_assert_true(cs_steer_server_retry_after(b, 6000, now - MS(5), now));
	start_process(s, 3000, now + MS(1000));
	g_assert_cmpuint(count_sent(s, "s1", 40, now + MS(1000)), ==, 0);
	g_assert_cmpuint(count_sent(s, "s1", 40, now + MS(6100)), >, 0);
	cs_steer_destroy(s);
}

/*
 * Guards against requests that wait or are refused while slots are free, because the server that
 * caches their objects takes none for a time.
 */
static void test_retry_after_and_slots_used(void)
{
	uint64_t now = MS(10000), objects[4];
	struct cs_steer *s = two_servers(now);

	objects_of(s, "s1", objects, now);
	g_assert_true(cs_steer_server_retry_after(backend_of(s, "s1", now), 3000, now, now));
	check_sent_to(s, "s2", objects, now);
	cs_steer_destroy(s);
}

/* Guards against a request that waits for a server that takes none before the request expires. */
static void test_retry_after_refuses_at_once(void)
{
	uint64_t now = MS(10000);
	struct cs_steer *s = two_servers(now);
	struct cs_steer_decision d;

	g_assert_true(cs_steer_server_retry_after(backend_of(s, "s1", now), 3000, now, now));
	g_assert_true(cs_steer_server_retry_after(backend_of(s, "s2", now), 3000, now, now));
	fixture_init_request(s, &reqs[0], 0, now);
	cs_steer_decide(s, &reqs[0], now, &d);
	g_assert_cmpint(d.verdict, ==, CS_STEER_REFUSE);
	cs_steer_destroy(s);
}

/* Returns the Retry-After of a refused request, in ms. */
static unsigned refused_for_ms(struct cs_steer *s, uint64_t now)
{
	struct cs_steer_decision d;

	fixture_init_request(s, &reqs[0], 0, now);
	cs_steer_decide(s, &reqs[0], now, &d);
	g_assert_cmpint(d.verdict, ==, CS_STEER_REFUSE);
	return d.u.refuse.retry_after_ms;
}

/*
 * Guards against clients that are asked to return while all servers still refuse them, and against
 * clients that all return at once.
 */
static void test_clients_return_after_retry_after(void)
{
	uint64_t now = MS(10000);
	struct cs_steer *s = two_servers(now);
	unsigned i, ms, least = UINT_MAX, most = 0;

	g_assert_true(cs_steer_server_retry_after(backend_of(s, "s1", now), 3000, now, now));
	g_assert_true(cs_steer_server_retry_after(backend_of(s, "s2", now), 250, now, now));
	for (i = 0; i < 100; i++) {
		ms = refused_for_ms(s, now);
		g_assert_cmpuint(ms, >=, 250);
		/* About a third of the 1200 ms that remain, which clients wait at most. */
		g_assert_cmpuint(ms, <=, 450);
		least = ms < least ? ms : least;
		most = ms > most ? ms : most;
	}
	g_assert_cmpuint(most - least, >=, 60);
	cs_steer_destroy(s);
}

/*
 * Guards against requests that are sent to a server that was chosen before it left, asked for a
 * pause, became cold or named a limit, while they were still unsent.
 */
static void test_unsent_request_is_withheld(void)
{
	enum { DRAINS, GONE, EVACUATED, LEAVES, PAUSES, COLD, LIMITED, CASES };
	struct cs_server_entry e = {
		.port = 80, .slots = 4, .started_ms = 1000, .addr = "127.0.0.1", .draining = true};
	struct cs_steer_decision d;
	uint64_t now = MS(10000);
	struct cs_backend *b;
	struct cs_steer *s;
	unsigned i;

	for (i = 0; i < CASES; i++) {
		s = two_servers(now);
		fixture_init_request(s, &reqs[0], 1, now);
		cs_steer_decide(s, &reqs[0], now, &d);
		g_assert_cmpint(d.verdict, ==, CS_STEER_SEND);
		b = d.u.send.backend;
		g_assert_true(cs_steer_may_send(s, b, now, now + MS(5)));
		cs_copy(e.id, sizeof(e.id), cs_backend_id(b));
		cs_copy(e.zone, sizeof(e.zone), cs_backend_zone(b));
		cs_copy(e.service, sizeof(e.service), "s");
		if (i == DRAINS)
			cs_steer_update_server(s, &e, now + MS(5));
		else if (i == GONE)
			cs_steer_remove_server(s, cs_backend_id(b), 0, now + MS(5));
		else if (i == EVACUATED)
			cs_steer_set_evacuated(s, cs_backend_zone(b), true, now + MS(5));
		else if (i == LEAVES)
			cs_steer_server_leaving(b, now, now + MS(5));
		else if (i == PAUSES)
			cs_steer_server_retry_after(b, 2000, now, now + MS(5));
		else if (i == COLD)
			cs_steer_mark_cold(s, b, 3000, CS_COLD_ENTRY, now + MS(5));
		else
			cs_steer_server_limit(s, b, 5, now, now + MS(5));
		g_assert_false(cs_steer_may_send(s, b, now, now + MS(6)));
		cs_steer_attempt_ended(s, &reqs[0], b, CS_STEER_WITHHELD, MS(6), now + MS(6));
		g_assert_cmpuint(reqs[0].n_sent, ==, 0);
		cs_steer_decide(s, &reqs[0], now + MS(6), &d);
		g_assert_cmpint(d.verdict, ==, CS_STEER_SEND);
		g_assert_true(d.u.send.backend != b);
		cs_steer_attempt_ended(s, &reqs[0], d.u.send.backend, CS_STEER_OK, MS(100),
				       now + MS(106));
		cs_steer_destroy(s);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/steer/load-of-former-process-ignored",
			test_load_of_former_process_ignored);
	g_test_add_func("/steer/limit/of-former-process-ignored",
			test_limit_of_former_process_ignored);
	g_test_add_func("/steer/limit/late-report-ignored", test_late_report_ignored);
	g_test_add_func("/steer/limit/age-does-not-wrap", test_age_of_limit_does_not_wrap);
	g_test_add_func("/steer/leaving/unsent-request-is-withheld",
			test_unsent_request_is_withheld);
	g_test_add_func("/steer/leaving/gets-no-attempt", test_leaving_gets_no_attempt);
	g_test_add_func("/steer/leaving/entry-does-not-undo", test_entry_does_not_undo_leaving);
	g_test_add_func("/steer/leaving/new-process-is-used", test_new_process_is_used);
	g_test_add_func("/steer/leaving/reported-to-others", test_reported_to_other_instances);
	g_test_add_func("/steer/leaving/all-reported", test_all_leaving_reported);
	g_test_add_func("/steer/leaving/former-process-ignored",
			test_report_on_former_process_ignored);
	g_test_add_func("/steer/limit/outlasts-entry", test_limit_outlasts_entry);
	g_test_add_func("/steer/limit/all-reported", test_all_limits_reported);
	g_test_add_func("/steer/limit/slots-used", test_limit_and_slots_used);
	g_test_add_func("/steer/retry-after/kept", test_retry_after_kept);
	g_test_add_func("/steer/retry-after/before-first-entry",
			test_retry_after_before_first_entry);
	g_test_add_func("/steer/retry-after/slots-used", test_retry_after_and_slots_used);
	g_test_add_func("/steer/retry-after/refuses-at-once", test_retry_after_refuses_at_once);
	g_test_add_func("/steer/retry-after/clients-return-later",
			test_clients_return_after_retry_after);
	return g_test_run();
}
