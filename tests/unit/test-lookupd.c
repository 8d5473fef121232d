/* Tests of cassia-lookupd's steering state: configuration revisions and response entries. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "src/lookupd/lookupd.h"

static struct cs_config *create_config(unsigned revision, const char *class)
{
	char *text = g_strdup_printf(
		"{\"format\":1,\"deployment\":\"test\",\"revision\":%u,"
		"\"network\":{\"zone_delay_ms\":1,\"region_delay_ms\":20,\"link_mbit_s\":4000},"
		"\"regions\":[{\"name\":\"r\"}],"
		"\"zones\":[{\"name\":\"a\",\"region\":\"r\"},{\"name\":\"b\",\"region\":\"r\"}],"
		"\"services\":[{\"name\":\"s\",\"slots\":9,\"connections\":360}],"
		"\"classes\":[{\"name\":\"%s\",\"service\":\"s\",\"idempotent\":true,"
		"\"latency_target_ms\":100,\"timeout_ms\":1000}],"
		"\"shift\":{\"cap_pct_s\":50,\"lookup_ttl_ms\":2000}}",
		revision, class);
	struct cs_msg msg = {""};
	struct cs_config *cfg = cs_config_parse(text, strlen(text), &msg);

	g_assert_cmpstr(msg.text, ==, "");
	g_free(text);
	return cfg;
}

/* Creates a view with n members in zone a; takes ownership of cfg, which may be NULL. */
static struct cs_view *create_view(struct cs_config *cfg, unsigned n)
{
	struct cs_view *v = cs_view_create();
	unsigned i;

	v->cfg = cfg;
	v->n_members = n;
	v->members = cs_xcalloc(n, sizeof(*v->members));
	for (i = 0; i < n; i++) {
		struct cs_member *m = &v->members[i];

		snprintf(m->name, sizeof(m->name), "a-\"%u", i);
		cs_copy(m->zone, sizeof(m->zone), "a");
		snprintf(m->addr, sizeof(m->addr), i % 2 ? "::%x" : "10.0.0.%u", i + 1);
		m->proxy_port = 8080;
		m->listed = m->ready = true;
	}
	return v;
}

static void apply_view(struct steer *s, struct cs_view *v)
{
	steer_update(s, v);
	cs_view_destroy(v);
}

struct fixture {
	struct ev_loop *loop;
	struct cs_timers *timers;
	struct steer *steer;
};

static void setup(struct fixture *f, gconstpointer arg)
{
	f->loop = ev_loop_new(EVFLAG_AUTO);
	f->timers = cs_timers_create(f->loop);
	f->steer = steer_create(f->timers);
}

static void teardown(struct fixture *f, gconstpointer arg)
{
	steer_destroy(f->steer);
	cs_timers_destroy(f->timers);
	ev_loop_destroy(f->loop);
}

/* Runs the event loop until a pending view is in force, at most 100 times with a pause of 1 ms. */
static void wait_for_plan(struct fixture *f)
{
	uint64_t plans = steer_plan_count(f->steer);
	int i;

	for (i = 0; i < 100 && steer_plan_count(f->steer) == plans; i++) {
		g_usleep(1000);
		ev_run(f->loop, EVRUN_NOWAIT);
	}
}

/* Guards against a configuration that reverts if the agent restarts with an older one or none. */
static void test_config_never_reverts(struct fixture *f, gconstpointer arg)
{
	g_assert_null(steer_view(f->steer));
	apply_view(f->steer, create_view(NULL, 1));
	g_assert_null(steer_view(f->steer));
	apply_view(f->steer, create_view(create_config(7, "new"), 1));
	g_assert_cmpuint(steer_view(f->steer)->cfg->revision, ==, 7);
	apply_view(f->steer, create_view(create_config(6, "old"), 2));
	wait_for_plan(f);
	g_assert_cmpuint(steer_view(f->steer)->cfg->revision, ==, 7);
	g_assert_cmpuint(steer_view(f->steer)->n_members, ==, 2);
	apply_view(f->steer, create_view(NULL, 3));
	wait_for_plan(f);
	g_assert_cmpuint(steer_view(f->steer)->cfg->revision, ==, 7);
	g_assert_cmpuint(steer_view(f->steer)->n_members, ==, 3);
}

/* Guards against replacing the configuration by another one of the same revision. */
static void test_equal_revision_keeps_config(struct fixture *f, gconstpointer arg)
{
	apply_view(f->steer, create_view(create_config(7, "first"), 1));
	apply_view(f->steer, create_view(create_config(7, "other"), 2));
	wait_for_plan(f);
	g_assert_cmpstr(steer_view(f->steer)->cfg->classes[0].name, ==, "first");
	g_assert_cmpuint(steer_view(f->steer)->n_members, ==, 2);
}

/* Guards against replacing a pending view by one of a lower revision before it is in force. */
static void test_pending_view_keeps_highest_revision(struct fixture *f, gconstpointer arg)
{
	apply_view(f->steer, create_view(create_config(7, "seven"), 1));
	apply_view(f->steer, create_view(create_config(9, "nine"), 1));
	apply_view(f->steer, create_view(create_config(8, "eight"), 1));
	wait_for_plan(f);
	g_assert_cmpuint(steer_view(f->steer)->cfg->revision, ==, 9);
}

/*
 * Guards against response entries of another member, unescaped names and IPv6 URLs without
 * brackets.
 */
static void test_entries_match_members(struct fixture *f, gconstpointer arg)
{
	struct cs_member m = {.name = "a-\"1"}, absent = {.name = "nobody"};
	const char *text;
	size_t len;
	unsigned i;

	apply_view(f->steer, create_view(create_config(7, "k"), 200));
	for (i = 0; i < 200; i++) {
		char name[CS_NAME_MAX], expected[64];

		snprintf(name, sizeof(name), "a-\"%u", i);
		cs_copy(m.name, sizeof(m.name), name);
		text = steer_response_entry(f->steer, &m, &len);
		g_assert_nonnull(text);
		g_assert_cmpuint(len, ==, strlen(text));
		snprintf(expected, sizeof(expected), "\"instance\":\"a-\\\"%u\"", i);
		g_assert_nonnull(strstr(text, expected));
	}
	cs_copy(m.name, sizeof(m.name), "a-\"1");
	text = steer_response_entry(f->steer, &m, &len);
	g_assert_nonnull(strstr(text, "\"url\":\"http://[::2]:8080\""));
	g_assert_null(steer_response_entry(f->steer, &absent, &len));
	text = steer_response_prefix(f->steer, 0, &len);
	g_assert_cmpstr(text, ==, "{\"class\":\"k\",\"revision\":7,\"ttl_ms\":2000,\"entries\":[");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add("/lookupd/config/never-reverts", struct fixture, NULL, setup,
		   test_config_never_reverts, teardown);
	g_test_add("/lookupd/config/equal-revision-keeps-content", struct fixture, NULL, setup,
		   test_equal_revision_keeps_config, teardown);
	g_test_add("/lookupd/pending-view/keeps-highest-revision", struct fixture, NULL, setup,
		   test_pending_view_keeps_highest_revision, teardown);
	g_test_add("/lookupd/entries/match-members", struct fixture, NULL, setup,
		   test_entries_match_members, teardown);
	return g_test_run();
}
