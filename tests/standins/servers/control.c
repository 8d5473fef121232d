/*
 * Control port. server, service and zone select servers; without them a call applies to all.
 *   GET /standin/set?[server=NAME|service=NAME|zone=NAME]&BEHAVIOUR=VALUE...
 *   GET /standin/cold?[server=NAME|service=NAME|zone=NAME]
 *                                simulates a cold start (see cold_runs)
 *   GET /standin/slow?[service=NAME]&pct=N&factor=N&period_ms=N
 *                                slows pct of the servers, selected at random in each period;
 *                                without period_ms they are selected once; pct=0 ends it
 *   GET /standin/stats           one row for each server
 *   GET /standin/clock           monotonic time in us, as in the request log
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/standins/servers/servers.h"

struct slowdown {
	char service[NAME_SIZE];
	double pct, factor;
	struct cs_timer timer;
};

#define FIELD(name)                                                                                \
	{                                                                                          \
#name, offsetof(struct behaviour, name)                                            \
	}
static const struct {
	const char *name;
	size_t offset;
} fields[] = {
	FIELD(slots),
	FIELD(service_ms),
	FIELD(jitter_pct),
	FIELD(straggler_pct),
	FIELD(straggler_factor),
	FIELD(slow_factor),
	FIELD(cold_factor),
	FIELD(cold_runs),
	FIELD(refuse_pct),
	FIELD(shed),
	FIELD(truncate_pct),
	FIELD(late_pct),
	FIELD(late_ms),
	FIELD(answer_bytes),
	FIELD(report),
	FIELD(report_late_ms),
	FIELD(report_in_flight),
	FIELD(report_service_ms),
	FIELD(state),
	FIELD(down),
};

static struct slowdown slowdown;

bool behaviour_set(struct server *s, const char *name, double value)
{
	size_t i;

	for (i = 0; i < sizeof(fields) / sizeof(fields[0]); i++) {
		if (strcmp(fields[i].name, name) != 0)
			continue;
		*(double *)(void *)((char *)&s->behaviour + fields[i].offset) = value;
		return true;
	}
	return false;
}

void behaviour_apply(struct server *s, const struct behaviour *before)
{
	struct cs_msg msg;

	if (s->behaviour.state != before->state)
		log_state(s);
	if (s->behaviour.down > 0)
		mhd_listener_close(s->listener);
	else if (!mhd_listener_open(s->listener, &msg))
		cs_log(CS_ERR, "control", "Cannot reopen the listener: %s", msg.text);
}

static bool server_matches(struct cs_http_req *req, const struct server *s)
{
	const char *server = cs_http_query_arg(req, "server"),
		   *service = cs_http_query_arg(req, "service"),
		   *zone = cs_http_query_arg(req, "zone");

	return (server == NULL || strcmp(server, s->name) == 0) &&
	       (service == NULL || strcmp(service, s->service) == 0) &&
	       (zone == NULL || strcmp(zone, s->zone) == 0);
}

static unsigned set_behaviours(struct cs_http_req *req)
{
	struct behaviour before;
	unsigned n = 0;
	const char *text;
	struct server *s;
	size_t i;

	TAILQ_FOREACH(s, &servers, entry) {
		if (!server_matches(req, s))
			continue;
		n++;
		before = s->behaviour;
		for (i = 0; i < sizeof(fields) / sizeof(fields[0]); i++) {
			text = cs_http_query_arg(req, fields[i].name);
			if (text != NULL)
				behaviour_set(s, fields[i].name, strtod(text, NULL));
		}
		behaviour_apply(s, &before);
	}
	return n;
}

static unsigned reset_warm_runs(struct cs_http_req *req)
{
	struct server *s;
	unsigned n = 0;

	TAILQ_FOREACH(s, &servers, entry) {
		if (!server_matches(req, s))
			continue;
		s->warm_runs = 0;
		n++;
	}
	return n;
}

static bool slowdown_applies(const struct server *s)
{
	return *slowdown.service == '\0' || strcmp(slowdown.service, s->service) == 0;
}

/*
 * Selects exactly pct of the servers at random and slows them. An independent draw for each server
 * would at times slow far more than pct of them, up to a third of the servers.
 */
static void on_slowdown_period(struct cs_timer *t, void *arg)
{
	unsigned left = 0, n_slow;
	struct server *s;

	TAILQ_FOREACH(s, &servers, entry)
		left += slowdown_applies(s);
	n_slow = (unsigned)(left * slowdown.pct / 100 + 0.5);
	TAILQ_FOREACH(s, &servers, entry) {
		if (!slowdown_applies(s))
			continue;
		s->behaviour.slow_factor = 1;
		if (cs_rng_below(&rng, left) < n_slow) {
			s->behaviour.slow_factor = slowdown.factor;
			n_slow--;
		}
		left--;
	}
}

static double query_number(struct cs_http_req *req, const char *name)
{
	const char *text = cs_http_query_arg(req, name);

	return text ? strtod(text, NULL) : 0;
}

static void set_slowdown(struct cs_http_req *req)
{
	const char *service = cs_http_query_arg(req, "service");
	double period_ms = query_number(req, "period_ms");

	cs_copy(slowdown.service, sizeof(slowdown.service), service ? service : "");
	slowdown.pct = query_number(req, "pct");
	slowdown.factor = query_number(req, "factor");
	cs_timer_stop(&slowdown.timer);
	cs_timer_init(&slowdown.timer, on_slowdown_period, NULL);
	if (period_ms > 0)
		cs_timer_start_every(timers, &slowdown.timer, (uint64_t)(period_ms * CS_US_PER_MS));
	on_slowdown_period(NULL, NULL);
}

static void reply_stats(struct cs_http_req *req)
{
	json_t *doc = json_array();
	struct server *s;
	char *text;

	TAILQ_FOREACH(s, &servers, entry)
		json_array_append_new(
			doc, json_pack("{s:s,s:s,s:s,s:I,s:I,s:I,s:i,s:i,s:i,s:f,s:i}", "name",
				       s->name, "service", s->service, "zone", s->zone, "runs",
				       (json_int_t)s->runs, "refused", (json_int_t)s->refused,
				       "cancelled", (json_int_t)s->cancelled, "present",
				       (int)s->outstanding, "peak", (int)s->peak_outstanding,
				       "connections", (int)mhd_listener_connections(s->listener),
				       "mean_us", s->mean_us, "state", (int)s->behaviour.state));
	text = json_dumps(doc, JSON_COMPACT);
	cs_http_reply(req, 200, NULL, text, strlen(text));
	free(text);
	json_decref(doc);
}

static void on_control(struct cs_http_req *req, void *arg)
{
	const char *path = cs_http_path(req);
	unsigned n = 0;
	char text[64];

	if (strcmp(path, "/standin/stats") == 0) {
		reply_stats(req);
		return;
	}
	if (strcmp(path, "/standin/clock") == 0) {
		snprintf(text, sizeof(text), "%llu\n", (unsigned long long)cs_mono_us());
		cs_http_reply(req, 200, "text/plain", text, strlen(text));
		return;
	}
	if (strcmp(path, "/standin/set") == 0) {
		n = set_behaviours(req);
	} else if (strcmp(path, "/standin/cold") == 0) {
		n = reset_warm_runs(req);
	} else if (strcmp(path, "/standin/slow") == 0) {
		set_slowdown(req);
	} else {
		cs_http_reply(req, 404, "text/plain", "unknown control\n", 16);
		return;
	}
	snprintf(text, sizeof(text), "{\"matched\":%u}\n", n);
	cs_http_reply(req, 200, NULL, text, strlen(text));
}

bool control_start(const char *addr, uint16_t port, struct cs_msg *msg)
{
	return cs_httpd_create(loop, timers, addr, port, 4096, on_control, NULL, msg) != NULL;
}
