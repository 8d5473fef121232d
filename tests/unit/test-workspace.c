/* Workspaces of a document, their keys, the age of what is known of them, and fair shares. */
#include <glib.h>
#include <string.h>

#include "platform/platform.h"

/* Turns of 10 ms for which the workspace sends more than usual. */
#define HOT_TURNS 800
#define QUEUE_MAX 12
#define S(x) ((uint64_t)((x)*CS_US_PER_S))

static struct cs_document *parse(const char *workspaces, struct cs_msg *msg)
{
	char *text = g_strdup_printf("{\"version\":\"r7\",\"routes\":[],\"services\":[],"
				     "\"limits\":{}%s}",
				     workspaces);
	struct cs_document *doc = platform_document_parse(text, strlen(text), msg);

	g_free(text);
	return doc;
}

/* Guards against settings of a workspace that are lost or taken for those of another. */
static void test_document(void)
{
	struct cs_msg msg = {""};
	struct cs_document *doc =
		parse(",\"tenants\":[{\"name\":\"a\",\"api-keys\":[\"k1\",\"k2\"],\"priority\":2,"
		      "\"rate-per-s\":5.5,\"burst\":7,\"home-regions\":[\"r1\",\"r2\"]},"
		      "{\"name\":\"b\",\"api-keys\":[\"k3\"]}]",
		      &msg);
	const struct cs_workspace *a, *b;

	g_assert_nonnull(doc);
	g_assert_cmpuint(doc->n_problems, ==, 0);
	g_assert_cmpuint(cs_workspace_count(doc->workspaces), ==, 2);
	a = cs_workspace_by_key(doc->workspaces, "k2");
	b = cs_workspace_by_key(doc->workspaces, "k3");
	g_assert_cmpstr(a->name, ==, "a");
	g_assert_cmpfloat(a->rate_per_s, ==, 5.5);
	g_assert_cmpfloat(a->burst, ==, 7);
	g_assert_cmpuint(a->priority, ==, 2);
	g_assert_cmpuint(a->n_homes, ==, 2);
	g_assert_cmpstr(a->homes[1], ==, "r2");
	g_assert_cmpstr(b->name, ==, "b");
	g_assert_cmpfloat(b->rate_per_s, ==, 0);
	g_assert_true(cs_workspace_by_id(doc->workspaces, b->id) == b);
	g_assert_null(cs_workspace_by_key(doc->workspaces, "k"));
	g_assert_null(cs_workspace_by_key(doc->workspaces, ""));
	cs_document_destroy(doc);
	/* Without the member requests need no key; with an empty list no key is valid. */
	doc = parse("", &msg);
	g_assert_null(doc->workspaces);
	cs_document_destroy(doc);
	doc = parse(",\"tenants\":[]", &msg);
	g_assert_nonnull(doc->workspaces);
	cs_document_destroy(doc);
	doc = parse(",\"tenants\":null,\"x\":1", &msg);
	g_assert_null(doc->workspaces);
	cs_document_destroy(doc);
	g_assert_null(parse(",\"tenants\":nul", &msg));
	g_assert_null(parse(",\"tenants\":{}", &msg));
}

/* Guards against one wrong workspace that takes others with it, or is guessed at. */
static void test_unreadable(void)
{
	static const char *const wrong[] = {
		"{\"name\":\"w\",\"api-keys\":[\"w\"],\"rate-per-s\":\"many\"}",
		"{\"name\":\"w\",\"api-keys\":[\"w\"],\"burst\":-1}",
		"{\"name\":\"w\",\"api-keys\":[\"w\"],\"home-regions\":\"r1\"}",
		"{\"name\":\"w\",\"api-keys\":[\"w\"],\"home-regions\":[1]}",
	};
	static const char *const unknown[] = {
		"{\"api-keys\":[\"w\"]}",
		"{\"name\":\"\",\"api-keys\":[\"w\"]}",
		"{\"name\":\"x\\r\\ny: z\",\"api-keys\":[\"w\"]}",
		"{\"name\":\"w\",\"api-keys\":[1]}",
		"{\"name\":\"w\",\"api-keys\":\"w\"}",
		"{\"name\":\"good\",\"api-keys\":[\"w\"]}",
		"7",
	};
	struct cs_document *doc;
	struct cs_msg msg;
	unsigned i;
	char *text;

	for (i = 0; i < G_N_ELEMENTS(wrong) + G_N_ELEMENTS(unknown); i++) {
		bool named = i < G_N_ELEMENTS(wrong);

		text = g_strdup_printf(",\"tenants\":[{\"name\":\"good\",\"api-keys\":[\"g\"]},%s]",
				       named ? wrong[i] : unknown[i - G_N_ELEMENTS(wrong)]);
		doc = parse(text, &msg);
		g_assert_nonnull(doc);
		g_assert_cmpuint(doc->n_problems, >=, 1);
		g_assert_null(strstr(doc->problems[0].text, "\"w\""));
		g_assert_false(cs_workspace_by_key(doc->workspaces, "g")->unreadable);
		if (named)
			g_assert_true(cs_workspace_by_key(doc->workspaces, "w")->unreadable);
		else
			g_assert_true(cs_workspace_has_unknown(doc->workspaces));
		cs_document_destroy(doc);
		g_free(text);
	}
}

/* Guards against a key that two workspaces have and that moves to the later one. */
static void test_repeated_key(void)
{
	struct cs_msg msg;
	struct cs_document *doc = parse(",\"tenants\":[{\"name\":\"a\",\"api-keys\":[\"k\"]},"
					"{\"name\":\"b\",\"api-keys\":[\"k\",\"l\"]}]",
					&msg);

	g_assert_cmpuint(doc->n_problems, ==, 1);
	g_assert_cmpstr(cs_workspace_by_key(doc->workspaces, "k")->name, ==, "a");
	g_assert_cmpstr(cs_workspace_by_key(doc->workspaces, "l")->name, ==, "b");
	cs_document_destroy(doc);
}

/* Guards against keys that are lost or confused when the tables grow. */
static void test_many_keys(void)
{
	struct cs_workspace_table *t = cs_workspace_table_create();
	char name[32];
	unsigned i;

	for (i = 0; i < 20000; i++) {
		g_snprintf(name, sizeof(name), "w%u", i);
		g_assert_true(cs_workspace_add_key(t, cs_workspace_add(t, name), name + 1));
	}
	for (i = 0; i < 20000; i++) {
		g_snprintf(name, sizeof(name), "w%u", i);
		g_assert_cmpstr(cs_workspace_by_key(t, name + 1)->name, ==, name);
	}
	g_assert_null(cs_workspace_by_key(t, "20000"));
	g_assert_null(cs_workspace_add(t, "w7"));
	g_assert_cmpuint(cs_workspace_count_keys(t), ==, 20000);
	cs_workspace_table_destroy(t);
}

/* Guards against a withdrawn key that is honoured on old knowledge. */
static void test_freshness(void)
{
	struct cs_freshness f = {.max_age_us = S(4.75)};

	g_assert_false(cs_freshness_is_valid(&f, S(1)));
	cs_freshness_confirm(&f, S(10));
	g_assert_true(cs_freshness_is_valid(&f, S(14.75)));
	g_assert_false(cs_freshness_is_valid(&f, S(14.8)));
	/* A neighbour's word counts from the question, less the age of its own knowledge. */
	cs_freshness_hear(&f, S(14), S(2), 7, 7);
	g_assert_true(cs_freshness_is_valid(&f, S(16.75)));
	g_assert_false(cs_freshness_is_valid(&f, S(16.8)));
	/* One whose document is newer says nothing of the one in force here. */
	cs_freshness_hear(&f, S(16), 0, 8, 7);
	g_assert_false(cs_freshness_is_valid(&f, S(16.8)));
	cs_freshness_hear(&f, S(16), UINT64_MAX, 7, 7);
	g_assert_false(cs_freshness_is_valid(&f, S(16.8)));
	/* Older word does not take back newer one. */
	cs_freshness_hear(&f, S(16), 0, 6, 7);
	cs_freshness_confirm(&f, S(3));
	g_assert_true(cs_freshness_is_valid(&f, S(20.75)));
	f.max_age_us = 0;
	g_assert_true(cs_freshness_is_valid(&f, S(1000)));
}

/* A request that waits, of workspace id, until a turn. */
struct waiting {
	unsigned id, until;
};

/* The next request: of a workspace that got least of its share, then the newest. */
static unsigned choose(struct cs_fair *f, const struct waiting *queue, unsigned n, bool fair,
		       uint64_t now)
{
	unsigned k, best = n - 1;

	for (k = n - 1; fair && k > 0; k--)
		if (cs_fair_level(f, queue[k - 1].id, now) < cs_fair_level(f, queue[best].id, now))
			best = k - 1;
	return best;
}

/* Removes the oldest request of a workspace that got more of its share; returns the length. */
static unsigned make_room(struct cs_fair *f, struct waiting *queue, unsigned n, unsigned id,
			  uint64_t now)
{
	unsigned k, level = cs_fair_level(f, id, now);

	for (k = 0; k < n; k++)
		if (cs_fair_level(f, queue[k].id, now) > level) {
			memmove(&queue[k], &queue[k + 1], (n - k - 1) * sizeof(*queue));
			return n - 1;
		}
	return n;
}

/*
 * One queue of a service that runs one request a turn, of which the first workspace sends hot times
 * as many in the last turns. Requests that find the queue full, half full if their workspace is over
 * its share, or wait for too long are refused. Counts what each workspace got in the last turns.
 */
static void compete(const double per_turn[], unsigned n, double hot, unsigned turns, bool fair,
		    double got[])
{
	struct cs_fair *f = cs_fair_create();
	struct waiting queue[QUEUE_MAX];
	unsigned i, t, at, len = 0, most;
	uint64_t now = S(100);
	struct cs_rng rng;

	cs_rng_seed(&rng, 7);
	for (t = 0; t < turns; t++) {
		now += 10 * CS_US_PER_MS;
		for (i = 0; i < n * 8; i++) {
			if (cs_rng_unit(&rng) >
			    per_turn[i % n] / 8 * (i % n == 0 && t >= turns - HOT_TURNS ? hot : 1))
				continue;
			cs_fair_arrived(f, i % n + 1, now);
			most = fair && cs_fair_is_over(f, i % n + 1, now) ? QUEUE_MAX / 2
									  : QUEUE_MAX;
			if (len >= most && fair)
				len = make_room(f, queue, len, i % n + 1, now);
			if (len < most)
				queue[len++] = (struct waiting){i % n + 1, t + QUEUE_MAX};
		}
		for (i = 0, at = 0; i < len; i++)
			if (queue[i].until > t)
				queue[at++] = queue[i];
		len = at;
		if (len == 0)
			continue;
		at = choose(f, queue, len, fair, now);
		cs_fair_sent(f, queue[at].id, now);
		if (t >= turns - HOT_TURNS)
			got[queue[at].id - 1]++;
		memmove(&queue[at], &queue[at + 1], (--len - at) * sizeof(queue[0]));
	}
	cs_fair_destroy(f);
}

/*
 * Guards against a workspace that sends ten times its usual and takes the room of the others, which
 * ask for what they always did.
 */
static void test_hot_workspace(void)
{
	static const double per_turn[] = {0.3, 0.3, 0.2, 0.1, 0.02};
	double got[5] = {0}, unfair[5] = {0}, sum = 0, unfair_sum = 0;
	unsigned i;

	compete(per_turn, 5, 10, 6000, true, got);
	compete(per_turn, 5, 10, 6000, false, unfair);
	for (i = 1; i < 5; i++) {
		g_test_message("%.0f of %.0f, %.0f without shares", got[i], per_turn[i] * HOT_TURNS,
			       unfair[i]);
		g_assert_cmpfloat(got[i], >=, 2.0 / 3 * per_turn[i] * HOT_TURNS);
		sum += got[i];
		unfair_sum += unfair[i];
	}
	g_assert_cmpfloat(sum, >, 2 * unfair_sum);
}

/* Guards against shares that leave room unused: a workspace alone is never over its share. */
static void test_alone(void)
{
	struct cs_fair *f = cs_fair_create();
	uint64_t now = S(1);
	unsigned i;

	for (i = 0; i < 1000; i++) {
		now += CS_US_PER_MS;
		cs_fair_arrived(f, 1, now);
		cs_fair_sent(f, 1, now);
		g_assert_false(cs_fair_is_over(f, 1, now));
	}
	/* One that is silent is forgotten in the end. */
	cs_fair_is_over(f, 2, now + S(1000));
	cs_fair_is_over(f, 2, now + S(2000));
	g_assert_cmpuint(cs_fair_count(f), ==, 1);
	cs_fair_destroy(f);
}

/* Guards against as many series as there are workspaces, and names that break the format. */
static void test_usage(void)
{
	struct cs_usage *u = cs_usage_create();
	unsigned i, k, rows = 0;
	char name[32], *text, *p;

	for (i = 1; i <= 100; i++) {
		g_snprintf(name, sizeof(name), i == 100 ? "w\"\\%u" : "w%u", i);
		for (k = 0; k < i; k++)
			cs_usage_count(u, i, name, CS_USAGE_LATE);
	}
	text = cs_usage_metrics(u);
	for (p = text; (p = strstr(p, "_total{")) != NULL; p++)
		rows++;
	g_assert_cmpuint(rows, ==, (CS_USAGE_TOP + 1) * CS_USAGE_KINDS);
	g_assert_nonnull(strstr(text, "{kind=\"late\",workspace=\"w__100\"} 100\n"));
	g_assert_nonnull(strstr(text, "{kind=\"late\",workspace=\"w85\"} 85\n"));
	g_assert_nonnull(strstr(text, "{kind=\"late\",workspace=\"\"} 3570\n"));
	free(text);
	cs_usage_destroy(u);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/workspace/document", test_document);
	g_test_add_func("/workspace/unreadable", test_unreadable);
	g_test_add_func("/workspace/repeated-key", test_repeated_key);
	g_test_add_func("/workspace/many-keys", test_many_keys);
	g_test_add_func("/workspace/freshness", test_freshness);
	g_test_add_func("/workspace/hot", test_hot_workspace);
	g_test_add_func("/workspace/alone", test_alone);
	g_test_add_func("/workspace/usage", test_usage);
	return g_test_run();
}
