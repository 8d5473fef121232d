/*
 * Core: dissemination of zone rows. The first relay of each zone sends to a few other zones at
 * fixed distances on a ring of all zones, so that each row reaches every zone over several paths.
 * The second relay receives a copy and takes over when the first is silent. Within a zone, the
 * first relay distributes changes through a tree of its members.
 */
#include <stdlib.h>
#include <string.h>

#include "core-internal.h"

#define ROW_REQUEST_RETRY_US (300 * CS_US_PER_MS)
/* Unchanged rows older than this are included, in brief, in relayed digests. */
#define ROW_AGED_US (1500 * CS_US_PER_MS)
/* Without a relayed digest for this time, a member pulls all rows from the relay. */
#define RELAYED_TIMEOUT_US (2 * CS_US_PER_S)
#define ROWS_PULL_INTERVAL_US CS_US_PER_S
#define PROBE_INTERVAL_US CS_US_PER_S
#define EDGES_INTERVAL_US (250 * CS_US_PER_MS) /* between digests without urgent rows */
#define ZONE_MEMBERS_MAX 256
#define ZONES_MAX 1024

/* The relay currently responsible for the zone; NULL if no member is known to be alive. */
static struct member *acting_relay(struct core *c, uint64_t now_us)
{
	struct member *relays[CORE_RELAYS];
	unsigned n = members_order(c, relays, CORE_RELAYS);

	if (n == 0)
		return NULL;
	if (n > 1 && relays[0] != c->self &&
	    now_us - relays[0]->last_heartbeat_us > CORE_FAILOVER_US)
		return relays[1];
	return relays[0];
}

static bool zone_is_unreachable(const struct zone_row *z, uint64_t now_us)
{
	return z->published_us != 0 && now_us - z->published_us >= CORE_UNREACHABLE_US;
}

/* Smallest base, at least 2, whose CORE_RING_EDGES-th power is not below n. */
static unsigned ring_base(unsigned n)
{
	unsigned b = 1, p, i;

	do {
		b++;
		for (p = 1, i = 0; i < CORE_RING_EDGES; i++)
			p *= b;
	} while (p < n);
	return b;
}

/*
 * Returns the first zone from ring index at that is reachable, not the own one and not yet a
 * target. If there is none, returns the zone at that index, or NULL if it is the own zone.
 */
static struct zone_row *ring_target(struct core *c, struct zone_row **ring, unsigned n, unsigned at,
				    unsigned edge, uint64_t now_us)
{
	struct zone_row *z;
	unsigned i, k;

	if (n == 0)
		return NULL;
	for (i = 0; i < n; i++) {
		z = ring[(at + i) % n];
		for (k = 0; k < edge && c->edges[k].to != z; k++)
			;
		if (z != c->own_row && k == edge && !zone_is_unreachable(z, now_us))
			return z;
	}
	return ring[at % n] != c->own_row ? ring[at % n] : NULL;
}

static void edge_set_target(struct edge *e, struct zone_row *to)
{
	if (e->to == to)
		return;
	e->to = to;
	e->sent_clock = 0;
}

/*
 * Chooses the zones that this relay sends to: all others if they are few, else those at distances
 * 1, b, b^2, ... on the ring, with b from ring_base.
 */
static void edges_update(struct core *c, uint64_t now_us)
{
	struct zone_row *ring[ZONES_MAX], *z;
	unsigned n = 0, own_index = 0, i, b, at = 1;

	for (z = zone_first(c); z != NULL && n < ZONES_MAX; z = zone_next(z)) {
		if (z != c->own_row && z->n_members == 0)
			continue;
		if (z == c->own_row)
			own_index = n;
		ring[n++] = z;
	}
	if (n - 1 <= CORE_DIRECT_ZONES_MAX) {
		for (i = 0; i < CORE_DIRECT_ZONES_MAX; i++)
			edge_set_target(&c->edges[i],
					i + 1 < n ? ring[(own_index + 1 + i) % n] : NULL);
		return;
	}
	b = ring_base(n);
	for (i = 0; i < CORE_DIRECT_ZONES_MAX; i++, at *= b)
		edge_set_target(&c->edges[i],
				i < CORE_RING_EDGES
					? ring_target(c, ring, n, own_index + at, i, now_us)
					: NULL);
}

/* Adds the rows changed since a row_clock value, except those received from the target zone. */
static void add_rows_since(struct core *c, struct digest_builder *b, uint64_t since,
			   uint32_t target_zone_hash, uint64_t now_us)
{
	struct zone_row *z;

	for (z = zone_first(c); z != NULL; z = zone_next(z))
		if (z->stamp.incarnation != 0 && z->updated_clock > since &&
		    z->sender_zone_hash != target_zone_hash)
			digest_builder_add(b, z, z->urgent && z->content_clock > since, now_us);
}

/* Sends the rows changed since the last digest to the given relay of the edge's zone. */
static void edge_send(struct core *c, struct edge *e, unsigned relay, uint64_t now_us)
{
	struct member *relays[CORE_RELAYS];
	struct cs_wire_msg m = {0};
	struct digest_builder *b;
	unsigned n;

	if (e->to == NULL)
		return;
	b = digest_builder_create(c);
	add_rows_since(c, b, e->sent_clock, e->to->zone_hash, now_us);
	e->sent_clock = c->row_clock;
	n = digest_builder_count(b) > 0 || c->digest_pending
		    ? members_relays(c, e->to, relays, CORE_RELAYS)
		    : 0;
	if (n > 0) {
		digest_builder_finish(c, b, &m);
		core_enqueue_to_member(c, relays[relay < n ? relay : n - 1], &m);
	}
	digest_builder_destroy(b);
}

/* Contacts a random zone from time to time, so that a healed network partition is noticed. */
static void probe_random_zone(struct core *c, uint64_t now_us)
{
	struct member *relays[CORE_RELAYS];
	struct edge e = {.sent_clock = c->row_clock};
	struct zone_row *z;
	unsigned n = 0;

	if (now_us - c->probe_us < PROBE_INTERVAL_US)
		return;
	c->probe_us = now_us;
	for (z = zone_first(c); z != NULL; z = zone_next(z))
		if (z != c->own_row && z->n_members > 0 && cs_rng_below(&c->rng, ++n) == 0)
			e.to = z;
	if (e.to == NULL)
		return;
	/* Sends the own row at least. */
	e.sent_clock = c->own_row->updated_clock > 0 ? c->own_row->updated_clock - 1 : 0;
	edge_send(c, &e, cs_rng_below(&c->rng, CORE_RELAYS), now_us);
	/* Without the store, a heartbeat to another zone obtains newer lists from there. */
	if (!c->zone_store_ok && members_relays(c, e.to, relays, CORE_RELAYS) > 0)
		members_send_heartbeat(c, relays[0]);
}

/* Sends to the children of this instance in the distribution tree with the given root. */
static void tree_forward(struct core *c, const char *root, const struct cs_wire_msg *m)
{
	struct member *order[ZONE_MEMBERS_MAX], *moved;
	unsigned n = members_order(c, order, ZONE_MEMBERS_MAX), i, own_index = 0;

	for (i = 1; i < n; i++) {
		if (strcmp(order[i]->name, root) != 0)
			continue;
		moved = order[i];
		for (; i > 0; i--)
			order[i] = order[i - 1];
		order[0] = moved;
		break;
	}
	while (own_index < n && order[own_index] != c->self)
		own_index++;
	/* The root sends to one member only, because it also sends to other zones. */
	if (own_index == 0 && n > 1)
		core_enqueue_to_member(c, order[1], m);
	for (i = own_index * CORE_ZONE_FANOUT;
	     own_index > 0 && i < (own_index + 1) * CORE_ZONE_FANOUT && i < n; i++)
		core_enqueue_to_member(c, order[i], m);
}

/* Sets the fields of a relayed digest that cover the rows of all other zones. */
static void digest_set_relayed(struct core *c, struct cs_wire_digest *d, uint64_t now_us)
{
	struct zone_row *z;
	uint64_t age;

	d->relayed = true;
	for (z = zone_first(c); z != NULL; z = zone_next(z)) {
		if (z == c->own_row || z->stamp.incarnation == 0)
			continue;
		d->fingerprints_xor ^= z->fingerprint;
		age = now_us > z->published_us ? now_us - z->published_us : 0;
		if (age <= ROW_AGED_US && age / CS_US_PER_MS > d->omitted_age_max_ms)
			d->omitted_age_max_ms = (unsigned)(age / CS_US_PER_MS);
	}
}

/* Relays rows to the own zone: changed rows in full, aged ones in brief. */
static void relay_to_zone(struct core *c, uint64_t now_us)
{
	struct digest_builder *b = digest_builder_create(c);
	struct cs_wire_msg m = {0};
	struct zone_row *z;
	bool urgent = false;

	for (z = zone_first(c); z != NULL; z = zone_next(z)) {
		if (z == c->own_row || z->stamp.incarnation == 0)
			continue;
		urgent |= z->urgent && z->content_clock > c->zone_sent_clock;
		if (z->content_clock > c->zone_sent_clock)
			digest_builder_add(b, z, true, now_us);
		else if (now_us - z->published_us > ROW_AGED_US)
			digest_builder_add(b, z, false, now_us);
	}
	if (urgent || now_us - c->zone_sent_us >= CORE_HEARTBEAT_US ||
	    (digest_builder_count(b) > 0 &&
	     now_us - c->zone_sent_us >= row_publish_interval_us(c) / 2)) {
		digest_builder_finish(c, b, &m);
		digest_set_relayed(c, &m.u.digest, now_us);
		tree_forward(c, c->opts.instance, &m);
		c->zone_sent_clock = c->row_clock;
		c->zone_sent_us = now_us;
	}
	digest_builder_destroy(b);
}

/* Requests full rows from a peer; all rows if no hashes are given. */
static void request_rows(struct core *c, const struct core_endpoint *to,
			 const uint32_t *zone_hashes, unsigned n)
{
	struct cs_wire_msg m = {.type = CS_WIRE_DIGEST_GET};

	m.u.digest_get.instance = c->opts.instance;
	m.u.digest_get.zone_hashes = zone_hashes;
	m.u.digest_get.n_zone_hashes = n;
	core_enqueue(c, to, &m);
}

static void request_all_rows(struct core *c, const struct member *m)
{
	struct core_endpoint to = {.port = m->bus_port};

	if (m->bus_port == 0)
		return;
	cs_copy(to.addr, sizeof(to.addr), m->addr);
	request_rows(c, &to, NULL, 0);
}

/* True if an urgent row changed after the given row_clock value. */
static bool urgent_since(struct core *c, uint64_t since)
{
	struct zone_row *z;

	for (z = zone_first(c); z != NULL; z = zone_next(z))
		if (z->urgent && z->content_clock > since)
			return true;
	return false;
}

static void edges_send(struct core *c, uint64_t now_us)
{
	unsigned i;

	c->edges_us = now_us;
	edges_update(c, now_us);
	/*
	 * The digest of the first edge goes to the second relay of its zone, so that this relay has
	 * received rows before it takes over.
	 */
	for (i = 0; i < CORE_DIRECT_ZONES_MAX; i++)
		edge_send(c, &c->edges[i], i == 0, now_us);
}

void digest_tick(struct core *c, uint64_t now_us)
{
	struct member *relay = acting_relay(c, now_us);

	own_row_update(c, relay == c->self, now_us);
	if (relay == c->self) {
		if (c->digest_pending || urgent_since(c, c->edges[0].sent_clock) ||
		    now_us - c->edges_us >= EDGES_INTERVAL_US)
			edges_send(c, now_us);
		probe_random_zone(c, now_us);
		relay_to_zone(c, now_us);
		c->relayed_us = now_us;
	} else if (relay != NULL && c->rank < CORE_RELAYS) {
		edge_set_target(&c->standby, c->own_row);
		edge_send(c, &c->standby, 0, now_us);
	}
	if (relay != NULL && relay != c->self && now_us - c->relayed_us > RELAYED_TIMEOUT_US &&
	    now_us - c->rows_pull_us > ROWS_PULL_INTERVAL_US) {
		c->rows_pull_us = now_us;
		request_all_rows(c, relay);
	}
	c->digest_pending = false;
}

/* Sets the age of the rows that a relayed digest omits to the maximum that it states. */
static void refresh_omitted_rows(struct core *c, const struct cs_wire_digest *d, uint64_t now_us)
{
	uint64_t age = (uint64_t)d->omitted_age_max_ms * CS_US_PER_MS,
		 published = now_us > age ? now_us - age : 0;
	struct zone_row *z;
	unsigned i;

	for (z = zone_first(c); z != NULL; z = zone_next(z)) {
		if (z == c->own_row || z->stamp.incarnation == 0)
			continue;
		for (i = 0; i < d->n_zones; i++)
			if (d->zones[i].brief && d->zones[i].zone_hash == z->zone_hash)
				break;
		if (i == d->n_zones && published > z->published_us)
			z->published_us = published;
	}
}

/* XOR of the fingerprints of all rows of other zones. */
static uint32_t rows_fingerprints_xor(struct core *c)
{
	struct zone_row *z;
	uint32_t x = 0;

	for (z = zone_first(c); z != NULL; z = zone_next(z))
		if (z != c->own_row && z->stamp.incarnation != 0)
			x ^= z->fingerprint;
	return x;
}

/*
 * Refreshes the omitted rows only if all rows equal those of the sender: otherwise an outdated row
 * would stay in use and never be replaced. On a mismatch all rows are pulled. Relays skip this
 * comparison, because the first relay may hold more rows than a digest of the second covers.
 */
static void handle_relayed(struct core *c, const struct core_endpoint *from,
			   const struct cs_wire_msg *m, uint64_t now_us)
{
	const struct cs_wire_digest *d = &m->u.digest;

	c->relayed_us = now_us;
	if (c->rank < CORE_RELAYS || rows_fingerprints_xor(c) == d->fingerprints_xor) {
		refresh_omitted_rows(c, d, now_us);
		return;
	}
	if (now_us - c->rows_pull_us < ROWS_PULL_INTERVAL_US)
		return;
	c->rows_pull_us = now_us;
	request_rows(c, from, NULL, 0);
}

/* False for a duplicate of the last relayed digest or an older one of the same sender. */
static bool relayed_is_new(struct core *c, const struct cs_wire_digest *d)
{
	if (strcmp(c->relayed_sender, d->instance) == 0 &&
	    (d->stamp.incarnation < c->relayed_stamp.incarnation ||
	     (d->stamp.incarnation == c->relayed_stamp.incarnation &&
	      d->stamp.sequence <= c->relayed_stamp.sequence)))
		return false;
	cs_copy(c->relayed_sender, sizeof(c->relayed_sender), d->instance);
	c->relayed_stamp = d->stamp;
	return true;
}

/* Applies the rows and collects the zone hashes of those to be requested in full. */
static unsigned apply_rows(struct core *c, const struct cs_wire_digest *d, uint32_t *zone_hashes,
			   unsigned max, uint64_t now_us)
{
	const struct member *sender = member_find(c, d->instance);
	uint32_t sender_zone_hash = sender != NULL ? sender->row->zone_hash : 0;
	struct zone_row *z;
	unsigned i, n = 0;

	for (i = 0; i < d->n_zones; i++) {
		if (row_apply(c, &d->zones[i], sender_zone_hash, now_us) || n == max)
			continue;
		z = zone_find_by_hash(c, d->zones[i].zone_hash);
		if (z != NULL && now_us - z->requested_us < ROW_REQUEST_RETRY_US)
			continue;
		if (z != NULL)
			z->requested_us = now_us;
		zone_hashes[n++] = d->zones[i].zone_hash;
	}
	return n;
}

void digest_handle(struct core *c, const struct core_endpoint *from, const struct cs_wire_msg *m,
		   uint64_t now_us)
{
	const struct cs_wire_digest *d = &m->u.digest;
	uint32_t zone_hashes[ZONES_MAX];
	unsigned n;

	c->stale = false;
	if (d->relayed && !relayed_is_new(c, d))
		return;
	n = apply_rows(c, d, zone_hashes, ZONES_MAX, now_us);
	if (n > 0)
		request_rows(c, from, zone_hashes, n);
	if (!d->relayed)
		return;
	tree_forward(c, d->instance, m);
	handle_relayed(c, from, m, now_us);
}

static bool contains_hash(const uint32_t *hashes, unsigned n, uint32_t hash)
{
	unsigned i;

	for (i = 0; i < n; i++)
		if (hashes[i] == hash)
			return true;
	return false;
}

/* Sends full rows; the own row only if this instance is the acting relay. */
static void send_rows(struct core *c, const struct core_endpoint *to, const uint32_t *zone_hashes,
		      unsigned n, uint64_t now_us)
{
	struct digest_builder *b = digest_builder_create(c);
	struct cs_wire_msg m = {0};
	struct zone_row *z;

	for (z = zone_first(c); z != NULL; z = zone_next(z)) {
		if (z->stamp.incarnation == 0 ||
		    (n > 0 && !contains_hash(zone_hashes, n, z->zone_hash)))
			continue;
		if (z == c->own_row && acting_relay(c, now_us) != c->self)
			continue;
		digest_builder_add(b, z, true, now_us);
	}
	if (digest_builder_count(b) > 0) {
		digest_builder_finish(c, b, &m);
		core_enqueue(c, to, &m);
	}
	digest_builder_destroy(b);
}

void digest_handle_get(struct core *c, const struct core_endpoint *from,
		       const struct cs_wire_digest_get *g, uint64_t now_us)
{
	send_rows(c, from, g->zone_hashes, g->n_zone_hashes, now_us);
}

void digest_send_all(struct core *c, const struct core_endpoint *to, uint64_t now_us)
{
	send_rows(c, to, NULL, 0, now_us);
}
