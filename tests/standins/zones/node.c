/* Agent cores with sockets: the other members of zone 0 and the relays of the other zones. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/standins/zones/zones.h"

#define REPORT_INTERVAL_US (250 * CS_US_PER_MS)
#define LIST_VERSION 1000000

static void on_tick(struct cs_timer *t, void *arg);
static void on_report(struct cs_timer *t, void *arg);
static void on_heartbeats(struct cs_timer *t, void *arg);

/* Members that exist as a core or as a real agent, by zone and member number. */
static bool exists[256][256];

/*
 * Whether the target of a message exists. Heartbeats to members that are only simulated would cause
 * thousands of failing connections.
 */
static bool target_exists(const struct core_outgoing *s)
{
	unsigned a, b, zone, member;

	if (s->to.incoming)
		return true;
	return sscanf(s->to.addr, "%u.%u.%u.%u", &a, &b, &zone, &member) == 4 && zone < 256 &&
	       member < 256 && exists[zone][member];
}

/* Sends all pending messages; also called by the mesh after each received message. */
void agent_flush(struct agent *a)
{
	struct core_outgoing *s;

	while ((s = core_next_outgoing(a->core)) != NULL) {
		if (target_exists(s))
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
	deployment_member_loads(nd->deployment, nd->zone, rows);
	r.body.kind = CS_LINK_PROXY;
	r.body.ready = true;
	r.body.roster = 42;
	r.body.loads = rows;
	r.body.n_loads = nd->deployment->services;
	core_handle_report(nd->agent.core, &r, cs_mono_us());
}

/* Passes simulated heartbeats of the other members of a zone to the core of its relay. */
static void on_heartbeats(struct cs_timer *t, void *arg)
{
	struct node *nd = arg;
	struct core_endpoint from = {.port = 1};
	struct cs_wire_msg m = {.type = CS_WIRE_HEARTBEAT};
	struct cs_report_load rows[16];
	struct cs_config *cfg = core_current_config(nd->agent.core);
	char name[CS_NAME_MAX], zone[CS_NAME_MAX];
	unsigned member;

	deployment_zone_name(nd->zone, zone, sizeof(zone));
	nd->sequence++;
	for (member = 1; member <= deployment_member_count(nd->deployment, nd->zone); member++) {
		deployment_member_name(nd->zone, member, name, sizeof(name));
		if (strcmp(name, nd->name) == 0)
			continue;
		memset(rows, 0, sizeof(rows));
		deployment_member_loads(nd->deployment, nd->zone, rows);
		m.u.heartbeat = (struct cs_wire_heartbeat){.instance = name,
							   .zone = zone,
							   .stamp = {1, nd->sequence},
							   .revision = cfg ? cfg->revision : 0,
							   .ready = true,
							   .store_ok = true,
							   .loads = rows,
							   .n_loads = nd->deployment->services};
		core_handle_message(nd->agent.core, &from, &m, cs_mono_us());
	}
	/* Messages to members that are only simulated are dropped by agent_flush(). */
	agent_flush(&nd->agent);
}

/* Sets the instance list and the configuration in the core of a relay. */
static void node_set_state(struct node *nd)
{
	struct deployment *d = nd->deployment;
	unsigned total = d->own_members + (d->zones - 1) * d->other_members, n = 0, zone, member;
	struct cs_wire_entry *entries = cs_xcalloc(total, sizeof(*entries));
	char(*names)[3][CS_NAME_MAX] = cs_xcalloc(total, sizeof(*names));
	struct cs_wire_list_doc doc = {.service = "cassia",
				       .version = LIST_VERSION,
				       .entries = entries,
				       .n_entries = total};
	char *config = deployment_document(d, 1);
	struct cs_msg msg;

	for (zone = 0; zone < d->zones; zone++) {
		for (member = 1; member <= deployment_member_count(d, zone); member++, n++) {
			deployment_member_name(zone, member, names[n][0], CS_NAME_MAX);
			deployment_zone_name(zone, names[n][1], CS_NAME_MAX);
			deployment_member_addr(d, zone, member, names[n][2], CS_NAME_MAX);
			entries[n] = (struct cs_wire_entry){.id = names[n][0],
							    .zone = names[n][1],
							    .addr = names[n][2],
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
	free(names);
	free(entries);
}

static void node_start(struct deployment *d, struct node *nd, unsigned zone, unsigned member)
{
	struct core_peer peer = {.port = 7001};
	struct core_opts opts = {.bus_port = 7001, .peers = &peer, .n_peers = 1};
	struct cs_msg msg;

	nd->deployment = d;
	nd->zone = zone;
	exists[zone][member] = true;
	deployment_member_name(zone, member, nd->name, sizeof(nd->name));
	deployment_member_addr(d, zone, member, nd->addr, sizeof(nd->addr));
	deployment_member_addr(d, 0, d->real_members[0], peer.addr, sizeof(peer.addr));
	cs_copy(opts.instance, sizeof(opts.instance), nd->name);
	deployment_zone_name(zone, opts.zone, sizeof(opts.zone));
	cs_copy(opts.addr, sizeof(opts.addr), nd->addr);
	opts.incarnation = d->incarnation;
	opts.seed = cs_rng_next(&d->rng);
	nd->agent.loop = d->loop;
	nd->agent.timers = d->timers;
	nd->agent.bus = d->bus;
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
	cs_timer_init(&nd->heartbeats, on_heartbeats, nd);
	cs_timer_start_every(d->timers, &nd->tick, CORE_TICK_US);
	cs_timer_start_every(d->timers, &nd->report, REPORT_INTERVAL_US);
	if (zone == 0)
		return;
	node_set_state(nd);
	cs_timer_start_every(d->timers, &nd->heartbeats, CORE_HEARTBEAT_US);
}

static bool is_real_agent(const struct deployment *d, unsigned member)
{
	unsigned i;

	for (i = 0; i < d->n_real; i++)
		if (d->real_members[i] == member)
			return true;
	return false;
}

void nodes_start(struct deployment *d)
{
	unsigned order[MEMBERS_MAX], zone, m;

	d->nodes = cs_xcalloc(2 * d->zones + d->own_members, sizeof(*d->nodes));
	for (m = 0; m < d->n_real; m++)
		exists[0][d->real_members[m]] = true;
	for (m = 1; m <= d->own_members; m++)
		if (!is_real_agent(d, m))
			node_start(d, &d->nodes[d->n_nodes++], 0, m);
	for (zone = 1; zone < d->zones; zone++) {
		deployment_rank_members(zone, d->other_members, order);
		node_start(d, &d->nodes[d->n_nodes++], zone, order[0]);
		if (d->other_members > 1)
			node_start(d, &d->nodes[d->n_nodes++], zone, order[1]);
	}
}

void nodes_stop(struct deployment *d)
{
	unsigned i;

	for (i = 0; i < d->n_nodes; i++) {
		mesh_destroy(d->nodes[i].agent.mesh);
		core_destroy(d->nodes[i].agent.core);
		cs_timer_stop(&d->nodes[i].tick);
		cs_timer_stop(&d->nodes[i].report);
		cs_timer_stop(&d->nodes[i].heartbeats);
	}
	free(d->nodes);
}
