/*
 * Division of each server's slots and connections among the instances of the zone. The share in
 * force is the minimum over the current roster and all former rosters that a peer may still divide
 * by, so that the sum over all instances stays within the limits while their views differ.
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

/* Limits of a server. Reported slots can lower the configured number but not raise it. */
static void server_limits(const struct cs_config *cfg, const struct cs_target *t, struct limits *l)
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
	if (bulk_classes && !small_classes)
		bulk = slots;
	else if (bulk_classes && slots == 1)
		bulk = t->hash & 1;
	else if (bulk_classes)
		bulk = slots < BULK_DIVISOR ? 1 : slots / BULK_DIVISOR;
	l->slots[POOL_BULK] = bulk;
	l->slots[POOL_SMALL] = slots - bulk;
	l->connections = cfg->services[si].connections;
}

/* True if some listed peer announced another division, or runs more requests than its share. */
static bool any_peer_differs(const struct cs_policy *p, const struct roster *current)
{
	unsigned i;

	for (i = 0; i < p->n_peers; i++) {
		if (p->peers[i].name_hash == p->self || p->peers[i].roster == 0)
			continue;
		if (roster_find(current, p->peers[i].name_hash) < 0)
			continue;
		if (roster_division(p->peers[i].roster) != roster_division(current->hash) ||
		    roster_division(p->peers[i].roster) == p->peers[i].roster)
			return true;
	}
	return false;
}

/* Hold time of the service with the longest timeout. */
static uint64_t longest_hold_us(const struct cs_policy *p)
{
	return LIST_LAG_MAX_US + shift_longest_timeout_ms(p->cfg) * CS_US_PER_MS;
}

/* True if a process that left within the hold time may still have requests at servers. */
static bool departure_pending(const struct cs_policy *p)
{
	const struct roster *current = &p->rosters[p->n_rosters - 1];
	unsigned i;

	for (i = 0; i < p->n_peers; i++)
		if (p->peers[i].proxy_exit_us > 0 &&
		    roster_find(current, p->peers[i].name_hash) >= 0 &&
		    p->now_us < p->peers[i].proxy_exit_us + longest_hold_us(p))
			return true;
	for (i = 0; i + 1 < p->n_rosters; i++)
		if (!roster_no_departures(&p->rosters[i], &p->rosters[p->n_rosters - 1]))
			return true;
	return false;
}

/* True if all listed peers are alive and announce the current roster. */
static bool peers_agree(const struct cs_policy *p, const struct roster *current)
{
	unsigned i, agreed = 0;

	if (roster_find(current, p->self) < 0 || departure_pending(p))
		return false;
	for (i = 0; i < p->n_peers; i++) {
		if (p->peers[i].name_hash == p->self || p->peers[i].roster != current->hash ||
		    !p->peers[i].alive)
			continue;
		if (roster_find(current, p->peers[i].name_hash) >= 0)
			agreed++;
	}
	return agreed + 1 == current->n;
}

/*
 * True while a former roster still limits the share at a service: for the hold time, and longer if
 * an instance joined since and a listed peer still announces another roster. That peer may have
 * stopped receiving the instance list and still divide by the former roster.
 */
static bool roster_applies(const struct cs_policy *p, const struct roster *r, const struct svc *s,
			   uint64_t now_us)
{
	const struct roster *current = &p->rosters[p->n_rosters - 1];

	if (r == current || now_us < r->replaced_us + hold_us(p, r, s))
		return true;
	if (r->hash != 0 && r->limits == current->limits && roster_is_subset(current, r))
		return false;
	return any_peer_differs(p, current);
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

/* LIST_LAG_MAX_US plus the longest runtime of a request that started under the former roster. */
static uint64_t hold_us(const struct cs_policy *p, const struct roster *r, const struct svc *s)
{
	uint64_t current = longest_timeout_us(p->cfg, s->name), former = 0;

	if (r->cfg != NULL && r->cfg != p->cfg)
		former = longest_timeout_us(r->cfg, s->name);
	return LIST_LAG_MAX_US + (former > current ? former : current);
}

static void target_share_update(struct cs_policy *p, struct cs_target *t, uint64_t now_us)
{
	struct limits l;
	unsigned i, k, units;

	for (k = 0; k < POOLS; k++)
		t->share[k] = UINT16_MAX;
	t->connections = UINT16_MAX;
	for (i = 0; i < p->n_rosters; i++) {
		const struct roster *r = &p->rosters[i];

		if (!roster_applies(p, r, t->svc, now_us))
			continue;
		server_limits(r->cfg != NULL ? r->cfg : p->cfg, t, &l);
		for (k = 0; k < POOLS; k++) {
			units = roster_share(p, r, t, l.slots[k]);
			if (units < t->share[k])
				t->share[k] = units;
		}
		units = roster_share(p, r, t, l.connections);
		if (units < t->connections)
			t->connections = units;
	}
}

static void roster_remove(struct cs_policy *p, unsigned i)
{
	roster_free(&p->rosters[i]);
	p->n_rosters--;
	memmove(&p->rosters[i], &p->rosters[i + 1], (p->n_rosters - i) * sizeof(p->rosters[0]));
}

/* Removes former rosters that no longer limit any share and sets the next due time. */
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
		bool applies = false;

		TAILQ_FOREACH(s, &p->svcs, entry) {
			uint64_t due = r->replaced_us + hold_us(p, r, s);

			if (roster_applies(p, r, s, now_us))
				applies = true;
			if (due > now_us && due < p->share_due_us)
				p->share_due_us = due;
		}
		/*
		 * If the peers agree, only the empty initial roster is removed early. A
		 * roster that this instance announced is kept for the hold time: a peer may return
		 * to it and rely on that announcement.
		 */
		if (agree && r->hash == 0)
			applies = false;
		if (applies)
			i++;
		else
			roster_remove(p, i);
	}
}

void share_refresh(struct cs_policy *p, uint64_t now_us)
{
	struct cs_target *t;

	if (p->n_rosters == 0)
		return;
	rosters_prune(p, now_us);
	TAILQ_FOREACH(t, &p->all, in_all)
		target_share_update(p, t, now_us);
	availability_refresh_all(p, now_us);
	p->share_dirty = false;
}

static void loans_update(struct cs_policy *p, const struct cs_view *v, uint64_t now_us)
{
	struct cs_target *t;
	unsigned i;

	TAILQ_FOREACH(t, &p->all, in_all) {
		t->lent_slots = 0;
		t->n_loans = 0;
	}
	for (i = 0; i < v->n_loans; i++) {
		const struct cs_loan *l = &v->loans[i];

		t = target_find(p, l->server);
		if (t == NULL)
			continue;
		if (strcmp(l->lender, p->opts.instance) == 0)
			t->lent_slots += l->slots;
		if (strcmp(l->borrower, p->opts.instance) == 0 && t->n_loans < LOANS_MAX &&
		    now_us >= p->loans_blocked_until_us) {
			t->loans[t->n_loans].slots = l->slots;
			t->loans[t->n_loans++].end_us = now_us + l->remaining_us;
		}
	}
}

/* Replaces all rosters by an empty one: the share is 0 until the hold time of the latest one ends. */
static void rosters_reset(struct cs_policy *p)
{
	uint64_t replaced_us = p->rosters[p->n_rosters - 1].replaced_us;

	while (p->n_rosters > 0)
		roster_remove(p, p->n_rosters - 1);
	memset(&p->rosters[0], 0, sizeof(p->rosters[0]));
	p->rosters[0].replaced_us = replaced_us;
	p->n_rosters = 1;
}

void share_update(struct cs_policy *p, const struct cs_view *v, uint64_t now_us)
{
	struct roster next;
	unsigned i;

	/* Start with an empty roster: no share until the hold time ends or the peers agree. */
	if (p->n_rosters == 0)
		p->n_rosters = 1;
	roster_build(p, &next, v);
	if (next.hash == p->rosters[p->n_rosters - 1].hash) {
		roster_free(&p->rosters[p->n_rosters - 1]);
		p->rosters[p->n_rosters - 1] = next;
	} else {
		p->share_dirty = true;
		p->rosters[p->n_rosters - 1].replaced_us = now_us;
		/* A former roster that returns becomes the current one. */
		for (i = 0; i < p->n_rosters; i++)
			if (p->rosters[i].hash == next.hash)
				roster_remove(p, i--);
		if (p->n_rosters == ROSTERS_MAX)
			rosters_reset(p);
		p->rosters[p->n_rosters++] = next;
	}
	loans_update(p, v, now_us);
	if (p->share_dirty || now_us >= p->share_due_us)
		share_refresh(p, now_us);
	else
		availability_refresh_all(p, now_us);
}

void share_clear(struct cs_policy *p)
{
	while (p->n_rosters > 0)
		roster_remove(p, p->n_rosters - 1);
	free(p->peers);
}

bool peer_set(struct cs_policy *p, const char *instance, uint64_t roster, bool alive,
	      uint64_t now_us)
{
	uint64_t name = cs_hash_str(instance, 0);
	unsigned i;

	for (i = 0; i < p->n_peers && p->peers[i].name_hash != name; i++)
		;
	if (i == p->n_peers) {
		p->peers = cs_xrealloc(p->peers, i + 1, sizeof(*p->peers));
		p->peers[p->n_peers++].name_hash = name;
		p->peers[i].roster = 0;
		p->peers[i].alive = false;
		p->peers[i].proxy_exit_us = 0;
	}
	if (p->peers[i].roster == roster && p->peers[i].alive == alive)
		return false;
	/*
	 * A proxy announces 0 only before its first view, so a change to 0 shows that the proxy was
	 * restarted while its agent continued.
	 */
	if (p->peers[i].roster != 0 && roster == 0 && name != p->self)
		p->peers[i].proxy_exit_us = now_us;
	p->peers[i].roster = roster;
	p->peers[i].alive = alive;
	p->share_dirty = true;
	return true;
}

void cs_policy_peer_roster(struct cs_policy *p, const char *instance, uint64_t roster,
			   uint64_t now_us)
{
	if (peer_set(p, instance, roster, true, now_us) && p->n_rosters > 1)
		share_refresh(p, now_us);
}

/* Pool that loans apply to: small, unless the service has bulk classes only. */
static unsigned loan_pool(const struct cs_target *t)
{
	return t->svc->bulk_only ? POOL_BULK : POOL_SMALL;
}

/* True if more requests run at some server than the current share allows. */
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
		return hash & ROSTER_DIVISION_MASK;
	return departure_pending(p) ? (hash & ROSTER_DIVISION_MASK) | ROSTER_LEAVE_PENDING : hash;
}

/* Slots of the own share, without those lent. */
static unsigned own_slots(const struct cs_target *t, unsigned pool)
{
	unsigned own = t->share[pool];

	if (pool != loan_pool(t))
		return own;
	return own > t->lent_slots ? own - t->lent_slots : 0;
}

unsigned share_limit(const struct cs_policy *p, const struct cs_target *t, unsigned pool,
		     uint64_t deadline_us, uint64_t now_us)
{
	unsigned own = own_slots(t, pool), i;

	if (pool != loan_pool(t))
		return own;
	/* A request on a borrowed slot must end before the loan does. */
	for (i = 0; i < t->n_loans; i++)
		if (deadline_us <= t->loans[i].end_us && now_us < t->loans[i].end_us)
			own += t->loans[i].slots;
	return own;
}

bool share_needs_loan(const struct cs_target *t, unsigned pool)
{
	unsigned borrowed = pool == loan_pool(t) ? t->borrowed : 0;

	return t->in_flight[pool] - borrowed >= own_slots(t, pool);
}

bool share_has_free_slot(const struct cs_policy *p, const struct cs_target *t, unsigned pool,
			 uint64_t deadline_us, uint64_t now_us)
{
	if (cs_fault_enabled("caps"))
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
