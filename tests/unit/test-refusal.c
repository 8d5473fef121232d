/* Refusals of servers (src/node/refusal.c): which responses state that a request did not run. */
#include <glib.h>

#include "src/node/refusal.h"

#define UNNAMED REFUSAL_SERVER_UNNAMED
#define EXPECTED REFUSAL_SERVER_EXPECTED
#define OTHER REFUSAL_SERVER_OTHER

struct row {
	struct refusal_marks marks;
	enum refusal want;
};

/* status, not_executed, signature, own, request_has_id, server */
static const struct row rows[] = {
	/* The refusals of the rules. */
	{{503, true, false, true, true, UNNAMED}, REFUSAL_NOT_EXECUTED},
	{{503, true, false, true, true, EXPECTED}, REFUSAL_NOT_EXECUTED},
	{{429, true, false, true, true, UNNAMED}, REFUSAL_NOT_EXECUTED},
	{{429, true, false, true, false, EXPECTED}, REFUSAL_NOT_EXECUTED},
	{{421, true, false, true, true, UNNAMED}, REFUSAL_MISDIRECTED},
	{{421, true, false, true, true, OTHER}, REFUSAL_MISDIRECTED},
	{{400, true, false, true, false, UNNAMED}, REFUSAL_NOT_EXECUTED},
	/* Responses that are no refusals. */
	{{200, false, true, true, true, EXPECTED}, REFUSAL_NONE},
	{{200, false, true, false, true, UNNAMED}, REFUSAL_NONE},
	{{500, false, true, true, true, OTHER}, REFUSAL_NONE},
	{{503, false, false, true, true, UNNAMED}, REFUSAL_NONE},
	{{503, false, true, true, true, UNNAMED}, REFUSAL_NONE},
	{{429, false, false, true, true, UNNAMED}, REFUSAL_NONE},
	{{408, false, false, true, true, UNNAMED}, REFUSAL_NONE},
	{{400, false, false, true, false, UNNAMED}, REFUSAL_NONE},
	/* Those that may belong to another request, whatever else they show. */
	{{503, true, false, false, true, UNNAMED}, REFUSAL_OF_ANOTHER_REQUEST},
	{{503, true, true, false, true, OTHER}, REFUSAL_OF_ANOTHER_REQUEST},
	{{421, true, false, false, true, OTHER}, REFUSAL_OF_ANOTHER_REQUEST},
	{{421, false, false, false, true, UNNAMED}, REFUSAL_OF_ANOTHER_REQUEST},
	{{200, true, true, false, true, UNNAMED}, REFUSAL_OF_ANOTHER_REQUEST},
	/* The signature says that the request ran. */
	{{503, true, true, true, true, UNNAMED}, REFUSAL_CONTRADICTORY},
	{{429, true, true, true, true, EXPECTED}, REFUSAL_CONTRADICTORY},
	{{400, true, true, true, false, UNNAMED}, REFUSAL_CONTRADICTORY},
	{{421, true, true, true, true, OTHER}, REFUSAL_UNSURE_ADDRESS},
	/* Statuses that the rules do not name for a refusal. */
	{{200, true, false, true, true, UNNAMED}, REFUSAL_CONTRADICTORY},
	{{200, true, true, true, true, EXPECTED}, REFUSAL_CONTRADICTORY},
	{{204, true, false, true, true, UNNAMED}, REFUSAL_CONTRADICTORY},
	{{404, true, false, true, true, UNNAMED}, REFUSAL_CONTRADICTORY},
	{{408, true, false, true, true, UNNAMED}, REFUSAL_CONTRADICTORY},
	{{500, true, false, true, true, UNNAMED}, REFUSAL_CONTRADICTORY},
	{{504, true, false, true, true, UNNAMED}, REFUSAL_CONTRADICTORY},
	/* The request had an id. */
	{{400, true, false, true, true, UNNAMED}, REFUSAL_CONTRADICTORY},
	/* 421 without the header, or from the server that was expected. */
	{{421, false, false, true, true, UNNAMED}, REFUSAL_UNSURE_ADDRESS},
	{{421, false, false, true, true, OTHER}, REFUSAL_UNSURE_ADDRESS},
	{{421, false, true, true, true, UNNAMED}, REFUSAL_UNSURE_ADDRESS},
	{{421, false, false, true, true, EXPECTED}, REFUSAL_UNSURE_ADDRESS},
	{{421, true, false, true, true, EXPECTED}, REFUSAL_UNSURE_ADDRESS},
	/* Another server than the expected one, with a status other than 421. */
	{{503, true, false, true, true, OTHER}, REFUSAL_UNSURE_ADDRESS},
	{{429, true, true, true, true, OTHER}, REFUSAL_UNSURE_ADDRESS},
	{{200, true, false, true, true, OTHER}, REFUSAL_UNSURE_ADDRESS},
};

/* Guards against a client that is told "not run" by a response that does not state it. */
static void test_promises(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		g_test_message("row %zu: status %u", i, rows[i].marks.status);
		g_assert_cmpint(refusal_of(&rows[i].marks), ==, rows[i].want);
	}
}

/* Guards against a promise by any combination of marks but those of the rules. */
static void test_no_other_promise(void)
{
	unsigned status, bits, promises = 0;
	struct refusal_marks m;
	enum refusal got;

	for (status = 0; status < 1000; status++) {
		for (bits = 0; bits < 48; bits++) {
			m = (struct refusal_marks){.status = status,
						   .not_executed = bits & 1,
						   .signature = bits & 2,
						   .own = bits & 4,
						   .request_has_id = bits & 8,
						   .server = (enum refusal_server)(bits / 16)};
			got = refusal_of(&m);
			if (got != REFUSAL_NOT_EXECUTED && got != REFUSAL_MISDIRECTED)
				continue;
			promises++;
			g_assert_true(m.not_executed && m.own && !m.signature);
			g_assert_true(status == 503 || status == 429 || status == 421 ||
				      (status == 400 && !m.request_has_id));
		}
	}
	/* Two of three servers, with and without an id; 400 only without one. */
	g_assert_cmpuint(promises, ==, 14);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/refusal/response-that-states-no-promise", test_promises);
	g_test_add_func("/refusal/no-other-promise", test_no_other_promise);
	return g_test_run();
}
