/*
 * Control API, on its own port so that it works during a simulated outage:
 *   GET /standin/set?delay_ms=N&lag_ms=N&lose=N&stale=0|1&outage=none|refuse|hang   any subset
 *   GET /standin/lapse?session=ID|NAME|all   expires sessions
 *   GET /standin/calls    number of calls by kind, in total and in each of the last seconds
 */
#include <stdlib.h>
#include <string.h>

#include "tests/standins/store/store.h"

#define HISTORY_S 300

/* Number of calls in one second. */
struct call_counts {
	uint64_t second; /* of the monotonic clock */
	unsigned calls[CALL_KINDS];
};

static const char *const kind_names[CALL_KINDS] = {"kv_get",	 "kv_watch", "kv_put",	"list",
						   "list_watch", "session",  "register"};
static struct call_counts history[HISTORY_S];
static uint64_t totals[CALL_KINDS];

void count_call(enum call_kind kind)
{
	uint64_t now = cs_mono_us() / CS_US_PER_S;
	struct call_counts *s = &history[now % HISTORY_S];

	if (s->second != now) {
		memset(s, 0, sizeof(*s));
		s->second = now;
	}
	s->calls[kind]++;
	totals[kind]++;
}

static json_t *second_json(const struct call_counts *s)
{
	json_t *row = json_pack("{s:I}", "second", (json_int_t)s->second);
	int k;

	for (k = 0; k < CALL_KINDS; k++)
		if (s->calls[k] > 0)
			json_object_set_new(row, kind_names[k], json_integer(s->calls[k]));
	return row;
}

static void reply_calls(struct cs_http_req *req)
{
	json_t *doc = json_object(), *total = json_object(), *seconds = json_array();
	uint64_t now = cs_mono_us() / CS_US_PER_S, t;
	const struct call_counts *s;
	char *text;
	int k;

	for (k = 0; k < CALL_KINDS; k++)
		json_object_set_new(total, kind_names[k], json_integer((json_int_t)totals[k]));
	for (t = now > HISTORY_S ? now - HISTORY_S + 1 : 0; t <= now; t++) {
		s = &history[t % HISTORY_S];
		if (s->second == t)
			json_array_append_new(seconds, second_json(s));
	}
	json_object_set_new(doc, "total", total);
	json_object_set_new(doc, "seconds", seconds);
	text = json_dumps(doc, JSON_COMPACT);
	cs_http_reply(req, 200, NULL, text, strlen(text));
	free(text);
	json_decref(doc);
}

static void set_number(struct cs_http_req *req, const char *name, unsigned *value)
{
	const char *text = cs_http_query_arg(req, name);

	if (text != NULL)
		*value = (unsigned)strtoul(text, NULL, 10);
}

static bool set_outage(struct cs_http_req *req)
{
	static const char *const outage_names[] = {"none", "refuse", "hang"};
	const char *text = cs_http_query_arg(req, "outage");
	int i;

	if (text == NULL)
		return true;
	for (i = 0; i < 3; i++) {
		if (strcmp(outage_names[i], text) == 0) {
			faults.outage = (enum outage)i;
			outage_apply();
			return true;
		}
	}
	return false;
}

static void on_control(struct cs_http_req *req, void *arg)
{
	const char *path = cs_http_path(req), *session;
	bool ok = false;

	if (strcmp(path, "/standin/calls") == 0) {
		reply_calls(req);
		return;
	}
	if (strcmp(path, "/standin/set") == 0) {
		set_number(req, "delay_ms", &faults.delay_ms);
		set_number(req, "lag_ms", &faults.list_lag_ms);
		set_number(req, "lose", &faults.lose_responses);
		set_number(req, "stale", &faults.stale_reads);
		watchers_notify("/v1/kv/");
		ok = set_outage(req);
	} else if (strcmp(path, "/standin/lapse") == 0) {
		session = cs_http_query_arg(req, "session");
		ok = session != NULL && session_expire(session);
	}
	if (ok)
		cs_http_reply(req, 200, NULL, "{}\n", 3);
	else
		cs_http_reply(req, 400, "text/plain", "unknown control\n", 16);
}

bool control_start(const char *addr, uint16_t port, struct cs_msg *msg)
{
	return cs_httpd_create(loop, timers, addr, port, 4096, on_control, NULL, msg) != NULL;
}
