/* cassia-proxyd: takes callers' requests and forwards them to backend servers. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "src/proxyd/proxyd.h"

/* How often waiting requests are decided again without an event. */
#define RETRY_US (20 * CS_US_PER_MS)
/* A longer pause between two turns of the loop counts as a freeze. */
#define GAP_US (2 * CS_US_PER_S)

static struct cs_setting settings[] = {
	{.name = "instance", .kind = CS_SET_STRING, .unit = "", .help = "Name of this instance"},
	{.name = "zone", .kind = CS_SET_STRING, .unit = "", .help = "Availability zone"},
	{.name = "address",
	 .kind = CS_SET_STRING,
	 .def = "127.0.0.1",
	 .unit = "",
	 .help = "IPv4 address to listen on and to connect from"},
	{.name = "port",
	 .kind = CS_SET_INT,
	 .def = "8080",
	 .max = 65535,
	 .unit = "",
	 .help = "HTTP port; 0 takes a free one"},
	{.name = "agent",
	 .kind = CS_SET_STRING,
	 .def = "tcp://127.0.0.1:7002",
	 .unit = "",
	 .help = "Local endpoint of the instance's agent"},
	{.name = "choice",
	 .kind = CS_SET_CHOICE,
	 .def = "least",
	 .choices = CS_CHOICE_NAMES,
	 .unit = "",
	 .help = "Choice of server"},
	{.name = "backoff",
	 .kind = CS_SET_CHOICE,
	 .def = "wait",
	 .choices = CS_BACKOFF_NAMES,
	 .unit = "",
	 .help = "When every server is in back-off"},
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
	{0},
};

static void on_before(struct ev_loop *loop, ev_prepare *w, int events);
static void on_awake(struct ev_loop *loop, ev_idle *w, int events);
static void on_retry(struct cs_timer *t, void *arg);
static void on_gap(uint64_t gap_us, void *arg);

/* Names travel in messages and headers: 1 to 47 of [A-Za-z0-9._-]. */
static bool check_setting_name(const char *setting, const char *value, struct cs_msg *msg)
{
	if (strlen(value) < CS_NAME_MAX && check_request_id(value))
		return true;
	cs_msg_set(msg, "%s: value '%s' is not allowed; use 1 to %d of A-Z a-z 0-9 . _ -", setting,
		   value, CS_NAME_MAX - 1);
	return false;
}

static bool check_settings(struct proxyd *p, struct cs_msg *msg)
{
	uint8_t addr[16];

	p->settings = settings;
	p->instance = cs_setting_text(settings, "instance");
	p->zone = cs_setting_text(settings, "zone");
	p->address = cs_setting_text(settings, "address");
	p->port = (uint16_t)cs_setting_int(settings, "port");
	p->bind_source = strcmp(p->address, "127.0.0.1") != 0 && strcmp(p->address, "0.0.0.0") != 0;
	if (!check_setting_name("--instance", p->instance, msg) ||
	    !check_setting_name("--zone", p->zone, msg))
		return false;
	if (!cs_addr_parse(p->address, addr) || strchr(p->address, ':') != NULL) {
		cs_msg_set(msg, "--address: value '%s' is not allowed; use an IPv4 address",
			   p->address);
		return false;
	}
	return true;
}

/* Each caller and each server connection is one descriptor; the usual soft limit is 1024. */
static void raise_descriptor_limit(void)
{
	struct rlimit rl;

	if (getrlimit(RLIMIT_NOFILE, &rl) != 0)
		return;
	rl.rlim_cur = rl.rlim_max;
	setrlimit(RLIMIT_NOFILE, &rl);
}

/* Creates what needs no outside system. */
static void parts_create(struct proxyd *p)
{
	struct cs_policy_opts opts = {0};

	p->loop = ev_default_loop(EVFLAG_AUTO);
	p->timers = cs_timers_create(p->loop);
	TAILQ_INIT(&p->requests);
	cs_copy(opts.instance, sizeof(opts.instance), p->instance);
	cs_copy(opts.zone, sizeof(opts.zone), p->zone);
	opts.choice = (enum cs_choice)cs_setting_int(settings, "choice");
	opts.backoff = (enum cs_backoff_mode)cs_setting_int(settings, "backoff");
	opts.seed = cs_random_u64();
	cs_rng_seed(&p->ids, cs_random_u64());
	p->policy = cs_policy_create(&opts);
	p->outcomes = outcomes_create(OUTCOME_ENTRIES_MAX, OUTCOME_BYTES_MAX, OUTCOME_KEEP_US);
	cs_timer_init(&p->retry, on_retry, p);
	cs_timer_start_every(p->timers, &p->retry, RETRY_US);
	cs_timers_on_gap(p->timers, GAP_US, on_gap, p);
	stats_init(&p->stats);
	/*
	 * Runs before MHD's own watcher, so that answers go out in the same turn, and after those
	 * of the lanes: libev calls watchers of one priority last started first.
	 */
	ev_prepare_init(&p->before, on_before);
	ev_set_priority(&p->before, EV_MAXPRI);
	p->before.data = p;
	ev_prepare_start(p->loop, &p->before);
	ev_idle_init(&p->awake, on_awake);
	p->servers = cs_lanes_create(p->loop, p->timers, p->bind_source ? p->address : NULL);
	p->hops = cs_lanes_create(p->loop, p->timers, p->bind_source ? p->address : NULL);
	stop_watch(p);
}

static void parts_destroy(struct proxyd *p)
{
	server_stop(p);
	if (p->link != NULL)
		view_stop(p);
	cs_lanes_destroy(p->servers);
	cs_lanes_destroy(p->hops);
	ev_prepare_stop(p->loop, &p->before);
	ev_idle_stop(p->loop, &p->awake);
	outcomes_destroy(p->outcomes);
	cs_policy_destroy(p->policy);
	stats_free(&p->stats);
	cs_timers_destroy(p->timers);
	ev_loop_destroy(p->loop);
}

/* Only keeps the loop from sleeping. */
static void on_awake(struct ev_loop *loop, ev_idle *w, int events)
{
}

void proxyd_wake(struct proxyd *p)
{
	ev_idle_start(p->loop, &p->awake);
}

/* Slots also open by time: at the end of a back-off, of a hold or of an ejection. */
static void on_retry(struct cs_timer *t, void *arg)
{
	struct proxyd *p = arg;

	p->pump = true;
}

static void on_gap(uint64_t gap_us, void *arg)
{
	struct proxyd *p = arg;

	cs_log(CS_WARNING, "main", "Process did not run. gap_ms=%llu",
	       (unsigned long long)(gap_us / CS_US_PER_MS));
	cs_policy_suspended(p->policy, cs_mono_us());
}

/* Waiting requests that can go on now. */
static void on_before(struct ev_loop *loop, ev_prepare *w, int events)
{
	struct proxyd *p = w->data;
	struct cs_policy_request *ask;

	ev_idle_stop(loop, &p->awake);
	if (!p->pump)
		return;
	p->pump = false;
	while ((ask = cs_policy_next_waiting(p->policy, cs_mono_us())) != NULL)
		request_decide(ask->arg);
}

int main(int argc, char **argv)
{
	struct proxyd p = {0};
	struct cs_msg msg;
	int rc = 1;

	switch (cs_settings_load(settings, "Forwards requests to backend servers.", &argc, &argv,
				 &msg)) {
	case CS_SETTINGS_EXIT:
		cs_settings_free(settings);
		return 0;
	case CS_SETTINGS_BAD:
		goto bad;
	case CS_SETTINGS_OK:
		break;
	}
	cs_log_open("cassia-proxyd",
		    (enum cs_level)cs_log_level_parse(cs_setting_text(settings, "log-level")));
	if (!check_settings(&p, &msg))
		goto bad;
	signal(SIGPIPE, SIG_IGN);
	raise_descriptor_limit();
	curl_global_init(CURL_GLOBAL_NOTHING);
	parts_create(&p);
	if (!view_start(&p, cs_setting_text(settings, "agent"), &msg))
		goto out;
	if (cs_setting_int(settings, "check")) {
		rc = 0;
		goto out;
	}
	if (!server_start(&p, &msg))
		goto out;
	cs_log(CS_NOTICE, "main", "Listening. address=%s port=%u instance=%s zone=%s", p.address,
	       p.port, p.instance, p.zone);
	ev_run(p.loop, 0);
	cs_log(CS_NOTICE, "main", "Stopped. connections=%u", cs_ingress_connections(p.ingress));
	rc = 0;
out:
	if (rc != 0)
		fprintf(stderr, "cassia-proxyd: %s\n", msg.text);
	parts_destroy(&p);
	curl_global_cleanup();
	cs_settings_free(settings);
	return rc;
bad:
	fprintf(stderr, "cassia-proxyd: %s\n", msg.text);
	cs_settings_free(settings);
	return 2;
}
