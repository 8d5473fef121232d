/* Settings, the servers' health endpoint, the daemons of the real agents, and the run. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/standins/zones/zones.h"

static struct cs_setting settings[] = {
	{.name = "net", .unit = "", .help = "first two numbers of the loopback range, as 127.9"},
	{.name = "store", .unit = "", .help = "store as http://IP:PORT"},
	{.name = "zones",
	 .kind = CS_SET_INT,
	 .def = "96",
	 .min = 1,
	 .max = 200,
	 .unit = "",
	 .help = "zones"},
	{.name = "own-members",
	 .kind = CS_SET_INT,
	 .def = "18",
	 .min = 3,
	 .max = MEMBERS_MAX,
	 .unit = "",
	 .help = "instances of the real agents' zone"},
	{.name = "other-members",
	 .kind = CS_SET_INT,
	 .def = "18",
	 .min = 1,
	 .max = MEMBERS_MAX,
	 .unit = "",
	 .help = "instances of each other zone"},
	{.name = "services",
	 .kind = CS_SET_INT,
	 .def = "4",
	 .min = 1,
	 .max = 16,
	 .unit = "",
	 .help = "services"},
	{.name = "curve-public", .def = "", .unit = "", .help = "public key of the deployment"},
	{.name = "curve-secret", .def = "", .unit = "", .help = "secret key of the deployment"},
	{.name = "plan",
	 .kind = CS_SET_BOOL,
	 .def = "no",
	 .unit = "",
	 .help = "print name and address of the real agents and end"},
	{.name = "revision",
	 .kind = CS_SET_INT,
	 .def = "0",
	 .min = 0,
	 .max = 1000000,
	 .unit = "",
	 .help = "print the document of a revision and end; 0: run"},
	{.name = NULL}};

static struct cs_link *links[2 * REAL_MAX];

static void on_health(struct cs_http_req *req, void *arg)
{
	static const char body[] =
		"{\"state\":\"ready\",\"slots\":80,\"in_flight\":48,\"service_ms\":40}";

	cs_http_reply(req, 200, NULL, body, sizeof(body) - 1);
}

/* Load report of a real agent's proxy. */
static void on_report(struct cs_report *r, void *arg)
{
	static struct cs_report_load rows[16];
	struct world *w = arg;

	memset(rows, 0, sizeof(rows));
	world_loads(w, 0, rows);
	r->ready = true;
	r->roster = 42;
	r->loads = rows;
	r->n_loads = w->services;
}

static void links_start(struct world *w)
{
	char addr[CS_ADDR_MAX], endpoint[64];
	struct cs_msg msg;
	unsigned i, kind;

	for (i = 0; i < w->n_real; i++) {
		world_addr(w, 0, w->real[i], addr, sizeof(addr));
		snprintf(endpoint, sizeof(endpoint), "tcp://%s:7002", addr);
		for (kind = 0; kind < 2; kind++)
			links[2 * i + kind] = cs_link_create(w->loop, w->timers, endpoint, addr,
							     (enum cs_link_kind)kind, NULL,
							     on_report, w, &msg);
	}
}

static void on_ready(struct world *w)
{
	nodes_start(w);
	links_start(w);
	puts("ready");
	fflush(stdout);
}

static void on_signal(struct ev_loop *loop, ev_signal *sig, int events)
{
	ev_break(loop, EVBREAK_ALL);
}

/* The real agents: the first relay and a plain member. */
static void choose_real(struct world *w)
{
	unsigned order[MEMBERS_MAX];

	world_order(0, w->own_members, order);
	w->real[0] = order[0];
	w->real[1] = order[w->own_members - 1];
	w->n_real = 2;
}

static void print_plan(const struct world *w)
{
	char name[CS_NAME_MAX], addr[CS_ADDR_MAX];
	unsigned i;

	for (i = 0; i < w->n_real; i++) {
		world_name(0, w->real[i], name, sizeof(name));
		world_addr(w, 0, w->real[i], addr, sizeof(addr));
		printf("%s %s\n", name, addr);
	}
}

static int run(struct world *w)
{
	struct cs_httpd *health;
	char addr[CS_ADDR_MAX];
	ev_signal term;
	struct cs_msg msg;
	unsigned i;

	w->loop = ev_default_loop(EVFLAG_AUTO);
	w->timers = cs_timers_create(w->loop);
	w->curl = cs_curl_create(w->loop, w->timers);
	w->bus = cs_bus_create(w->loop, cs_setting_text(settings, "curve-public"),
			       cs_setting_text(settings, "curve-secret"), &msg);
	snprintf(addr, sizeof(addr), "%s.240.1", w->net);
	health = cs_httpd_create(w->loop, w->timers, addr, 9000, 1024, on_health, NULL, &msg);
	if (w->bus == NULL || health == NULL) {
		fprintf(stderr, "%s\n", msg.text);
		return 1;
	}
	ev_signal_init(&term, on_signal, SIGTERM);
	ev_signal_start(w->loop, &term);
	setup_start(w, on_ready);
	ev_run(w->loop, 0);
	for (i = 0; i < 2 * w->n_real; i++)
		cs_link_destroy(links[i]);
	nodes_stop(w);
	cs_httpd_destroy(health);
	cs_bus_destroy(w->bus);
	cs_curl_destroy(w->curl);
	cs_timers_destroy(w->timers);
	return 0;
}

int main(int argc, char **argv)
{
	struct world w = {0};
	struct cs_msg msg = {0};
	char *text;
	int rc = 0;

	cs_log_open("standin-zones", CS_WARNING);
	if (cs_settings_load(settings, "Deployment of many zones around real agents", &argc, &argv,
			     &msg) != CS_SETTINGS_OK) {
		fprintf(stderr, "%s\n", msg.text);
		return 1;
	}
	w.net = cs_setting_text(settings, "net");
	w.store = cs_setting_text(settings, "store");
	w.zones = (unsigned)cs_setting_int(settings, "zones");
	w.own_members = (unsigned)cs_setting_int(settings, "own-members");
	w.other_members = (unsigned)cs_setting_int(settings, "other-members");
	w.services = (unsigned)cs_setting_int(settings, "services");
	w.incarnation = (uint64_t)cs_wall_ms();
	cs_rng_seed(&w.rng, 1);
	choose_real(&w);
	if (cs_setting_int(settings, "plan")) {
		print_plan(&w);
	} else if (cs_setting_int(settings, "revision") > 0) {
		text = world_document(&w, (unsigned)cs_setting_int(settings, "revision"));
		fputs(text, stdout);
		free(text);
	} else {
		rc = run(&w);
	}
	cs_settings_free(settings);
	return rc;
}
