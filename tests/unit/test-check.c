/*
 * Tests of the history checker. It compares the requests that clients recorded with the runs, the
 * executions that servers recorded. A correct history passes, and for each guarantee a history that
 * violates it is rejected by the rule of that guarantee. Guards against a checker that accepts
 * everything, which would make all test runs that rely on it worthless.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "src/check/check.h"

#define S(n) ((uint64_t)((n) * (double)CS_US_PER_S))

struct fixture {
	struct check *check;
	char *text;
	size_t len;
	FILE *out;
};

static void setup(struct fixture *f, gconstpointer data)
{
	f->out = open_memstream(&f->text, &f->len);
	f->check = check_create(f->out);
}

static void teardown(struct fixture *f, gconstpointer data)
{
	check_destroy(f->check);
	fclose(f->out);
	free(f->text);
}

/* Adds a line to the history: a request of class payments and its result at the client. */
static void add_request(struct fixture *f, const char *id, bool idempotent, const char *outcome,
			const char *ran, uint64_t at_us)
{
	char *line = cs_xasprintf(
		"{\"id\":\"%s\",\"class\":\"payments\",\"idempotent\":%s,\"caller\":\"127.9.1."
		"200\","
		"\"planned_us\":%llu,\"sent_us\":%llu,\"end_us\":%llu,\"outcome\":\"%s\","
		"\"status\":%d,\"ran\":\"%s\",\"tries\":1,\"entry\":\"a-1\",\"instance\":\"a-1\","
		"\"body\":\"ok\",\"upload_len\":10,\"upload_digest\":\"00000000000000aa\"}",
		id, idempotent ? "true" : "false", (unsigned long long)at_us,
		(unsigned long long)at_us, (unsigned long long)at_us + 20000, outcome,
		strcmp(outcome, "ok") == 0 ? 200 : 503, ran);

	check_history_line(f->check, line);
	free(line);
}

static void add_run_at(struct fixture *f, const char *id, const char *server, const char *zone,
		       const char *outcome, uint64_t from_us, uint64_t to_us)
{
	char *line = cs_xasprintf(
		"{\"id\":\"%s\",\"class\":\"payments\",\"server\":\"%s\",\"service\":\"orders\","
		"\"zone\":\"%s\",\"outcome\":\"%s\",\"start_us\":%llu,\"end_us\":%llu,"
		"\"concurrent\":1,\"slots\":2,\"body_len\":10,"
		"\"body_digest\":\"00000000000000aa\"}",
		id, server, zone, outcome, (unsigned long long)from_us, (unsigned long long)to_us);

	check_run_line(f->check, line);
	free(line);
}

static void add_run(struct fixture *f, const char *id, const char *outcome, uint64_t at_us)
{
	add_run_at(f, id, "s-1", "a", outcome, at_us, at_us + 10000);
}

/* Evaluates the rules; expects this many violations and, if any, one by the given rule. */
static void expect_violations(struct fixture *f, unsigned violations, const char *rule)
{
	char *prefix = cs_xasprintf("violation %s:", rule), *summary;

	check_join(f->check);
	g_assert_cmpuint(check_evaluate(f->check), ==, violations);
	fflush(f->out);
	if (violations > 0)
		g_assert_nonnull(strstr(f->text, prefix));
	else
		g_assert_null(strstr(f->text, "violation "));
	summary = cs_xasprintf("check: operations %u violations %u\n", f->check->ops->len,
			       violations);
	g_assert_true(g_str_has_suffix(f->text, summary));
	free(summary);
	free(prefix);
}

static void accepts_correct_history(struct fixture *f, gconstpointer data)
{
	add_request(f, "q1", false, "ok", "yes", S(1));
	add_run(f, "q1", "done", S(1));
	add_request(f, "q2", false, "refused", "no", S(2));
	add_run(f, "q2", "refused", S(2));
	add_request(f, "q3", false, "unknown", "unknown", S(3));
	add_run(f, "q3", "cancelled", S(3));
	/* An idempotent request may run twice. */
	add_request(f, "q4", true, "ok", "yes", S(4));
	add_run(f, "q4", "cancelled", S(4));
	add_run(f, "q4", "done", S(4));
	expect_violations(f, 0, "");
}

static void finds_wrong_body(struct fixture *f, gconstpointer data)
{
	add_request(f, "q1", true, "bad", "yes", S(1));
	add_run(f, "q1", "done", S(1));
	expect_violations(f, 1, "answers");
}

static void finds_answer_without_run(struct fixture *f, gconstpointer data)
{
	add_request(f, "q1", true, "ok", "yes", S(1));
	add_run(f, "q1", "truncated", S(1));
	expect_violations(f, 1, "answers");
}

static void finds_altered_upload(struct fixture *f, gconstpointer data)
{
	add_request(f, "q1", true, "ok", "yes", S(1));
	check_run_line(f->check,
		       "{\"id\":\"q1\",\"server\":\"s-1\",\"zone\":\"a\",\"outcome\":\"done\","
		       "\"start_us\":1000000,\"end_us\":1010000,\"slots\":2,"
		       "\"body_len\":10,\"body_digest\":\"00000000000000ab\"}");
	expect_violations(f, 1, "answers");
}

static void finds_second_answer(struct fixture *f, gconstpointer data)
{
	add_request(f, "q1", true, "ok", "yes", S(1));
	add_request(f, "q1", true, "ok", "yes", S(1));
	add_run(f, "q1", "done", S(1));
	g_assert_cmpuint(f->check->ops->len, ==, 2);
	/*
	 * The run is joined to the first line only, so the second also counts as a response without
	 * a run.
	 */
	expect_violations(f, 2, "answers");
}

static void finds_refusal_of_executed_request(struct fixture *f, gconstpointer data)
{
	add_request(f, "q1", false, "refused", "no", S(1));
	add_run(f, "q1", "cancelled", S(1));
	expect_violations(f, 1, "not-run");
}

static void finds_second_run(struct fixture *f, gconstpointer data)
{
	add_request(f, "q1", false, "ok", "yes", S(1));
	add_run(f, "q1", "done", S(1));
	add_run(f, "q1", "done", S(1) + 500);
	expect_violations(f, 1, "once");
}

/* Two runs of a request that is not idempotent are a violation even without a response. */
static void finds_second_run_without_answer(struct fixture *f, gconstpointer data)
{
	add_request(f, "q1", false, "unknown", "unknown", S(1));
	add_run(f, "q1", "deadline", S(1));
	add_run(f, "q1", "cancelled", S(1) + 500);
	expect_violations(f, 1, "once");
}

static void finds_run_above_slots(struct fixture *f, gconstpointer data)
{
	add_run_at(f, "x1", "s-1", "a", "done", S(1), S(2));
	add_run_at(f, "x2", "s-1", "a", "done", S(1), S(2));
	add_run_at(f, "x3", "s-1", "a", "done", S(1.5), S(1.6));
	expect_violations(f, 1, "overload");
}

/* A cancelled request may overlap with the next one for less than the grace period. */
static void allows_overlap_within_grace(struct fixture *f, gconstpointer data)
{
	add_run_at(f, "x1", "s-1", "a", "done", S(1), S(2));
	add_run_at(f, "x2", "s-1", "a", "cancelled", S(1), S(1.505));
	add_run_at(f, "x3", "s-1", "a", "done", S(1.5), S(1.6));
	expect_violations(f, 0, "");
}

static void add_server_state(struct fixture *f, const char *name, uint64_t at_us)
{
	char *line = cs_xasprintf("{\"event\":\"state\",\"server\":\"s-1\",\"service\":\"orders\","
				  "\"zone\":\"a\",\"state\":\"%s\",\"at_us\":%llu}",
				  name, (unsigned long long)at_us);

	check_run_line(f->check, line);
	free(line);
}

static void finds_run_on_draining_server(struct fixture *f, gconstpointer data)
{
	add_server_state(f, "draining", S(10));
	add_run(f, "x1", "done", S(11));
	add_run(f, "x2", "done", S(12.1));
	expect_violations(f, 1, "leaving");
}

static void allows_run_after_return_to_ready(struct fixture *f, gconstpointer data)
{
	add_server_state(f, "draining", S(10));
	add_server_state(f, "ready", S(15));
	add_run(f, "x1", "done", S(11));
	add_run(f, "x2", "done", S(16));
	expect_violations(f, 0, "");
}

/*
 * Adds 100 requests per second of zone a's clients, of which fraction(t) run in zone a, and a drain
 * of zone a.
 */
static void add_shift(struct fixture *f, double (*fraction)(int second))
{
	char id[32];
	int t, i;

	check_fact_line(f->check, "{\"fact\":\"zone\",\"name\":\"a\",\"prefix\":\"127.9.1.\"}");
	for (t = 5; t < 40; t++) {
		for (i = 0; i < 100; i++) {
			snprintf(id, sizeof(id), "q%d-%d", t, i);
			add_request(f, id, true, "ok", "yes", S(t) + (uint64_t)i * 10000);
			add_run_at(f, id, i < fraction(t) * 100 ? "s-1" : "s-2",
				   i < fraction(t) * 100 ? "a" : "b", "done",
				   S(t) + (uint64_t)i * 10000, S(t) + (uint64_t)i * 10000 + 100);
		}
	}
	check_fact_line(f->check, "{\"fact\":\"drain\",\"zone\":\"a\",\"from_us\":10000000,"
				  "\"to_us\":35000000,\"cap_pct_s\":5}");
}

static double fraction_ramp(int t)
{
	return t < 10 ? 1 : t >= 30 ? 0 : 1 - (t - 10) * 0.05;
}

static double fraction_at_once(int t)
{
	return t < 20 ? 1 : 0;
}

static double fraction_incomplete(int t)
{
	return t < 10 ? 1 : t >= 29 ? 0.05 : 1 - (t - 10) * 0.05;
}

static void accepts_shift_within_cap(struct fixture *f, gconstpointer data)
{
	add_shift(f, fraction_ramp);
	expect_violations(f, 0, "");
}

static void finds_shift_above_cap(struct fixture *f, gconstpointer data)
{
	add_shift(f, fraction_at_once);
	check_join(f->check);
	g_assert_cmpuint(check_evaluate(f->check), >, 0);
	fflush(f->out);
	g_assert_nonnull(strstr(f->text, "violation cap: zone a: 100% of its callers"));
}

/* Traffic moved by failover during a fault does not count against the drain's cap. */
static void allows_failover_after_fault(struct fixture *f, gconstpointer data)
{
	check_fact_line(f->check, "{\"fact\":\"fault\",\"what\":\"kill\",\"name\":\"a-1\","
				  "\"zone\":\"a\",\"from_us\":19000000,\"to_us\":22000000}");
	add_shift(f, fraction_at_once);
	expect_violations(f, 0, "");
}

static double fraction_with_return(int t)
{
	return t == 33 ? 0.8 : fraction_ramp(t);
}

/*
 * Requests may return to the drained zone for a second if other zones refuse them. Moving them away
 * again at once does not violate the cap on the rate of the drain (cap_pct_s).
 */
static void allows_second_departure_after_return(struct fixture *f, gconstpointer data)
{
	add_shift(f, fraction_with_return);
	expect_violations(f, 0, "");
}

/*
 * A fault fact marked as excusing only late configurations does not excuse a shift above the cap.
 */
static void config_excuse_does_not_cover_shift(struct fixture *f, gconstpointer data)
{
	check_fact_line(f->check, "{\"fact\":\"fault\",\"what\":\"stop\",\"name\":\"a-1\","
				  "\"zone\":\"a\",\"from_us\":19000000,\"to_us\":22000000,"
				  "\"excuses\":\"config\"}");
	add_shift(f, fraction_at_once);
	check_join(f->check);
	g_assert_cmpuint(check_evaluate(f->check), >, 0);
}

static void finds_runs_after_drain_deadline(struct fixture *f, gconstpointer data)
{
	add_shift(f, fraction_incomplete);
	/* 5 requests per second for 5 s; the one exactly at the deadline does not count. */
	expect_violations(f, 24, "cap");
}

static void finds_request_lost_at_stop(struct fixture *f, gconstpointer data)
{
	add_request(f, "q1", true, "unknown", "", S(5));
	add_request(f, "q2", true, "unknown", "", S(20));
	check_fact_line(f->check, "{\"fact\":\"stop\",\"name\":\"a-1\",\"zone\":\"a\","
				  "\"from_us\":4000000,\"to_us\":8000000}");
	expect_violations(f, 1, "stop");
}

/*
 * All three requests fail during a stop of a-1. Only q1 is excused: it got 502 while another zone
 * was cut off. q2 got no response at that time, q3 got 502 after the fault.
 */
static void cut_zone_excuses_only_its_failures(struct fixture *f, gconstpointer data)
{
	static const struct {
		const char *id;
		int status;
		unsigned at_ms;
	} ops[] = {{"q1", 502, 5000}, {"q2", 0, 5000}, {"q3", 502, 7000}};
	char line[256];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ops); i++) {
		snprintf(line, sizeof(line),
			 "{\"id\":\"%s\",\"planned_us\":%u000,\"sent_us\":%u000,\"end_us\":%u000,"
			 "\"outcome\":\"unknown\",\"entry\":\"a-1\",\"status\":%d}",
			 ops[i].id, ops[i].at_ms, ops[i].at_ms, ops[i].at_ms + 10, ops[i].status);
		check_history_line(f->check, line);
	}
	check_fact_line(f->check, "{\"fact\":\"stop\",\"name\":\"a-1\",\"zone\":\"a\","
				  "\"from_us\":4000000,\"to_us\":8000000}");
	check_fact_line(f->check, "{\"fact\":\"fault\",\"what\":\"cut-zone\",\"zone\":\"b\","
				  "\"from_us\":4500000,\"to_us\":6000000}");
	expect_violations(f, 2, "stop");
}

/* A request whose connection the stopping instance refused does not count as interrupted. */
static void allows_connection_refused_at_stop(struct fixture *f, gconstpointer data)
{
	check_history_line(f->check,
			   "{\"id\":\"q1\",\"idempotent\":true,\"caller\":\"127.9.1.200\","
			   "\"planned_us\":5000000,\"sent_us\":5000000,\"end_us\":5001000,"
			   "\"outcome\":\"unknown\",\"entry\":\"a-1\",\"port\":4242}");
	check_fact_line(f->check, "{\"fact\":\"stop\",\"name\":\"a-1\",\"zone\":\"a\","
				  "\"from_us\":4000000,\"to_us\":8000000}");
	check_fact_line(f->check, "{\"fact\":\"refused\",\"name\":\"127.9.1.200:4242\","
				  "\"from_us\":5000500}");
	expect_violations(f, 0, "");
}

static void add_seen_revision(struct fixture *f, const char *name, unsigned boot, unsigned revision,
			      uint64_t at)
{
	char *line = cs_xasprintf("{\"fact\":\"seen\",\"name\":\"%s\",\"zone\":\"a\",\"boot\":%u,"
				  "\"revision\":%u,\"from_us\":%llu}",
				  name, boot, revision, (unsigned long long)at);

	check_fact_line(f->check, line);
	free(line);
}

static void add_accepted_change(struct fixture *f, const char *id, unsigned revision, uint64_t at)
{
	char *line = cs_xasprintf("{\"fact\":\"accepted\",\"name\":\"%s\",\"revision\":%u,"
				  "\"from_us\":%llu}",
				  id, revision, (unsigned long long)at);

	check_fact_line(f->check, line);
	free(line);
}

static void accepts_correct_revisions(struct fixture *f, gconstpointer data)
{
	add_accepted_change(f, "c-1", 2, S(1));
	add_seen_revision(f, "a-1/proxyd", 1, 1, S(2));
	add_seen_revision(f, "a-1/proxyd", 1, 2, S(3));
	/* A new process starts without a configuration. */
	add_seen_revision(f, "a-1/proxyd", 2, 0, S(4));
	add_seen_revision(f, "a-1/proxyd", 2, 2, S(6));
	check_fact_line(f->check, "{\"fact\":\"final\",\"name\":\"c-1\"}");
	expect_violations(f, 0, "");
}

static void finds_reverted_revision(struct fixture *f, gconstpointer data)
{
	add_seen_revision(f, "a-1/proxyd", 1, 2, S(3));
	add_seen_revision(f, "a-1/proxyd", 1, 1, S(4));
	expect_violations(f, 1, "config");
}

static void finds_late_revision(struct fixture *f, gconstpointer data)
{
	add_accepted_change(f, "c-1", 2, S(1));
	add_seen_revision(f, "a-1/proxyd", 1, 1, S(6));
	expect_violations(f, 1, "config");
}

static void finds_lost_change(struct fixture *f, gconstpointer data)
{
	add_accepted_change(f, "c-1", 2, S(1));
	check_fact_line(f->check, "{\"fact\":\"final\",\"name\":\"c-2\"}");
	expect_violations(f, 1, "config");
}

static void finds_two_changes_with_one_revision(struct fixture *f, gconstpointer data)
{
	add_accepted_change(f, "c-1", 2, S(1));
	add_accepted_change(f, "c-2", 2, S(1));
	expect_violations(f, 1, "config");
}

/* A truncated line could hide a violation, so it counts as one. */
static void finds_malformed_line(struct fixture *f, gconstpointer data)
{
	check_history_line(f->check, "{\"id\":\"q1\",\"cla");
	check_run_line(f->check, "{}");
	expect_violations(f, 1, "input");
}

int main(int argc, char **argv)
{
	static const struct {
		const char *name;
		void (*test)(struct fixture *f, gconstpointer data);
	} tests[] = {
		{"accepts-correct-history", accepts_correct_history},
		{"answers/finds-wrong-body", finds_wrong_body},
		{"answers/finds-answer-without-run", finds_answer_without_run},
		{"answers/finds-altered-upload", finds_altered_upload},
		{"answers/finds-second-answer", finds_second_answer},
		{"not-run/finds-refusal-of-executed-request", finds_refusal_of_executed_request},
		{"once/finds-second-run", finds_second_run},
		{"once/finds-second-run-without-answer", finds_second_run_without_answer},
		{"overload/finds-run-above-slots", finds_run_above_slots},
		{"overload/allows-overlap-within-grace", allows_overlap_within_grace},
		{"leaving/finds-run-on-draining-server", finds_run_on_draining_server},
		{"leaving/allows-run-after-return-to-ready", allows_run_after_return_to_ready},
		{"cap/accepts-shift-within-cap", accepts_shift_within_cap},
		{"cap/finds-shift-above-cap", finds_shift_above_cap},
		{"cap/allows-failover-after-fault", allows_failover_after_fault},
		{"cap/allows-second-departure-after-return", allows_second_departure_after_return},
		{"cap/config-excuse-does-not-cover-shift", config_excuse_does_not_cover_shift},
		{"cap/finds-runs-after-drain-deadline", finds_runs_after_drain_deadline},
		{"stop/finds-request-lost-at-stop", finds_request_lost_at_stop},
		{"stop/allows-connection-refused-at-stop", allows_connection_refused_at_stop},
		{"stop/cut-zone-excuses-only-its-failures", cut_zone_excuses_only_its_failures},
		{"config/accepts-correct-revisions", accepts_correct_revisions},
		{"config/finds-reverted-revision", finds_reverted_revision},
		{"config/finds-late-revision", finds_late_revision},
		{"config/finds-lost-change", finds_lost_change},
		{"config/finds-two-changes-with-one-revision", finds_two_changes_with_one_revision},
		{"input/finds-malformed-line", finds_malformed_line},
	};
	char path[64];
	size_t i;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < G_N_ELEMENTS(tests); i++) {
		snprintf(path, sizeof(path), "/check/%s", tests[i].name);
		g_test_add(path, struct fixture, NULL, setup, tests[i].test, teardown);
	}
	return g_test_run();
}
