/* cassia-lookupd: HTTP service that tells clients to which instances to send their requests. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "src/lookupd/lookupd.h"

#define LOG_COMPONENT "lookup"
#define BODY_MAX 1024 /* bytes; lookups have no body */
/*
 * A planned stop keeps answering lookups for up to this long after /readyz has turned to 503, so
 * that clients notice before the port closes.
 */
#define STOP_SERVE_MAX_MS 2000
/* Time to finish requests that are still being received when the listening socket closes. */
#define STOP_DRAIN_MS 500

static struct cs_setting settings[] = {
	{.name = "instance", .unit = "", .help = "Name of this instance in the platform's list"},
	{.name = "zone", .unit = "", .help = "Availability zone of this instance"},
	{.name = "address",
	 .def = "127.0.0.1",
	 .unit = "",
	 .help = "IP address to bind and send from"},
	{.name = "port",
	 .kind = CS_SET_INT,
	 .def = "8081",
	 .min = 0,
	 .max = 65535,
	 .unit = "port",
	 .help = "HTTP port of lookups and admin paths, 0 takes a free one"},
	{.name = "agent",
	 .def = "tcp://127.0.0.1:7002",
	 .unit = "",
	 .help = "Local endpoint of the agent, tcp://IP:PORT"},
	{.name = "log-level",
	 .kind = CS_SET_CHOICE,
	 .def = "notice",
	 .choices = "err|warning|notice|info|debug",
	 .unit = "",
	 .help = "Highest level that is logged: "},
	{.name = "check",
	 .kind = CS_SET_BOOL,
	 .def = "no",
	 .unit = "",
	 .help = "Check the settings and exit"},
	{.name = NULL},
};

static struct lookupd lookupd;
static struct cs_timer stop_timer;

static void on_request(struct cs_http_req *req, void *arg);
static void on_view(const struct cs_view *v, void *arg);
static void on_report(struct cs_report *r, void *arg);
static void on_signal(struct ev_loop *loop, ev_signal *w, int events);

static void on_request(struct cs_http_req *req, void *arg)
{
	struct lookupd *d = arg;
	const char *path = cs_http_path(req);

	if (strcmp(path, "/v1/lookup") == 0)
		handle_lookup(d, req);
	else if (strcmp(path, "/v1/locate") == 0)
		handle_locate(d, req);
	else if (!admin_handle(d, req))
		send_error(req, 404, "unknown_path",
			   "paths are /v1/lookup /v1/locate /v1/config /v1/state /healthz /readyz "
			   "/metrics");
}

static void on_view(const struct cs_view *v, void *arg)
{
	struct lookupd *d = arg;

	steer_update(d->steer, v);
}

static void on_report(struct cs_report *r, void *arg)
{
	struct lookupd *d = arg;
	const struct cs_view *v = steer_view(d->steer);

	r->ready = v != NULL && !d->stopping;
	r->stopping = d->stopping;
	r->revision = v != NULL ? v->cfg->revision : 0;
}

static void on_drain_end(struct cs_timer *t, void *arg)
{
	struct lookupd *d = arg;

	ev_break(d->loop, EVBREAK_ALL);
}

static void on_serve_end(struct cs_timer *t, void *arg)
{
	struct lookupd *d = arg;

	cs_httpd_quiesce(d->httpd);
	cs_timer_init(&stop_timer, on_drain_end, d);
	cs_timer_start(d->timers, &stop_timer, STOP_DRAIN_MS * CS_US_PER_MS);
}

/* Planned stop: report not ready, answer for one lookup TTL, close the listening socket, exit. */
static void on_signal(struct ev_loop *loop, ev_signal *w, int events)
{
	struct lookupd *d = w->data;
	const struct cs_view *v = steer_view(d->steer);
	uint64_t serve_ms = v != NULL ? v->cfg->shift.lookup_ttl_ms : 0;

	if (d->stopping)
		return;
	if (serve_ms > STOP_SERVE_MAX_MS)
		serve_ms = STOP_SERVE_MAX_MS;
	d->stopping = true;
	cs_log(CS_NOTICE, LOG_COMPONENT, "planned stop started. signal=%d answer_ms=%lu", w->signum,
	       (unsigned long)serve_ms);
	cs_link_send_report(d->link);
	cs_timer_init(&stop_timer, on_serve_end, d);
	cs_timer_start(d->timers, &stop_timer, serve_ms * CS_US_PER_MS);
}

static void create_counters(struct lookupd *d)
{
	static const char name[] = "cassia_lookup_refused_total", help[] = "Lookups refused.";

	d->metrics = cs_metrics_create();
	d->not_ready = cs_metrics_counter(d->metrics, name, "reason=\"not_ready\"", help);
	d->unknown_class = cs_metrics_counter(d->metrics, name, "reason=\"unknown_class\"", help);
	d->malformed = cs_metrics_counter(d->metrics, name, "reason=\"malformed\"", help);
	d->no_instance = cs_metrics_counter(d->metrics, name, "reason=\"no_instance\"", help);
	d->lookup_us = cs_metrics_hist(d->metrics, "cassia_lookup_us", "",
				       "Time to make one answer, in us.");
}

/* Creates all components; false and a message if one fails. */
static bool start(struct lookupd *d, struct cs_msg *msg)
{
	const char *addr = cs_setting_text(settings, "address");

	d->instance = cs_setting_text(settings, "instance");
	d->zone = cs_setting_text(settings, "zone");
	d->loop = ev_default_loop(0);
	d->timers = cs_timers_create(d->loop);
	d->steer = steer_create(d->timers);
	create_counters(d);
	d->link = cs_link_create(d->loop, d->timers, cs_setting_text(settings, "agent"), addr,
				 CS_LINK_LOOKUP, on_view, on_report, d, msg);
	if (d->link == NULL)
		return false;
	if (cs_setting_int(settings, "check"))
		return true;
	d->httpd = cs_httpd_create(d->loop, d->timers, addr,
				   (uint16_t)cs_setting_int(settings, "port"), BODY_MAX, on_request,
				   d, msg);
	return d->httpd != NULL;
}

static void stop(struct lookupd *d)
{
	cs_timer_stop(&stop_timer);
	cs_httpd_destroy(d->httpd);
	cs_link_destroy(d->link);
	steer_destroy(d->steer);
	cs_metrics_destroy(d->metrics);
	free(d->class_lookups);
	cs_timers_destroy(d->timers);
	ev_loop_destroy(d->loop);
}

static void run(struct lookupd *d)
{
	ev_signal term, intr;

	ev_signal_init(&term, on_signal, SIGTERM);
	ev_signal_init(&intr, on_signal, SIGINT);
	term.data = intr.data = d;
	ev_signal_start(d->loop, &term);
	ev_signal_start(d->loop, &intr);
	cs_log(CS_NOTICE, LOG_COMPONENT, "listening. instance=%s zone=%s address=%s port=%u",
	       d->instance, d->zone, cs_setting_text(settings, "address"), cs_httpd_port(d->httpd));
	ev_run(d->loop, 0);
	ev_signal_stop(d->loop, &term);
	ev_signal_stop(d->loop, &intr);
	cs_log(CS_NOTICE, LOG_COMPONENT, "stopped.");
}

int main(int argc, char **argv)
{
	enum cs_settings_status st;
	struct cs_msg msg = {""};
	bool ok;

	st = cs_settings_load(settings, "Tells callers which entry instances to use.", &argc, &argv,
			      &msg);
	if (st != CS_SETTINGS_OK) {
		if (st == CS_SETTINGS_INVALID)
			fprintf(stderr, "cassia-lookupd: %s\n", msg.text);
		cs_settings_free(settings);
		return st == CS_SETTINGS_EXIT ? 0 : 2;
	}
	cs_log_open("cassia-lookupd",
		    (enum cs_log_level)cs_log_level_parse(cs_setting_text(settings, "log-level")));
	signal(SIGPIPE, SIG_IGN);
	ok = start(&lookupd, &msg);
	if (!ok)
		fprintf(stderr, "cassia-lookupd: %s\n", msg.text);
	else if (!cs_setting_int(settings, "check"))
		run(&lookupd);
	stop(&lookupd);
	cs_settings_free(settings);
	return ok ? 0 : 2;
}
