/* cassia-agentd: settings, startup, signals and graceful shutdown. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agentd.h"

#define GAP_US (2 * CS_US_PER_S) /* a longer pause of the event loop makes the state stale */
#define PEERS_MAX 16
#define SHUTDOWN_CHECK_US (200 * CS_US_PER_MS)
#define SHUTDOWN_MIN_US (400 * CS_US_PER_MS) /* allows the leaving heartbeat to be delivered */
#define SHUTDOWN_IDLE_LIMIT_US CS_US_PER_S /* limit while no daemon is stopping */
#define SHUTDOWN_LIMIT_US (15 * CS_US_PER_S) /* limit while a daemon is stopping */

static struct cs_setting settings[] = {
	{.name = "instance", .kind = CS_SET_STRING, .unit = "", .help = "Name of this instance"},
	{.name = "zone", .kind = CS_SET_STRING, .unit = "", .help = "Availability zone"},
	{.name = "address",
	 .kind = CS_SET_STRING,
	 .def = "127.0.0.1",
	 .unit = "",
	 .help = "Address to bind, and source of outgoing connections"},
	{.name = "bus-port",
	 .kind = CS_SET_INT,
	 .def = "7001",
	 .min = 1,
	 .max = 65535,
	 .unit = "port",
	 .help = "Port for peers"},
	{.name = "local-port",
	 .kind = CS_SET_INT,
	 .def = "7002",
	 .min = 1,
	 .max = 65535,
	 .unit = "port",
	 .help = "Port for the daemons of this instance"},
	{.name = "admin-port",
	 .kind = CS_SET_INT,
	 .def = "7003",
	 .min = 1,
	 .max = 65535,
	 .unit = "port",
	 .help = "Port for admin HTTP"},
	{.name = "store",
	 .kind = CS_SET_STRING,
	 .def = "consul:http://127.0.0.1:8500",
	 .unit = "",
	 .help = "Platform store as consul:http://IP:PORT"},
	{.name = "peers",
	 .kind = CS_SET_STRING,
	 .def = "",
	 .unit = "",
	 .help = "Peers to start from without the store, as IP:PORT,..."},
	{.name = "curve-public",
	 .kind = CS_SET_STRING,
	 .def = "",
	 .unit = "",
	 .help = "Public key of the deployment in Z85; empty: no authentication"},
	{.name = "curve-secret",
	 .kind = CS_SET_STRING,
	 .def = "",
	 .unit = "",
	 .help = "Secret key of the deployment in Z85; better by environment"},
	{.name = "log-level",
	 .kind = CS_SET_CHOICE,
	 .def = "info",
	 .choices = "err|warning|notice|info|debug",
	 .unit = "",
	 .help = "Highest level that is written: "},
	{.name = "check",
	 .kind = CS_SET_BOOL,
	 .def = "no",
	 .unit = "",
	 .help = "Check the settings and exit"},
	{.name = NULL}};

struct shutdown_state {
	struct agent *agent;
	struct cs_timer timer;
	ev_signal term, interrupt;
	uint64_t since_us;
};

static void on_tick(struct cs_timer *t, void *arg);
static void on_suspend(uint64_t gap_us, void *arg);
static void on_signal(struct ev_loop *loop, ev_signal *w, int events);
static void on_shutdown_timer(struct cs_timer *t, void *arg);

void agent_flush(struct agent *a)
{
	struct core_outgoing *s;

	while ((s = core_next_outgoing(a->core)) != NULL) {
		mesh_send(a->mesh, s);
		core_outgoing_free(s);
	}
	store_watch_update(a->store_watch);
}

static void on_tick(struct cs_timer *t, void *arg)
{
	struct agent *a = arg;

	core_tick(a->core, cs_mono_us());
	agent_flush(a);
}

static void on_suspend(uint64_t gap_us, void *arg)
{
	struct agent *a = arg;

	cs_log(CS_WARNING, "agent", "Event loop was blocked or the process was suspended. ms=%llu",
	       (unsigned long long)(gap_us / CS_US_PER_MS));
	core_resume(a->core, cs_mono_us());
	agent_flush(a);
}

/* Parses IP:PORT,...; on error returns false and sets msg. */
static bool parse_peers(const char *text, struct core_peer *out, unsigned *n, struct cs_msg *msg)
{
	char *copy = cs_xstrdup(text), *rest = copy, *item, *colon, *end;
	unsigned long port;
	uint8_t raw[16];
	bool ok = true;

	*n = 0;
	while (ok && (item = strsep(&rest, ",")) != NULL) {
		if (*item == '\0')
			continue;
		colon = strrchr(item, ':');
		port = colon ? strtoul(colon + 1, &end, 10) : 0;
		ok = colon != NULL && *end == '\0' && port > 0 && port <= UINT16_MAX;
		if (ok)
			*colon = '\0';
		ok = ok && cs_addr_parse(item, raw) && *n < PEERS_MAX;
		if (!ok)
			break;
		cs_copy(out[*n].addr, sizeof(out[*n].addr), item);
		out[(*n)++].port = (uint16_t)port;
	}
	if (!ok)
		cs_msg_set(msg, "--peers: value '%s' is not allowed; use at most %d of IP:PORT,...",
			   text, PEERS_MAX);
	free(copy);
	return ok;
}

static bool check_name(const char *name, struct cs_msg *msg)
{
	const char *v = cs_setting_text(settings, name);
	size_t len = strlen(v);

	if (len > 0 && len < CS_NAME_MAX)
		return true;
	cs_msg_set(msg, "--%s: value '%s' is not allowed; use 1 to %d characters", name, v,
		   CS_NAME_MAX - 1);
	return false;
}

static bool check_settings(struct core_opts *opts, struct core_peer *peers, struct cs_msg *msg)
{
	uint8_t raw[16];

	if (!check_name("instance", msg) || !check_name("zone", msg))
		return false;
	if (!cs_addr_parse(cs_setting_text(settings, "address"), raw)) {
		cs_msg_set(msg, "--address: value '%s' is not allowed; use an IP address",
			   cs_setting_text(settings, "address"));
		return false;
	}
	if (!parse_peers(cs_setting_text(settings, "peers"), peers, &opts->n_peers, msg))
		return false;
	opts->peers = peers;
	cs_copy(opts->instance, sizeof(opts->instance), cs_setting_text(settings, "instance"));
	cs_copy(opts->zone, sizeof(opts->zone), cs_setting_text(settings, "zone"));
	cs_copy(opts->addr, sizeof(opts->addr), cs_setting_text(settings, "address"));
	opts->bus_port = (uint16_t)cs_setting_int(settings, "bus-port");
	opts->incarnation = (uint64_t)cs_wall_ms();
	opts->seed = cs_random_u64();
	return true;
}

/* Creates the modules that need no listening port; also used by --check. */
static bool agent_prepare(struct agent *a, const struct core_opts *opts, struct cs_msg *msg)
{
	a->settings = settings;
	a->instance = cs_setting_text(settings, "instance");
	a->zone = cs_setting_text(settings, "zone");
	a->address = cs_setting_text(settings, "address");
	a->incarnation = opts->incarnation;
	a->started_us = cs_mono_us();
	a->loop = ev_default_loop(EVFLAG_AUTO);
	a->timers = cs_timers_create(a->loop);
	a->curl = cs_curl_create(a->loop, a->timers);
	a->metrics = cs_metrics_create();
	a->core = core_create(opts, cs_mono_us());
	a->bus = cs_bus_create(a->loop, cs_setting_text(settings, "curve-public"),
			       cs_setting_text(settings, "curve-secret"), msg);
	if (a->bus == NULL)
		return false;
	a->store_watch = store_watch_create(a, cs_setting_text(settings, "store"), msg);
	return a->store_watch != NULL;
}

static bool agent_listen(struct agent *a, struct cs_msg *msg)
{
	a->mesh = mesh_create(a, (uint16_t)cs_setting_int(settings, "bus-port"), msg);
	if (a->mesh == NULL)
		return false;
	a->daemons = daemon_links_create(a, (uint16_t)cs_setting_int(settings, "local-port"), msg);
	if (a->daemons == NULL)
		return false;
	a->admin = admin_create(a, (uint16_t)cs_setting_int(settings, "admin-port"), msg);
	if (a->admin == NULL)
		return false;
	a->health = health_create(a);
	return true;
}

static void agent_destroy(struct agent *a)
{
	health_destroy(a->health);
	admin_destroy(a->admin);
	daemon_links_destroy(a->daemons);
	mesh_destroy(a->mesh);
	store_watch_destroy(a->store_watch);
	cs_bus_destroy(a->bus);
	core_destroy(a->core);
	cs_curl_destroy(a->curl);
	cs_metrics_destroy(a->metrics);
	cs_timers_destroy(a->timers);
}

static void on_signal(struct ev_loop *loop, ev_signal *w, int events)
{
	struct shutdown_state *st = w->data;
	struct agent *a = st->agent;

	if (a->stopping)
		return;
	a->stopping = true;
	st->since_us = cs_mono_us();
	cs_log(CS_NOTICE, "agent", "Planned stop started.");
	core_leave(a->core, st->since_us);
	agent_flush(a);
	daemon_links_push(a->daemons);
	cs_timer_start_every(a->timers, &st->timer, SHUTDOWN_CHECK_US);
}

/* Exits when the daemons have stopped, or after a limit. */
static void on_shutdown_timer(struct cs_timer *t, void *arg)
{
	struct shutdown_state *st = arg;
	struct agent *a = st->agent;
	uint64_t elapsed_us = cs_mono_us() - st->since_us;
	bool stopping;
	unsigned alive = daemon_links_count_alive(a->daemons, &stopping);

	if (elapsed_us < SHUTDOWN_MIN_US)
		return;
	if (alive > 0 && !stopping && elapsed_us < SHUTDOWN_IDLE_LIMIT_US)
		return;
	if (alive > 0 && stopping && elapsed_us < SHUTDOWN_LIMIT_US)
		return;
	ev_break(a->loop, EVBREAK_ALL);
}

static void agent_run(struct agent *a)
{
	struct shutdown_state st = {.agent = a};
	struct cs_timer tick;

	cs_timer_init(&tick, on_tick, a);
	cs_timer_start_every(a->timers, &tick, CORE_TICK_US);
	cs_timer_init(&st.timer, on_shutdown_timer, &st);
	cs_timers_on_suspend(a->timers, GAP_US, on_suspend, a);
	ev_signal_init(&st.term, on_signal, SIGTERM);
	ev_signal_init(&st.interrupt, on_signal, SIGINT);
	st.term.data = st.interrupt.data = &st;
	ev_signal_start(a->loop, &st.term);
	ev_signal_start(a->loop, &st.interrupt);
	agent_flush(a);
	cs_log(CS_NOTICE, "agent", "Started. instance=%s zone=%s address=%s", a->instance, a->zone,
	       a->address);
	ev_run(a->loop, 0);
	cs_log(CS_NOTICE, "agent", "Stopped.");
	cs_timer_stop(&tick);
	cs_timer_stop(&st.timer);
	ev_signal_stop(a->loop, &st.term);
	ev_signal_stop(a->loop, &st.interrupt);
}

int main(int argc, char **argv)
{
	struct core_peer peers[PEERS_MAX];
	struct core_opts opts = {0};
	struct agent a = {0};
	struct cs_msg msg = {0};
	int rc = 1;

	cs_log_open("cassia-agentd", CS_INFO);
	switch (cs_settings_load(settings, "Agent of an instance.", &argc, &argv, &msg)) {
	case CS_SETTINGS_EXIT:
		rc = 0;
		goto out;
	case CS_SETTINGS_INVALID:
		goto bad;
	case CS_SETTINGS_OK:
		break;
	}
	cs_log_open("cassia-agentd",
		    (enum cs_log_level)cs_log_level_parse(cs_setting_text(settings, "log-level")));
	if (!check_settings(&opts, peers, &msg) || !agent_prepare(&a, &opts, &msg))
		goto bad;
	if (cs_setting_int(settings, "check")) {
		puts("settings: ok");
		rc = 0;
		goto out;
	}
	if (!agent_listen(&a, &msg))
		goto bad;
	signal(SIGPIPE, SIG_IGN);
	agent_run(&a);
	rc = 0;
	goto out;
bad:
	cs_log(CS_ERR, "settings", "%s.", msg.text);
out:
	agent_destroy(&a);
	cs_settings_free(settings);
	return rc;
}
