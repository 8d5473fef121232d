/* Cores with sockets: the other members of zone 0, and the relays of each other zone. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/standins/zones/zones.h"

#define REPORT_US (250 * CS_US_PER_MS)
#define LIST_VERSION 1000000

static void on_tick(struct cs_timer *t, void *arg);
static void on_report(struct cs_timer *t, void *arg);
static void on_beats(struct cs_timer *t, void *arg);

/* Members that are there as a core or a real agent, by zone and number. */
static bool present[256][256];

/* Heartbeats to members that are only fed in would be thousands of failing connections. */
static bool target_present(const struct core_outgoing *s)
{
	unsigned a, b, zone, member;

	if (s->to.incoming)
		return true;
	return sscanf(s->to.addr, "%u.%u.%u.%u", &a, &b, &zone, &member) == 4 && zone < 256 &&
	       member < 256 && present[zone][member];
}

/* Called by the mesh after each message. */
void agent_flush(struct agent *a)
{
	struct core_outgoing *s;

	while ((s = core_next_outgoing(a->core)) != NULL) {
		if (target_present(s))
			mesh_send(a->mesh, s);
		core_outgoing_free(s);
	}
}

static void on_tick(struct cs_timer *t, void *arg)
{
	struct node *nd = arg;

	core_tick(nd->agent.core, cs_mono_us());
	agent_flush(&nd->agent);
}

static void on_report(struct cs_timer *t, void *arg)
{
	struct node *nd = arg;
	struct cs_report_load rows[16];
	struct cs_wire_report r = {.started_ms = 1};

	memset(rows, 0, sizeof(rows));
	world_loads(nd->world, nd->zone, rows);
	r.body.kind = CS_LINK_PROXY;
	r.body.ready = true;
	r.body.roster = 42;
	r.body.loads = rows;
	r.body.n_loads = nd->world->services;
	core_handle_report(nd->agent.core, &r, cs_mono_us());
}

/* Heartbeats of the members of another zone, given to its relay's core without sockets. */
static void on_beats(struct cs_timer *t, void *arg)
{
	struct node *nd = arg;
	struct core_endpoint from = {.port = 1};
	struct cs_wire_msg m = {.type = CS_WIRE_HEARTBEAT};
	struct cs_report_load rows[16];
	struct cs_config *cfg = core_current_config(nd->agent.core);
	char name[CS_NAME_MAX], zone[CS_NAME_MAX];
	unsigned k;

	world_zone(nd->zone, zone, sizeof(zone));
	nd->sequence++;
	for (k = 1; k <= world_members(nd->world, nd->zone); k++) {
		world_name(nd->zone, k, name, sizeof(name));
		if (strcmp(name, nd->name) == 0)
			continue;
		memset(rows, 0, sizeof(rows));
		world_loads(nd->world, nd->zone, rows);
		m.u.heartbeat = (struct cs_wire_heartbeat){.instance = name,
							   .zone = zone,
							   .stamp = {1, nd->sequence},
							   .revision = cfg ? cfg->revision : 0,
							   .ready = true,
							   .store_ok = true,
							   .loads = rows,
							   .n_loads = nd->world->services};
		core_handle_message(nd->agent.core, &from, &m, cs_mono_us());
	}
	/* Answers would go to members that are not there. */
	agent_flush(&nd->agent);
}

/* Gives the core of another zone's relay the list and the document. */
static void node_teach(struct node *nd)
{
	struct world *w = nd->world;
	unsigned total = w->own_members + (w->zones - 1) * w->other_members, n = 0, z, m;
	struct cs_wire_entry *e = cs_xcalloc(total, sizeof(*e));
	char(*text)[3][CS_NAME_MAX] = cs_xcalloc(total, sizeof(*text));
	struct cs_wire_list_doc doc = {
		.service = "cassia", .version = LIST_VERSION, .entries = e, .n_entries = total};
	char *config = world_document(w, 1);
	struct cs_msg msg;

	for (z = 0; z < w->zones; z++) {
		for (m = 1; m <= world_members(w, z); m++, n++) {
			world_name(z, m, text[n][0], CS_NAME_MAX);
			world_zone(z, text[n][1], CS_NAME_MAX);
			world_addr(w, z, m, text[n][2], CS_NAME_MAX);
			e[n] = (struct cs_wire_entry){.id = text[n][0],
						      .zone = text[n][1],
						      .addr = text[n][2],
						      .lookup_port = 7010,
						      .proxy_port = 7020,
						      .bus_port = 7001,
						      .admin_port = 7003};
		}
	}
	core_set_list(nd->agent.core, &doc, cs_mono_us());
	core_set_config(nd->agent.core, config, strlen(config), cs_mono_us(), &msg);
	core_set_store_ok(nd->agent.core, true);
	free(config);
	free(text);
	free(e);
}

static void node_start(struct world *w, struct node *nd, unsigned zone, unsigned member)
{
	struct core_peer peer = {.port = 7001};
	struct core_opts opts = {.bus_port = 7001, .peers = &peer, .n_peers = 1};
	struct cs_msg msg;

	nd->world = w;
	nd->zone = zone;
	present[zone][member] = true;
	world_name(zone, member, nd->name, sizeof(nd->name));
	world_addr(w, zone, member, nd->addr, sizeof(nd->addr));
	world_addr(w, 0, w->real[0], peer.addr, sizeof(peer.addr));
	cs_copy(opts.instance, sizeof(opts.instance), nd->name);
	world_zone(zone, opts.zone, sizeof(opts.zone));
	cs_copy(opts.addr, sizeof(opts.addr), nd->addr);
	opts.incarnation = w->incarnation;
	opts.seed = cs_rng_next(&w->rng);
	nd->agent.loop = w->loop;
	nd->agent.timers = w->timers;
	nd->agent.bus = w->bus;
	nd->agent.instance = nd->name;
	nd->agent.address = nd->addr;
	nd->agent.core = core_create(&opts, cs_mono_us());
	nd->agent.mesh = mesh_create(&nd->agent, 7001, &msg);
	if (nd->agent.mesh == NULL) {
		cs_log(CS_ERR, "zones", "%s", msg.text);
		exit(1);
	}
	cs_timer_init(&nd->tick, on_tick, nd);
	cs_timer_init(&nd->report, on_report, nd);
	cs_timer_init(&nd->beats, on_beats, nd);
	cs_timer_start_every(w->timers, &nd->tick, CORE_TICK_US);
	cs_timer_start_every(w->timers, &nd->report, REPORT_US);
	if (zone == 0)
		return;
	node_teach(nd);
	cs_timer_start_every(w->timers, &nd->beats, CORE_HEARTBEAT_US);
}

static bool is_real(const struct world *w, unsigned member)
{
	unsigned i;

	for (i = 0; i < w->n_real; i++)
		if (w->real[i] == member)
			return true;
	return false;
}

void nodes_start(struct world *w)
{
	unsigned order[MEMBERS_MAX], z, m;

	w->nodes = cs_xcalloc(2 * w->zones + w->own_members, sizeof(*w->nodes));
	for (m = 0; m < w->n_real; m++)
		present[0][w->real[m]] = true;
	for (m = 1; m <= w->own_members; m++)
		if (!is_real(w, m))
			node_start(w, &w->nodes[w->n_nodes++], 0, m);
	for (z = 1; z < w->zones; z++) {
		world_order(z, w->other_members, order);
		node_start(w, &w->nodes[w->n_nodes++], z, order[0]);
		if (w->other_members > 1)
			node_start(w, &w->nodes[w->n_nodes++], z, order[1]);
	}
}

void nodes_stop(struct world *w)
{
	unsigned i;

	for (i = 0; i < w->n_nodes; i++) {
		mesh_destroy(w->nodes[i].agent.mesh);
		core_destroy(w->nodes[i].agent.core);
		cs_timer_stop(&w->nodes[i].tick);
		cs_timer_stop(&w->nodes[i].report);
		cs_timer_stop(&w->nodes[i].beats);
	}
	free(w->nodes);
}
