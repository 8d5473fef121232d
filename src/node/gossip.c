/*
 * Exchange of reports, zone digests and store changes between instances over UDP: their recipients
 * and send intervals. In a large fleet each zone has CS_ROOTS_PER_ZONE root instances (lib/steer),
 * which collect the reports of the zone and exchange digests with the roots of other zones.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "src/node/node.h"
#include "src/node/wire.h"

#define REPORT_INTERVAL_US (150 * CS_US_PER_MS)
/*
 * In a large fleet, a zone with more peers than this lengthens its report interval in proportion,
 * up to the given factor, to bound the load on the roots.
 */
#define ZONE_BASE_INSTANCES 16
#define INTERVAL_FACTOR_MAX 3.0
/* Bytes of changes in one datagram, and the overhead of a change besides its key and value. */
#define CHANGES_PAYLOAD_MAX (WIRE_DATAGRAM_MAX - 256)
#define CHANGE_OVERHEAD_BYTES 24
/* Most instances to which a report is sent. */
#define REPORT_TARGETS_MAX 64
/* The same for a report that cannot wait for the next digest. */
#define URGENT_TARGETS_MAX 256
/* Datagrams read per turn of the loop. */
#define RECV_BATCH_MAX 64

struct peer {
	TAILQ_ENTRY(peer) entry;
	char name[CS_NAME_MAX];
	char zone[CS_NAME_MAX];
	struct sockaddr_in addr;
	bool listed;
	/* Highest store revision forwarded from this peer, by wire_changes.entries_only. */
	uint64_t forwarded_revision[2];
};

/* Timer of the digests of one scope. */
struct digest_schedule {
	struct node_gossip *gossip;
	enum cs_digest_scope scope;
	struct cs_timer timer;
};

struct node_gossip {
	struct node *node;
	int fd;
	uint16_t port;
	ev_io io;
	struct cs_timer timer;
	struct digest_schedule region, remote;
	uint64_t seq;
	bool large_fleet;
	TAILQ_HEAD(, peer) peers;
	msgpack_sbuffer buf;
	struct cs_steer_report out; /* report or digest being sent */
	struct wire_message in; /* last message received */
	struct wire_changes changes; /* store changes being sent */
};

static void on_readable(struct ev_loop *loop, ev_io *w, int events);
static void on_timer(struct cs_timer *t, void *arg);
static void on_digest_timer(struct cs_timer *t, void *arg);

/* Binds the first free port of the range reserved for traffic between instances. */
static bool bind_port(struct node_gossip *g, struct cs_msg *msg)
{
	const struct platform_settings *ps = &g->node->settings;
	struct sockaddr_in sa = {.sin_family = AF_INET};
	unsigned port;

	g->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (g->fd < 0 || inet_pton(AF_INET, ps->addr, &sa.sin_addr) != 1) {
		cs_msg_set(msg, "reports: cannot create a UDP socket for %s: %s", ps->addr,
			   strerror(errno));
		return false;
	}
	for (port = ps->internal_port_first; port <= ps->internal_port_last; port++) {
		sa.sin_port = htons((uint16_t)port);
		if (bind(g->fd, (struct sockaddr *)&sa, sizeof(sa)) == 0) {
			g->port = (uint16_t)port;
			return true;
		}
	}
	cs_msg_set(msg, "reports: cannot bind a UDP port from %u to %u on %s: %s",
		   ps->internal_port_first, ps->internal_port_last, ps->addr, strerror(errno));
	return false;
}

static void digest_schedule_start(struct node_gossip *g, struct digest_schedule *d,
				  enum cs_digest_scope scope)
{
	*d = (struct digest_schedule){.gossip = g, .scope = scope};
	cs_timer_init(&d->timer, on_digest_timer, d);
	cs_timer_start(g->node->timers, &d->timer,
		       cs_steer_digest_period_us(g->node->steer, scope, 0));
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
	ev_io_init(&g->io, on_readable, g->fd, EV_READ);
	ev_set_priority(&g->io, NEWS_PRIORITY);
	g->io.data = g;
	ev_io_start(n->loop, &g->io);
	cs_timer_init(&g->timer, on_timer, g);
	cs_timer_start(n->timers, &g->timer, REPORT_INTERVAL_US);
	digest_schedule_start(g, &g->region, CS_DIGEST_REGION);
	digest_schedule_start(g, &g->remote, CS_DIGEST_REMOTE);
	return g;
}

static void peer_free(struct node_gossip *g, struct peer *p)
{
	TAILQ_REMOVE(&g->peers, p, entry);
	free(p);
}

void gossip_destroy(struct node_gossip *g)
{
	struct peer *p, *next;

	if (g == NULL)
		return;
	TAILQ_FOREACH_SAFE(p, &g->peers, entry, next)
		peer_free(g, p);
	ev_io_stop(g->node->loop, &g->io);
	cs_timer_stop(&g->timer);
	cs_timer_stop(&g->region.timer);
	cs_timer_stop(&g->remote.timer);
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

void gossip_update_peer(struct node_gossip *g, const char *name, const char *zone,
			const struct platform_endpoint *addr)
{
	struct peer *p = find_peer(g, name);

	if (p == NULL) {
		p = cs_xcalloc(1, sizeof(*p));
		cs_copy(p->name, sizeof(p->name), name);
		TAILQ_INSERT_TAIL(&g->peers, p, entry);
	}
	cs_copy(p->zone, sizeof(p->zone), zone);
	p->addr = (struct sockaddr_in){.sin_family = AF_INET, .sin_port = htons(addr->port)};
	if (inet_pton(AF_INET, addr->addr, &p->addr.sin_addr) != 1) {
		peer_free(g, p);
		return;
	}
	p->listed = true;
}

void gossip_unlist_peer(struct node_gossip *g, const char *name)
{
	struct peer *p = find_peer(g, name);

	/* The peer may be alive without access to the store; expire_peers frees it once silent. */
	if (p != NULL)
		p->listed = false;
}

static void send_to(struct node_gossip *g, const struct peer *p, const char *data, size_t len)
{
	if (len > WIRE_DATAGRAM_MAX) {
		cs_event(g->node->events, CS_EVENT_IMPORTANT, "report.too_large", "bytes=%zu", len);
		return;
	}
	/*
	 * A datagram lost on a full socket buffer is not sent again: later reports supersede it,
	 * and receivers detect missing store changes by the revisions.
	 */
	if (sendto(g->fd, data, len, MSG_DONTWAIT, (const struct sockaddr *)&p->addr,
		   sizeof(p->addr)) > 0)
		(*g->node->stats.reports_out)++;
}

/* Sends the message in the buffer to an instance by name. */
static void send_buffer(struct node_gossip *g, const char *name)
{
	struct peer *p = find_peer(g, name);

	if (p != NULL)
		send_to(g, p, g->buf.data, g->buf.size);
}

void gossip_send_ask(struct node_gossip *g, const struct cs_quota_ask *ask)
{
	wire_pack_ask(&g->buf, ask);
	send_buffer(g, ask->to);
}

void gossip_send_reply(struct node_gossip *g, const struct cs_quota_reply *reply)
{
	wire_pack_reply(&g->buf, reply);
	send_buffer(g, reply->to);
}

static void send_to_peers(struct node_gossip *g, const char *const names[], unsigned n,
			  const char *data, size_t len)
{
	struct peer *p;
	unsigned i;

	for (i = 0; i < n; i++) {
		p = find_peer(g, names[i]);
		if (p != NULL)
			send_to(g, p, data, len);
	}
}

/*
 * Forwards a message of a root to the next instances in the distribution tree of the zone. entry
 * is true at the instance where the message enters the zone.
 */
static void forward_in_zone(struct node_gossip *g, unsigned root_index, uint64_t seq, bool entry,
			    const char *data, size_t len)
{
	const char *names[CS_FORWARD_FANOUT];
	unsigned n = cs_steer_forward_targets(g->node->steer, root_index, seq, entry, names);

	send_to_peers(g, names, n, data, len);
}

/* Sets the sender fields, which reports and digests share. */
static void fill_sender(struct node_gossip *g, struct cs_steer_report *r)
{
	struct cs_steer_member self;

	node_describe_self(g->node, &self);
	cs_copy(r->name, sizeof(r->name), self.name);
	r->boot = self.boot;
	r->seq = ++g->seq;
	r->ready = self.ready;
	r->leaving = self.leaving;
	r->store_stable = self.store_stable;
	r->keys_stale = self.keys_stale;
	r->store_fresh = store_sync_is_fresh(g->node->store_sync);
	r->store_revision = store_sync_revision(g->node->store_sync);
}

/* Removes peers that are not listed in the store and from which no message arrived recently. */
static void expire_peers(struct node_gossip *g)
{
	struct peer *p, *next;

	TAILQ_FOREACH_SAFE(p, &g->peers, entry, next)
		if (!p->listed && !cs_steer_has_member(g->node->steer, p->name))
			peer_free(g, p);
}

/* The last report of a leaving instance goes to its whole zone, not only to the roots. */
static void send_leaving(struct node_gossip *g)
{
	struct peer *p;

	TAILQ_FOREACH(p, &g->peers, entry)
		if (strcmp(p->zone, g->node->settings.zone) == 0)
			send_to(g, p, g->buf.data, g->buf.size);
}

/* Packs the next report into the buffer. */
static void pack_report(struct node_gossip *g)
{
	struct cs_steer_report *r = &g->out;

	memset(r, 0, sizeof(*r));
	cs_steer_build_report(g->node->steer, r, cs_mono_us());
	fill_sender(g, r);
	wire_pack_report(&g->buf, r);
}

void gossip_send_urgent(struct node_gossip *g)
{
	const char *names[URGENT_TARGETS_MAX];

	pack_report(g);
	send_to_peers(g, names, cs_steer_urgent_targets(g->node->steer, names, URGENT_TARGETS_MAX),
		      g->buf.data, g->buf.size);
}

void gossip_send_report(struct node_gossip *g)
{
	const char *names[REPORT_TARGETS_MAX];
	struct cs_steer *steer = g->node->steer;
	uint64_t now = cs_mono_us();

	expire_peers(g);
	g->large_fleet = cs_steer_is_large_fleet(steer);
	pack_report(g);
	if (g->large_fleet && g->out.leaving)
		send_leaving(g);
	else
		send_to_peers(g, names,
			      cs_steer_report_targets(steer, now, names, REPORT_TARGETS_MAX),
			      g->buf.data, g->buf.size);
}

/*
 * Sends the zone's digest to a root of each other zone in scope. A digest for the region is also
 * distributed within the own zone.
 */
static void send_digest(struct node_gossip *g, enum cs_digest_scope scope, unsigned root_index)
{
	const char *names[CS_ZONES_MAX];
	struct cs_steer *steer = g->node->steer;
	struct cs_steer_report *r = &g->out;
	uint64_t now = cs_mono_us();
	unsigned n;

	memset(r, 0, sizeof(*r));
	fill_sender(g, r);
	if (!r->ready || r->leaving)
		return;
	r->root_index = root_index;
	cs_steer_build_digest(steer, r, scope, now);
	wire_pack_report(&g->buf, r);
	n = cs_steer_digest_targets(steer, root_index, scope, now, names, CS_ZONES_MAX);
	send_to_peers(g, names, n, g->buf.data, g->buf.size);
	if (scope == CS_DIGEST_REGION)
		forward_in_zone(g, root_index, r->seq, true, g->buf.data, g->buf.size);
}

/* Factor by which the report interval grows with the size of the zone. */
static double interval_factor(const struct node_gossip *g)
{
	const struct peer *p;
	unsigned zone_peers = 0;
	double f;

	TAILQ_FOREACH(p, &g->peers, entry)
		zone_peers += strcmp(p->zone, g->node->settings.zone) == 0;
	f = (double)zone_peers / ZONE_BASE_INSTANCES;
	if (f < 1)
		return 1;
	return f > INTERVAL_FACTOR_MAX ? INTERVAL_FACTOR_MAX : f;
}

static void on_digest_timer(struct cs_timer *t, void *arg)
{
	struct digest_schedule *d = arg;
	struct node_gossip *g = d->gossip;
	unsigned rank = cs_steer_rank(g->node->steer);
	size_t bytes = 0;

	if (g->large_fleet && rank < CS_ROOTS_PER_ZONE) {
		send_digest(g, d->scope, rank);
		bytes = g->buf.size;
	}
	cs_timer_start(g->node->timers, t,
		       cs_steer_digest_period_us(g->node->steer, d->scope, bytes));
}

static void on_timer(struct cs_timer *t, void *arg)
{
	struct node_gossip *g = arg;

	gossip_send_report(g);
	cs_timer_start(g->node->timers, t,
		       g->large_fleet ? (uint64_t)(REPORT_INTERVAL_US * interval_factor(g))
				      : REPORT_INTERVAL_US);
}

/* Finds the peer that a datagram came from; another instance may have written the message. */
static struct peer *find_sender(struct node_gossip *g, const struct sockaddr_in *addr)
{
	struct peer *p;

	TAILQ_FOREACH(p, &g->peers, entry)
		if (p->addr.sin_port == addr->sin_port &&
		    p->addr.sin_addr.s_addr == addr->sin_addr.s_addr)
			return p;
	return NULL;
}

/* Applies the changes of a root and forwards them the first time they arrive. */
static void handle_changes(struct node_gossip *g, const struct wire_changes *c, const char *data,
			   size_t len)
{
	struct peer *p = find_peer(g, c->name);

	store_sync_apply_relayed(g->node->store_sync, c);
	if (p == NULL || c->to <= p->forwarded_revision[c->entries_only])
		return;
	p->forwarded_revision[c->entries_only] = c->to;
	forward_in_zone(g, c->root_index, c->to, false, data, len);
}

/* True if the datagram was sent or forwarded by an instance of the own zone. */
static bool is_from_zone(struct node_gossip *g, const struct sockaddr_in *addr)
{
	const struct peer *p = find_sender(g, addr);

	return p != NULL && strcmp(p->zone, g->node->settings.zone) == 0;
}

static void handle_datagram(struct node_gossip *g, const char *data, size_t len,
			    const struct sockaddr_in *addr)
{
	struct wire_message *m = &g->in;
	struct node *n = g->node;
	uint64_t now = cs_mono_us();

	if (!wire_unpack(data, len, m)) {
		cs_event(n->events, CS_EVENT_IMPORTANT, "report.refused", "bytes=%zu", len);
		return;
	}
	(*n->stats.reports_in)++;
	switch (m->kind) {
	case WIRE_REPORT:
		cs_steer_handle_report(n->steer, &m->u.report, now);
		notice_log_reported(n, "instance", m->u.report.name);
		break;
	case WIRE_DIGEST:
		if (!cs_steer_handle_digest(n->steer, &m->u.report, now))
			break;
		notice_log_reported(n, "instance", m->u.report.name);
		forward_in_zone(g, m->u.report.root_index, m->u.report.seq, !is_from_zone(g, addr),
				data, len);
		break;
	case WIRE_CHANGES:
	case WIRE_ENTRIES:
		handle_changes(g, &m->u.changes, data, len);
		break;
	case WIRE_QUOTA_ASK:
		workspaces_handle_ask(n, &m->u.ask);
		break;
	case WIRE_QUOTA_REPLY:
		workspaces_handle_reply(n, &m->u.reply);
		break;
	}
}

static void on_readable(struct ev_loop *loop, ev_io *w, int events)
{
	struct node_gossip *g = w->data;
	struct sockaddr_in addr = {.sin_family = AF_INET};
	socklen_t size;
	char data[WIRE_DATAGRAM_MAX];
	ssize_t n;
	int i;

	for (i = 0; i < RECV_BATCH_MAX; i++) {
		size = sizeof(addr);
		n = recvfrom(g->fd, data, sizeof(data), MSG_DONTWAIT, (struct sockaddr *)&addr,
			     &size);
		if (n <= 0)
			return;
		handle_datagram(g, data, (size_t)n, &addr);
	}
}

static void flush_changes(struct node_gossip *g, struct wire_changes *c)
{
	if (c->n == 0)
		return;
	wire_pack_changes(&g->buf, c);
	forward_in_zone(g, c->root_index, c->to, true, g->buf.data, g->buf.size);
	c->from = c->to;
	c->n = 0;
}

/*
 * True for a document that is too large for a datagram. Its receivers read it themselves, and do
 * not miss the changes that follow it meanwhile.
 */
static bool is_omitted(const struct platform_item *it)
{
	const char *name;

	return platform_key_parse(it->key, &name) == PLATFORM_KEY_DOCUMENT &&
	       strlen(it->key) + it->len + CHANGE_OVERHEAD_BYTES > CHANGES_PAYLOAD_MAX;
}

void gossip_send_changes(struct node_gossip *g, const struct platform_response *resp,
			 bool entries_only, uint64_t from, unsigned removal_grace_ms)
{
	const struct platform_item *items = resp->items;
	struct wire_changes *c = &g->changes;
	struct wire_change *ch;
	size_t bytes = 0, more;
	bool omitted;
	unsigned i;

	*c = (struct wire_changes){.entries_only = entries_only,
				   .from = from,
				   .to = from,
				   .removal_grace_ms = removal_grace_ms};
	/*
	 * The rank may be higher than that of a root, since other instances also watch while the
	 * store refuses the calls of both roots.
	 */
	c->root_index = cs_steer_rank(g->node->steer) % CS_ROOTS_PER_ZONE;
	cs_copy(c->name, sizeof(c->name), g->node->settings.instance);
	for (i = 0; i < resp->n_items; i++) {
		omitted = is_omitted(&items[i]);
		more = strlen(items[i].key) + CHANGE_OVERHEAD_BYTES;
		if (!omitted)
			more += items[i].len;
		if (bytes + more > CHANGES_PAYLOAD_MAX || c->n == WIRE_CHANGES_MAX) {
			flush_changes(g, c);
			bytes = 0;
		}
		/* Too large for a datagram: receivers detect the gap and read from the store. */
		if (more > CHANGES_PAYLOAD_MAX) {
			c->from = c->to = items[i].revision;
			continue;
		}
		ch = &c->change[c->n++];
		cs_copy(ch->key, sizeof(ch->key), items[i].key);
		ch->revision = items[i].revision;
		ch->omitted = omitted;
		ch->value = omitted ? NULL : items[i].value;
		ch->len = omitted ? 0 : items[i].len;
		c->to = items[i].revision;
		bytes += more;
	}
	if (c->n > 0)
		c->to = resp->revision;
	flush_changes(g, c);
}
