/* cassia-node: the one process of an instance on the users' platform. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "src/node/node.h"

/* How often plans and sums are renewed. */
#define TICK_US (50 * CS_US_PER_MS)

static struct cs_setting flags[] = {
	{.name = "settings",
	 .kind = CS_SET_STRING,
	 .def = "",
	 .unit = "",
	 .help = "Settings file; default: the path that the platform's variable names"},
	{.name = "metrics-port",
	 .kind = CS_SET_INT,
	 .def = "0",
	 .max = 65535,
	 .unit = "",
	 .help = "Port of /metrics; 0 serves none"},
	{.name = "log-level",
	 .kind = CS_SET_CHOICE,
	 .def = "notice",
	 .choices = "err|warning|notice|info|debug",
	 .unit = "",
	 .help = "Highest level that is logged on standard error: "},
	{.name = "check",
	 .kind = CS_SET_BOOL,
	 .def = "no",
	 .unit = "",
	 .help = "Check the settings and exit"},
	{0},
};

static void on_tick(struct cs_timer *t, void *arg);
static void on_pump(struct cs_timer *t, void *arg);

bool node_ready(const struct node *n)
{
	return n->stop == STOP_NO && feed_known(n->feed) && cs_steer_current(n->steer) != NULL;
}

void node_self(const struct node *n, struct cs_steer_member *out)
{
	memset(out, 0, sizeof(*out));
	cs_copy(out->name, sizeof(out->name), n->settings.instance);
	cs_copy(out->zone, sizeof(out->zone), n->settings.zone);
	snprintf(out->front, sizeof(out->front), "%s:%u", n->settings.front.addr,
		 n->settings.front.port);
	out->boot = n->boot;
	out->ready = node_ready(n);
	out->leaving = n->stop != STOP_NO;
	out->store_steady = feed_steady(n->feed);
}

static void on_tick(struct cs_timer *t, void *arg)
{
	struct node *n = arg;

	cs_steer_tick(n->steer, cs_mono_us());
	probe_due(n);
	requests_kick(n);
}

static void on_pump(struct cs_timer *t, void *arg)
{
	requests_pump(arg);
}

static void steer_start(struct node *n)
{
	struct cs_steer_opts opts = {.zones = n->settings.zones,
				     .n_zones = n->settings.n_zones,
				     .bounds = n->settings.bounds,
				     .seed = cs_random_u64()};

	cs_copy(opts.instance, sizeof(opts.instance), n->settings.instance);
	cs_copy(opts.zone, sizeof(opts.zone), n->settings.zone);
	n->steer = cs_steer_create(&opts, cs_mono_us());
}

/* Creates all parts; on failure the message says which one could not start. */
static bool parts_create(struct node *n, struct cs_msg *msg)
{
	n->loop = ev_default_loop(EVFLAG_AUTO);
	n->timers = cs_timers_create(n->loop);
	n->boot = (uint64_t)cs_wall_ms();
	n->events = cs_events_create(n->loop, n->timers, STDOUT_FILENO, n->settings.instance);
	TAILQ_INIT(&n->requests);
	stats_init(&n->stats);
	steer_start(n);
	n->lanes = cs_lanes_create(n->loop, n->timers, n->settings.addr);
	n->control = cs_curl_create(n->loop, n->timers);
	n->store = platform_store_create(n->control, &n->settings.store);
	n->feed = feed_create(n);
	n->gossip = gossip_create(n, msg);
	if (n->gossip == NULL || !front_start(n, msg))
		return false;
	n->member = member_create(n);
	if (!admin_start(n, msg))
		return false;
	cs_timer_init(&n->tick, on_tick, n);
	cs_timer_start_every(n->timers, &n->tick, TICK_US);
	cs_timer_init(&n->pump, on_pump, n);
	stop_watch(n);
	reload_watch(n);
	return true;
}

static void parts_destroy(struct node *n)
{
	admin_stop(n);
	cs_ingress_destroy(n->front);
	member_destroy(n->member);
	feed_destroy(n->feed);
	gossip_destroy(n->gossip);
	platform_store_destroy(n->store);
	cs_curl_destroy(n->control);
	cs_lanes_destroy(n->lanes);
	cs_steer_destroy(n->steer);
	stats_free(&n->stats);
	cs_events_destroy(n->events);
	cs_timers_destroy(n->timers);
	ev_loop_destroy(n->loop);
}

/* Reads flags and the settings file; false with a message. */
static bool settings_read(struct node *n, struct cs_msg *msg)
{
	const char *path = cs_setting_text(flags, "settings");

	if (*path == '\0')
		path = getenv(PLATFORM_ENV_SETTINGS);
	if (path == NULL) {
		cs_msg_set(msg, "--settings: no file is named, and %s is not set",
			   PLATFORM_ENV_SETTINGS);
		return false;
	}
	n->settings_path = path;
	n->metrics_port = (uint16_t)cs_setting_int(flags, "metrics-port");
	return platform_settings_load(path, &n->settings, msg);
}

int main(int argc, char **argv)
{
	static struct node n;
	struct cs_msg msg;
	int rc = 1;

	switch (cs_settings_load(flags, "Steers requests on the users' platform.", &argc, &argv,
				 &msg)) {
	case CS_SETTINGS_EXIT:
		cs_settings_free(flags);
		return 0;
	case CS_SETTINGS_BAD:
		goto bad;
	case CS_SETTINGS_OK:
		break;
	}
	cs_log_open("cassia-node",
		    (enum cs_level)cs_log_level_parse(cs_setting_text(flags, "log-level")));
	if (!settings_read(&n, &msg))
		goto bad;
	if (cs_setting_int(flags, "check")) {
		cs_settings_free(flags);
		return 0;
	}
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_NOTHING);
	if (!parts_create(&n, &msg))
		goto out;
	cs_event(n.events, CS_EVENT_KEEP, "start", "version=%s zone=%s front=%s:%u boot=%llu",
		 CS_VERSION, n.settings.zone, n.settings.front.addr, n.settings.front.port,
		 (unsigned long long)n.boot);
	ev_run(n.loop, 0);
	rc = 0;
out:
	if (rc != 0)
		cs_log(CS_ERR, "main", "Cannot start. %s", msg.text);
	parts_destroy(&n);
	curl_global_cleanup();
	cs_settings_free(flags);
	return rc;
bad:
	fprintf(stderr, "cassia-node: %s\n", msg.text);
	cs_settings_free(flags);
	return 2;
}
