/*
 * Assignment of clients to zones: for each service and client zone, the zones that take its
 * clients, filled nearest first up to capacity less headroom. It is computed once per view, so that
 * a lookup only hashes.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "policy/internal.h"

#define NEED_EWMA_WEIGHT 0.3 /* low, because lookups and digests take effect seconds late */
#define NEED_DECAY (NEED_EWMA_WEIGHT / 4)
#define LOCAL_FRACTION_MIN 0.1
#define LOCATE_HASH_SEED 0x10ca7e

/* A zone that takes a fraction of a client zone's clients; fractions are stored as running sums. */
struct split {
	uint16_t zone;
	float cumulative;
};

struct cs_plan {
	struct cs_config *cfg;
	struct cs_member *members; /* usable ones, grouped by zone */
	uint64_t *hash; /* hash of each member's name */
	unsigned *first_member; /* per zone, index of its first member; n_zones + 1 entries */
	uint16_t *nearest; /* per client zone: all zones, nearest first */
	struct split *splits; /* grouped by (service, client zone) */
	unsigned *first_split; /* per (service, client zone): index of its first split; one more at
				  the end */
	unsigned n_splits, cap_splits;
	float *slots_needed; /* per (service, client zone): slots in use by its clients */
};

static bool member_usable(const struct cs_config *cfg, const struct cs_member *m)
{
	return m->listed && m->ready && m->state <= CS_MEMBER_SUSPECT &&
	       cs_config_zone(cfg, m->zone) >= 0;
}

/* Copies the usable members, grouped by zone. */
static void members_build(struct cs_plan *plan, const struct cs_view *v)
{
	const struct cs_config *cfg = plan->cfg;
	int *zone = cs_xcalloc(v->n_members, sizeof(*zone));
	unsigned i, n = 0, *at;

	plan->first_member = cs_xcalloc(cfg->n_zones + 1, sizeof(*plan->first_member));
	for (i = 0; i < v->n_members; i++) {
		zone[i] = member_usable(cfg, &v->members[i])
				  ? cs_config_zone(cfg, v->members[i].zone)
				  : -1;
		if (zone[i] >= 0) {
			plan->first_member[zone[i] + 1]++;
			n++;
		}
	}
	for (i = 0; i < cfg->n_zones; i++)
		plan->first_member[i + 1] += plan->first_member[i];
	plan->members = cs_xcalloc(n, sizeof(*plan->members));
	at = cs_xcalloc(cfg->n_zones + 1, sizeof(*at));
	memcpy(at, plan->first_member, (cfg->n_zones + 1) * sizeof(*at));
	plan->hash = cs_xcalloc(n, sizeof(*plan->hash));
	for (i = 0; i < v->n_members; i++) {
		if (zone[i] < 0)
			continue;
		plan->hash[at[zone[i]]] = cs_hash_str(v->members[i].name, 0);
		plan->members[at[zone[i]]++] = v->members[i];
	}
	free(at);
	free(zone);
}

static unsigned members_in(const struct cs_plan *plan, unsigned zone)
{
	return plan->first_member[zone + 1] - plan->first_member[zone];
}

struct distance {
	unsigned us;
	uint64_t order; /* tie-break, differs by client zone */
	uint16_t zone;
};

static int distance_cmp(const void *a, const void *b)
{
	const struct distance *x = a, *y = b;

	if (x->us != y->us)
		return x->us < y->us ? -1 : 1;
	return x->order < y->order ? -1 : x->order > y->order;
}

static void nearest_build(struct cs_plan *plan)
{
	const struct cs_config *cfg = plan->cfg;
	unsigned n = cfg->n_zones, from, to;
	struct distance *d = cs_xcalloc(n, sizeof(*d));

	plan->nearest = cs_xcalloc((size_t)n * n, sizeof(*plan->nearest));
	for (from = 0; from < n; from++) {
		for (to = 0; to < n; to++) {
			d[to].us = cs_config_delay_us(cfg, from, to);
			d[to].order = cs_hash_str(cfg->zones[to].name, from + 1);
			d[to].zone = (uint16_t)to;
		}
		qsort(d, n, sizeof(*d), distance_cmp);
		for (to = 0; to < n; to++)
			plan->nearest[from * n + to] = d[to].zone;
	}
	free(d);
}

static void split_add(struct cs_plan *plan, unsigned zone, double cumulative)
{
	if (plan->n_splits == plan->cap_splits) {
		plan->cap_splits = plan->cap_splits != 0 ? 2 * plan->cap_splits : 64;
		plan->splits = cs_xrealloc(plan->splits, plan->cap_splits, sizeof(*plan->splits));
	}
	plan->splits[plan->n_splits].zone = (uint16_t)zone;
	plan->splits[plan->n_splits++].cumulative = (float)cumulative;
}

/* Demand and capacity of one service per zone, while its splits are computed. */
struct demand {
	double *slots_needed; /* slots in use by the zone's clients */
	double *steered_in; /* part of the zone's measured load that results from the previous plan */
	double *spare_slots; /* less headroom and less the slots assigned so far */
	bool *usable; /* the zone has usable instances and servers */
};

/* Fraction of a client zone's clients that a plan sends to a zone. */
static double split_fraction(const struct cs_plan *plan, unsigned service, unsigned from,
			     unsigned to)
{
	unsigned row = service * plan->cfg->n_zones + from, i;
	double below = 0;

	for (i = plan->first_split[row]; i < plan->first_split[row + 1]; i++) {
		if (plan->splits[i].zone == to)
			return (double)plan->splits[i].cumulative - below;
		below = plan->splits[i].cumulative;
	}
	return 0;
}

/*
 * Estimates the demand of each zone's clients from the measured loads, which include the effect of
 * the previous plan. Without this step a zone whose overflow went elsewhere would appear to have
 * capacity for all of its clients, and the plan would oscillate.
 */
static void demand_remove_steering(const struct cs_plan *prev, unsigned service, struct demand *d)
{
	unsigned n = prev->cfg->n_zones, z, i;

	memset(d->steered_in, 0, n * sizeof(*d->steered_in));
	for (z = 0; z < n; z++) {
		unsigned row = service * n + z;
		double below = 0;

		for (i = prev->first_split[row]; i < prev->first_split[row + 1]; i++) {
			if (prev->splits[i].zone != z)
				d->steered_in[prev->splits[i].zone] +=
					prev->slots_needed[row] *
					(prev->splits[i].cumulative - below);
			below = prev->splits[i].cumulative;
		}
	}
	for (z = 0; z < n; z++) {
		double own = d->slots_needed[z] > d->steered_in[z]
				     ? d->slots_needed[z] - d->steered_in[z]
				     : 0;
		double local = split_fraction(prev, service, z, z),
		       previous = prev->slots_needed[service * n + z];

		/*
		 * The load of the few clients that stay says too little about all clients of the
		 * zone: let the previous estimate decay.
		 */
		if (local < LOCAL_FRACTION_MIN)
			d->slots_needed[z] = previous * (1 - NEED_DECAY);
		else
			d->slots_needed[z] = previous + NEED_EWMA_WEIGHT * (own / local - previous);
	}
}

static void demand_fill(const struct cs_plan *plan, const struct cs_view *v, unsigned service,
			struct demand *d)
{
	const struct cs_config *cfg = plan->cfg;
	double usable_fraction = 1 - cfg->services[service].headroom_pct / 100;
	unsigned i, z;

	for (z = 0; z < cfg->n_zones; z++) {
		d->slots_needed[z] = d->spare_slots[z] = 0;
		d->usable[z] = members_in(plan, z) > 0;
	}
	for (i = 0; i < v->n_loads; i++) {
		const struct cs_zone_load *l = &v->loads[i];
		int zone = cs_config_zone(cfg, l->zone);

		if (zone < 0 || strcmp(l->service, cfg->services[service].name) != 0)
			continue;
		d->spare_slots[zone] = l->capacity * usable_fraction;
		d->slots_needed[zone] = l->in_flight + l->waiting;
		if (l->foreign < d->slots_needed[zone])
			d->slots_needed[zone] -= l->foreign;
		if (l->capacity == 0)
			d->usable[zone] = false;
	}
}

/* Assigns the demand of a client zone that its own zone cannot take to other zones. */
static void overflow_assign(struct cs_plan *plan, struct demand *d, unsigned from,
			    double slots_needed, double cumulative)
{
	unsigned n = plan->cfg->n_zones, i, nearest = n;
	double left = slots_needed > 0 ? slots_needed * (1 - cumulative) : 0;

	for (i = 0; i < n && cumulative < 1; i++) {
		unsigned to = plan->nearest[from * n + i];
		double take;

		if (to == from || !d->usable[to])
			continue;
		if (nearest == n)
			nearest = to;
		if (slots_needed <= 0)
			break;
		take = d->spare_slots[to] < left ? d->spare_slots[to] : left;
		if (take <= 0)
			continue;
		d->spare_slots[to] -= take;
		left -= take;
		cumulative = left <= 1e-9 ? 1 : cumulative + take / slots_needed;
		split_add(plan, to, cumulative);
	}
	/* Demand beyond all capacity goes to the nearest zone; admission refuses the excess. */
	if (cumulative < 1)
		split_add(plan, d->usable[from] || nearest == n ? from : nearest, 1);
}

static void splits_build(struct cs_plan *plan, const struct cs_view *v, const struct cs_plan *prev)
{
	const struct cs_config *cfg = plan->cfg;
	unsigned n = cfg->n_zones, s, z;
	struct demand d;

	d.slots_needed = cs_xcalloc(n, sizeof(*d.slots_needed));
	d.spare_slots = cs_xcalloc(n, sizeof(*d.spare_slots));
	d.steered_in = cs_xcalloc(n, sizeof(*d.steered_in));
	plan->slots_needed = cs_xcalloc((size_t)cfg->n_services * n, sizeof(*plan->slots_needed));
	d.usable = cs_xcalloc(n, sizeof(*d.usable));
	plan->first_split = cs_xcalloc((size_t)cfg->n_services * n + 1, sizeof(*plan->first_split));
	for (s = 0; s < cfg->n_services; s++) {
		demand_fill(plan, v, s, &d);
		if (prev != NULL)
			demand_remove_steering(prev, s, &d);
		for (z = 0; z < n; z++)
			plan->slots_needed[s * n + z] = (float)d.slots_needed[z];
		/* Each zone serves its own clients first; overflow gets the remaining slots. */
		for (z = 0; z < n; z++)
			if (d.usable[z])
				d.spare_slots[z] -= d.slots_needed[z];
		for (z = 0; z < n; z++) {
			double local = d.usable[z] ? 1 : 0;

			if (d.usable[z] && d.spare_slots[z] < 0 && d.slots_needed[z] > 0)
				local = 1 + d.spare_slots[z] / d.slots_needed[z];
			plan->first_split[s * n + z] = plan->n_splits;
			if (local > 0)
				split_add(plan, z, local);
			if (local < 1)
				overflow_assign(plan, &d, z, d.slots_needed[z], local);
		}
	}
	plan->first_split[cfg->n_services * n] = plan->n_splits;
	free(d.slots_needed);
	free(d.spare_slots);
	free(d.steered_in);
	free(d.usable);
}

struct cs_plan *cs_plan_create(const struct cs_view *v, int64_t wall_ms)
{
	return cs_plan_update(NULL, v, wall_ms);
}

struct cs_plan *cs_plan_update(const struct cs_plan *prev, const struct cs_view *v, int64_t wall_ms)
{
	struct cs_plan *plan;

	if (v->cfg == NULL)
		return NULL;
	plan = cs_xcalloc(1, sizeof(*plan));
	plan->cfg = cs_config_ref(v->cfg);
	members_build(plan, v);
	nearest_build(plan);
	/* Zone and service indexes of another revision do not match. */
	if (prev != NULL && prev->cfg->revision != plan->cfg->revision)
		prev = NULL;
	splits_build(plan, v, prev);
	return plan;
}

void cs_plan_destroy(struct cs_plan *plan)
{
	if (plan == NULL)
		return;
	free(plan->members);
	free(plan->hash);
	free(plan->first_member);
	free(plan->nearest);
	free(plan->splits);
	free(plan->first_split);
	free(plan->slots_needed);
	cs_config_unref(plan->cfg);
	free(plan);
}

/* Maps a hash to [0, 1). */
static double hash_unit(uint64_t h)
{
	return (double)(h >> 11) * 0x1.0p-53;
}

/* Mixes the bits of two hashes that were combined by XOR. */
static uint64_t hash_mix(uint64_t z)
{
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

/*
 * Picks a client's two members of a zone by rendezvous hashing, so that a change of other members
 * moves no client. With fewer than two members the rest of pair is NULL.
 */
static void pick_pair(const struct cs_plan *plan, unsigned zone, uint64_t h,
		      const struct cs_member *pair[2])
{
	uint64_t most[2] = {0, 0}, x;
	unsigned i;

	pair[0] = pair[1] = NULL;
	for (i = plan->first_member[zone]; i < plan->first_member[zone + 1]; i++) {
		x = hash_mix(plan->hash[i] ^ h);
		if (pair[0] == NULL || x >= most[0]) {
			pair[1] = pair[0];
			most[1] = most[0];
			pair[0] = &plan->members[i];
			most[0] = x;
		} else if (pair[1] == NULL || x >= most[1]) {
			pair[1] = &plan->members[i];
			most[1] = x;
		}
	}
}

static void located_add(struct cs_locate_result *out, const struct cs_member *m, const char *reason)
{
	unsigned i;

	if (m == NULL || out->n == CS_LOCATE_MAX)
		return;
	for (i = 0; i < out->n; i++)
		if (out->members[i] == m)
			return;
	out->members[out->n] = m;
	out->reason[out->n++] = reason;
}

/*
 * Adds one of a client's two members of a zone, alternating by lookup. With a fixed member, one
 * instance may do twice the work of another when few clients send most of the requests.
 */
static void add_pair_member(const struct cs_plan *plan, unsigned zone, uint64_t h,
			    uint64_t lookup_seq, struct cs_locate_result *out, const char *reason)
{
	const struct cs_member *pair[2];

	pick_pair(plan, zone, h, pair);
	/*
	 * Bit parity instead of the lowest bit: two clients that alternate at one daemon would
	 * otherwise get the same member each time.
	 */
	located_add(out, pair[1] != NULL ? pair[__builtin_parityll(lookup_seq)] : pair[0], reason);
}

/*
 * Position of a lookup in [0, 1), compared with the fraction that a drain leaves. It starts at the
 * client's hash and advances by the golden ratio with each lookup, which spreads any run of lookups
 * evenly. With the client's hash alone, a few busy clients moved at once and exceeded the ramp's
 * cap.
 */
static double drain_position(uint64_t h, uint64_t lookup_seq)
{
	double x = hash_unit(cs_hash(&h, sizeof(h), DRAIN_HASH_SEED)) +
		   (double)(lookup_seq & 0xfffff) * 0.6180339887498949;

	return x - floor(x);
}

/* True if the zone's drains still allow a lookup at this position to be sent there. */
static bool takes_lookups(const struct cs_plan *plan, unsigned zone, double position,
			  int64_t wall_ms)
{
	double left;

	if (plan->cfg->n_drains == 0)
		return true;
	left = cs_shift_remaining_lookups(plan->cfg, zone,
					  wall_ms + plan->cfg->shift.lookup_ttl_ms);
	return left >= 1 || position < left;
}

/* Zone that the plan assigns to a client, or the nearest other one if a drain moves it. */
static unsigned primary_zone(const struct cs_plan *plan, unsigned service, unsigned from,
			     uint64_t h, double position, int64_t wall_ms, const char **reason)
{
	unsigned n = plan->cfg->n_zones, i, row = service * n + from, zone = from;
	double u = hash_unit(h);

	for (i = plan->first_split[row]; i < plan->first_split[row + 1]; i++) {
		zone = plan->splits[i].zone;
		if (u < plan->splits[i].cumulative)
			break;
	}
	*reason = zone == from ? "nearest zone" : "nearest zone with room";
	if (members_in(plan, zone) > 0 && takes_lookups(plan, zone, position, wall_ms))
		return zone;
	for (i = 0; i < n; i++) {
		unsigned to = plan->nearest[from * n + i];

		if (to == zone || members_in(plan, to) == 0 ||
		    !takes_lookups(plan, to, position, wall_ms))
			continue;
		*reason = "zone is drained";
		return to;
	}
	return zone;
}

bool cs_plan_locate(const struct cs_plan *plan, unsigned class_index, const uint8_t addr[16],
		    int64_t wall_ms, uint64_t lookup_seq, struct cs_locate_result *out)
{
	const struct cs_config *cfg = plan->cfg;
	unsigned n = cfg->n_zones, i, zone, from, service;
	uint64_t h = cs_hash(addr, 16, LOCATE_HASH_SEED);
	double position = drain_position(h, lookup_seq);
	const char *reason;
	int at;

	out->n = 0;
	if (class_index >= cfg->n_classes || n == 0)
		return false;
	service = cfg->classes[class_index].service;
	at = cs_config_zone_of_addr(cfg, addr);
	from = at >= 0 ? (unsigned)at : (unsigned)(cs_hash(&h, sizeof(h), 1) % n);
	zone = primary_zone(plan, service, from, h, position, wall_ms, &reason);
	add_pair_member(plan, zone, h, lookup_seq, out, reason);
	for (i = 0; i < n && out->n < 2; i++) {
		unsigned to = plan->nearest[from * n + i];

		if (to != zone && takes_lookups(plan, to, position, wall_ms))
			add_pair_member(plan, to, h, lookup_seq, out, "second zone");
	}
	if (out->n > 0)
		add_pair_member(plan, zone, h, lookup_seq + 1, out, "same zone");
	/* If fewer than two members were found, members of drained zones are added. */
	for (i = 0; i < n && out->n < 2; i++)
		add_pair_member(plan, plan->nearest[from * n + i], h, lookup_seq, out,
				"only zone left");
	return out->n > 0;
}
