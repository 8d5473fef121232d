/* Core: member states, heartbeats, and the selection of relays and watchers. */
#include <stdlib.h>
#include <string.h>

#include "core-internal.h"

#define RENDEZVOUS_SEED 11
#define LIST_PULL_INTERVAL_US CS_US_PER_S

/* State of a member of the own zone, by its heartbeats. */
static enum cs_member_state own_zone_member_state(const struct core *c, const struct member *m,
						  uint64_t now_us)
{
	uint64_t silent = now_us > m->last_heartbeat_us ? now_us - m->last_heartbeat_us : 0;

	if (m == c->self)
		return m->leaving || m->list_leaving ? CS_MEMBER_LEAVING : CS_MEMBER_ALIVE;
	if (silent >= CORE_UNREACHABLE_US)
		return m->listed ? CS_MEMBER_UNREACHABLE : CS_MEMBER_DEAD;
	if (m->leaving || m->list_leaving)
		return CS_MEMBER_LEAVING;
	if (m->incarnation == 0 || silent >= CORE_SUSPECT_US)
		return CS_MEMBER_SUSPECT;
	return CS_MEMBER_ALIVE;
}

/* State of a zone by the age of its row. */
static enum cs_member_state zone_reachability(const struct zone_row *z, uint64_t now_us)
{
	uint64_t silent = now_us > z->published_us ? now_us - z->published_us : 0;

	if (z->published_us == 0)
		return CS_MEMBER_SUSPECT;
	if (silent >= CORE_UNREACHABLE_US)
		return CS_MEMBER_UNREACHABLE;
	return silent >= CORE_ZONE_SUSPECT_US ? CS_MEMBER_SUSPECT : CS_MEMBER_ALIVE;
}

/* State of a member of another zone, by the row of that zone. */
static enum cs_member_state remote_member_state(const struct member *m)
{
	if (!m->listed)
		return CS_MEMBER_DEAD;
	if (m->row->reachability == CS_MEMBER_UNREACHABLE)
		return CS_MEMBER_UNREACHABLE;
	if (m->list_leaving)
		return CS_MEMBER_LEAVING;
	if (m->row->reachability == CS_MEMBER_ALIVE && m->has_exception)
		return m->exception_state;
	return m->row->reachability;
}

/* True if the member takes requests, by its heartbeat or by the row of its zone. */
static bool member_takes_requests(const struct member *m)
{
	if (m->in_own_zone)
		return m->ready && m->state <= CS_MEMBER_SUSPECT;
	if (m->row->published_us == 0 || m->state > CS_MEMBER_SUSPECT)
		return false;
	return !m->has_exception || m->exception_ready;
}

bool member_usable(const struct member *m)
{
	return m->state == CS_MEMBER_ALIVE || m->state == CS_MEMBER_SUSPECT;
}

/* True if the member is neither leaving nor dead. */
static bool member_may_run(const struct member *m)
{
	return m->state != CS_MEMBER_LEAVING && m->state != CS_MEMBER_DEAD;
}

/* True if the member may be selected as a relay. */
static bool is_relay_candidate(const struct member *m, bool include_unreachable)
{
	if (m->in_own_zone)
		return m->state == CS_MEMBER_ALIVE && m->incarnation != 0;
	return m->state == CS_MEMBER_ALIVE || (include_unreachable && member_may_run(m));
}

static uint64_t rendezvous_weight(const struct member *m)
{
	return cs_hash_str(m->name, RENDEZVOUS_SEED);
}

/* Inserts a member into an array of at most max members, ordered by descending weight. */
static unsigned rank_insert(struct member **out, unsigned n, unsigned max, struct member *m)
{
	unsigned i;

	for (i = n; i > 0 && rendezvous_weight(out[i - 1]) < rendezvous_weight(m); i--)
		if (i < max)
			out[i] = out[i - 1];
	if (i >= max)
		return n;
	out[i] = m;
	return n < max ? n + 1 : n;
}

unsigned members_order(struct core *c, struct member **out, unsigned max)
{
	struct member *m;
	unsigned n = 0;

	FOREACH_OWN_ZONE_MEMBER(m, c)
	if (is_relay_candidate(m, false))
		n = rank_insert(out, n, max, m);
	return n;
}

unsigned members_relays(struct core *c, const struct zone_row *zone, struct member **out,
			unsigned max)
{
	struct member *m;
	unsigned n = 0;

	FOREACH_ZONE_MEMBER(m, zone)
	if (is_relay_candidate(m, false))
		n = rank_insert(out, n, max, m);
	if (n > 0 || zone == c->own_row)
		return n;
	/* Keeps sending to an unreachable zone, so that contact is restored after a partition. */
	FOREACH_ZONE_MEMBER(m, zone)
	if (is_relay_candidate(m, true))
		n = rank_insert(out, n, max, m);
	return n;
}

/* Rank of this instance in its zone; 0 if no live member is known, CORE_RELAYS if not a relay. */
static unsigned own_rank(struct core *c)
{
	struct member *relays[CORE_RELAYS];
	unsigned n = members_order(c, relays, CORE_RELAYS), i;

	for (i = 0; i < n; i++)
		if (relays[i] == c->self)
			return i;
	/* A leaving instance has no rank; it stays a watcher only if there is no other. */
	return n == 0 ? 0 : CORE_RELAYS;
}

/* Schedules an update of the view and, for a member of the own zone, of its row. */
static void member_changed(struct core *c, const struct member *m)
{
	if (m->in_own_zone) {
		view_members_changed(c);
		c->digest_pending = true;
	} else {
		view_remote_members_changed(c);
	}
}

void member_update(struct core *c, struct member *m, uint64_t now_us)
{
	enum cs_member_state st = m->in_own_zone ? own_zone_member_state(c, m, now_us)
						 : remote_member_state(m);
	bool ready;

	if (st != m->state && m->in_own_zone)
		cs_log(CS_INFO, "members", "Member changed state. instance=%s from=%s to=%s",
		       m->name, cs_member_state_name(m->state), cs_member_state_name(st));
	if (st != m->state)
		member_changed(c, m);
	m->state = st;
	ready = member_takes_requests(m);
	if (ready != m->effective_ready)
		member_changed(c, m);
	m->effective_ready = ready;
}

/* Updates whether the store responds to any watcher of the zone. */
static void store_update(struct core *c)
{
	bool ok = c->store_ok;
	struct member *m;

	FOREACH_OWN_ZONE_MEMBER(m, c)
	ok |= m != c->self && m->store_ok && m->state == CS_MEMBER_ALIVE;
	if (ok != c->zone_store_ok)
		c->view_seq++;
	c->zone_store_ok = ok;
}

void zone_update(struct core *c, struct zone_row *z, uint64_t now_us)
{
	struct member *m, *next;

	TAILQ_FOREACH_SAFE(m, &z->members, zone_entry, next) {
		member_update(c, m, now_us);
		if (m == c->self || m->state != CS_MEMBER_DEAD)
			continue;
		if (m->in_own_zone && now_us - m->last_heartbeat_us < CORE_EXPIRE_US)
			continue;
		member_free(c, m);
		view_members_changed(c);
	}
}

void members_tick(struct core *c, uint64_t now_us)
{
	enum cs_member_state reachability;
	struct zone_row *z;

	for (z = zone_first(c); z != NULL; z = zone_next(z)) {
		reachability = zone_reachability(z, now_us);
		/*
		 * Of a remote zone, only the reachability changes with time; all else is updated
		 * when a zone row or an instance list arrives.
		 */
		if (z != c->own_row && reachability == z->reachability)
			continue;
		z->reachability = reachability;
		zone_update(c, z, now_us);
	}
	c->rank = own_rank(c);
	store_update(c);
}

static void copy_loads(struct member *m, const struct cs_wire_heartbeat *h)
{
	free(m->loads);
	m->n_loads = h->n_loads;
	m->loads = cs_xcalloc(h->n_loads, sizeof(*m->loads));
	if (h->n_loads > 0)
		memcpy(m->loads, h->loads, h->n_loads * sizeof(*m->loads));
}

/*
 * True if a heartbeat with this stamp is accepted: it is newer than the last one, or it has a lower
 * incarnation and the member was silent for CORE_INCARNATION_HOLD_US.
 */
static bool is_newer_stamp(const struct member *m, const struct cs_wire_stamp *s, uint64_t now_us)
{
	if (s->incarnation > m->incarnation)
		return true;
	if (s->incarnation < m->incarnation)
		return now_us - m->last_heartbeat_us >= CORE_INCARNATION_HOLD_US;
	return s->sequence > m->sequence;
}

static void heartbeat_fill(struct core *c, struct cs_wire_msg *m)
{
	struct cs_wire_heartbeat *h = &m->u.heartbeat;
	const struct daemon *proxy = &c->daemons[CS_LINK_PROXY];

	m->type = CS_WIRE_HEARTBEAT;
	h->instance = c->opts.instance;
	h->zone = c->opts.zone;
	h->stamp.incarnation = c->opts.incarnation;
	h->stamp.sequence = ++c->sequence;
	h->revision = c->cfg ? c->cfg->revision : 0;
	h->config_hash = c->cfg_hash;
	h->lists_version = lists_version(c);
	h->ready = c->self->ready;
	h->leaving = c->self->leaving;
	h->store_ok = c->store_ok;
	h->roster = c->self->roster;
	h->loads = proxy->loads;
	h->n_loads = proxy->n_loads;
}

/* Requests the lists from a peer that has newer ones, at most once a second. */
static void lists_pull_if_newer(struct core *c, const struct core_endpoint *from, uint64_t version,
				uint64_t now_us)
{
	struct cs_wire_msg m = {.type = CS_WIRE_LIST_GET};
	uint64_t held = lists_version(c);

	if (version <= held || now_us - c->list_pull_us < LIST_PULL_INTERVAL_US)
		return;
	/* A watcher that reaches the store reads the lists there. */
	if (core_is_watcher(c) && c->store_ok)
		return;
	c->list_pull_us = now_us;
	m.u.list_get.instance = c->opts.instance;
	m.u.list_get.service = "";
	m.u.list_get.version = held;
	core_enqueue(c, from, &m);
}

/* Replies at once, so that a new peer gets the state of this instance and the zone rows. */
static void send_reply_heartbeat(struct core *c, const struct core_endpoint *from, bool with_rows,
				 uint64_t now_us)
{
	struct cs_wire_msg m = {0};

	heartbeat_fill(c, &m);
	core_enqueue(c, from, &m);
	if (with_rows)
		digest_send_all(c, from, now_us);
}

void members_handle_heartbeat(struct core *c, const struct core_endpoint *from,
			      const struct cs_wire_heartbeat *h, uint64_t now_us)
{
	struct member *m = member_find(c, h->instance);
	bool in_own_zone = strcmp(h->zone, c->opts.zone) == 0, fresh, listed;

	if (strcmp(h->instance, c->opts.instance) == 0)
		return;
	/* Instances of other zones send a heartbeat to obtain configuration and lists. */
	if (!in_own_zone || (m != NULL && !m->in_own_zone)) {
		config_pull_if_newer(c, from, h->revision, now_us);
		lists_pull_if_newer(c, from, h->lists_version, now_us);
		if (from->incoming)
			send_reply_heartbeat(c, from, false, now_us);
		return;
	}
	if (m == NULL)
		m = member_get_or_create(c, h->instance, h->zone, now_us);
	if (!is_newer_stamp(m, &h->stamp, now_us)) {
		c->stats.stale++;
		return;
	}
	fresh = h->stamp.incarnation != m->incarnation;
	listed = m->listed;
	if (fresh || m->ready != h->ready || m->leaving != h->leaving || m->roster != h->roster ||
	    m->revision != h->revision)
		view_members_changed(c);
	m->incarnation = h->stamp.incarnation;
	m->sequence = h->stamp.sequence;
	m->last_heartbeat_us = now_us;
	m->revision = h->revision;
	m->lists_version = h->lists_version;
	m->ready = h->ready;
	m->leaving = h->leaving;
	m->store_ok = h->store_ok;
	m->roster = h->roster;
	copy_loads(m, h);
	c->stale = false;
	member_update(c, m, now_us);
	if (c->cfg != NULL && h->revision == c->cfg->revision && h->config_hash != c->cfg_hash)
		cs_log(CS_ERR, "config",
		       "Peer has different content for this revision. instance=%s revision=%llu",
		       h->instance, (unsigned long long)h->revision);
	if (from->incoming && (fresh || !listed))
		send_reply_heartbeat(c, from, fresh, now_us);
	config_pull_if_newer(c, from, h->revision, now_us);
	lists_pull_if_newer(c, from, h->lists_version, now_us);
}

void members_send_heartbeat(struct core *c, const struct member *to)
{
	struct cs_wire_msg m = {0};

	heartbeat_fill(c, &m);
	core_enqueue_to_member(c, to, &m);
}

void members_send_heartbeats(struct core *c, uint64_t now_us)
{
	struct cs_wire_msg m = {0};
	struct member *peer;
	unsigned known = 0, i;

	c->heartbeat_pending = false;
	c->heartbeat_due_us = now_us + CORE_HEARTBEAT_US;
	heartbeat_fill(c, &m);
	FOREACH_OWN_ZONE_MEMBER(peer, c)
	{
		if (peer == c->self || peer->bus_port == 0)
			continue;
		core_enqueue_to_member(c, peer, &m);
		known += peer->state == CS_MEMBER_ALIVE;
	}
	if (known > 0)
		return;
	for (i = 0; i < c->opts.n_peers; i++) {
		struct core_endpoint to = {.port = c->peers[i].port};

		cs_copy(to.addr, sizeof(to.addr), c->peers[i].addr);
		core_enqueue(c, &to, &m);
	}
}
