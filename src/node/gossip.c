/* Reports between instances: UDP datagrams of msgpack, from each to each. */
#include <arpa/inet.h>
#include <errno.h>
#include <msgpack.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "src/node/node.h"

#define REPORT_FORMAT 1
/* Flags of a report. */
#define FLAG_READY 1
#define FLAG_LEAVING 2
#define FLAG_STORE_STEADY 4
/* Reports are sent this often while there are few instances. */
#define PERIOD_US (150 * CS_US_PER_MS)
/* Beyond this many instances the period grows with their number, so that traffic stays bounded. */
#define PERIOD_PEERS 10
#define PERIOD_MAX_US (700 * CS_US_PER_MS)
#define DATAGRAM_MAX 8192
/* Datagrams read in one turn of the loop. */
#define READ_ROUNDS 64

struct peer {
	TAILQ_ENTRY(peer) entry;
	char name[CS_NAME_MAX];
	struct sockaddr_in at;
	bool listed;
	uint64_t heard_us; /* last report from it, or when it was listed */
};

struct node_gossip {
	struct node *node;
	int fd;
	uint16_t port;
	ev_io io;
	struct cs_timer timer;
	uint64_t seq;
	TAILQ_HEAD(, peer) peers;
	unsigned n_peers;
	msgpack_sbuffer buf;
	struct cs_steer_report report; /* being sent or read */
};

/* An unlisted peer that is not heard for this time gets no more reports. */
#define PEER_KEEP_US (10 * CS_US_PER_S)

static void on_input(struct ev_loop *loop, ev_io *w, int events);
static void on_timer(struct cs_timer *t, void *arg);

/* Binds the first free port of the range for traffic between instances. */
static bool bind_port(struct node_gossip *g, struct cs_msg *msg)
{
	const struct platform_settings *ps = &g->node->settings;
	struct sockaddr_in sa = {.sin_family = AF_INET};
	unsigned port;

	g->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (g->fd < 0 || inet_pton(AF_INET, ps->addr, &sa.sin_addr) != 1) {
		cs_msg_set(msg, "reports: cannot create a socket for %s: %s", ps->addr,
			   strerror(errno));
		return false;
	}
	for (port = ps->internal_first; port <= ps->internal_last; port++) {
		sa.sin_port = htons((uint16_t)port);
		if (bind(g->fd, (struct sockaddr *)&sa, sizeof(sa)) == 0) {
			g->port = (uint16_t)port;
			return true;
		}
	}
	cs_msg_set(msg, "reports: no free port from %u to %u at %s: %s", ps->internal_first,
		   ps->internal_last, ps->addr, strerror(errno));
	return false;
}

struct node_gossip *gossip_create(struct node *n, struct cs_msg *msg)
{
	struct node_gossip *g = cs_xcalloc(1, sizeof(*g));

	g->node = n;
	TAILQ_INIT(&g->peers);
	if (!bind_port(g, msg)) {
		if (g->fd >= 0)
			close(g->fd);
		free(g);
		return NULL;
	}
	msgpack_sbuffer_init(&g->buf);
	ev_io_init(&g->io, on_input, g->fd, EV_READ);
	g->io.data = g;
	ev_io_start(n->loop, &g->io);
	cs_timer_init(&g->timer, on_timer, g);
	cs_timer_start(n->timers, &g->timer, PERIOD_US);
	return g;
}

static void peer_free(struct node_gossip *g, struct peer *p)
{
	TAILQ_REMOVE(&g->peers, p, entry);
	g->n_peers--;
	free(p);
}

void gossip_destroy(struct node_gossip *g)
{
	struct peer *p;

	if (g == NULL)
		return;
	while ((p = TAILQ_FIRST(&g->peers)) != NULL)
		peer_free(g, p);
	ev_io_stop(g->node->loop, &g->io);
	cs_timer_stop(&g->timer);
	msgpack_sbuffer_destroy(&g->buf);
	close(g->fd);
	free(g);
}

uint16_t gossip_port(const struct node_gossip *g)
{
	return g->port;
}

static struct peer *find_peer(struct node_gossip *g, const char *name)
{
	struct peer *p;

	TAILQ_FOREACH(p, &g->peers, entry)
		if (strcmp(p->name, name) == 0)
			return p;
	return NULL;
}

void gossip_peer(struct node_gossip *g, const char *name, const struct platform_endpoint *at)
{
	struct peer *p = find_peer(g, name);

	if (p == NULL) {
		p = cs_xcalloc(1, sizeof(*p));
		cs_copy(p->name, sizeof(p->name), name);
		TAILQ_INSERT_TAIL(&g->peers, p, entry);
		g->n_peers++;
	}
	p->at = (struct sockaddr_in){.sin_family = AF_INET, .sin_port = htons(at->port)};
	if (inet_pton(AF_INET, at->addr, &p->at.sin_addr) != 1) {
		peer_free(g, p);
		return;
	}
	p->listed = true;
	p->heard_us = cs_mono_us();
}

void gossip_peer_gone(struct node_gossip *g, const char *name)
{
	struct peer *p = find_peer(g, name);

	/* It may live on while the store is away: it is dropped once it is silent as well. */
	if (p != NULL)
		p->listed = false;
}

static void pack_text(msgpack_packer *pk, const char *s)
{
	size_t n = strlen(s);

	msgpack_pack_str(pk, n);
	msgpack_pack_str_body(pk, s, n);
}

static void pack_services(msgpack_packer *pk, const struct cs_steer_report *r)
{
	const struct cs_report_service *svc;
	unsigned i, k;

	msgpack_pack_array(pk, r->n_services);
	for (i = 0; i < r->n_services; i++) {
		svc = &r->services[i];
		msgpack_pack_array(pk, 2 + svc->n_shares);
		msgpack_pack_uint32(pk, svc->service);
		msgpack_pack_float(pk, svc->work);
		for (k = 0; k < svc->n_shares; k++)
			msgpack_pack_float(pk, svc->shares[k]);
	}
}

static void pack_rows(msgpack_packer *pk, const struct cs_steer_report *r)
{
	const struct cs_report_row *row;
	unsigned i;

	msgpack_pack_array(pk, r->n_rows * 4);
	for (i = 0; i < r->n_rows; i++) {
		row = &r->rows[i];
		msgpack_pack_uint32(pk, row->server);
		msgpack_pack_uint16(pk, row->in_flight);
		msgpack_pack_uint16(pk, row->pace_pct);
		msgpack_pack_uint16(pk, row->pace_age_ms);
	}
}

/* Encodes this instance's report into the buffer. */
static void encode(struct node_gossip *g)
{
	struct cs_steer_report *r = &g->report;
	struct cs_steer_member self;
	msgpack_packer pk;

	node_self(g->node, &self);
	cs_steer_report_out(g->node->steer, r, cs_mono_us());
	msgpack_sbuffer_clear(&g->buf);
	msgpack_packer_init(&pk, &g->buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 7);
	msgpack_pack_int(&pk, REPORT_FORMAT);
	pack_text(&pk, self.name);
	msgpack_pack_uint64(&pk, self.boot);
	msgpack_pack_uint64(&pk, ++g->seq);
	msgpack_pack_int(&pk, (self.ready ? FLAG_READY : 0) | (self.leaving ? FLAG_LEAVING : 0) |
				      (self.store_steady ? FLAG_STORE_STEADY : 0));
	pack_services(&pk, r);
	pack_rows(&pk, r);
}

void gossip_now(struct node_gossip *g)
{
	struct node *n = g->node;
	uint64_t now = cs_mono_us();
	struct peer *p, *next;

	encode(g);
	TAILQ_FOREACH_SAFE(p, &g->peers, entry, next) {
		if (!p->listed && now - p->heard_us > PEER_KEEP_US) {
			peer_free(g, p);
			continue;
		}
		if (g->buf.size <= DATAGRAM_MAX &&
		    sendto(g->fd, g->buf.data, g->buf.size, MSG_DONTWAIT, (struct sockaddr *)&p->at,
			   sizeof(p->at)) > 0)
			(*n->stats.reports_out)++;
	}
}

static void on_timer(struct cs_timer *t, void *arg)
{
	struct node_gossip *g = arg;
	uint64_t period = PERIOD_US;

	gossip_now(g);
	if (g->n_peers > PERIOD_PEERS)
		period = period * g->n_peers / PERIOD_PEERS;
	if (period > PERIOD_MAX_US)
		period = PERIOD_MAX_US;
	cs_timer_start(g->node->timers, t, period);
}

static bool is_uint(const msgpack_object *o, uint64_t max)
{
	return o->type == MSGPACK_OBJECT_POSITIVE_INTEGER && o->via.u64 <= max;
}

static bool is_float(const msgpack_object *o)
{
	return o->type == MSGPACK_OBJECT_FLOAT32 || o->type == MSGPACK_OBJECT_FLOAT64;
}

static bool read_services(const msgpack_object *o, struct cs_steer_report *r)
{
	struct cs_report_service *svc;
	const msgpack_object_array *row;
	uint32_t i, k;

	r->n_services = 0;
	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size > CS_REPORT_SERVICES)
		return false;
	for (i = 0; i < o->via.array.size; i++) {
		row = &o->via.array.ptr[i].via.array;
		if (o->via.array.ptr[i].type != MSGPACK_OBJECT_ARRAY || row->size < 2 ||
		    row->size > 2 + CS_REGIONS_MAX || !is_uint(&row->ptr[0], UINT32_MAX) ||
		    !is_float(&row->ptr[1]))
			return false;
		svc = &r->services[r->n_services++];
		svc->service = (uint32_t)row->ptr[0].via.u64;
		svc->work = (float)row->ptr[1].via.f64;
		svc->n_shares = row->size - 2;
		for (k = 0; k < svc->n_shares; k++) {
			if (!is_float(&row->ptr[2 + k]))
				return false;
			svc->shares[k] = (float)row->ptr[2 + k].via.f64;
		}
	}
	return true;
}

static bool read_rows(const msgpack_object *o, struct cs_steer_report *r)
{
	const msgpack_object *v;
	uint32_t i;

	r->n_rows = 0;
	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size % 4 != 0 ||
	    o->via.array.size > 4 * CS_REPORT_ROWS)
		return false;
	for (i = 0; i < o->via.array.size; i += 4) {
		v = &o->via.array.ptr[i];
		if (!is_uint(&v[0], UINT32_MAX) || !is_uint(&v[1], UINT16_MAX) ||
		    !is_uint(&v[2], UINT16_MAX) || !is_uint(&v[3], UINT16_MAX))
			return false;
		r->rows[r->n_rows++] =
			(struct cs_report_row){(uint32_t)v[0].via.u64, (uint16_t)v[1].via.u64,
					       (uint16_t)v[2].via.u64, (uint16_t)v[3].via.u64};
	}
	return true;
}

/* Reads a report; false if it is malformed. Unknown trailing elements are ignored. */
static bool decode(const msgpack_object *root, struct cs_steer_report *r)
{
	const msgpack_object *v = root->via.array.ptr;

	if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size < 7 ||
	    !is_uint(&v[0], UINT32_MAX) || v[0].via.u64 != REPORT_FORMAT ||
	    v[1].type != MSGPACK_OBJECT_STR || v[1].via.str.size >= sizeof(r->name) ||
	    !is_uint(&v[2], UINT64_MAX) || !is_uint(&v[3], UINT64_MAX) || !is_uint(&v[4], 255))
		return false;
	memcpy(r->name, v[1].via.str.ptr, v[1].via.str.size);
	r->name[v[1].via.str.size] = '\0';
	r->boot = v[2].via.u64;
	r->seq = v[3].via.u64;
	r->ready = v[4].via.u64 & FLAG_READY;
	r->leaving = v[4].via.u64 & FLAG_LEAVING;
	r->store_steady = v[4].via.u64 & FLAG_STORE_STEADY;
	return read_services(&v[5], r) && read_rows(&v[6], r);
}

static void take_datagram(struct node_gossip *g, const char *data, size_t len)
{
	struct node *n = g->node;
	uint64_t now = cs_mono_us();
	msgpack_unpacked msg;
	struct peer *p;
	size_t off = 0;
	bool ok;

	msgpack_unpacked_init(&msg);
	ok = msgpack_unpack_next(&msg, data, len, &off) == MSGPACK_UNPACK_SUCCESS &&
	     decode(&msg.data, &g->report);
	msgpack_unpacked_destroy(&msg);
	if (!ok) {
		cs_event(n->events, CS_EVENT_KEEP, "report.refused", "bytes=%zu", len);
		return;
	}
	(*n->stats.reports_in)++;
	p = find_peer(g, g->report.name);
	if (p != NULL)
		p->heard_us = now;
	cs_steer_report_in(n->steer, &g->report, now);
}

static void on_input(struct ev_loop *loop, ev_io *w, int events)
{
	struct node_gossip *g = w->data;
	char data[DATAGRAM_MAX];
	ssize_t n;
	int i;

	for (i = 0; i < READ_ROUNDS; i++) {
		n = recv(g->fd, data, sizeof(data), MSG_DONTWAIT);
		if (n <= 0)
			return;
		take_datagram(g, data, (size_t)n);
	}
}
