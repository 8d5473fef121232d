/* Peer connections over ZeroMQ: a ROUTER socket for incoming ones, a DEALER per outgoing one. */
#include <stdlib.h>
#include <string.h>

#include "agentd.h"

#define CONNECTION_IDLE_US (120 * CS_US_PER_S) /* connections without sends are closed */
#define SWEEP_INTERVAL_US (30 * CS_US_PER_S)

struct peer {
	RB_ENTRY(peer) entry;
	char addr[CS_ADDR_MAX];
	uint16_t port;
	struct mesh *owner;
	struct cs_sock *sock;
	uint64_t last_send_us;
};

RB_HEAD(peer_tree, peer);

struct mesh {
	struct agent *agent;
	struct cs_sock *listener;
	struct peer_tree peers;
	struct cs_timer sweep;
	unsigned n_connections;
	uint64_t received, received_bytes;
};

static int peer_cmp(struct peer *a, struct peer *b);
static void on_message(struct cs_sock *s, const struct cs_bus_routing_id *from, const void *data,
		       size_t len, void *arg);
static void on_reply(struct cs_sock *s, const struct cs_bus_routing_id *from, const void *data,
		     size_t len, void *arg);
static void on_sweep(struct cs_timer *t, void *arg);

CS_RB_GENERATE(peer_tree, peer, entry, peer_cmp)

static int peer_cmp(struct peer *a, struct peer *b)
{
	if (a->port != b->port)
		return a->port < b->port ? -1 : 1;
	return strcmp(a->addr, b->addr);
}

struct mesh *mesh_create(struct agent *a, uint16_t port, struct cs_msg *msg)
{
	struct mesh *m = cs_xcalloc(1, sizeof(*m));

	m->agent = a;
	RB_INIT(&m->peers);
	m->listener = cs_sock_listen(a->bus, a->address, port, true, on_message, m, msg);
	if (m->listener == NULL) {
		free(m);
		return NULL;
	}
	cs_timer_init(&m->sweep, on_sweep, m);
	cs_timer_start_every(a->timers, &m->sweep, SWEEP_INTERVAL_US);
	return m;
}

static void peer_close(struct mesh *m, struct peer *p)
{
	RB_REMOVE(peer_tree, &m->peers, p);
	cs_sock_close(p->sock);
	m->n_connections--;
	free(p);
}

void mesh_destroy(struct mesh *m)
{
	struct peer *p;

	if (m == NULL)
		return;
	while ((p = RB_MIN(peer_tree, &m->peers)) != NULL)
		peer_close(m, p);
	cs_sock_close(m->listener);
	cs_timer_stop(&m->sweep);
	free(m);
}

unsigned mesh_connections(const struct mesh *m)
{
	return m->n_connections;
}

void mesh_received(const struct mesh *m, uint64_t *messages, uint64_t *bytes)
{
	*messages = m->received;
	*bytes = m->received_bytes;
}

static void on_sweep(struct cs_timer *t, void *arg)
{
	uint64_t now = cs_mono_us();
	struct mesh *m = arg;
	struct peer *p, *next;

	RB_FOREACH_SAFE(p, peer_tree, &m->peers, next)
		if (now - p->last_send_us > CONNECTION_IDLE_US)
			peer_close(m, p);
}

/* Parses a message and passes it to the core; malformed ones are counted and dropped. */
static void handle_message(struct mesh *m, const struct core_endpoint *from, const void *data,
			   size_t len)
{
	struct agent *a = m->agent;
	struct cs_wire_msg *msg;
	struct cs_msg err;

	m->received++;
	m->received_bytes += len;
	msg = cs_wire_parse(data, len, &err);
	if (msg == NULL) {
		cs_bus_stats(a->bus)->malformed++;
		cs_log(CS_WARNING, "mesh", "Malformed message from a peer dropped: %s. bytes=%zu",
		       err.text, len);
		return;
	}
	core_handle_message(a->core, from, msg, cs_timers_now(a->timers));
	cs_wire_free(msg);
	agent_flush(a);
}

static void on_message(struct cs_sock *s, const struct cs_bus_routing_id *from, const void *data,
		       size_t len, void *arg)
{
	struct core_endpoint origin = {.incoming = true, .id = *from};

	handle_message(arg, &origin, data, len);
}

static void on_reply(struct cs_sock *s, const struct cs_bus_routing_id *from, const void *data,
		     size_t len, void *arg)
{
	struct peer *p = arg;
	struct core_endpoint origin = {.port = p->port};

	cs_copy(origin.addr, sizeof(origin.addr), p->addr);
	handle_message(p->owner, &origin, data, len);
}

static struct peer *peer_get_or_create(struct mesh *m, const char *addr, uint16_t port)
{
	struct agent *a = m->agent;
	struct peer key = {.port = port}, *p;
	struct cs_msg msg;

	cs_copy(key.addr, sizeof(key.addr), addr);
	p = RB_FIND(peer_tree, &m->peers, &key);
	if (p != NULL)
		return p;
	p = cs_xcalloc(1, sizeof(*p));
	cs_copy(p->addr, sizeof(p->addr), addr);
	p->port = port;
	p->owner = m;
	p->sock = cs_sock_connect(a->bus, a->address, addr, port, true, on_reply, p, &msg);
	if (p->sock == NULL) {
		cs_log(CS_WARNING, "mesh", "Cannot connect to peer: %s.", msg.text);
		free(p);
		return NULL;
	}
	RB_INSERT(peer_tree, &m->peers, p);
	m->n_connections++;
	return p;
}

void mesh_send(struct mesh *m, const struct core_outgoing *s)
{
	struct peer *p;

	if (s->to.incoming) {
		cs_sock_send(m->listener, &s->to.id, s->buf.data, s->buf.len);
		return;
	}
	p = peer_get_or_create(m, s->to.addr, s->to.port);
	if (p == NULL)
		return;
	p->last_send_us = cs_mono_us();
	cs_sock_send(p->sock, NULL, s->buf.data, s->buf.len);
}
