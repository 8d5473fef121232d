/*
 * standin-probe: polls the state of all daemons and writes one JSON line, called a fact, for each
 * change of a daemon's active revision. The history checker and the benchmarks read the facts. The
 * time of a fact is the time at which the poll was sent.
 */
#include <errno.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http/http.h"

#define POLL_TIMEOUT_MS 500
#define REWRITE_INTERVAL_US (1 * CS_US_PER_S) /* an unchanged revision is written again */

struct target {
	char name[96], zone[64], url[128];
	uint64_t polled_us, written_us;
	int64_t revision; /* last written; -1: none */
	int64_t n_disconnects; /* written instead of an incarnation if the state has none */
	struct cs_fetch *fetch;
};

static struct cs_setting settings[] = {
	{.name = "list",
	 .def = NULL,
	 .unit = "",
	 .help = "JSON file: array of objects with name, zone and url"},
	{.name = "out", .def = NULL, .unit = "", .help = "output file for facts, JSON lines"},
	{.name = "interval-ms",
	 .kind = CS_SET_INT,
	 .def = "100",
	 .min = 5,
	 .max = 10000,
	 .unit = "ms",
	 .help = "time between polls of one daemon"},
	{.name = NULL},
};

static struct cs_curl *curl;
static struct target *targets;
static size_t n_targets;
static FILE *out;

/* Incarnation of the daemon's process, which changes with each restart; 0 if absent. */
static int64_t incarnation_of(json_t *doc)
{
	json_t *v = json_object_get(doc, "incarnation");

	return json_is_integer(v) ? json_integer_value(v) : 0;
}

static void on_state(const struct cs_fetch_result *res, void *arg)
{
	struct target *t = arg;
	json_t *doc, *revision, *ready;
	int64_t incarnation;

	t->fetch = NULL;
	if (res->code != CURLE_OK) {
		/* After a refused or reset connection the daemon may be a new process. */
		if (res->code != CURLE_OPERATION_TIMEDOUT)
			t->n_disconnects++;
		t->revision = -1;
		return;
	}
	doc = json_loadb(res->body, res->len, 0, NULL);
	revision = json_object_get(doc, "revision");
	ready = json_object_get(doc, "ready");
	incarnation = incarnation_of(doc);
	/* A daemon that is not ready has no active revision. */
	if (json_is_integer(revision) && json_integer_value(revision) > 0 &&
	    !json_is_false(ready) &&
	    (json_integer_value(revision) != t->revision ||
	     t->polled_us - t->written_us > REWRITE_INTERVAL_US)) {
		t->revision = json_integer_value(revision);
		t->written_us = t->polled_us;
		fprintf(out,
			"{\"fact\":\"seen\",\"name\":\"%s\",\"zone\":\"%s\",\"boot\":%lld,"
			"\"revision\":%lld,\"from_us\":%llu}\n",
			t->name, t->zone, (long long)(incarnation ? incarnation : t->n_disconnects),
			(long long)t->revision, (unsigned long long)t->polled_us);
	}
	json_decref(doc);
}

static void on_poll(struct cs_timer *timer, void *arg)
{
	struct cs_fetch_opts opts = {.timeout_ms = POLL_TIMEOUT_MS, .max_response = 4 << 20};
	size_t i;

	for (i = 0; i < n_targets; i++) {
		if (targets[i].fetch != NULL)
			continue;
		opts.url = targets[i].url;
		targets[i].polled_us = cs_mono_us();
		targets[i].fetch = cs_fetch_start(curl, &opts, on_state, &targets[i]);
	}
}

static void on_flush(struct cs_timer *timer, void *arg)
{
	fflush(out);
}

static bool load_targets(const char *path, struct cs_msg *msg)
{
	const char *name, *zone, *url;
	json_error_t err;
	json_t *doc = json_load_file(path, 0, &err), *row;
	size_t i;

	n_targets = json_array_size(doc);
	targets = cs_xcalloc(n_targets + 1, sizeof(*targets));
	json_array_foreach(doc, i, row) {
		if (json_unpack(row, "{s:s,s:s,s:s}", "name", &name, "zone", &zone, "url", &url)) {
			cs_msg_set(msg, "entry %zu: missing or malformed field", i);
			return false;
		}
		cs_copy(targets[i].name, sizeof(targets[i].name), name);
		cs_copy(targets[i].zone, sizeof(targets[i].zone), zone);
		cs_copy(targets[i].url, sizeof(targets[i].url), url);
		targets[i].revision = -1;
	}
	json_decref(doc);
	if (n_targets == 0)
		cs_msg_set(msg, "%s: no entries, or not a valid JSON array", path);
	return n_targets > 0;
}

static void on_signal(struct ev_loop *l, ev_signal *w, int events)
{
	ev_break(l, EVBREAK_ALL);
}

int main(int argc, char **argv)
{
	struct cs_timer poll, flush;
	struct cs_timers *timers;
	struct ev_loop *loop;
	ev_signal term, intr;
	struct cs_msg msg;

	switch (cs_settings_load(settings, "Records the active revisions of daemons for tests",
				 &argc, &argv, &msg)) {
	case CS_SETTINGS_EXIT:
		return 0;
	case CS_SETTINGS_INVALID:
		fprintf(stderr, "standin-probe: %s\n", msg.text);
		return 2;
	case CS_SETTINGS_OK:
		break;
	}
	signal(SIGPIPE, SIG_IGN);
	loop = ev_default_loop(0);
	timers = cs_timers_create(loop);
	curl = cs_curl_create(loop, timers);
	if (!load_targets(cs_setting_text(settings, "list"), &msg)) {
		fprintf(stderr, "standin-probe: %s\n", msg.text);
		return 2;
	}
	out = fopen(cs_setting_text(settings, "out"), "w");
	if (out == NULL) {
		fprintf(stderr, "standin-probe: %s\n", strerror(errno));
		return 2;
	}
	cs_timer_init(&poll, on_poll, NULL);
	cs_timer_init(&flush, on_flush, NULL);
	cs_timer_start_every(timers, &poll,
			     (uint64_t)cs_setting_int(settings, "interval-ms") * CS_US_PER_MS);
	cs_timer_start_every(timers, &flush, 200 * CS_US_PER_MS);
	ev_signal_init(&term, on_signal, SIGTERM);
	ev_signal_init(&intr, on_signal, SIGINT);
	ev_signal_start(loop, &term);
	ev_signal_start(loop, &intr);
	ev_run(loop, 0);
	fclose(out);
	return 0;
}
