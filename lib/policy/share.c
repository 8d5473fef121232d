/*
 * Division of each server's slots and connections among the instances of the zone. The share in
 * force is the least one over the present roster and all former rosters by which a peer may still
 * divide, so that the sum over instances stays within the slots while views differ.
 */
#include <stdlib.h>
#include <string.h>

#include "policy/internal.h"

#define RANK_SEED 0x5a1e
#define HOME_SEED 0x407e

/* Slots of one server by pool, and its connections, under one configuration. */
struct limits {
	unsigned slots[POOLS];
	unsigned connections;
};

static void roster_free(struct roster *r);
static void roster_build(struct cs_policy *p, struct roster *r, const struct cs_view *v);
static uint64_t hold_us(const struct cs_policy *p, const struct roster *r, const struct svc *s);

static int cmp_u64(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

static int cmp_server(const void *a, const void *b)
{
	const struct roster_server *x = a, *y = b;

	if (x->svc != y->svc)
		return x->svc < y->svc ? -1 : 1;
	return x->name < y->name ? -1 : x->name > y->name;
}

/* Order of preference between two hashes, the same at every instance. */
static uint64_t pair_hash(uint64_t server, uint64_t instance, uint64_t seed)
{
	uint64_t pair[2] = {server, instance};

	return cs_hash(pair, sizeof(pair), seed);
}

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
		bulk = slots < 3 ? 1 : slots / 3;
	l->slots[POOL_BULK] = bulk;
	l->slots[POOL_SMALL] = slots - bulk;
	l->connections = cfg->services[si].connections;
}

/* Position of a hash in a sorted array, or -1. */
static int find_u64(const uint64_t *a, unsigned n, uint64_t v)
{
	const uint64_t *at = bsearch(&v, a, n, sizeof(*a), cmp_u64);

	return at == NULL ? -1 : (int)(at - a);
}

/* True if every name of a is also in b. */
static bool names_within(const struct roster *a, const struct roster *b)
{
	unsigned i;

	for (i = 0; i < a->n; i++)
		if (find_u64(b->names, b->n, a->names[i]) < 0)
			return false;
	return true;
}

static const uint64_t *homes_of(const struct roster *r, uint64_t svc)
{
	unsigned i;

	for (i = 0; i < r->n_homes; i++)
		if (r->homes[i].svc == svc)
			return r->homes[i].server;
	return NULL;
}

static bool knows_server(const struct roster *r, const struct cs_target *t)
{
	struct roster_server key = {cs_hash_str(t->svc->name, 0), t->hash};

	return bsearch(&key, r->servers, r->n_servers, sizeof(key), cmp_server) != NULL;
}

/*
 * Part of `total` units of a server that falls to this instance under a roster: whole units, the
 * remainder by rendezvous hash. With fewer units than instances, instances whose preferred server
 * this is come first, so that hardly any instance is left without a share at every server.
 */
static unsigned part_of(const struct cs_policy *p, const struct roster *r,
			const struct cs_target *t, unsigned total)
{
	const uint64_t *homes = NULL;
	unsigned base, rest, i, ahead = 0;
	uint64_t mine;
	int me = find_u64(r->names, r->n, p->self);
	bool home;

	if (me < 0 || r->n == 0)
		return 0;
	base = total / r->n;
	rest = total % r->n;
	if (rest == 0)
		return base;
	if (base == 0) {
		if (!knows_server(r, t))
			return 0;
		homes = homes_of(r, cs_hash_str(t->svc->name, 0));
	}
	mine = pair_hash(t->hash, p->self, RANK_SEED);
	home = homes != NULL && homes[me] == t->hash;
	for (i = 0; i < r->n; i++) {
		uint64_t other;
		bool other_home;

		if ((int)i == me)
			continue;
		other = pair_hash(t->hash, r->names[i], RANK_SEED);
		other_home = homes != NULL && homes[i] == t->hash;
		if (other_home != home ? other_home : other > mine)
			ahead++;
	}
	return base + (ahead < rest);
}

/* True if some listed peer last named another roster than the present one. */
static bool peer_differs(const struct cs_policy *p, const struct roster *now)
{
	unsigned i;

	for (i = 0; i < p->n_peers; i++) {
		if (p->peers[i].name == p->self || p->peers[i].roster == 0)
			continue;
		if (find_u64(now->names, now->n, p->peers[i].name) < 0)
			continue;
		if (p->peers[i].roster != now->hash)
			return true;
	}
	return false;
}

/* True if all listed peers named the present roster last. */
static bool peers_agree(const struct cs_policy *p, const struct roster *now)
{
	unsigned i, agreed = 0;

	if (find_u64(now->names, now->n, p->self) < 0)
		return false;
	for (i = 0; i < p->n_peers; i++) {
		if (p->peers[i].name == p->self || p->peers[i].roster != now->hash)
			continue;
		if (find_u64(now->names, now->n, p->peers[i].name) >= 0)
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
	if (r->hash != 0 && r->limits == now->limits && names_within(now, r))
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
			part = part_of(p, r, t, l.slots[k]);
			if (part < t->share[k])
				t->share[k] = part;
		}
		part = part_of(p, r, t, l.connections);
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
	const struct roster *now;
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

		now = &p->rosters[p->n_rosters - 1];
		TAILQ_FOREACH(s, &p->svcs, entry) {
			uint64_t due = r->left_us + hold_us(p, r, s);

			if (roster_counts(p, r, s, now_us))
				counts = true;
			if (due > now_us && due < p->share_due_us)
				p->share_due_us = due;
		}
		/* Requests of an instance that left may still run, so its roster is held. */
		if (agree && names_within(r, now))
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
	struct svc *s;

	if (p->n_rosters == 0)
		return;
	rosters_prune(p, now_us);
	TAILQ_FOREACH(t, &p->all, in_all)
		share_of_target(p, t, now_us);
	TAILQ_FOREACH(s, &p->svcs, entry)
		open_refresh_all(p, s, now_us);
}

static void roster_free(struct roster *r)
{
	unsigned i;

	for (i = 0; i < r->n_homes; i++)
		free(r->homes[i].server);
	free(r->homes);
	free(r->names);
	free(r->servers);
	cs_config_unref(r->cfg);
}

/* Finds the preferred server of each instance for the services that need it. */
static void roster_homes(struct cs_policy *p, struct roster *r)
{
	unsigned i, j, first = 0, last;

	for (; first < r->n_servers; first = last) {
		uint64_t svc = r->servers[first].svc;
		struct roster_home *h;

		for (last = first; last < r->n_servers && r->servers[last].svc == svc; last++)
			;
		r->homes = cs_xrealloc(r->homes, r->n_homes + 1, sizeof(*r->homes));
		h = &r->homes[r->n_homes++];
		h->svc = svc;
		h->server = cs_xcalloc(r->n, sizeof(*h->server));
		for (i = 0; i < r->n; i++) {
			uint64_t best = 0;

			for (j = first; j < last; j++) {
				uint64_t x = pair_hash(r->servers[j].name, r->names[i], HOME_SEED);

				if (x >= best) {
					best = x;
					h->server[i] = r->servers[j].name;
				}
			}
		}
	}
}

/* True if some service has fewer slots of a kind at a server than the roster has instances. */
static bool roster_is_thin(const struct cs_config *cfg, unsigned n)
{
	unsigned i;

	for (i = 0; i < cfg->n_services; i++)
		if (cfg->services[i].slots / 3 < n)
			return true;
	return false;
}

/* Hash of all of a configuration that the division depends on. */
static uint64_t limits_hash(const struct cs_config *cfg)
{
	uint64_t h = 1;
	unsigned i;

	for (i = 0; i < cfg->n_services; i++) {
		uint64_t one[3] = {cs_hash_str(cfg->services[i].name, 0), cfg->services[i].slots,
				   cfg->services[i].connections};

		h = cs_hash(one, sizeof(one), h);
	}
	for (i = 0; i < cfg->n_classes; i++) {
		uint64_t one[2] = {cfg->classes[i].service, cfg->classes[i].bulk};

		h = cs_hash(one, sizeof(one), h);
	}
	return h;
}

/* Takes the listed instances and servers of the own zone from a view. */
static void roster_build(struct cs_policy *p, struct roster *r, const struct cs_view *v)
{
	const struct cs_config *cfg = p->cfg;
	uint64_t h = 0;
	unsigned i;

	memset(r, 0, sizeof(*r));
	r->cfg = cs_config_ref(p->cfg);
	r->names = cs_xcalloc(v->n_members, sizeof(*r->names));
	for (i = 0; i < v->n_members; i++)
		if (v->members[i].listed && strcmp(v->members[i].zone, p->opts.zone) == 0)
			r->names[r->n++] = cs_hash_str(v->members[i].name, 0);
	qsort(r->names, r->n, sizeof(*r->names), cmp_u64);
	r->servers = cs_xcalloc(v->n_servers, sizeof(*r->servers));
	for (i = 0; i < v->n_servers; i++) {
		if (strcmp(v->servers[i].zone, p->opts.zone) != 0)
			continue;
		r->servers[r->n_servers].svc = cs_hash_str(v->servers[i].service, 0);
		r->servers[r->n_servers++].name = cs_hash_str(v->servers[i].name, 0);
	}
	qsort(r->servers, r->n_servers, sizeof(*r->servers), cmp_server);
	r->limits = limits_hash(cfg);
	if (roster_is_thin(cfg, r->n)) {
		r->limits = cs_hash(r->servers, r->n_servers * sizeof(*r->servers), r->limits);
		roster_homes(p, r);
	}
	h = cs_hash(r->names, r->n * sizeof(*r->names), r->limits);
	r->hash = h != 0 ? h : 1;
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
	share_refresh(p, now_us);
}

void share_clear(struct cs_policy *p)
{
	while (p->n_rosters > 0)
		roster_drop(p, p->n_rosters - 1);
	free(p->peers);
}

bool peer_set(struct cs_policy *p, const char *instance, uint64_t roster)
{
	uint64_t name = cs_hash_str(instance, 0);
	unsigned i;

	for (i = 0; i < p->n_peers && p->peers[i].name != name; i++)
		;
	if (i == p->n_peers) {
		p->peers = cs_xrealloc(p->peers, i + 1, sizeof(*p->peers));
		p->peers[p->n_peers++].name = name;
		p->peers[i].roster = 0;
	}
	if (p->peers[i].roster == roster)
		return false;
	p->peers[i].roster = roster;
	return true;
}

void cs_policy_peer_roster(struct cs_policy *p, const char *instance, uint64_t roster,
			   uint64_t now_us)
{
	if (peer_set(p, instance, roster) && p->n_rosters > 1)
		share_refresh(p, now_us);
}

uint64_t cs_policy_roster(const struct cs_policy *p)
{
	const struct roster *now;
	const struct cs_target *t;
	unsigned i, k;

	if (p->n_rosters < 2 && (p->n_rosters == 0 || p->rosters[0].hash == 0))
		return 0;
	now = &p->rosters[p->n_rosters - 1];
	for (i = 0; i + 1 < p->n_rosters; i++)
		if (!names_within(&p->rosters[i], now))
			return 0;
	TAILQ_FOREACH(t, &p->all, in_all) {
		unsigned run = 0, own = 0;

		for (k = 0; k < POOLS; k++) {
			run += t->in_flight[k];
			own += t->share[k];
			if (t->in_flight[k] > t->share[k] + t->borrowed)
				return 0;
		}
		if (run > own + t->borrowed)
			return 0;
	}
	return now->hash;
}

/* Pool that loans apply to: the small one unless the service has bulk classes only. */
static unsigned loan_pool(const struct cs_target *t)
{
	return t->svc->bulk_only ? POOL_BULK : POOL_SMALL;
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
