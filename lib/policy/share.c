/*
 * Division of each server's slots and connections among the instances of the zone. The share in
 * force is the least one over the present roster and all former rosters by which a peer may still
 * divide, so that the sum over instances stays within the slots while views differ.
 */
#include <stdlib.h>
#include <string.h>

#include "policy/internal.h"

/* Slots of one server by pool, and its connections, under one configuration. */
struct limits {
	unsigned slots[POOLS];
	unsigned connections;
};

static uint64_t hold_us(const struct cs_policy *p, const struct roster *r, const struct svc *s);

/* Limits of a server; reported slots lower the configured ones but never raise them. */
static void limits_of(const struct cs_config *cfg, const struct cs_target *t, struct limits *l)
{
	int si = cs_config_service(cfg, t->svc->name);
	unsigned slots, i, bulk = 0;
	bool small_classes = false, bulk_classes = false;

	memset(l, 0, sizeof(*l));
	if (si < 0)
		return;
	slots = cfg->services[si].slots;
	if (t->slots > 0 && t->slots < slots)
		slots = t->slots;
	for (i = 0; i < cfg->n_classes; i++) {
		if (cfg->classes[i].service != (unsigned)si)
			continue;
		if (cfg->classes[i].bulk)
			bulk_classes = true;
		else
			small_classes = true;
	}
	/* A third for bulk: small requests are the larger part and have the tighter targets. */
	if (bulk_classes && !small_classes)
		bulk = slots;
	else if (bulk_classes && slots == 1)
		bulk = t->hash & 1;
	else if (bulk_classes)
		bulk = slots < BULK_PART ? 1 : slots / BULK_PART;
	l->slots[POOL_BULK] = bulk;
	l->slots[POOL_SMALL] = slots - bulk;
	l->connections = cfg->services[si].connections;
}

/* True if some listed peer last named another division, or runs more than its share of this one. */
static bool peer_differs(const struct cs_policy *p, const struct roster *now)
{
	unsigned i;

	for (i = 0; i < p->n_peers; i++) {
		if (p->peers[i].name == p->self || p->peers[i].roster == 0)
			continue;
		if (roster_find(now, p->peers[i].name) < 0)
			continue;
		if (roster_division(p->peers[i].roster) != roster_division(now->hash) ||
		    roster_division(p->peers[i].roster) == p->peers[i].roster)
			return true;
	}
	return false;
}

/* Hold time of the service with the longest time limit. */
static uint64_t longest_hold_us(const struct cs_policy *p)
{
	return LIST_LAG_US + shift_longest_timeout_ms(p->cfg) * CS_US_PER_MS;
}

/* True if some process that may still have requests at servers has left the rosters. */
static bool leave_pending(const struct cs_policy *p)
{
	const struct roster *now = &p->rosters[p->n_rosters - 1];
	unsigned i;

	for (i = 0; i < p->n_peers; i++)
		if (p->peers[i].ended_us > 0 && roster_find(now, p->peers[i].name) >= 0 &&
		    p->now_us < p->peers[i].ended_us + longest_hold_us(p))
			return true;
	for (i = 0; i + 1 < p->n_rosters; i++)
		if (!roster_nobody_left(&p->rosters[i], &p->rosters[p->n_rosters - 1]))
			return true;
	return false;
}

/* True if all listed peers named the present roster lately. */
static bool peers_agree(const struct cs_policy *p, const struct roster *now)
{
	unsigned i, agreed = 0;

	if (roster_find(now, p->self) < 0 || leave_pending(p))
		return false;
	for (i = 0; i < p->n_peers; i++) {
		if (p->peers[i].name == p->self || p->peers[i].roster != now->hash ||
		    !p->peers[i].fresh)
			continue;
		if (roster_find(now, p->peers[i].name) >= 0)
			agreed++;
	}
	return agreed + 1 == now->n;
}

/*
 * True while a former roster still bounds the share at a service. It does so for the hold time,
 * and longer if an instance joined since and a listed peer still names another roster: that peer
 * may be cut off from the list and divide by the former roster.
 */
static bool roster_counts(const struct cs_policy *p, const struct roster *r, const struct svc *s,
			  uint64_t now_us)
{
	const struct roster *now = &p->rosters[p->n_rosters - 1];

	if (r == now || now_us < r->left_us + hold_us(p, r, s))
		return true;
	if (r->hash != 0 && r->limits == now->limits && roster_within(now, r))
		return false;
	return peer_differs(p, now);
}

static uint64_t longest_timeout_us(const struct cs_config *cfg, const char *service)
{
	int si = cs_config_service(cfg, service);
	uint64_t longest = 0;
	unsigned i;

	for (i = 0; si >= 0 && i < cfg->n_classes; i++) {
		uint64_t us = cfg->classes[i].timeout_ms * CS_US_PER_MS;

		if (cfg->classes[i].service == (unsigned)si && us > longest)
			longest = us;
	}
	return longest;
}

/* List lag plus the longest time that a request started under the former roster may run. */
static uint64_t hold_us(const struct cs_policy *p, const struct roster *r, const struct svc *s)
{
	uint64_t now = longest_timeout_us(p->cfg, s->name), then = 0;

	if (r->cfg != NULL && r->cfg != p->cfg)
		then = longest_timeout_us(r->cfg, s->name);
	return LIST_LAG_US + (then > now ? then : now);
}

static void share_of_target(struct cs_policy *p, struct cs_target *t, uint64_t now_us)
{
	struct limits l;
	unsigned i, k, part;

	for (k = 0; k < POOLS; k++)
		t->share[k] = UINT16_MAX;
	t->connections = UINT16_MAX;
	for (i = 0; i < p->n_rosters; i++) {
		const struct roster *r = &p->rosters[i];

		if (!roster_counts(p, r, t->svc, now_us))
			continue;
		limits_of(r->cfg != NULL ? r->cfg : p->cfg, t, &l);
		for (k = 0; k < POOLS; k++) {
			part = roster_part(p, r, t, l.slots[k]);
			if (part < t->share[k])
				t->share[k] = part;
		}
		part = roster_part(p, r, t, l.connections);
		if (part < t->connections)
			t->connections = part;
	}
}

static void roster_drop(struct cs_policy *p, unsigned i)
{
	roster_free(&p->rosters[i]);
	p->n_rosters--;
	memmove(&p->rosters[i], &p->rosters[i + 1], (p->n_rosters - i) * sizeof(p->rosters[0]));
}

/* Drops former rosters that bound nothing any more and finds the next time to look. */
static void rosters_prune(struct cs_policy *p, uint64_t now_us)
{
	struct svc *s;
	unsigned i = 0;
	bool agree;

	p->share_due_us = UINT64_MAX;
	if (p->n_rosters == 0)
		return;
	agree = peers_agree(p, &p->rosters[p->n_rosters - 1]);
	while (i + 1 < p->n_rosters) {
		struct roster *r = &p->rosters[i];
		bool counts = false;

		TAILQ_FOREACH(s, &p->svcs, entry) {
			uint64_t due = r->left_us + hold_us(p, r, s);

			if (roster_counts(p, r, s, now_us))
				counts = true;
			if (due > now_us && due < p->share_due_us)
				p->share_due_us = due;
		}
		/*
		 * Agreement ends only the time before the first view. A roster that this instance
		 * named is held: a peer may return to it and count on what it heard then.
		 */
		if (agree && r->hash == 0)
			counts = false;
		if (counts)
			i++;
		else
			roster_drop(p, i);
	}
}

void share_refresh(struct cs_policy *p, uint64_t now_us)
{
	struct cs_target *t;

	if (p->n_rosters == 0)
		return;
	rosters_prune(p, now_us);
	TAILQ_FOREACH(t, &p->all, in_all)
		share_of_target(p, t, now_us);
	open_refresh_every(p, now_us);
	p->share_dirty = false;
}

static void loans_update(struct cs_policy *p, const struct cs_view *v, uint64_t now_us)
{
	struct cs_target *t;
	unsigned i;

	TAILQ_FOREACH(t, &p->all, in_all) {
		t->lent = 0;
		t->n_borrows = 0;
	}
	for (i = 0; i < v->n_loans; i++) {
		const struct cs_loan *l = &v->loans[i];

		t = target_find(p, l->server);
		if (t == NULL)
			continue;
		if (strcmp(l->lender, p->opts.instance) == 0)
			t->lent += l->slots;
		if (strcmp(l->borrower, p->opts.instance) == 0 && t->n_borrows < BORROWS_MAX &&
		    now_us >= p->gap_until_us) {
			t->borrows[t->n_borrows].slots = l->slots;
			t->borrows[t->n_borrows++].end_us = now_us + l->left_us;
		}
	}
}

/* With too many former rosters the share is 0 until the latest of them is out of its hold. */
static void rosters_collapse(struct cs_policy *p)
{
	uint64_t left = p->rosters[p->n_rosters - 1].left_us;

	while (p->n_rosters > 0)
		roster_drop(p, p->n_rosters - 1);
	memset(&p->rosters[0], 0, sizeof(p->rosters[0]));
	p->rosters[0].left_us = left;
	p->n_rosters = 1;
}

void share_update(struct cs_policy *p, const struct cs_view *v, uint64_t now_us)
{
	struct roster next;
	unsigned i;

	if (p->n_rosters == 0)
		p->n_rosters = 1; /* the empty one: no share before the hold or an agreement */
	roster_build(p, &next, v);
	if (next.hash == p->rosters[p->n_rosters - 1].hash) {
		roster_free(&p->rosters[p->n_rosters - 1]);
		p->rosters[p->n_rosters - 1] = next;
	} else {
		p->share_dirty = true;
		p->rosters[p->n_rosters - 1].left_us = now_us;
		/* A roster that comes back is present again, not former. */
		for (i = 0; i < p->n_rosters; i++)
			if (p->rosters[i].hash == next.hash)
				roster_drop(p, i--);
		if (p->n_rosters == ROSTERS_MAX)
			rosters_collapse(p);
		p->rosters[p->n_rosters++] = next;
	}
	loans_update(p, v, now_us);
	if (p->share_dirty || now_us >= p->share_due_us)
		share_refresh(p, now_us);
	else
		open_refresh_every(p, now_us);
}

void share_clear(struct cs_policy *p)
{
	while (p->n_rosters > 0)
		roster_drop(p, p->n_rosters - 1);
	free(p->peers);
}

bool peer_set(struct cs_policy *p, const char *instance, uint64_t roster, bool fresh,
	      uint64_t now_us)
{
	uint64_t name = cs_hash_str(instance, 0);
	unsigned i;

	for (i = 0; i < p->n_peers && p->peers[i].name != name; i++)
		;
	if (i == p->n_peers) {
		p->peers = cs_xrealloc(p->peers, i + 1, sizeof(*p->peers));
		p->peers[p->n_peers++].name = name;
		p->peers[i].roster = 0;
		p->peers[i].fresh = false;
		p->peers[i].ended_us = 0;
	}
	if (p->peers[i].roster == roster && p->peers[i].fresh == fresh)
		return false;
	/* A proxy names 0 only before its first view: its process ended, its agent goes on. */
	if (p->peers[i].roster != 0 && roster == 0 && name != p->self)
		p->peers[i].ended_us = now_us;
	p->peers[i].roster = roster;
	p->peers[i].fresh = fresh;
	p->share_dirty = true;
	return true;
}

void cs_policy_peer_roster(struct cs_policy *p, const char *instance, uint64_t roster,
			   uint64_t now_us)
{
	if (peer_set(p, instance, roster, true, now_us) && p->n_rosters > 1)
		share_refresh(p, now_us);
}

/* Pool that loans apply to: the small one unless the service has bulk classes only. */
static unsigned loan_pool(const struct cs_target *t)
{
	return t->svc->bulk_only ? POOL_BULK : POOL_SMALL;
}

/* True if more requests run at some server than the share in force allows. */
static bool over_share(const struct cs_policy *p)
{
	const struct cs_target *t;
	unsigned k;

	TAILQ_FOREACH(t, &p->all, in_all)
		for (k = 0; k < POOLS; k++)
			if (t->in_flight[k] > t->share[k] + (k == loan_pool(t) ? t->borrowed : 0))
				return true;
	return false;
}

uint64_t cs_policy_roster(const struct cs_policy *p)
{
	uint64_t hash = p->n_rosters > 0 ? p->rosters[p->n_rosters - 1].hash : 0;

	if (hash == 0 || over_share(p))
		return hash & DIVISION;
	return leave_pending(p) ? (hash & DIVISION) | LEAVE_PENDING : hash;
}

/* Slots of the own share that are not lent. */
static unsigned own_slots(const struct cs_target *t, unsigned pool)
{
	unsigned own = t->share[pool];

	if (pool != loan_pool(t))
		return own;
	return own > t->lent ? own - t->lent : 0;
}

unsigned share_limit(const struct cs_policy *p, const struct cs_target *t, unsigned pool,
		     uint64_t deadline_us, uint64_t now_us)
{
	unsigned own = own_slots(t, pool), i;

	if (pool != loan_pool(t))
		return own;
	/* A request on a borrowed slot must end before the loan does. */
	for (i = 0; i < t->n_borrows; i++)
		if (deadline_us <= t->borrows[i].end_us && now_us < t->borrows[i].end_us)
			own += t->borrows[i].slots;
	return own;
}

bool share_needs_loan(const struct cs_target *t, unsigned pool)
{
	unsigned borrowed = pool == loan_pool(t) ? t->borrowed : 0;

	return t->in_flight[pool] - borrowed >= own_slots(t, pool);
}

bool share_has_room(const struct cs_policy *p, const struct cs_target *t, unsigned pool,
		    uint64_t deadline_us, uint64_t now_us)
{
	if (cs_fault("caps"))
		return true;
	if (!share_needs_loan(t, pool))
		return true;
	if (pool != loan_pool(t))
		return false;
	return t->borrowed < share_limit(p, t, pool, deadline_us, now_us) - own_slots(t, pool);
}

unsigned cs_target_connections(const struct cs_target *t)
{
	return t->connections;
}
