/*
 * Steering plan: for each service and caller zone the zones that take its callers, nearest first
 * under capacity less headroom. It is worked out once for a view, so that a lookup only hashes.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "policy/internal.h"

#define NEED_WEIGHT 0.3 /* of a new measurement; lookups and digests are seconds late */
#define STAY_MIN 0.1

/* A zone that takes part of a caller zone's callers; up_to is the running sum of parts. */
struct part {
	uint16_t zone;
	float up_to;
};

struct cs_plan {
	struct cs_config *cfg;
	struct cs_member *members; /* usable ones, grouped by zone */
	uint64_t *hash; /* of each member's name */
	unsigned *first; /* per zone, index of its first member; n_zones + 1 entries */
	uint16_t *near; /* per caller zone: all zones, nearest first */
	struct part *parts; /* all rows one after the other */
	unsigned *row; /* per (service, caller zone): its first part; one more at the end */
	unsigned n_parts, cap_parts;
	float *need; /* per (service, caller zone): slots that its callers need */
};

static bool usable(const struct cs_config *cfg, const struct cs_member *m)
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

	plan->first = cs_xcalloc(cfg->n_zones + 1, sizeof(*plan->first));
	for (i = 0; i < v->n_members; i++) {
		zone[i] = usable(cfg, &v->members[i]) ? cs_config_zone(cfg, v->members[i].zone)
						      : -1;
		if (zone[i] >= 0) {
			plan->first[zone[i] + 1]++;
			n++;
		}
	}
	for (i = 0; i < cfg->n_zones; i++)
		plan->first[i + 1] += plan->first[i];
	plan->members = cs_xcalloc(n, sizeof(*plan->members));
	at = cs_xcalloc(cfg->n_zones + 1, sizeof(*at));
	memcpy(at, plan->first, (cfg->n_zones + 1) * sizeof(*at));
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
	return plan->first[zone + 1] - plan->first[zone];
}

struct distance {
	unsigned us;
	uint64_t order; /* among equally near zones; differs by caller zone */
	uint16_t zone;
};

static int cmp_distance(const void *a, const void *b)
{
	const struct distance *x = a, *y = b;

	if (x->us != y->us)
		return x->us < y->us ? -1 : 1;
	return x->order < y->order ? -1 : x->order > y->order;
}

static void near_build(struct cs_plan *plan)
{
	const struct cs_config *cfg = plan->cfg;
	unsigned n = cfg->n_zones, from, to;
	struct distance *d = cs_xcalloc(n, sizeof(*d));

	plan->near = cs_xcalloc((size_t)n * n, sizeof(*plan->near));
	for (from = 0; from < n; from++) {
		for (to = 0; to < n; to++) {
			d[to].us = cs_config_delay_us(cfg, from, to);
			d[to].order = cs_hash_str(cfg->zones[to].name, from + 1);
			d[to].zone = (uint16_t)to;
		}
		qsort(d, n, sizeof(*d), cmp_distance);
		for (to = 0; to < n; to++)
			plan->near[from * n + to] = d[to].zone;
	}
	free(d);
}

static void part_add(struct cs_plan *plan, unsigned zone, double up_to)
{
	if (plan->n_parts == plan->cap_parts) {
		plan->cap_parts = plan->cap_parts != 0 ? 2 * plan->cap_parts : 64;
		plan->parts = cs_xrealloc(plan->parts, plan->cap_parts, sizeof(*plan->parts));
	}
	plan->parts[plan->n_parts].zone = (uint16_t)zone;
	plan->parts[plan->n_parts++].up_to = (float)up_to;
}

/* Figures of one service while its rows are made. */
struct demand {
	double *need; /* slots that each zone's callers need */
	double *sent; /* of the measured load of each zone, from callers of other zones */
	double *room; /* slots less headroom that are not taken yet */
	bool *entry; /* the zone has entry instances and servers */
};

/* Part of a caller zone's callers that a plan sends to a zone. */
static double part_of(const struct cs_plan *plan, unsigned service, unsigned from, unsigned to)
{
	unsigned row = service * plan->cfg->n_zones + from, i;
	double below = 0;

	for (i = plan->row[row]; i < plan->row[row + 1]; i++) {
		if (plan->parts[i].zone == to)
			return (double)plan->parts[i].up_to - below;
		below = plan->parts[i].up_to;
	}
	return 0;
}

/*
 * Turns the measured load of each zone into the need of its callers. The load is what the former
 * plan left after its own steering: without this step a zone whose overflow went elsewhere would
 * look as if it had room for all of its callers, and the plan would swing.
 */
static void demand_unsteer(const struct cs_plan *prev, unsigned service, struct demand *d)
{
	unsigned n = prev->cfg->n_zones, z, i;

	memset(d->sent, 0, n * sizeof(*d->sent));
	for (z = 0; z < n; z++) {
		unsigned row = service * n + z;
		double below = 0;

		for (i = prev->row[row]; i < prev->row[row + 1]; i++) {
			if (prev->parts[i].zone != z)
				d->sent[prev->parts[i].zone] +=
					prev->need[row] * (prev->parts[i].up_to - below);
			below = prev->parts[i].up_to;
		}
	}
	for (z = 0; z < n; z++) {
		double own = d->need[z] > d->sent[z] ? d->need[z] - d->sent[z] : 0;
		double stay = part_of(prev, service, z, z), was = prev->need[service * n + z];

		/* From a small part little can be told: the former need fades. */
		if (stay < STAY_MIN)
			d->need[z] = was * (1 - NEED_WEIGHT / 4);
		else
			d->need[z] = was + NEED_WEIGHT * (own / stay - was);
	}
}

static void demand_fill(const struct cs_plan *plan, const struct cs_view *v, unsigned service,
			struct demand *d)
{
	const struct cs_config *cfg = plan->cfg;
	double keep = 1 - cfg->services[service].headroom_pct / 100;
	unsigned i, z;

	for (z = 0; z < cfg->n_zones; z++) {
		d->need[z] = d->room[z] = 0;
		d->entry[z] = members_in(plan, z) > 0;
	}
	for (i = 0; i < v->n_loads; i++) {
		const struct cs_zone_load *l = &v->loads[i];
		int zone = cs_config_zone(cfg, l->zone);

		if (zone < 0 || strcmp(l->service, cfg->services[service].name) != 0)
			continue;
		d->room[zone] = l->capacity * keep;
		d->need[zone] = l->in_flight + l->waiting;
		if (l->foreign < d->need[zone])
			d->need[zone] -= l->foreign;
		if (l->capacity == 0)
			d->entry[zone] = false;
	}
}

/* Places the demand of one caller zone that its own zone cannot take. */
static void row_overflow(struct cs_plan *plan, struct demand *d, unsigned from, double need,
			 double up_to)
{
	unsigned n = plan->cfg->n_zones, i, nearest = n;
	double left = need > 0 ? need * (1 - up_to) : 0;

	for (i = 0; i < n && up_to < 1; i++) {
		unsigned to = plan->near[from * n + i];
		double take;

		if (to == from || !d->entry[to])
			continue;
		if (nearest == n)
			nearest = to;
		if (need <= 0)
			break;
		take = d->room[to] < left ? d->room[to] : left;
		if (take <= 0)
			continue;
		d->room[to] -= take;
		left -= take;
		up_to = left <= 1e-9 ? 1 : up_to + take / need;
		part_add(plan, to, up_to);
	}
	/* What fits nowhere goes to the nearest zone; admission there refuses the excess. */
	if (up_to < 1)
		part_add(plan, d->entry[from] || nearest == n ? from : nearest, 1);
}

static void rows_build(struct cs_plan *plan, const struct cs_view *v, const struct cs_plan *prev)
{
	const struct cs_config *cfg = plan->cfg;
	unsigned n = cfg->n_zones, s, z;
	struct demand d;

	d.need = cs_xcalloc(n, sizeof(*d.need));
	d.room = cs_xcalloc(n, sizeof(*d.room));
	d.sent = cs_xcalloc(n, sizeof(*d.sent));
	plan->need = cs_xcalloc((size_t)cfg->n_services * n, sizeof(*plan->need));
	d.entry = cs_xcalloc(n, sizeof(*d.entry));
	plan->row = cs_xcalloc((size_t)cfg->n_services * n + 1, sizeof(*plan->row));
	for (s = 0; s < cfg->n_services; s++) {
		demand_fill(plan, v, s, &d);
		if (prev != NULL)
			demand_unsteer(prev, s, &d);
		for (z = 0; z < n; z++)
			plan->need[s * n + z] = (float)d.need[z];
		/* Local demand comes first, then the overflow takes what is left. */
		for (z = 0; z < n; z++)
			if (d.entry[z])
				d.room[z] -= d.need[z];
		for (z = 0; z < n; z++) {
			double stay = d.entry[z] ? 1 : 0;

			if (d.entry[z] && d.room[z] < 0 && d.need[z] > 0)
				stay = 1 + d.room[z] / d.need[z];
			plan->row[s * n + z] = plan->n_parts;
			if (stay > 0)
				part_add(plan, z, stay);
			if (stay < 1)
				row_overflow(plan, &d, z, d.need[z], stay);
		}
	}
	plan->row[cfg->n_services * n] = plan->n_parts;
	free(d.need);
	free(d.room);
	free(d.sent);
	free(d.entry);
}

struct cs_plan *cs_plan_create(const struct cs_view *v, int64_t wall_ms)
{
	return cs_plan_renew(NULL, v, wall_ms);
}

struct cs_plan *cs_plan_renew(const struct cs_plan *prev, const struct cs_view *v, int64_t wall_ms)
{
	struct cs_plan *plan;

	if (v->cfg == NULL)
		return NULL;
	plan = cs_xcalloc(1, sizeof(*plan));
	plan->cfg = cs_config_ref(v->cfg);
	members_build(plan, v);
	near_build(plan);
	/* Zone and service indexes are those of one configuration. */
	if (prev != NULL && prev->cfg->revision != plan->cfg->revision)
		prev = NULL;
	rows_build(plan, v, prev);
	return plan;
}

void cs_plan_destroy(struct cs_plan *plan)
{
	if (plan == NULL)
		return;
	free(plan->members);
	free(plan->hash);
	free(plan->first);
	free(plan->near);
	free(plan->parts);
	free(plan->row);
	free(plan->need);
	cs_config_unref(plan->cfg);
	free(plan);
}

/* Uniform part of a hash. */
static double unit(uint64_t h)
{
	return (double)(h >> 11) * 0x1.0p-53;
}

/* Spreads the bits of two hashes that were combined. */
static uint64_t mix(uint64_t z)
{
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

/*
 * The two members of a zone for a caller, by rendezvous hash, so that a change of other members
 * moves no caller. Fewer than two are NULL.
 */
static void members_for(const struct cs_plan *plan, unsigned zone, uint64_t h,
			const struct cs_member *pair[2])
{
	uint64_t most[2] = {0, 0}, x;
	unsigned i;

	pair[0] = pair[1] = NULL;
	for (i = plan->first[zone]; i < plan->first[zone + 1]; i++) {
		x = mix(plan->hash[i] ^ h);
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

static void add(struct cs_located *out, const struct cs_member *m, const char *reason)
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
 * Adds one of a caller's two members of a zone, in turn: with a fixed one, an instance does twice
 * the work of its neighbour when few callers send most of the requests.
 */
static void add_member(const struct cs_plan *plan, unsigned zone, uint64_t h, uint64_t turn,
		       struct cs_located *out, const char *reason)
{
	const struct cs_member *pair[2];

	members_for(plan, zone, h, pair);
	/*
	 * Parity of the bits: with the lowest bit alone, two callers that ask one daemon in turn
	 * get the same instance each time.
	 */
	add(out, pair[1] != NULL ? pair[__builtin_parityll(turn)] : pair[0], reason);
}

/*
 * Position of a lookup in [0, 1) that drains compare with the part that stays. It starts by the
 * caller and moves on by the golden ratio with each lookup, which spreads any run of lookups
 * evenly. By the caller alone, few callers moved at once and a ramp went over its cap.
 */
static double drain_position(uint64_t h, uint64_t turn)
{
	double x = unit(cs_hash(&h, sizeof(h), 0xd7a1)) +
		   (double)(turn & 0xfffff) * 0.6180339887498949;

	return x - floor(x);
}

/* True if a lookup at this position is still to be sent to a zone, by its drains. */
static bool stays(const struct cs_plan *plan, unsigned zone, double position, int64_t wall_ms)
{
	double left;

	if (plan->cfg->n_drains == 0)
		return true;
	left = cs_shift_entry(plan->cfg, zone, wall_ms + plan->cfg->shift.lookup_ttl_ms);
	return left >= 1 || position < left;
}

/* First zone of a caller: its part of the plan, unless a drain moves it to the next one. */
static unsigned first_zone(const struct cs_plan *plan, unsigned service, unsigned from, uint64_t h,
			   double position, int64_t wall_ms, const char **reason)
{
	unsigned n = plan->cfg->n_zones, i, row = service * n + from, zone = from;
	double u = unit(h);

	for (i = plan->row[row]; i < plan->row[row + 1]; i++) {
		zone = plan->parts[i].zone;
		if (u < plan->parts[i].up_to)
			break;
	}
	*reason = zone == from ? "nearest zone" : "nearest zone with room";
	if (members_in(plan, zone) > 0 && stays(plan, zone, position, wall_ms))
		return zone;
	for (i = 0; i < n; i++) {
		unsigned to = plan->near[from * n + i];

		if (to == zone || members_in(plan, to) == 0 || !stays(plan, to, position, wall_ms))
			continue;
		*reason = "zone is drained";
		return to;
	}
	return zone;
}

bool cs_plan_locate(const struct cs_plan *plan, unsigned class_index, const uint8_t addr[16],
		    int64_t wall_ms, uint64_t turn, struct cs_located *out)
{
	const struct cs_config *cfg = plan->cfg;
	unsigned n = cfg->n_zones, i, zone, from, service;
	uint64_t h = cs_hash(addr, 16, 0x10ca7e);
	double position = drain_position(h, turn);
	const char *reason;
	int at;

	out->n = 0;
	if (class_index >= cfg->n_classes || n == 0)
		return false;
	service = cfg->classes[class_index].service;
	at = cs_config_locate(cfg, addr);
	from = at >= 0 ? (unsigned)at : (unsigned)(cs_hash(&h, sizeof(h), 1) % n);
	zone = first_zone(plan, service, from, h, position, wall_ms, &reason);
	add_member(plan, zone, h, turn, out, reason);
	for (i = 0; i < n && out->n < 2; i++) {
		unsigned to = plan->near[from * n + i];

		if (to != zone && stays(plan, to, position, wall_ms))
			add_member(plan, to, h, turn, out, "second zone");
	}
	if (out->n > 0)
		add_member(plan, zone, h, turn + 1, out, "same zone");
	/* With a single zone left that is not drained, a drained one is better than none. */
	for (i = 0; i < n && out->n < 2; i++)
		add_member(plan, plan->near[from * n + i], h, turn, out, "only zone left");
	return out->n > 0;
}
