/* Choice of another instance for a request, in the own zone or in another one. */
#include <stdlib.h>
#include <string.h>

#include "policy/internal.h"

#define REFUSE_BACKOFF_FIRST_US (50 * CS_US_PER_MS)
#define REFUSE_BACKOFF_MAX_US (2 * CS_US_PER_S)
#define UNKNOWN_LOAD_WEIGHT 0.01
#define OUT_OF_TARGET_DIVISOR 4 /* divides the weight of a zone that misses its target */

static int cmp_key(const void *a, const void *b)
{
	const struct zone_key *x = a, *y = b;

	return x->hash < y->hash ? -1 : x->hash > y->hash;
}

/* Index of zone names by hash: it is searched for each of up to 1,700 members of a view. */
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

static int zone_find(const struct cs_policy *p, const char *name)
{
	struct zone_key key = {cs_hash_str(name, 0), 0}, *at;

	at = bsearch(&key, p->zone_keys, p->cfg->n_zones, sizeof(key), cmp_key);
	return at != NULL ? (int)at->index : -1;
}

/* Entry of a zone and service of the current configuration. */
static struct zone_service *zone_service_at(struct cs_policy *p, unsigned zone, unsigned service)
{
	return &p->zone_services[zone * p->cfg->n_services + service];
}

/* Rebuilds the table for a new configuration; results of hops are kept by zone and service name. */
static void zone_services_create(struct cs_policy *p)
{
	const struct cs_config *cfg = p->cfg;
	struct zone_service *old = p->zone_services;
	unsigned n_old = p->n_zone_services, i, k, z;

	p->n_zone_services = cfg->n_zones * cfg->n_services;
	p->zone_services = cs_xcalloc(p->n_zone_services, sizeof(*p->zone_services));
	p->zone_services_revision = cfg->revision;
	zone_keys_create(p);
	for (z = 0; z < cfg->n_zones; z++) {
		for (k = 0; k < cfg->n_services; k++) {
			struct zone_service *zs = zone_service_at(p, z, k);

			cs_copy(zs->zone, sizeof(zs->zone), cfg->zones[z].name);
			cs_copy(zs->service_name, sizeof(zs->service_name), cfg->services[k].name);
			zs->zone_index = (int)z;
			zs->service = (int)k;
		}
	}
	for (i = 0; old != NULL && i < n_old; i++) {
		int zone = cs_config_zone(cfg, old[i].zone);
		int service = cs_config_service(cfg, old[i].service_name);
		struct zone_service *zs;

		if (zone < 0 || service < 0)
			continue;
		zs = zone_service_at(p, (unsigned)zone, (unsigned)service);
		zs->version = old[i].version;
		zs->hops_sent = old[i].hops_sent;
		zs->refused_until_us = old[i].refused_until_us;
		zs->refuse_backoff_us = old[i].refuse_backoff_us;
	}
	free(old);
}

static void zone_services_update(struct cs_policy *p, const struct cs_view *v)
{
	unsigned i;
	int zone, service;

	for (i = 0; i < p->n_zone_services; i++)
		p->zone_services[i].has_digest = false;
	for (i = 0; i < v->n_loads; i++) {
		const struct cs_zone_load *l = &v->loads[i];
		struct zone_service *zs;

		zone = zone_find(p, l->zone);
		service = cs_config_service(p->cfg, l->service);
		if (zone < 0 || service < 0)
			continue;
		zs = zone_service_at(p, (unsigned)zone, (unsigned)service);
		if (l->version != zs->version)
			zs->hops_sent = 0;
		zs->has_digest = true;
		zs->version = l->version;
		zs->capacity = l->capacity;
		zs->in_flight = l->in_flight;
		zs->waiting = l->waiting;
		zs->out_of_target = l->out_of_target;
	}
}

static bool member_usable(const struct cs_policy *p, const struct cs_member *m)
{
	return m->listed && m->ready && m->state == CS_MEMBER_ALIVE &&
	       strcmp(m->name, p->opts.instance) != 0;
}

/* Copies the usable members, grouped by zone. */
static void members_update(struct cs_policy *p, const struct cs_view *v)
{
	unsigned zones = p->cfg->n_zones, i, n = 0;
	int *zone = cs_xcalloc(v->n_members, sizeof(*zone));
	unsigned *at = cs_xcalloc(zones + 1, sizeof(*at));

	free(p->members);
	free(p->first_member);
	p->first_member = cs_xcalloc(zones + 1, sizeof(*p->first_member));
	for (i = 0; i < v->n_members; i++) {
		zone[i] = -1;
		if (!member_usable(p, &v->members[i]))
			continue;
		zone[i] = zone_find(p, v->members[i].zone);
		if (zone[i] >= 0)
			p->first_member[zone[i] + 1]++;
	}
	for (i = 0; i < zones; i++)
		p->first_member[i + 1] += p->first_member[i];
	n = p->first_member[zones];
	p->members = cs_xcalloc(n, sizeof(*p->members));
	memcpy(at, p->first_member, (zones + 1) * sizeof(*at));
	for (i = 0; i < v->n_members; i++)
		if (zone[i] >= 0)
			p->members[at[zone[i]]++] = v->members[i];
	free(at);
	free(zone);
}

void hop_update(struct cs_policy *p, const struct cs_view *v)
{
	if (p->zone_services == NULL || p->zone_services_revision != p->cfg->revision)
		zone_services_create(p);
	zone_services_update(p, v);
	members_update(p, v);
}

void hop_clear(struct cs_policy *p)
{
	free(p->members);
	free(p->first_member);
	free(p->zone_services);
	free(p->zone_keys);
}

/* Estimated free slots of the zone for requests from other zones. */
static double zone_spare_slots(const struct cs_policy *p, const struct zone_service *zs)
{
	double headroom = p->cfg->services[zs->service].headroom_pct / 100;
	double limit = zs->capacity * (1 - headroom);

	return limit - zs->in_flight - zs->waiting - zs->hops_sent;
}

/* Tier of a zone; 0: own region, 1: other regions. The lowest tier with an eligible zone is used. */
static unsigned locality_tier(const struct cs_policy *p, const struct zone_service *zs)
{
	if (p->zone < 0)
		return 1;
	return p->cfg->zones[zs->zone_index].region != p->cfg->zones[p->zone].region;
}

/* Weight of a zone in the random choice; 0: not eligible now. */
static double zone_weight(struct cs_policy *p, const struct zone_service *zs, bool drained,
			  uint64_t now_us)
{
	double spare;

	if (zs->zone_index == p->zone || now_us < zs->refused_until_us ||
	    p->first_member[zs->zone_index + 1] == p->first_member[zs->zone_index])
		return 0;
	if (cs_shift_remaining(p->cfg, (unsigned)zs->zone_index, policy_wall_ms(p, now_us)) < 1)
		return 0;
	/* A zone with unknown load is tried only for a request that must leave its own zone. */
	if (!zs->has_digest)
		return drained ? UNKNOWN_LOAD_WEIGHT : 0;
	spare = zone_spare_slots(p, zs);
	if (spare < 1)
		return 0;
	return zs->out_of_target ? spare / OUT_OF_TARGET_DIVISOR : spare;
}

/* A random usable member of a zone, or NULL. */
static const struct cs_member *pick_member(struct cs_policy *p, unsigned zone)
{
	unsigned n = p->first_member[zone + 1] - p->first_member[zone];

	return n > 0 ? &p->members[p->first_member[zone] + cs_rng_below(&p->rng, n)] : NULL;
}

static void set_hop(const struct cs_member *m, struct cs_decision *out)
{
	out->verdict = CS_VERDICT_HOP;
	cs_copy(out->u.hop.instance, sizeof(out->u.hop.instance), m->name);
	cs_copy(out->u.hop.addr, sizeof(out->u.hop.addr), m->addr);
	cs_copy(out->u.hop.zone, sizeof(out->u.hop.zone), m->zone);
	out->u.hop.port = m->proxy_port;
}

bool hop_same_zone(struct cs_policy *p, const struct cls *c, struct cs_decision *out)
{
	const struct cs_member *m;

	if (c->svc->capacity[c->pool] > 0 || TAILQ_EMPTY(&c->svc->targets) || p->zone < 0)
		return false;
	m = pick_member(p, (unsigned)p->zone);
	if (m == NULL)
		return false;
	set_hop(m, out);
	return true;
}

bool hop_other_zone(struct cs_policy *p, struct cls *c, const struct cs_policy_request *req,
		    bool drained, uint64_t now_us, struct cs_decision *out)
{
	const struct cs_member *m;
	struct zone_service *found = NULL;
	unsigned tier, z;
	double sum, w;

	if (p->zone_services == NULL || c->svc->index < 0)
		return false;
	for (tier = 0; tier < 2 && found == NULL; tier++) {
		sum = 0;
		for (z = 0; z < p->cfg->n_zones; z++) {
			struct zone_service *zs = zone_service_at(p, z, (unsigned)c->svc->index);

			if (locality_tier(p, zs) != tier)
				continue;
			w = zone_weight(p, zs, drained, now_us);
			if (w <= 0)
				continue;
			sum += w;
			if (cs_rng_unit(&p->rng) * sum < w)
				found = zs;
		}
	}
	if (found == NULL)
		return false;
	m = pick_member(p, (unsigned)found->zone_index);
	if (m == NULL)
		return false;
	found->hops_sent++;
	set_hop(m, out);
	return true;
}

void cs_policy_hop_ended(struct cs_policy *p, const char *zone, unsigned class_index, bool refused,
			 uint64_t latency_us, uint64_t now_us)
{
	struct cls *c = policy_class(p, class_index);
	struct zone_service *zs;
	int at;

	if (c == NULL || c->svc->index < 0 || p->zone_services == NULL)
		return;
	at = cs_config_zone(p->cfg, zone);
	if (at < 0)
		return;
	zs = zone_service_at(p, (unsigned)at, (unsigned)c->svc->index);
	if (zs->hops_sent > 0)
		zs->hops_sent--;
	if (!refused) {
		zs->refuse_backoff_us = 0;
		return;
	}
	zs->refuse_backoff_us = zs->refuse_backoff_us == 0 ? REFUSE_BACKOFF_FIRST_US
							   : 2 * zs->refuse_backoff_us;
	if (zs->refuse_backoff_us > REFUSE_BACKOFF_MAX_US)
		zs->refuse_backoff_us = REFUSE_BACKOFF_MAX_US;
	zs->refused_until_us = now_us + zs->refuse_backoff_us;
}
