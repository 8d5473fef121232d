/* Choice of another zone for a request that leaves the own one, and of an entry instance there. */
#include <stdlib.h>
#include <string.h>

#include "policy/internal.h"

#define REFUSED_FIRST_US (50 * CS_US_PER_MS)
#define REFUSED_MAX_US (2 * CS_US_PER_S)

static struct room *room_find(struct cs_policy *p, const char *zone, int service)
{
	unsigned i;

	for (i = 0; i < p->n_rooms; i++)
		if (p->rooms[i].service == service && strcmp(p->rooms[i].zone, zone) == 0)
			return &p->rooms[i];
	return NULL;
}

static bool member_usable(const struct cs_policy *p, const struct cs_member *m)
{
	return m->listed && m->ready && m->state == CS_MEMBER_ALIVE &&
	       strcmp(m->name, p->opts.instance) != 0 && cs_config_zone(p->cfg, m->zone) >= 0;
}

/* One row for each zone with usable members and service; keeps what hops showed. */
static void rooms_build(struct cs_policy *p, const struct cs_view *v, uint64_t now_us)
{
	struct room *old = p->rooms, *r, *was;
	unsigned n_old = p->n_rooms, i, k, z;
	bool *usable = cs_xcalloc(p->cfg->n_zones, sizeof(*usable));
	struct cs_policy before = {.rooms = old, .n_rooms = n_old};

	for (i = 0; i < p->n_members; i++)
		usable[cs_config_zone(p->cfg, p->members[i].zone)] = true;
	if (p->zone >= 0)
		usable[p->zone] = false;
	p->rooms = cs_xcalloc((size_t)p->cfg->n_zones * p->cfg->n_services, sizeof(*p->rooms));
	p->n_rooms = 0;
	for (z = 0; z < p->cfg->n_zones; z++) {
		for (k = 0; usable[z] && k < p->cfg->n_services; k++) {
			r = &p->rooms[p->n_rooms++];
			cs_copy(r->zone, sizeof(r->zone), p->cfg->zones[z].name);
			r->zone_index = (int)z;
			r->service = (int)k;
			was = room_find(&before, r->zone, r->service);
			if (was == NULL)
				continue;
			r->version = was->version;
			r->sent = was->sent;
			r->refused_until_us = was->refused_until_us;
			r->refuse_us = was->refuse_us;
		}
	}
	for (i = 0; i < v->n_loads; i++) {
		const struct cs_zone_load *l = &v->loads[i];

		r = room_find(p, l->zone, cs_config_service(p->cfg, l->service));
		if (r == NULL)
			continue;
		if (l->version != r->version)
			r->sent = 0;
		r->known = true;
		r->version = l->version;
		r->capacity = l->capacity;
		r->in_flight = l->in_flight;
		r->waiting = l->waiting;
		r->out_of_target = l->out_of_target;
	}
	free(old);
	free(usable);
}

void spill_update(struct cs_policy *p, const struct cs_view *v, uint64_t now_us)
{
	unsigned i;

	free(p->members);
	p->members = cs_xcalloc(v->n_members, sizeof(*p->members));
	p->n_members = 0;
	for (i = 0; i < v->n_members; i++)
		if (member_usable(p, &v->members[i]))
			p->members[p->n_members++] = v->members[i];
	rooms_build(p, v, now_us);
}

void spill_clear(struct cs_policy *p)
{
	free(p->members);
	free(p->rooms);
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
static double room_weight(struct cs_policy *p, const struct room *r, const struct cls *c,
			  bool moved, uint64_t now_us)
{
	double room;

	if (r->service != c->svc->index || now_us < r->refused_until_us)
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

/* Draws a member of a zone. */
static const struct cs_member *member_of(struct cs_policy *p, const char *zone)
{
	const struct cs_member *found = NULL;
	unsigned i, n = 0;

	for (i = 0; i < p->n_members; i++)
		if (strcmp(p->members[i].zone, zone) == 0 && cs_rng_below(&p->rng, ++n) == 0)
			found = &p->members[i];
	return found;
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

	if (c->svc->capacity[c->pool] > 0 || TAILQ_EMPTY(&c->svc->targets))
		return false;
	m = member_of(p, p->opts.zone);
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
	unsigned tier, i;
	double sum, w;

	for (tier = 0; tier < 2 && found == NULL && p->rooms != NULL; tier++) {
		sum = 0;
		for (i = 0; i < p->n_rooms; i++) {
			if (tier_of(p, &p->rooms[i]) != tier)
				continue;
			w = room_weight(p, &p->rooms[i], c, moved, now_us);
			if (w <= 0)
				continue;
			sum += w;
			if (cs_rng_unit(&p->rng) * sum < w)
				found = &p->rooms[i];
		}
	}
	if (found == NULL)
		return false;
	m = member_of(p, found->zone);
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

	if (c == NULL || c->svc->index < 0)
		return;
	r = room_find(p, zone, c->svc->index);
	if (r == NULL)
		return;
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
