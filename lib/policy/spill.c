/* Choice of another zone for a request that leaves the own one, and of an entry instance there. */
#include <stdlib.h>
#include <string.h>

#include "policy/internal.h"

#define REFUSED_FIRST_US (50 * CS_US_PER_MS)
#define REFUSED_MAX_US (2 * CS_US_PER_S)

static int cmp_key(const void *a, const void *b)
{
	const struct zone_key *x = a, *y = b;

	return x->hash < y->hash ? -1 : x->hash > y->hash;
}

/* Sorts the zones' names by hash: each view has a row for each of 1,700 members. */
static void zone_keys_create(struct cs_policy *p)
{
	unsigned n = p->cfg->n_zones, i;

	free(p->zone_keys);
	p->zone_keys = cs_xcalloc(n, sizeof(*p->zone_keys));
	for (i = 0; i < n; i++) {
		p->zone_keys[i].hash = cs_hash_str(p->cfg->zones[i].name, 0);
		p->zone_keys[i].index = i;
	}
	qsort(p->zone_keys, n, sizeof(*p->zone_keys), cmp_key);
}

static int zone_index(const struct cs_policy *p, const char *name)
{
	struct zone_key key = {cs_hash_str(name, 0), 0}, *at;

	at = bsearch(&key, p->zone_keys, p->cfg->n_zones, sizeof(key), cmp_key);
	return at != NULL ? (int)at->index : -1;
}

/* Row of a zone and service of the present configuration. */
static struct room *room_at(struct cs_policy *p, unsigned zone, unsigned service)
{
	return &p->rooms[zone * p->cfg->n_services + service];
}

/* Names the rows after a new configuration; what hops showed is kept for zones of the same name. */
static void rooms_create(struct cs_policy *p)
{
	const struct cs_config *cfg = p->cfg;
	struct room *old = p->rooms;
	unsigned n_old = p->n_rooms, i, k, z;

	p->n_rooms = cfg->n_zones * cfg->n_services;
	p->rooms = cs_xcalloc(p->n_rooms, sizeof(*p->rooms));
	p->rooms_revision = cfg->revision;
	zone_keys_create(p);
	for (z = 0; z < cfg->n_zones; z++) {
		for (k = 0; k < cfg->n_services; k++) {
			struct room *r = room_at(p, z, k);

			cs_copy(r->zone, sizeof(r->zone), cfg->zones[z].name);
			cs_copy(r->service_name, sizeof(r->service_name), cfg->services[k].name);
			r->zone_index = (int)z;
			r->service = (int)k;
		}
	}
	for (i = 0; old != NULL && i < n_old; i++) {
		int zone = cs_config_zone(cfg, old[i].zone);
		int service = cs_config_service(cfg, old[i].service_name);
		struct room *r;

		if (zone < 0 || service < 0)
			continue;
		r = room_at(p, (unsigned)zone, (unsigned)service);
		r->version = old[i].version;
		r->sent = old[i].sent;
		r->refused_until_us = old[i].refused_until_us;
		r->refuse_us = old[i].refuse_us;
	}
	free(old);
}

static void rooms_fill(struct cs_policy *p, const struct cs_view *v)
{
	unsigned i;
	int zone, service;

	for (i = 0; i < p->n_rooms; i++)
		p->rooms[i].known = false;
	for (i = 0; i < v->n_loads; i++) {
		const struct cs_zone_load *l = &v->loads[i];
		struct room *r;

		zone = zone_index(p, l->zone);
		service = cs_config_service(p->cfg, l->service);
		if (zone < 0 || service < 0)
			continue;
		r = room_at(p, (unsigned)zone, (unsigned)service);
		if (l->version != r->version)
			r->sent = 0;
		r->known = true;
		r->version = l->version;
		r->capacity = l->capacity;
		r->in_flight = l->in_flight;
		r->waiting = l->waiting;
		r->out_of_target = l->out_of_target;
	}
}

static bool member_usable(const struct cs_policy *p, const struct cs_member *m)
{
	return m->listed && m->ready && m->state == CS_MEMBER_ALIVE &&
	       strcmp(m->name, p->opts.instance) != 0;
}

/* Copies the usable members, grouped by zone. */
static void members_fill(struct cs_policy *p, const struct cs_view *v)
{
	unsigned zones = p->cfg->n_zones, i, n = 0;
	int *zone = cs_xcalloc(v->n_members, sizeof(*zone));
	unsigned *at = cs_xcalloc(zones + 1, sizeof(*at));

	free(p->members);
	free(p->first);
	p->first = cs_xcalloc(zones + 1, sizeof(*p->first));
	for (i = 0; i < v->n_members; i++) {
		zone[i] = -1;
		if (!member_usable(p, &v->members[i]))
			continue;
		zone[i] = zone_index(p, v->members[i].zone);
		if (zone[i] >= 0)
			p->first[zone[i] + 1]++;
	}
	for (i = 0; i < zones; i++)
		p->first[i + 1] += p->first[i];
	n = p->first[zones];
	p->members = cs_xcalloc(n, sizeof(*p->members));
	memcpy(at, p->first, (zones + 1) * sizeof(*at));
	for (i = 0; i < v->n_members; i++)
		if (zone[i] >= 0)
			p->members[at[zone[i]]++] = v->members[i];
	free(at);
	free(zone);
}

void spill_update(struct cs_policy *p, const struct cs_view *v)
{
	if (p->rooms == NULL || p->rooms_revision != p->cfg->revision)
		rooms_create(p);
	rooms_fill(p, v);
	members_fill(p, v);
}

void spill_clear(struct cs_policy *p)
{
	free(p->members);
	free(p->first);
	free(p->rooms);
	free(p->zone_keys);
}

/* Slots that the zone is thought to give to foreign requests. */
static double room_free(const struct cs_policy *p, const struct room *r)
{
	double headroom = p->cfg->services[r->service].headroom_pct / 100;
	double most = r->capacity * (1 - headroom);

	return most - r->in_flight - r->waiting - r->sent;
}

/* Distance class: 0 own region, 1 other regions. */
static unsigned tier_of(const struct cs_policy *p, const struct room *r)
{
	if (p->zone < 0)
		return 1;
	return p->cfg->zones[r->zone_index].region != p->cfg->zones[p->zone].region;
}

/* Weight of a zone in the draw; 0: not now. */
static double room_weight(struct cs_policy *p, const struct room *r, bool moved, uint64_t now_us)
{
	double room;

	if (r->zone_index == p->zone || now_us < r->refused_until_us ||
	    p->first[r->zone_index + 1] == p->first[r->zone_index])
		return 0;
	if (cs_shift_stay(p->cfg, (unsigned)r->zone_index, policy_wall_ms(p, now_us)) < 1)
		return 0;
	/* A zone without figures is tried only for a request that must leave. */
	if (!r->known)
		return moved ? 0.01 : 0;
	room = room_free(p, r);
	if (room < 1)
		return 0;
	return r->out_of_target ? room / 4 : room;
}

/* Draws a member of a zone, or NULL. */
static const struct cs_member *member_of(struct cs_policy *p, unsigned zone)
{
	unsigned n = p->first[zone + 1] - p->first[zone];

	return n > 0 ? &p->members[p->first[zone] + cs_rng_below(&p->rng, n)] : NULL;
}

static void hop_to(const struct cs_member *m, struct cs_decision *out)
{
	out->verdict = CS_VERDICT_HOP;
	cs_copy(out->u.hop.instance, sizeof(out->u.hop.instance), m->name);
	cs_copy(out->u.hop.addr, sizeof(out->u.hop.addr), m->addr);
	cs_copy(out->u.hop.zone, sizeof(out->u.hop.zone), m->zone);
	out->u.hop.port = m->proxy_port;
}

bool spill_neighbour(struct cs_policy *p, const struct cls *c, struct cs_decision *out)
{
	const struct cs_member *m;

	if (c->svc->capacity[c->pool] > 0 || TAILQ_EMPTY(&c->svc->targets) || p->zone < 0)
		return false;
	m = member_of(p, (unsigned)p->zone);
	if (m == NULL)
		return false;
	hop_to(m, out);
	return true;
}

bool spill_pick(struct cs_policy *p, struct cls *c, const struct cs_ask *ask, bool moved,
		uint64_t now_us, struct cs_decision *out)
{
	const struct cs_member *m;
	struct room *found = NULL;
	unsigned tier, z;
	double sum, w;

	if (p->rooms == NULL || c->svc->index < 0)
		return false;
	for (tier = 0; tier < 2 && found == NULL; tier++) {
		sum = 0;
		for (z = 0; z < p->cfg->n_zones; z++) {
			struct room *r = room_at(p, z, (unsigned)c->svc->index);

			if (tier_of(p, r) != tier)
				continue;
			w = room_weight(p, r, moved, now_us);
			if (w <= 0)
				continue;
			sum += w;
			if (cs_rng_unit(&p->rng) * sum < w)
				found = r;
		}
	}
	if (found == NULL)
		return false;
	m = member_of(p, (unsigned)found->zone_index);
	if (m == NULL)
		return false;
	found->sent++;
	hop_to(m, out);
	return true;
}

void cs_policy_hop_ended(struct cs_policy *p, const char *zone, unsigned class_index, bool refused,
			 uint64_t latency_us, uint64_t now_us)
{
	struct cls *c = policy_class(p, class_index);
	struct room *r;
	int at;

	if (c == NULL || c->svc->index < 0 || p->rooms == NULL)
		return;
	at = cs_config_zone(p->cfg, zone);
	if (at < 0)
		return;
	r = room_at(p, (unsigned)at, (unsigned)c->svc->index);
	if (r->sent > 0)
		r->sent--;
	if (!refused) {
		r->refuse_us = 0;
		return;
	}
	r->refuse_us = r->refuse_us == 0 ? REFUSED_FIRST_US : 2 * r->refuse_us;
	if (r->refuse_us > REFUSED_MAX_US)
		r->refuse_us = REFUSED_MAX_US;
	r->refused_until_us = now_us + r->refuse_us;
}
