/*
 * Rosters: the instances of a zone by which slots are divided, and the part that falls to each.
 */
#include <stdlib.h>
#include <string.h>

#include "policy/internal.h"

#define RANK_SEED 0x5a1e
#define HOME_SEED 0x407e

static int cmp_name(const void *a, const void *b)
{
	const struct roster_name *x = a, *y = b;

	return x->name < y->name ? -1 : x->name > y->name;
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

/* Position of an instance in a roster, or -1. */
int roster_find(const struct roster *r, uint64_t name)
{
	struct roster_name key = {name, 0}, *at;

	at = r->n > 0 ? bsearch(&key, r->names, r->n, sizeof(key), cmp_name) : NULL;
	return at == NULL ? -1 : (int)(at - r->names);
}

/* True if every name of a is also in b. */
bool roster_within(const struct roster *a, const struct roster *b)
{
	unsigned i;

	for (i = 0; i < a->n; i++)
		if (roster_find(b, a->names[i].name) < 0)
			return false;
	return true;
}

/* True if no process of the former roster has ended, as far as names and incarnations show. */
bool roster_nobody_left(const struct roster *former, const struct roster *now)
{
	unsigned i;
	int at;

	for (i = 0; i < former->n; i++) {
		uint64_t was = former->names[i].incarnation;

		at = roster_find(now, former->names[i].name);
		if (at < 0)
			return false;
		if (was != 0 && now->names[at].incarnation != 0 &&
		    now->names[at].incarnation != was)
			return false;
	}
	return true;
}

/* Part of a roster's hash that covers what the division depends on. */
uint64_t roster_division(uint64_t hash)
{
	return hash & DIVISION;
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
unsigned roster_part(const struct cs_policy *p, const struct roster *r, const struct cs_target *t,
		     unsigned total)
{
	const uint64_t *homes = NULL;
	unsigned base, rest, i, ahead = 0;
	uint64_t mine;
	int me = roster_find(r, p->self);
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
		other = pair_hash(t->hash, r->names[i].name, RANK_SEED);
		other_home = homes != NULL && homes[i] == t->hash;
		if (other_home != home ? other_home : other > mine)
			ahead++;
	}
	return base + (ahead < rest);
}

void roster_free(struct roster *r)
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
				uint64_t x =
					pair_hash(r->servers[j].name, r->names[i].name, HOME_SEED);

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
		if (cfg->services[i].slots < n)
			return true;
	for (i = 0; i < cfg->n_classes; i++)
		if (cfg->classes[i].bulk &&
		    cfg->services[cfg->classes[i].service].slots / BULK_PART < n)
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

static void roster_add(struct roster *r, const struct cs_member *m)
{
	r->names[r->n].name = cs_hash_str(m->name, 0);
	r->names[r->n++].incarnation = m->incarnation;
}

/* Takes the listed instances and servers of the own zone from a view. */
void roster_build(struct cs_policy *p, struct roster *r, const struct cs_view *v)
{
	const struct cs_config *cfg = p->cfg;
	uint64_t h, living;
	unsigned i;

	memset(r, 0, sizeof(*r));
	r->cfg = cs_config_ref(p->cfg);
	r->names = cs_xcalloc(v->n_members, sizeof(*r->names));
	for (i = 0; i < v->n_members; i++)
		if (v->members[i].listed && strcmp(v->members[i].zone, p->opts.zone) == 0)
			roster_add(r, &v->members[i]);
	qsort(r->names, r->n, sizeof(*r->names), cmp_name);
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
	h = r->limits;
	for (i = 0; i < r->n; i++)
		h = cs_hash(&r->names[i].name, sizeof(r->names[i].name), h);
	living = cs_hash(r->names, r->n * sizeof(*r->names), 0);
	r->hash = (h & DIVISION) | (living & ~DIVISION);
	/* Low values of the halves have a meaning of their own. */
	if (roster_division(r->hash) == 0)
		r->hash |= 1ULL << 32;
	if ((r->hash & ~DIVISION) <= LEAVE_PENDING)
		r->hash |= LEAVE_PENDING + 1;
}
