/* cassia-load: settings, pacing of requests, and shutdown. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "src/load/load.h"

#define RESPONSE_WAIT_MAX_US (20 * CS_US_PER_S) /* after the end of sending */
#define START_BURST_MAX 4096 /* requests started before the event loop reads responses again */

struct load load;

static struct cs_setting settings[] = {
	{.name = "plan",
	 .def = NULL,
	 .unit = "",
	 .help = "JSON file with callers and streams, - for standard input"},
	{.name = "history",
	 .def = "",
	 .unit = "",
	 .help = "JSON lines, one per request; empty: none"},
	{.name = "summary", .def = "", .unit = "", .help = "file for the summary as JSON"},
	{.name = NULL},
};

static ev_io pacing_io;
static int pacing_fd;
static struct cs_timer housekeeping_timer;

/* Draws the time between a request of the stream and the next one. */
static uint64_t draw_interarrival_us(struct stream *s)
{
	double mean = (double)CS_US_PER_S / s->rate;

	if (s->even_arrivals)
		return (uint64_t)mean;
	return (uint64_t)(-mean * __builtin_log(1 - cs_rng_unit(&s->rng)));
}

/* Starts due requests of open-loop streams; returns when the next is due, UINT64_MAX if none is. */
static uint64_t start_due(uint64_t now)
{
	uint64_t next = UINT64_MAX;
	unsigned n = 0;
	struct stream *s;

	TAILQ_FOREACH(s, &load.streams, entry) {
		if (s->rate <= 0)
			continue;
		while (s->next_us <= now && s->next_us < load.start_us + s->to_us &&
		       n++ < START_BURST_MAX) {
			request_start(s, s->next_us);
			s->next_us += draw_interarrival_us(s);
		}
		if (s->next_us < load.start_us + s->to_us && s->next_us < next)
			next = s->next_us;
	}
	return next;
}

/* Uses a timerfd, as the timeout of the event loop has a resolution of only 1 ms. */
static void pacing_arm(uint64_t at_us)
{
	struct itimerspec it = {.it_value = {.tv_sec = (time_t)(at_us / CS_US_PER_S),
					     .tv_nsec = (long)(at_us % CS_US_PER_S) * 1000}};

	timerfd_settime(pacing_fd, TFD_TIMER_ABSTIME, &it, NULL);
}

static void on_pacing_timer(struct ev_loop *loop, ev_io *w, int events)
{
	uint64_t expirations, next;

	if (read(w->fd, &expirations, sizeof(expirations)) < 0)
		return;
	next = start_due(cs_mono_us());
	if (next != UINT64_MAX)
		pacing_arm(next);
}

/* Starts requests of a closed-loop stream up to its concurrency. */
static void fill_closed_loop(struct stream *s)
{
	uint64_t now = cs_mono_us();

	while (s->rate <= 0 && s->running < s->concurrency && now >= load.start_us + s->from_us &&
	       now < load.start_us + s->to_us)
		request_start(s, now);
}

void load_request_done(struct stream *s)
{
	s->running--;
	load.running--;
	if (s->rate <= 0)
		fill_closed_loop(s);
}

static void on_housekeeping(struct cs_timer *t, void *arg)
{
	uint64_t now = cs_mono_us();
	struct stream *s;

	TAILQ_FOREACH(s, &load.streams, entry)
		fill_closed_loop(s);
	if (now >= load.end_us && (load.running == 0 || now > load.end_us + RESPONSE_WAIT_MAX_US))
		ev_break(load.loop, EVBREAK_ALL);
}

/* Stops sending; outstanding responses are still recorded. */
static void on_signal(struct ev_loop *loop, ev_signal *w, int events)
{
	uint64_t now = cs_mono_us();
	struct stream *s;

	TAILQ_FOREACH(s, &load.streams, entry)
		if (load.start_us + s->to_us > now)
			s->to_us = now - load.start_us;
	if (load.end_us > now)
		load.end_us = now;
}

static void start_sending(void)
{
	struct stream *s;

	load.start_us = cs_mono_us();
	load.end_us = load.start_us;
	TAILQ_FOREACH(s, &load.streams, entry) {
		if (load.start_us + s->to_us > load.end_us)
			load.end_us = load.start_us + s->to_us;
		if (s->rate > 0)
			s->next_us = load.start_us + s->from_us + draw_interarrival_us(s);
	}
	pacing_fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	ev_io_init(&pacing_io, on_pacing_timer, pacing_fd, EV_READ);
	ev_io_start(load.loop, &pacing_io);
	pacing_arm(load.start_us + 1);
	cs_timer_init(&housekeeping_timer, on_housekeeping, NULL);
	cs_timer_start_every(load.timers, &housekeeping_timer, 10 * CS_US_PER_MS);
}

static bool write_summary(const char *path, const char *text)
{
	FILE *f;

	puts(text);
	if (*path == '\0')
		return true;
	f = fopen(path, "w");
	if (f == NULL)
		return false;
	fprintf(f, "%s\n", text);
	return fclose(f) == 0;
}

int main(int argc, char **argv)
{
	ev_signal term, intr;
	struct cs_msg msg;
	uint64_t sending_us;
	char *text;
	bool ok;

	cs_log_open("cassia-load", CS_INFO);
	switch (cs_settings_load(settings, "Load and experiment tool", &argc, &argv, &msg)) {
	case CS_SETTINGS_EXIT:
		return 0;
	case CS_SETTINGS_INVALID:
		fprintf(stderr, "cassia-load: %s\n", msg.text);
		return 2;
	case CS_SETTINGS_OK:
		break;
	}
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	load.loop = ev_default_loop(0);
	load.timers = cs_timers_create(load.loop);
	load.curl = cs_curl_create(load.loop, load.timers);
	curl_multi_setopt(cs_curl_multi(load.curl), CURLMOPT_MAXCONNECTS, 4000L);
	load.run_id = cs_random_u64();
	TAILQ_INIT(&load.streams);
	if (!plan_load(cs_setting_text(settings, "plan"), &msg) ||
	    !record_open(cs_setting_text(settings, "history"), &msg)) {
		fprintf(stderr, "cassia-load: %s\n", msg.text);
		return 2;
	}
	ev_signal_init(&term, on_signal, SIGTERM);
	ev_signal_init(&intr, on_signal, SIGINT);
	ev_signal_start(load.loop, &term);
	ev_signal_start(load.loop, &intr);
	start_sending();
	ev_run(load.loop, 0);
	sending_us = load.end_us > load.start_us ? load.end_us - load.start_us : 1;
	record_close();
	text = record_summary((double)sending_us / CS_US_PER_S);
	ok = write_summary(cs_setting_text(settings, "summary"), text);
	free(text);
	return ok ? 0 : 1;
}
