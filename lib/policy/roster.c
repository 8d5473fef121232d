/*
 * Rosters: sets of instances of a zone that the slots of servers are divided among.
 */
#include <stdlib.h>
#include <string.h>

#include "policy/internal.h"

#define RANK_SEED 0x5a1e
#define PREFERRED_SEED 0x407e

static int cmp_name(const void *a, const void *b)
{
	const struct roster_member *x = a, *y = b;

	return x->name_hash < y->name_hash ? -1 : x->name_hash > y->name_hash;
}

static int cmp_server(const void *a, const void *b)
{
	const struct roster_server *x = a, *y = b;

	if (x->service_hash != y->service_hash)
		return x->service_hash < y->service_hash ? -1 : 1;
	return x->name_hash < y->name_hash ? -1 : x->name_hash > y->name_hash;
}

/* Rank of an instance at a server for rendezvous hashing; the same at every instance. */
static uint64_t pair_hash(uint64_t server, uint64_t instance, uint64_t seed)
{
	uint64_t pair[2] = {server, instance};

	return cs_hash(pair, sizeof(pair), seed);
}

int roster_find(const struct roster *r, uint64_t name_hash)
{
	struct roster_member key = {name_hash, 0}, *at;

	at = r->n > 0 ? bsearch(&key, r->members, r->n, sizeof(key), cmp_name) : NULL;
	return at == NULL ? -1 : (int)(at - r->members);
}

bool roster_is_subset(const struct roster *a, const struct roster *b)
{
	unsigned i;

	for (i = 0; i < a->n; i++)
		if (roster_find(b, a->members[i].name_hash) < 0)
			return false;
	return true;
}

bool roster_no_departures(const struct roster *former, const struct roster *current)
{
	unsigned i;
	int at;

	for (i = 0; i < former->n; i++) {
		uint64_t incarnation = former->members[i].incarnation;

		at = roster_find(current, former->members[i].name_hash);
		if (at < 0)
			return false;
		if (incarnation != 0 && current->members[at].incarnation != 0 &&
		    current->members[at].incarnation != incarnation)
			return false;
	}
	return true;
}

uint64_t roster_division(uint64_t hash)
{
	return hash & ROSTER_DIVISION_MASK;
}

static const uint64_t *preferred_of(const struct roster *r, uint64_t service_hash)
{
	unsigned i;

	for (i = 0; i < r->n_preferred; i++)
		if (r->preferred[i].service_hash == service_hash)
			return r->preferred[i].server;
	return NULL;
}

static bool roster_has_server(const struct roster *r, const struct cs_target *t)
{
	struct roster_server key = {cs_hash_str(t->svc->name, 0), t->hash};

	return bsearch(&key, r->servers, r->n_servers, sizeof(key), cmp_server) != NULL;
}

/*
 * Each instance gets total / n units, and the instances with the highest rendezvous hashes get one
 * unit of the remainder each. With fewer units than instances, instances that prefer this server
 * come first, so that few instances are left without a share at any server.
 */
unsigned roster_share(const struct cs_policy *p, const struct roster *r, const struct cs_target *t,
		      unsigned total)
{
	const uint64_t *preferred = NULL;
	unsigned base, rest, i, ahead = 0;
	uint64_t mine;
	int me = roster_find(r, p->self);
	bool prefers;

	if (me < 0 || r->n == 0)
		return 0;
	base = total / r->n;
	rest = total % r->n;
	if (rest == 0)
		return base;
	if (base == 0) {
		if (!roster_has_server(r, t))
			return 0;
		preferred = preferred_of(r, cs_hash_str(t->svc->name, 0));
	}
	mine = pair_hash(t->hash, p->self, RANK_SEED);
	prefers = preferred != NULL && preferred[me] == t->hash;
	for (i = 0; i < r->n; i++) {
		uint64_t other;
		bool other_prefers;

		if ((int)i == me)
			continue;
		other = pair_hash(t->hash, r->members[i].name_hash, RANK_SEED);
		other_prefers = preferred != NULL && preferred[i] == t->hash;
		if (other_prefers != prefers ? other_prefers : other > mine)
			ahead++;
	}
	return base + (ahead < rest);
}

void roster_free(struct roster *r)
{
	unsigned i;

	for (i = 0; i < r->n_preferred; i++)
		free(r->preferred[i].server);
	free(r->preferred);
	free(r->members);
	free(r->servers);
	cs_config_unref(r->cfg);
}

/* Finds the preferred server of each instance for each service. */
static void preferred_build(struct cs_policy *p, struct roster *r)
{
	unsigned i, j, first = 0, last;

	for (; first < r->n_servers; first = last) {
		uint64_t svc = r->servers[first].service_hash;
		struct roster_preferred *pref;

		for (last = first; last < r->n_servers && r->servers[last].service_hash == svc;
		     last++)
			;
		r->preferred = cs_xrealloc(r->preferred, r->n_preferred + 1, sizeof(*r->preferred));
		pref = &r->preferred[r->n_preferred++];
		pref->service_hash = svc;
		pref->server = cs_xcalloc(r->n, sizeof(*pref->server));
		for (i = 0; i < r->n; i++) {
			uint64_t best = 0;

			for (j = first; j < last; j++) {
				uint64_t x = pair_hash(r->servers[j].name_hash,
						       r->members[i].name_hash, PREFERRED_SEED);

				if (x >= best) {
					best = x;
					pref->server[i] = r->servers[j].name_hash;
				}
			}
		}
	}
}

/* True if some service has fewer slots per server and pool than there are instances. */
static bool roster_exceeds_slots(const struct cs_config *cfg, unsigned n)
{
	unsigned i;

	for (i = 0; i < cfg->n_services; i++)
		if (cfg->services[i].slots < n)
			return true;
	for (i = 0; i < cfg->n_classes; i++)
		if (cfg->classes[i].bulk &&
		    cfg->services[cfg->classes[i].service].slots / BULK_DIVISOR < n)
			return true;
	return false;
}

/*
 * Hash of the configured limits that are divided among instances: slots, connections and bulk
 * classes.
 */
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

static void roster_member_add(struct roster *r, const struct cs_member *m)
{
	r->members[r->n].name_hash = cs_hash_str(m->name, 0);
	r->members[r->n++].incarnation = m->incarnation;
}

void roster_build(struct cs_policy *p, struct roster *r, const struct cs_view *v)
{
	const struct cs_config *cfg = p->cfg;
	uint64_t h, incarnations;
	unsigned i;

	memset(r, 0, sizeof(*r));
	r->cfg = cs_config_ref(p->cfg);
	r->members = cs_xcalloc(v->n_members, sizeof(*r->members));
	for (i = 0; i < v->n_members; i++)
		if (v->members[i].listed && strcmp(v->members[i].zone, p->opts.zone) == 0)
			roster_member_add(r, &v->members[i]);
	qsort(r->members, r->n, sizeof(*r->members), cmp_name);
	r->servers = cs_xcalloc(v->n_servers, sizeof(*r->servers));
	for (i = 0; i < v->n_servers; i++) {
		if (strcmp(v->servers[i].zone, p->opts.zone) != 0)
			continue;
		r->servers[r->n_servers].service_hash = cs_hash_str(v->servers[i].service, 0);
		r->servers[r->n_servers++].name_hash = cs_hash_str(v->servers[i].name, 0);
	}
	qsort(r->servers, r->n_servers, sizeof(*r->servers), cmp_server);
	r->limits = limits_hash(cfg);
	if (roster_exceeds_slots(cfg, r->n)) {
		r->limits = cs_hash(r->servers, r->n_servers * sizeof(*r->servers), r->limits);
		preferred_build(p, r);
	}
	h = r->limits;
	for (i = 0; i < r->n; i++)
		h = cs_hash(&r->members[i].name_hash, sizeof(r->members[i].name_hash), h);
	incarnations = cs_hash(r->members, r->n * sizeof(*r->members), 0);
	r->hash = (h & ROSTER_DIVISION_MASK) | (incarnations & ~ROSTER_DIVISION_MASK);
	/* Avoid the reserved values: 0 in the upper half, 0 and 1 in the lower half. */
	if (roster_division(r->hash) == 0)
		r->hash |= 1ULL << 32;
	if ((r->hash & ~ROSTER_DIVISION_MASK) <= ROSTER_LEAVE_PENDING)
		r->hash |= ROSTER_LEAVE_PENDING + 1;
}
