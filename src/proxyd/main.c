/* cassia-proxyd: forwards client requests to backend servers. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "src/proxyd/proxyd.h"

/* Interval at which queued requests are reconsidered even without an event. */
#define DISPATCH_INTERVAL_US (20 * CS_US_PER_MS)
/* A longer time between two iterations of the event loop means that the process was not running. */
#define LOOP_GAP_US (2 * CS_US_PER_S)

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

static void on_prepare(struct ev_loop *loop, ev_prepare *w, int events);
static void on_keep_awake(struct ev_loop *loop, ev_idle *w, int events);
static void on_dispatch_timer(struct cs_timer *t, void *arg);
static void on_suspend(uint64_t gap_us, void *arg);

/* Names are sent in messages and headers: 1 to 47 characters of [A-Za-z0-9._-]. */
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

/* Each connection to a client or server needs a descriptor; the usual soft limit is 1024. */
static void raise_descriptor_limit(void)
{
	struct rlimit rl;

	if (getrlimit(RLIMIT_NOFILE, &rl) != 0)
		return;
	rl.rlim_cur = rl.rlim_max;
	setrlimit(RLIMIT_NOFILE, &rl);
}

/* Creates the parts that need no external service. */
static void proxyd_create(struct proxyd *p)
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
	cs_rng_seed(&p->id_rng, cs_random_u64());
	p->policy = cs_policy_create(&opts);
	p->outcomes = outcomes_create(OUTCOME_ENTRIES_MAX, OUTCOME_BYTES_MAX, OUTCOME_KEEP_US);
	cs_timer_init(&p->dispatch_timer, on_dispatch_timer, p);
	cs_timer_start_every(p->timers, &p->dispatch_timer, DISPATCH_INTERVAL_US);
	cs_timers_on_suspend(p->timers, LOOP_GAP_US, on_suspend, p);
	stats_init(&p->stats);
	/*
	 * Runs before the watcher of the ingress, so that responses are sent in the same loop
	 * iteration, and after the watchers of the transfer pools, which are started below: libev
	 * calls watchers of one priority in reverse order of their start.
	 */
	ev_prepare_init(&p->prepare, on_prepare);
	ev_set_priority(&p->prepare, EV_MAXPRI);
	p->prepare.data = p;
	ev_prepare_start(p->loop, &p->prepare);
	ev_idle_init(&p->keep_awake, on_keep_awake);
	p->server_pool =
		cs_transfer_pool_create(p->loop, p->timers, p->bind_source ? p->address : NULL);
	p->hop_pool =
		cs_transfer_pool_create(p->loop, p->timers, p->bind_source ? p->address : NULL);
	stop_init(p);
}

static void proxyd_destroy(struct proxyd *p)
{
	listener_stop(p);
	if (p->link != NULL)
		view_stop(p);
	cs_transfer_pool_destroy(p->server_pool);
	cs_transfer_pool_destroy(p->hop_pool);
	ev_prepare_stop(p->loop, &p->prepare);
	ev_idle_stop(p->loop, &p->keep_awake);
	outcomes_destroy(p->outcomes);
	cs_policy_destroy(p->policy);
	stats_free(&p->stats);
	cs_timers_destroy(p->timers);
	ev_loop_destroy(p->loop);
}

/* An active idle watcher keeps the loop from blocking; there is nothing else to do. */
static void on_keep_awake(struct ev_loop *loop, ev_idle *w, int events)
{
}

void proxyd_wake(struct proxyd *p)
{
	ev_idle_start(p->loop, &p->keep_awake);
}

/* Slots also become available without an event, when a back-off, hold or ejection ends. */
static void on_dispatch_timer(struct cs_timer *t, void *arg)
{
	struct proxyd *p = arg;

	p->dispatch_waiting = true;
}

static void on_suspend(uint64_t gap_us, void *arg)
{
	struct proxyd *p = arg;

	cs_log(CS_WARNING, "main",
	       "Event loop was blocked or the process was suspended. gap_ms=%llu",
	       (unsigned long long)(gap_us / CS_US_PER_MS));
	cs_policy_suspended(p->policy, cs_mono_us());
}

/* Dispatches queued requests that can proceed now. */
static void on_prepare(struct ev_loop *loop, ev_prepare *w, int events)
{
	struct proxyd *p = w->data;
	struct cs_policy_request *policy_request;

	ev_idle_stop(loop, &p->keep_awake);
	if (!p->dispatch_waiting)
		return;
	p->dispatch_waiting = false;
	while ((policy_request = cs_policy_next_waiting(p->policy, cs_mono_us())) != NULL)
		request_decide(policy_request->arg);
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
	case CS_SETTINGS_INVALID:
		goto bad;
	case CS_SETTINGS_OK:
		break;
	}
	cs_log_open("cassia-proxyd",
		    (enum cs_log_level)cs_log_level_parse(cs_setting_text(settings, "log-level")));
	if (!check_settings(&p, &msg))
		goto bad;
	signal(SIGPIPE, SIG_IGN);
	raise_descriptor_limit();
	curl_global_init(CURL_GLOBAL_NOTHING);
	proxyd_create(&p);
	if (!view_start(&p, cs_setting_text(settings, "agent"), &msg))
		goto out;
	if (cs_setting_int(settings, "check")) {
		rc = 0;
		goto out;
	}
	if (!listener_start(&p, &msg))
		goto out;
	cs_log(CS_NOTICE, "main", "Listening. address=%s port=%u instance=%s zone=%s", p.address,
	       p.port, p.instance, p.zone);
	ev_run(p.loop, 0);
	cs_log(CS_NOTICE, "main", "Stopped. connections=%u", cs_ingress_connections(p.ingress));
	rc = 0;
out:
	if (rc != 0)
		fprintf(stderr, "cassia-proxyd: %s\n", msg.text);
	proxyd_destroy(&p);
	curl_global_cleanup();
	cs_settings_free(settings);
	return rc;
bad:
	fprintf(stderr, "cassia-proxyd: %s\n", msg.text);
	cs_settings_free(settings);
	return 2;
}
