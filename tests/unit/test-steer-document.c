/* Tests of large documents in lib/steer/steer.c. */
#include <string.h>
#include <time.h>

#include "tests/unit/steer-fixture.h"

#define SMALL 2000
#define LARGE 16000
/* With the number of routes, the time may grow by this much more than in proportion. */
#define GROWTH_MAX 4
#define RUNS 3

static struct cs_document *document_with_routes(uint64_t version, unsigned n)
{
	struct cs_document *doc = cs_document_create(n, 1);
	unsigned i;

	doc->version = version;
	cs_copy(doc->services[0].name, CS_NAME_MAX, "s");
	for (i = 0; i < n; i++) {
		struct cs_route *r = &doc->routes[i];

		g_snprintf(r->name, sizeof(r->name), "r-%u", i);
		r->host = cs_xstrdup("h.example");
		r->prefix = g_strdup_printf("/p%u/", i);
		r->max_attempts = 1;
		r->n_parts = 1;
		cs_copy(r->parts[0].service, CS_NAME_MAX, "s");
		r->parts[0].weight = 1;
	}
	cs_document_sort_routes(doc);
	return doc;
}

/* Processor time in which a document of n routes replaces one of the same size; the least of some. */
static double time_to_replace(unsigned n)
{
	struct cs_steer *s = fixture_create("i", "a1", 0);
	double least = 0, took;
	clock_t begin;
	unsigned i;

	cs_steer_set_document(s, document_with_routes(1, n), 0);
	for (i = 0; i < RUNS; i++) {
		struct cs_document *doc = document_with_routes(2 + i, n);

		begin = clock();
		g_assert_true(cs_steer_set_document(s, doc, 0));
		took = (double)(clock() - begin) / CLOCKS_PER_SEC;
		least = i == 0 || took < least ? took : least;
	}
	cs_steer_destroy(s);
	return least;
}

/*
 * Guards against a document that blocks the event loop for seconds on a small instance: the time to
 * replace one grew with the square of its routes.
 */
static void test_replaced_in_linear_time(void)
{
	double small = time_to_replace(SMALL), large = time_to_replace(LARGE);

	g_test_message("%u routes: %.4f s, %u routes: %.4f s", SMALL, small, LARGE, large);
	g_assert_cmpfloat(large, <=, GROWTH_MAX * ((double)LARGE / SMALL) * small);
}

/* Guards against losing the measured service times of routes when the document is replaced. */
static void test_service_times_are_kept(void)
{
	struct cs_steer *s = fixture_create("i", "a1", 0);
	struct cs_steer_request req = {.object = 0};
	struct cs_steer_decision d;
	const struct cs_route *r;
	char used[16];
	unsigned version;

	cs_steer_set_document(s, document_with_routes(1, 50), 0);
	fixture_add_server(s, "s0", "a1", 0, 0);
	r = &cs_steer_current_document(s)->routes[7];
	g_strlcpy(used, r->prefix, sizeof(used));
	cs_steer_request_init(s, &req, r, 2500, 0);
	cs_steer_decide(s, &req, 0, &d);
	g_assert_cmpint(d.verdict, ==, CS_STEER_SEND);
	cs_steer_attempt_ended(s, &req, d.u.send.backend, CS_STEER_OK, MS(77), MS(77));
	for (version = 2; version < 4; version++) {
		/* A longer document, so that the routes are at other places. */
		cs_steer_set_document(s, document_with_routes(version, 50 * version), MS(100));
		r = cs_document_route(cs_steer_current_document(s), "h.example", used);
		memset(&req, 0, sizeof(req));
		cs_steer_request_init(s, &req, r, 2500, MS(100));
		g_assert_cmpfloat(cs_steer_expected_time(s, &req), ==, MS(77));
	}
	cs_steer_destroy(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/steer/document/replaced-in-linear-time", test_replaced_in_linear_time);
	g_test_add_func("/steer/document/service-times-are-kept", test_service_times_are_kept);
	return g_test_run();
}
