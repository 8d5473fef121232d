/* Core: states of the members, heartbeats, choice of relays and watchers. */
#include <stdlib.h>
#include <string.h>

#include "core-int.h"

#define RENDEZVOUS_SEED 11
#define LIST_PULL_US CS_US_PER_S

/* State of a member of the own zone by what was heard of it. */
static enum cs_member_state state_here(const struct core *c, const struct member *m,
				       uint64_t now_us)
{
	uint64_t silent = now_us > m->heard_us ? now_us - m->heard_us : 0;

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

/* What the age of a row says of its zone. */
static enum cs_member_state phase_of(const struct zone_row *z, uint64_t now_us)
{
	uint64_t silent = now_us > z->heard_us ? now_us - z->heard_us : 0;

	if (z->heard_us == 0)
		return CS_MEMBER_SUSPECT;
	if (silent >= CORE_UNREACHABLE_US)
		return CS_MEMBER_UNREACHABLE;
	return silent >= CORE_ZONE_SUSPECT_US ? CS_MEMBER_SUSPECT : CS_MEMBER_ALIVE;
}

/* State of a member of another zone by the row of that zone. */
static enum cs_member_state state_there(const struct member *m)
{
	if (!m->listed)
		return CS_MEMBER_DEAD;
	if (m->row->phase == CS_MEMBER_UNREACHABLE)
		return CS_MEMBER_UNREACHABLE;
	if (m->list_leaving)
		return CS_MEMBER_LEAVING;
	if (m->row->phase == CS_MEMBER_ALIVE && m->excepted)
		return m->except_state;
	return m->row->phase;
}

/* True if the member is said to take requests. */
static bool ready_now(const struct member *m)
{
	if (m->here)
		return m->ready && m->state <= CS_MEMBER_SUSPECT;
	if (m->row->heard_us == 0 || m->state > CS_MEMBER_SUSPECT)
		return false;
	return !m->excepted || m->except_ready;
}

bool member_usable(const struct member *m)
{
	return m->state == CS_MEMBER_ALIVE || m->state == CS_MEMBER_SUSPECT;
}

/* True if the member may still be there: not leaving, not dead. */
static bool member_listens(const struct member *m)
{
	return m->state != CS_MEMBER_LEAVING && m->state != CS_MEMBER_DEAD;
}

/* True if the member may be chosen; with silent also one that was not heard of lately. */
static bool may_relay(const struct member *m, bool silent)
{
	if (m->here)
		return m->state == CS_MEMBER_ALIVE && m->incarnation != 0;
	return m->state == CS_MEMBER_ALIVE || (silent && member_listens(m));
}

static uint64_t weight_of(const struct member *m)
{
	return cs_hash_str(m->name, RENDEZVOUS_SEED);
}

/* Puts a member into an array ordered by weight, best first, of at most max. */
static unsigned rank_insert(struct member **out, unsigned n, unsigned max, struct member *m)
{
	unsigned i;

	for (i = n; i > 0 && weight_of(out[i - 1]) < weight_of(m); i--)
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

	FOREACH_HERE(m, c)
	if (may_relay(m, false))
		n = rank_insert(out, n, max, m);
	return n;
}

unsigned members_relays(struct core *c, const struct zone_row *zone, struct member **out,
			unsigned max)
{
	struct member *m;
	unsigned n = 0;

	FOREACH_OF_ZONE(m, zone)
	if (may_relay(m, false))
		n = rank_insert(out, n, max, m);
	if (n > 0 || zone == c->own)
		return n;
	/* A zone that is silent is tried on, so that both sides find each other again. */
	FOREACH_OF_ZONE(m, zone)
	if (may_relay(m, true))
		n = rank_insert(out, n, max, m);
	return n;
}

/* Rank of this instance in its zone; 0 if it knows no other live one. */
static unsigned own_rank(struct core *c)
{
	struct member *relays[CORE_RELAYS];
	unsigned n = members_order(c, relays, CORE_RELAYS), i;

	for (i = 0; i < n; i++)
		if (relays[i] == c->self)
			return i;
	/* A leaving instance is not ranked; it stays a watcher only if nobody else is. */
	return n == 0 ? 0 : CORE_RELAYS;
}

/* Notes a change of a member for the view, and of the own zone for its row. */
static void member_changed(struct core *c, const struct member *m)
{
	if (m->here) {
		view_members_changed(c);
		c->digest_now = true;
	} else {
		view_others_changed(c);
	}
}

void member_update(struct core *c, struct member *m, uint64_t now_us)
{
	enum cs_member_state st = m->here ? state_here(c, m, now_us) : state_there(m);
	bool ready;

	if (st != m->state && m->here)
		cs_log(CS_INFO, "members", "Member changed state. instance=%s from=%s to=%s",
		       m->name, cs_member_state_name(m->state), cs_member_state_name(st));
	if (st != m->state)
		member_changed(c, m);
	m->state = st;
	ready = ready_now(m);
	if (ready != m->shown_ready)
		member_changed(c, m);
	m->shown_ready = ready;
}

/* The view tells whether any watcher of the zone gets answers from the store. */
static void store_update(struct core *c)
{
	bool ok = c->store_ok;
	struct member *m;

	FOREACH_HERE(m, c)
	ok |= m != c->self && m->store_ok && m->state == CS_MEMBER_ALIVE;
	if (ok != c->store_shown)
		c->view_seq++;
	c->store_shown = ok;
}

void zone_update(struct core *c, struct zone_row *z, uint64_t now_us)
{
	struct member *m, *next;

	TAILQ_FOREACH_SAFE(m, &z->members, zone_entry, next) {
		member_update(c, m, now_us);
		if (m == c->self || m->state != CS_MEMBER_DEAD)
			continue;
		if (m->here && now_us - m->heard_us < CORE_FORGET_US)
			continue;
		member_free(c, m);
		view_members_changed(c);
	}
}

void members_tick(struct core *c, uint64_t now_us)
{
	enum cs_member_state phase;
	struct zone_row *z;

	for (z = zone_first(c); z != NULL; z = zone_next(z)) {
		phase = phase_of(z, now_us);
		/* Without a new phase, members of other zones change by rows and lists only. */
		if (z != c->own && phase == z->phase)
			continue;
		z->phase = phase;
		zone_update(c, z, now_us);
	}
	c->rank = own_rank(c);
	store_update(c);
}

/* Takes the loads of a heartbeat over. */
static void take_loads(struct member *m, const struct cs_wire_heartbeat *h)
{
	free(m->loads);
	m->n_loads = h->n_loads;
	m->loads = cs_xcalloc(h->n_loads, sizeof(*m->loads));
	if (h->n_loads > 0)
		memcpy(m->loads, h->loads, h->n_loads * sizeof(*m->loads));
}

/* True if the heartbeat is newer than the last one taken of its sender. */
static bool is_newer(const struct member *m, const struct cs_wire_stamp *s, uint64_t now_us)
{
	if (s->incarnation > m->incarnation)
		return true;
	if (s->incarnation < m->incarnation)
		return now_us - m->heard_us >= CORE_INCARNATION_HOLD_US;
	return s->sequence > m->sequence;
}

/* Packs the own heartbeat. */
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
	h->lists = lists_version(c);
	h->ready = c->self->ready;
	h->leaving = c->self->leaving;
	h->store_ok = c->store_ok;
	h->roster = c->self->roster;
	h->loads = proxy->loads;
	h->n_loads = proxy->n_loads;
}

/* Asks a peer that holds newer lists for them, at most once a second. */
static void lists_seen(struct core *c, const struct core_origin *from, uint64_t lists,
		       uint64_t now_us)
{
	struct cs_wire_msg m = {.type = CS_WIRE_LIST_GET};
	uint64_t held = lists_version(c);

	if (lists <= held || now_us - c->list_pull_us < LIST_PULL_US)
		return;
	/* A watcher with an answering store reads the lists itself. */
	if (core_is_watcher(c) && c->store_ok)
		return;
	c->list_pull_us = now_us;
	m.u.list_get.instance = c->opts.instance;
	m.u.list_get.service = "";
	m.u.list_get.version = held;
	core_post(c, from, &m);
}

/* A first heartbeat of an incarnation is answered, so that the sender learns of us at once. */
static void greet(struct core *c, const struct core_origin *from, bool here, uint64_t now_us)
{
	struct cs_wire_msg m = {0};

	heartbeat_fill(c, &m);
	core_post(c, from, &m);
	if (here)
		digest_greet(c, from, now_us);
}

void members_heartbeat(struct core *c, const struct core_origin *from,
		       const struct cs_wire_heartbeat *h, uint64_t now_us)
{
	struct member *m = member_find(c, h->instance);
	bool here = strcmp(h->zone, c->opts.zone) == 0, fresh, listed;

	if (strcmp(h->instance, c->opts.instance) == 0)
		return;
	/* Another zone's instance that starts without a store asks by a heartbeat. */
	if (!here || (m != NULL && !m->here)) {
		config_seen(c, from, h->revision, now_us);
		lists_seen(c, from, h->lists, now_us);
		if (from->incoming)
			greet(c, from, false, now_us);
		return;
	}
	if (m == NULL)
		m = member_get(c, h->instance, h->zone, now_us);
	if (!is_newer(m, &h->stamp, now_us)) {
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
	m->heard_us = now_us;
	m->revision = h->revision;
	m->lists = h->lists;
	m->ready = h->ready;
	m->leaving = h->leaving;
	m->store_ok = h->store_ok;
	m->roster = h->roster;
	take_loads(m, h);
	c->stale = false;
	member_update(c, m, now_us);
	if (c->cfg != NULL && h->revision == c->cfg->revision && h->config_hash != c->cfg_hash)
		cs_log(CS_ERR, "config", "Peer holds other content. instance=%s revision=%llu",
		       h->instance, (unsigned long long)h->revision);
	if (from->incoming && (fresh || !listed))
		greet(c, from, fresh, now_us);
	config_seen(c, from, h->revision, now_us);
	lists_seen(c, from, h->lists, now_us);
}

void members_send_heartbeat(struct core *c, const struct member *to)
{
	struct cs_wire_msg m = {0};

	heartbeat_fill(c, &m);
	core_post_member(c, to, &m);
}

void members_send_heartbeats(struct core *c, uint64_t now_us)
{
	struct cs_wire_msg m = {0};
	struct member *peer;
	unsigned known = 0, i;

	c->heartbeat_now = false;
	c->heartbeat_due_us = now_us + CORE_HEARTBEAT_US;
	heartbeat_fill(c, &m);
	FOREACH_HERE(peer, c)
	{
		if (peer == c->self || peer->bus_port == 0)
			continue;
		core_post_member(c, peer, &m);
		known += peer->state == CS_MEMBER_ALIVE;
	}
	if (known > 0)
		return;
	for (i = 0; i < c->opts.n_peers; i++) {
		struct core_origin to = {.port = c->peers[i].port};

		cs_copy(to.addr, sizeof(to.addr), c->peers[i].addr);
		core_post(c, &to, &m);
	}
}
