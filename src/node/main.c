/* cassia-node: runs as a single process on each instance of the users' platform. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "src/node/node.h"

/* Period required by cs_steer_tick. */
#define TICK_INTERVAL_US (50 * CS_US_PER_MS)
/* Iterations of the event loop that take longer are logged. */
#define TURN_LOGGED_US (250 * CS_US_PER_MS)

static struct cs_setting options[] = {
	{.name = "settings",
	 .kind = CS_SET_STRING,
	 .def = "",
	 .unit = "",
	 .help = "Settings file; default: the path in $" PLATFORM_ENV_SETTINGS},
	{.name = "metrics-port",
	 .kind = CS_SET_INT,
	 .def = "0",
	 .max = 65535,
	 .unit = "",
	 .help = "Port of /metrics; 0 disables it"},
	{.name = "log-level",
	 .kind = CS_SET_CHOICE,
	 .def = "notice",
	 .choices = "err|warning|notice|info|debug",
	 .unit = "",
	 .help = "Least severe level that is logged on standard error: "},
	{.name = "check",
	 .kind = CS_SET_BOOL,
	 .def = "no",
	 .unit = "",
	 .help = "Check the settings and exit"},
	{0},
};

static void on_tick(struct cs_timer *t, void *arg);
static void on_dispatch(struct cs_timer *t, void *arg);
static void on_turn(uint64_t duration_us, void *arg);

bool node_ready(const struct node *n)
{
	return n->stop == STOP_NONE && store_sync_is_loaded(n->store_sync) &&
	       cs_steer_current_document(n->steer) != NULL;
}

void node_describe_self(const struct node *n, struct cs_steer_member *out)
{
	memset(out, 0, sizeof(*out));
	cs_copy(out->name, sizeof(out->name), n->settings.instance);
	cs_copy(out->zone, sizeof(out->zone), n->settings.zone);
	snprintf(out->front, sizeof(out->front), "%s:%u", n->settings.front.addr,
		 n->settings.front.port);
	out->boot = n->boot;
	out->ready = node_ready(n);
	out->leaving = n->stop != STOP_NONE;
	out->store_stable = store_sync_is_stable(n->store_sync);
	out->keys_stale = workspaces_keys_stale(n);
}

static void on_tick(struct cs_timer *t, void *arg)
{
	struct node *n = arg;

	if (store_sync_is_loaded(n->store_sync))
		cs_steer_set_store_contact(n->steer, store_sync_is_fresh(n->store_sync),
					   cs_mono_us());
	cs_steer_tick(n->steer, cs_mono_us());
	notice_log_reported(n, "expiry", "-");
	probe_due(n);
	requests_schedule_dispatch(n);
}

static void on_dispatch(struct cs_timer *t, void *arg)
{
	requests_dispatch(arg);
}

static void on_turn(uint64_t duration_us, void *arg)
{
	struct node *n = arg;

	cs_hist_add(n->stats.turn, duration_us);
	if (duration_us >= TURN_LOGGED_US)
		cs_event(n->events, CS_EVENT_IMPORTANT, "loop.blocked", "ms=%llu",
			 (unsigned long long)(duration_us / CS_US_PER_MS));
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

/* Creates all components; on failure the message names the one that could not start. */
static bool components_create(struct node *n, struct cs_msg *msg)
{
	n->loop = ev_default_loop(EVFLAG_AUTO);
	n->timers = cs_timers_create(n->loop);
	n->boot = (uint64_t)cs_wall_ms();
	n->events = cs_events_create(n->loop, n->timers, STDOUT_FILENO, n->settings.instance);
	TAILQ_INIT(&n->requests);
	stats_init(&n->stats);
	cs_timers_on_turn(n->timers, on_turn, n);
	steer_start(n);
	n->connections = cs_transfer_pool_create(n->loop, n->timers, n->settings.addr);
	n->control_curl = cs_curl_create(n->loop, n->timers);
	cs_curl_set_priority(n->control_curl, NEWS_PRIORITY);
	n->store = platform_store_create(n->control_curl, &n->settings.store);
	n->workspaces = workspaces_create(n);
	n->document_load = document_load_create(n);
	n->store_sync = store_sync_create(n);
	n->gossip = gossip_create(n, msg);
	if (n->gossip == NULL || !frontend_start(n, msg))
		return false;
	n->registration = registration_create(n);
	if (!admin_start(n, msg))
		return false;
	cs_timer_init(&n->tick_timer, on_tick, n);
	cs_timer_start_every(n->timers, &n->tick_timer, TICK_INTERVAL_US);
	cs_timer_init(&n->dispatch_timer, on_dispatch, n);
	stop_init(n);
	reload_init(n);
	reload_defer_signal(false);
	return true;
}

static void components_destroy(struct node *n)
{
	admin_stop(n);
	cs_ingress_destroy(n->ingress);
	workspaces_destroy(n->workspaces);
	registration_destroy(n->registration);
	store_sync_destroy(n->store_sync);
	document_load_destroy(n->document_load);
	gossip_destroy(n->gossip);
	platform_store_destroy(n->store);
	cs_curl_destroy(n->control_curl);
	cs_transfer_pool_destroy(n->connections);
	cs_steer_destroy(n->steer);
	stats_free(&n->stats);
	cs_events_destroy(n->events);
	cs_timers_destroy(n->timers);
	ev_loop_destroy(n->loop);
}

/* Reads the command-line options and the settings file. Returns false and a message on failure. */
static bool settings_read(struct node *n, struct cs_msg *msg)
{
	const char *path = cs_setting_text(options, "settings");

	if (*path == '\0')
		path = getenv(PLATFORM_ENV_SETTINGS);
	if (path == NULL) {
		cs_msg_set(msg, "--settings is not given and %s is not set", PLATFORM_ENV_SETTINGS);
		return false;
	}
	n->settings_path = path;
	n->metrics_port = (uint16_t)cs_setting_int(options, "metrics-port");
	return platform_settings_load(path, &n->settings, msg);
}

int main(int argc, char **argv)
{
	static struct node n;
	struct cs_msg msg;
	int rc = 1;

	reload_defer_signal(true);
	switch (cs_settings_load(
		options, "Routes client requests to backend servers on the users' platform.", &argc,
		&argv, &msg)) {
	case CS_SETTINGS_EXIT:
		cs_settings_free(options);
		return 0;
	case CS_SETTINGS_INVALID:
		goto bad;
	case CS_SETTINGS_OK:
		break;
	}
	cs_log_open("cassia-node",
		    (enum cs_log_level)cs_log_level_parse(cs_setting_text(options, "log-level")));
	if (!settings_read(&n, &msg))
		goto bad;
	if (cs_setting_int(options, "check")) {
		cs_settings_free(options);
		return 0;
	}
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_NOTHING);
	if (!components_create(&n, &msg))
		goto out;
	cs_event(n.events, CS_EVENT_IMPORTANT, "start", "version=%s zone=%s front=%s:%u boot=%llu",
		 CS_VERSION, n.settings.zone, n.settings.front.addr, n.settings.front.port,
		 (unsigned long long)n.boot);
	ev_run(n.loop, 0);
	rc = 0;
out:
	if (rc != 0)
		cs_log(CS_ERR, "main", "Cannot start. %s", msg.text);
	components_destroy(&n);
	curl_global_cleanup();
	cs_settings_free(options);
	return rc;
bad:
	fprintf(stderr, "cassia-node: %s\n", msg.text);
	cs_settings_free(options);
	return 2;
}
