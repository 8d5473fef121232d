/* Tests of the division of slots: sums, holds, agreement, loans, pools. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "tests/unit/policy-fixture.h"

#define S CS_US_PER_S
#define START (100 * S)

/* Sends requests of a class until no more can be sent; returns how many run at the server. */
static unsigned fill(struct cs_policy *p, unsigned class_index, uint64_t now_us)
{
	struct cs_decision d;
	unsigned n = 0;

	for (;;) {
		struct cs_ask ask = fx_ask(class_index, n, now_us);

		cs_policy_decide(p, &ask, now_us, &d);
		if (d.verdict != CS_VERDICT_SEND) {
			cs_policy_forget(p, &ask);
			return n;
		}
		n++;
	}
}

/* Guards against shares that add up to more or less than the slots once all agree. */
static void test_sum(void)
{
	struct fx_shape shape = {.no_bulk = true, .slots = 9};
	unsigned n, i, sum;
	char name[16];

	for (n = 1; n <= 18; n++) {
		struct cs_view *v = fx_view(&shape);

		for (i = 0; i < n; i++) {
			snprintf(name, sizeof(name), "i-%u", i);
			fx_member(v, name, "z-0-0");
		}
		for (i = 0; i < 3; i++) {
			snprintf(name, sizeof(name), "s-%u", i);
			fx_server(v, name, "web", "z-0-0");
		}
		sum = 0;
		for (i = 0; i < n; i++) {
			struct cs_policy *p;
			unsigned mine;

			snprintf(name, sizeof(name), "i-%u", i);
			p = fx_policy(name, i);
			cs_policy_update(p, v, START);
			g_assert_cmpuint(fill(p, FX_LOOKUPS, START), ==, n == 1 ? 27 : 0);
			fx_agree(p, v, START);
			mine = fill(p, FX_LOOKUPS, START);
			sum += n == 1 ? 27 : mine;
			cs_policy_destroy(p);
		}
		g_assert_cmpuint(sum, ==, 27);
		cs_view_destroy(v);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/policy/share/sum", test_sum);
	return g_test_run();
}
