/* Simulated network of agent cores in one process; messages pass through one queue. */
#ifndef CORE_NET_H
#define CORE_NET_H

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "src/agentd/core.h"

#define NET_MAX 64

struct net_node {
	struct core *core; /* NULL while down */
	char name[CS_NAME_MAX];
	char zone[CS_NAME_MAX];
	char addr[CS_ADDR_MAX];
	uint64_t incarnation;
	uint64_t highest_revision; /* accepted by this incarnation */
	bool partitioned; /* messages in both directions are lost */
};

struct net_packet {
	TAILQ_ENTRY(net_packet) entry;
	unsigned from, to;
	bool reply; /* sent on a connection that the receiver opened */
	struct cs_wire_buf buf;
};

struct net {
	struct net_node nodes[NET_MAX];
	unsigned n;
	uint64_t now_us;
	TAILQ_HEAD(net_packets, net_packet) queue;
	unsigned queued;
	struct cs_rng rng;
	uint64_t sent, sent_bytes;
};

static inline char *net_document(uint64_t revision, const char *text)
{
	return cs_xasprintf(
		"{\"format\":1,\"deployment\":\"test\",\"revision\":%llu,\"changes\":[{\"id\":\"c-%"
		"llu\","
		"\"revision\":%llu,\"at\":\"2026-12-04T09:00:00Z\",\"by\":\"test\",\"text\":\"%s\"}"
		"],"
		"\"network\":{\"zone_delay_ms\":1,\"region_delay_ms\":20,\"link_mbit_s\":4000},"
		"\"regions\":[{\"name\":\"east\"},{\"name\":\"west\"}],"
		"\"zones\":[{\"name\":\"a\",\"region\":\"east\",\"clients\":[\"10.1.0.0/16\"]},"
		"{\"name\":\"b\",\"region\":\"west\",\"clients\":[\"10.2.0.0/16\"]},"
		"{\"name\":\"c\",\"region\":\"west\",\"clients\":[\"10.3.0.0/16\"]}],"
		"\"services\":[{\"name\":\"orders\",\"slots\":6,\"connections\":390}],"
		"\"classes\":[{\"name\":\"pay\",\"service\":\"orders\",\"idempotent\":false,"
		"\"bulk\":false,"
		"\"latency_target_ms\":400,\"percentile\":99,\"availability_pct\":99.9,"
		"\"headroom_pct\":20,\"max_body_kb\":64,\"timeout_ms\":3000,\"priority\":1}],"
		"\"shift\":{\"cap_pct_s\":5,\"lookup_ttl_ms\":2000},\"drains\":[]}",
		(unsigned long long)revision, (unsigned long long)revision,
		(unsigned long long)revision, text);
}

static inline void net_start_node(struct net *net, unsigned i)
{
	struct net_node *nd = &net->nodes[i];
	struct core_opts opts = {.bus_port = 7001, .seed = cs_rng_next(&net->rng)};

	cs_copy(opts.instance, sizeof(opts.instance), nd->name);
	cs_copy(opts.zone, sizeof(opts.zone), nd->zone);
	cs_copy(opts.addr, sizeof(opts.addr), nd->addr);
	nd->incarnation = 1000000 + net->now_us / 1000;
	opts.incarnation = nd->incarnation;
	nd->highest_revision = 0;
	nd->core = core_create(&opts, net->now_us);
}

/* Adds a node named ZONE-NUMBER and starts it; returns its index. */
static inline unsigned net_add_node(struct net *net, const char *zone, unsigned number)
{
	struct net_node *nd = &net->nodes[net->n];

	g_snprintf(nd->name, sizeof(nd->name), "%s-%u", zone, number);
	cs_copy(nd->zone, sizeof(nd->zone), zone);
	g_snprintf(nd->addr, sizeof(nd->addr), "10.0.0.%u", net->n + 1);
	net_start_node(net, net->n);
	return net->n++;
}

static inline void net_init(struct net *net, uint64_t seed)
{
	memset(net, 0, sizeof(*net));
	net->now_us = 100 * CS_US_PER_S;
	TAILQ_INIT(&net->queue);
	cs_rng_seed(&net->rng, seed);
}

/* Removes a packet from the queue, the first one if p is NULL; NULL if the queue is empty. */
static inline struct net_packet *net_dequeue(struct net *net, struct net_packet *p)
{
	if (p == NULL)
		p = TAILQ_FIRST(&net->queue);
	if (p == NULL)
		return NULL;
	TAILQ_REMOVE(&net->queue, p, entry);
	net->queued--;
	return p;
}

static inline void net_packet_free(struct net_packet *p)
{
	cs_wire_buf_free(&p->buf);
	free(p);
}

static inline void net_destroy(struct net *net)
{
	struct net_packet *p;
	unsigned i;

	while ((p = net_dequeue(net, NULL)) != NULL)
		net_packet_free(p);
	for (i = 0; i < net->n; i++)
		core_destroy(net->nodes[i].core);
}

static inline int net_find_addr(const struct net *net, const char *addr)
{
	unsigned i;

	for (i = 0; i < net->n; i++)
		if (strcmp(net->nodes[i].addr, addr) == 0)
			return (int)i;
	return -1;
}

/* Moves a core's outgoing messages to the queue. */
static inline void net_collect(struct net *net, unsigned from)
{
	struct net_packet *p;
	struct core_outgoing *s;
	int to;

	if (net->nodes[from].core == NULL)
		return;
	while ((s = core_next_outgoing(net->nodes[from].core)) != NULL) {
		to = s->to.incoming ? s->to.id.data[0] : net_find_addr(net, s->to.addr);
		if (to >= 0) {
			p = cs_xcalloc(1, sizeof(*p));
			p->from = from;
			p->to = (unsigned)to;
			p->reply = s->to.incoming;
			p->buf = s->buf;
			s->buf = (struct cs_wire_buf){0};
			net->sent++;
			net->sent_bytes += p->buf.len;
			TAILQ_INSERT_TAIL(&net->queue, p, entry);
			net->queued++;
		}
		core_outgoing_free(s);
	}
}

/* Delivers a packet unless its target is down or either end is partitioned. */
static inline void net_deliver(struct net *net, const struct net_packet *p)
{
	struct net_node *to = &net->nodes[p->to], *from = &net->nodes[p->from];
	struct core_endpoint origin = {.incoming = !p->reply, .port = 7001};
	struct cs_wire_msg *m;
	struct cs_msg msg;

	if (to->core == NULL || to->partitioned || from->partitioned)
		return;
	origin.id.len = 1;
	origin.id.data[0] = (uint8_t)p->from;
	cs_copy(origin.addr, sizeof(origin.addr), from->addr);
	m = cs_wire_parse(p->buf.data, p->buf.len, &msg);
	g_assert_nonnull(m);
	core_handle_message(to->core, &origin, m, net->now_us);
	cs_wire_free(m);
	net_collect(net, p->to);
}

/* Delivers packets in order until the queue is empty. */
static inline void net_deliver_all(struct net *net)
{
	struct net_packet *p;
	unsigned limit = 200000;

	while (limit > 0 && (p = net_dequeue(net, NULL)) != NULL) {
		net_deliver(net, p);
		net_packet_free(p);
		limit--;
	}
	g_assert_cmpuint(limit, >, 0);
}

/* Advances the clock by ms, ticks all nodes and delivers packets in order. */
static inline void net_run(struct net *net, uint64_t ms)
{
	uint64_t until = net->now_us + ms * CS_US_PER_MS;
	unsigned i;

	while (net->now_us < until) {
		net->now_us += CORE_TICK_US;
		for (i = 0; i < net->n; i++) {
			if (net->nodes[i].core == NULL)
				continue;
			core_tick(net->nodes[i].core, net->now_us);
			net_collect(net, i);
		}
		net_deliver_all(net);
	}
}

/* Gives node i the store's list of all nodes except those in the bit mask excluded. */
static inline void net_set_list(struct net *net, unsigned i, uint64_t version, uint64_t excluded)
{
	struct cs_wire_entry e[NET_MAX] = {{0}};
	struct cs_wire_list_doc doc = {.service = "cassia", .version = version, .entries = e};
	unsigned k;

	for (k = 0; k < net->n; k++) {
		if (excluded & (1ULL << k))
			continue;
		e[doc.n_entries].id = net->nodes[k].name;
		e[doc.n_entries].zone = net->nodes[k].zone;
		e[doc.n_entries].addr = net->nodes[k].addr;
		e[doc.n_entries].bus_port = 7001;
		doc.n_entries++;
	}
	core_set_list(net->nodes[i].core, &doc, net->now_us);
	net_collect(net, i);
}

static inline enum core_config_result net_set_config(struct net *net, unsigned i, uint64_t revision,
						     const char *text)
{
	char *doc = net_document(revision, text);
	struct cs_msg msg;
	enum core_config_result res;

	res = core_set_config(net->nodes[i].core, doc, strlen(doc), net->now_us, &msg);
	free(doc);
	net_collect(net, i);
	return res;
}

static inline uint64_t net_revision(const struct net *net, unsigned i)
{
	struct cs_config *cfg = core_current_config(net->nodes[i].core);

	return cfg ? cfg->revision : 0;
}

/* Copies the member for node peer in the view of node i; false if the view has none. */
static inline bool net_member(struct net *net, unsigned i, unsigned peer, struct cs_member *out)
{
	struct cs_view *v = core_view(net->nodes[i].core, net->now_us);
	bool found = false;
	unsigned k;

	for (k = 0; k < v->n_members && !found; k++) {
		found = strcmp(v->members[k].name, net->nodes[peer].name) == 0;
		if (found)
			*out = v->members[k];
	}
	cs_view_destroy(v);
	return found;
}

static inline enum cs_member_state net_state(struct net *net, unsigned i, unsigned peer)
{
	struct cs_member m = {0};

	g_assert_true(net_member(net, i, peer, &m));
	return m.state;
}

/* Gives node i a report of its proxy with a load on the service "orders". */
static inline void net_report(struct net *net, unsigned i, bool ready, unsigned in_flight)
{
	struct cs_report_load l = {.service = "orders", .in_flight = in_flight, .service_us = 1000};
	struct cs_wire_report r = {.started_ms = 1};

	r.body.kind = CS_LINK_PROXY;
	r.body.ready = ready;
	r.body.roster = 42;
	r.body.loads = &l;
	r.body.n_loads = 1;
	core_handle_report(net->nodes[i].core, &r, net->now_us);
	net_collect(net, i);
}

#endif
