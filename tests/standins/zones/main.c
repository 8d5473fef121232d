/* Settings, health endpoint of the servers, simulated daemons of the real agents, event loop. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/standins/zones/zones.h"

static struct cs_setting settings[] = {
	{.name = "net", .unit = "", .help = "first two octets of all addresses, such as 127.9"},
	{.name = "store", .unit = "", .help = "URL of the store, http://IP:PORT"},
	{.name = "zones",
	 .kind = CS_SET_INT,
	 .def = "96",
	 .min = 1,
	 .max = 200,
	 .unit = "",
	 .help = "number of zones"},
	{.name = "own-members",
	 .kind = CS_SET_INT,
	 .def = "18",
	 .min = 3,
	 .max = MEMBERS_MAX,
	 .unit = "",
	 .help = "number of instances in the zone of the real agents"},
	{.name = "other-members",
	 .kind = CS_SET_INT,
	 .def = "18",
	 .min = 1,
	 .max = MEMBERS_MAX,
	 .unit = "",
	 .help = "number of instances in each other zone"},
	{.name = "services",
	 .kind = CS_SET_INT,
	 .def = "4",
	 .min = 1,
	 .max = 16,
	 .unit = "",
	 .help = "number of services"},
	{.name = "curve-public", .def = "", .unit = "", .help = "public key of the deployment"},
	{.name = "curve-secret", .def = "", .unit = "", .help = "secret key of the deployment"},
	{.name = "plan",
	 .kind = CS_SET_BOOL,
	 .def = "no",
	 .unit = "",
	 .help = "print names and addresses of the real agents and exit"},
	{.name = "revision",
	 .kind = CS_SET_INT,
	 .def = "0",
	 .min = 0,
	 .max = 1000000,
	 .unit = "",
	 .help = "print the document of this revision and exit; 0: run"},
	{.name = NULL}};

static struct cs_link *daemon_links[2 * REAL_AGENTS_MAX];

static void on_health(struct cs_http_req *req, void *arg)
{
	static const char body[] =
		"{\"state\":\"ready\",\"slots\":80,\"in_flight\":48,\"service_ms\":40}";

	cs_http_reply(req, 200, NULL, body, sizeof(body) - 1);
}

/* Fills in the report that a simulated daemon sends to its real agent. */
static void on_report(struct cs_report *r, void *arg)
{
	static struct cs_report_load rows[16];
	struct deployment *d = arg;

	memset(rows, 0, sizeof(rows));
	deployment_member_loads(d, 0, rows);
	r->ready = true;
	r->roster = 42;
	r->loads = rows;
	r->n_loads = d->services;
}

static void daemon_links_start(struct deployment *d)
{
	char addr[CS_ADDR_MAX], endpoint[64];
	struct cs_msg msg;
	unsigned i, kind;

	for (i = 0; i < d->n_real; i++) {
		deployment_member_addr(d, 0, d->real_members[i], addr, sizeof(addr));
		snprintf(endpoint, sizeof(endpoint), "tcp://%s:7002", addr);
		for (kind = 0; kind < 2; kind++)
			daemon_links[2 * i + kind] = cs_link_create(d->loop, d->timers, endpoint,
								    addr, (enum cs_link_kind)kind,
								    NULL, on_report, d, &msg);
	}
}

static void on_setup_done(struct deployment *d)
{
	nodes_start(d);
	daemon_links_start(d);
	puts("ready");
	fflush(stdout);
}

static void on_signal(struct ev_loop *loop, ev_signal *sig, int events)
{
	ev_break(loop, EVBREAK_ALL);
}

/* The real agents are the first relay and a member that is not a relay. */
static void choose_real_agents(struct deployment *d)
{
	unsigned order[MEMBERS_MAX];

	deployment_rank_members(0, d->own_members, order);
	d->real_members[0] = order[0];
	d->real_members[1] = order[d->own_members - 1];
	d->n_real = 2;
}

static void print_real_agents(const struct deployment *d)
{
	char name[CS_NAME_MAX], addr[CS_ADDR_MAX];
	unsigned i;

	for (i = 0; i < d->n_real; i++) {
		deployment_member_name(0, d->real_members[i], name, sizeof(name));
		deployment_member_addr(d, 0, d->real_members[i], addr, sizeof(addr));
		printf("%s %s\n", name, addr);
	}
}

static int run(struct deployment *d)
{
	struct cs_httpd *health;
	char addr[CS_ADDR_MAX];
	ev_signal term;
	struct cs_msg msg;
	unsigned i;

	d->loop = ev_default_loop(EVFLAG_AUTO);
	d->timers = cs_timers_create(d->loop);
	d->curl = cs_curl_create(d->loop, d->timers);
	d->bus = cs_bus_create(d->loop, cs_setting_text(settings, "curve-public"),
			       cs_setting_text(settings, "curve-secret"), &msg);
	snprintf(addr, sizeof(addr), "%s.240.1", d->net);
	health = cs_httpd_create(d->loop, d->timers, addr, 9000, 1024, on_health, NULL, &msg);
	if (d->bus == NULL || health == NULL) {
		fprintf(stderr, "standin-zones: %s\n", msg.text);
		return 1;
	}
	ev_signal_init(&term, on_signal, SIGTERM);
	ev_signal_start(d->loop, &term);
	setup_start(d, on_setup_done);
	ev_run(d->loop, 0);
	for (i = 0; i < 2 * d->n_real; i++)
		cs_link_destroy(daemon_links[i]);
	nodes_stop(d);
	cs_httpd_destroy(health);
	cs_bus_destroy(d->bus);
	cs_curl_destroy(d->curl);
	cs_timers_destroy(d->timers);
	return 0;
}

int main(int argc, char **argv)
{
	struct deployment d = {0};
	struct cs_msg msg = {0};
	char *text;
	int rc = 0;

	cs_log_open("standin-zones", CS_WARNING);
	if (cs_settings_load(settings, "Simulated deployment of many zones around real agents",
			     &argc, &argv, &msg) != CS_SETTINGS_OK) {
		fprintf(stderr, "%s\n", msg.text);
		return 1;
	}
	d.net = cs_setting_text(settings, "net");
	d.store = cs_setting_text(settings, "store");
	d.zones = (unsigned)cs_setting_int(settings, "zones");
	d.own_members = (unsigned)cs_setting_int(settings, "own-members");
	d.other_members = (unsigned)cs_setting_int(settings, "other-members");
	d.services = (unsigned)cs_setting_int(settings, "services");
	d.incarnation = (uint64_t)cs_wall_ms();
	cs_rng_seed(&d.rng, 1);
	choose_real_agents(&d);
	if (cs_setting_int(settings, "plan")) {
		print_real_agents(&d);
	} else if (cs_setting_int(settings, "revision") > 0) {
		text = deployment_document(&d, (unsigned)cs_setting_int(settings, "revision"));
		fputs(text, stdout);
		free(text);
	} else {
		rc = run(&d);
	}
	cs_settings_free(settings);
	return rc;
}
