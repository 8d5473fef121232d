/* Core: computes the row of the own zone from heartbeats, the local proxy and health polls. */
#include <stdlib.h>
#include <string.h>

#include "core-internal.h"

#define CONTENT_SEED 13
/* Load changes above capacity / DIVISOR and above MIN_CHANGE requests are published. */
#define PUBLISH_CAPACITY_DIVISOR 8
#define PUBLISH_MIN_CHANGE 2
#define PUBLISH_INTERVAL_US (250 * CS_US_PER_MS)
#define PUBLISH_INTERVAL_PER_ZONE_US (20 * CS_US_PER_MS) /* added for each zone */
#define PUBLISH_INTERVAL_MAX_US (2 * CS_US_PER_S)

uint64_t row_publish_interval_us(const struct core *c)
{
	uint64_t t = PUBLISH_INTERVAL_US;
	struct zone_row *z;

	for (z = zone_first((struct core *)(uintptr_t)c); z != NULL; z = zone_next(z))
		t += PUBLISH_INTERVAL_PER_ZONE_US;
	return t < PUBLISH_INTERVAL_MAX_US ? t : PUBLISH_INTERVAL_MAX_US;
}

/* Adds a proxy's load to that of the zone; service times are weighted by requests in flight. */
static void add_load(struct row_load *z, const struct cs_report_load *l)
{
	uint64_t n = (uint64_t)z->in_flight + l->in_flight;

	if (n > 0)
		z->service_us = (unsigned)(((uint64_t)z->service_us * z->in_flight +
					    (uint64_t)l->service_us * l->in_flight) /
					   n);
	else if (l->service_us > z->service_us)
		z->service_us = l->service_us;
	z->in_flight = (unsigned)n;
	z->waiting += l->waiting;
	z->foreign += l->foreign;
	z->out_of_target |= l->out_of_target;
}

static void add_loads(struct core *c, const struct cs_report_load *l, unsigned n)
{
	uint32_t service_hash;
	unsigned i, k;

	for (i = 0; i < n; i++) {
		service_hash = cs_wire_name_hash(l[i].service);
		for (k = 0; k < c->n_loads; k++)
			if (c->loads[k].service == service_hash)
				add_load(&c->loads[k], &l[i]);
	}
}

/* Total slots of the ready servers of a service in the own zone. */
static unsigned zone_capacity(struct core *c, const struct cs_service *svc)
{
	struct server *s;
	unsigned n = 0;

	for (s = server_first(c); s != NULL; s = server_next(s))
		if (strcmp(s->service, svc->name) == 0 && !s->list_leaving && s->polled &&
		    s->state == CS_SERVER_READY)
			n += s->slots > 0 && s->slots < svc->slots ? s->slots : svc->slots;
	return n;
}

/* Computes the current loads of the own zone. */
static void loads_sum(struct core *c)
{
	const struct cs_config *cfg = c->cfg;
	struct member *m;
	unsigned i;

	free(c->loads);
	c->n_loads = cfg ? cfg->n_services : 0;
	c->loads = cs_xcalloc(c->n_loads, sizeof(*c->loads));
	for (i = 0; i < c->n_loads; i++) {
		c->loads[i].service = cs_wire_name_hash(cfg->services[i].name);
		c->loads[i].capacity = zone_capacity(c, &cfg->services[i]);
	}
	FOREACH_OWN_ZONE_MEMBER(m, c)
	if (m != c->self && member_usable(m))
		add_loads(c, m->loads, m->n_loads);
	add_loads(c, c->daemons[CS_LINK_PROXY].loads, c->daemons[CS_LINK_PROXY].n_loads);
}

static struct load_average *load_average_get_or_create(struct core *c, const struct row_load *l)
{
	unsigned i;

	for (i = 0; i < c->n_averages; i++)
		if (c->averages[i].service == l->service)
			return &c->averages[i];
	c->averages = cs_xrealloc(c->averages, c->n_averages + 1, sizeof(*c->averages));
	c->averages[c->n_averages] = (struct load_average){.service = l->service,
							   .in_flight = l->in_flight,
							   .waiting = l->waiting,
							   .foreign = l->foreign,
							   .service_us = l->service_us};
	return &c->averages[c->n_averages++];
}

static unsigned average_update(double *average, unsigned v, double weight)
{
	*average += ((double)v - *average) * weight;
	/* Reports an idle zone at once instead of after the decay of the average. */
	if (v == 0 && *average < 1)
		*average = 0;
	return (unsigned)(*average + 0.5);
}

/*
 * Replaces the loads by moving averages. The number of requests in flight fluctuates by about its
 * square root; without smoothing, most rows would change every second.
 */
static void loads_smooth(struct core *c, uint64_t now_us)
{
	/* The time constant is the interval between published changes. */
	double weight = (double)(now_us - c->averages_us) / (double)row_publish_interval_us(c);
	struct load_average *average;
	struct row_load *l;
	unsigned i;

	if (weight > 1)
		weight = 1;
	c->averages_us = now_us;
	for (i = 0; i < c->n_loads; i++) {
		l = &c->loads[i];
		average = load_average_get_or_create(c, l);
		l->in_flight = average_update(&average->in_flight, l->in_flight, weight);
		l->waiting = average_update(&average->waiting, l->waiting, weight);
		l->foreign = average_update(&average->foreign, l->foreign, weight);
		l->service_us = average_update(&average->service_us, l->service_us, weight);
	}
}

static bool differs_by_more(unsigned a, unsigned b, unsigned limit)
{
	return a > b ? a - b > limit : b - a > limit;
}

/* A drain ends when its zone reports no load, so a change to zero is always published. */
static bool load_became_zero(const struct row_load *l, const struct row_load *p)
{
	return (l->in_flight == 0 && p->in_flight > 0) || (l->waiting == 0 && p->waiting > 0);
}

/* True if the load differs enough from the published one to affect routing decisions. */
static bool load_changed(const struct row_load *l, const struct row_load *p)
{
	unsigned limit = l->capacity / PUBLISH_CAPACITY_DIVISOR;

	if (limit < PUBLISH_MIN_CHANGE)
		limit = PUBLISH_MIN_CHANGE;
	return load_became_zero(l, p) || differs_by_more(l->in_flight, p->in_flight, limit) ||
	       differs_by_more(l->waiting, p->waiting, limit) ||
	       differs_by_more(l->foreign, p->foreign, limit) ||
	       differs_by_more(l->service_us, p->service_us, p->service_us / 4 + 1000);
}

/* Difference between current and published loads. */
enum load_change { LOADS_SAME, LOADS_CHANGED, LOADS_URGENT };

static enum load_change loads_compare(const struct core *c)
{
	const struct zone_row *z = c->own_row;
	enum load_change change = LOADS_SAME;
	unsigned i;

	if (z->n_loads != c->n_loads)
		return LOADS_URGENT;
	for (i = 0; i < z->n_loads; i++) {
		if (z->loads[i].service != c->loads[i].service ||
		    z->loads[i].capacity != c->loads[i].capacity ||
		    z->loads[i].out_of_target != c->loads[i].out_of_target)
			return LOADS_URGENT;
		if (load_changed(&c->loads[i], &z->loads[i]))
			change = LOADS_CHANGED;
	}
	return change;
}

/* Returns the members in the store's list that are not both alive and ready. */
static struct member_exception *exceptions_collect(struct core *c, unsigned *n)
{
	struct member_exception *e = NULL;
	struct member *m;
	unsigned size = 0;

	*n = 0;
	FOREACH_OWN_ZONE_MEMBER(m, c)
	{
		if (!m->listed || (m->state == CS_MEMBER_ALIVE && m->effective_ready))
			continue;
		if (*n == size) {
			size = size ? size * 2 : 8;
			e = cs_xrealloc(e, size, sizeof(*e));
		}
		cs_copy(e[*n].instance, sizeof(e[*n].instance), m->name);
		e[*n].state = m->state;
		e[*n].ready = m->effective_ready;
		(*n)++;
	}
	return e;
}

/*
 * Recomputes the list of members in the zone row that are not both alive and ready; returns true if
 * it changed.
 */
static bool exceptions_update(struct core *c)
{
	struct zone_row *z = c->own_row;
	unsigned n, i;
	struct member_exception *e = exceptions_collect(c, &n);
	bool changed = n != z->n_exceptions;

	for (i = 0; i < n && !changed; i++)
		changed = strcmp(e[i].instance, z->exceptions[i].instance) != 0 ||
			  e[i].state != z->exceptions[i].state ||
			  e[i].ready != z->exceptions[i].ready;
	free(z->exceptions);
	z->exceptions = e;
	z->n_exceptions = n;
	return changed;
}

static uint64_t hash_u64(uint64_t h, uint64_t v)
{
	return cs_hash(&v, sizeof(v), h);
}

/* Hash of the loads, the exceptions and the revision of a row. */
static uint32_t content_hash(const struct zone_row *z)
{
	uint64_t h = CONTENT_SEED;
	unsigned i;

	for (i = 0; i < z->n_loads; i++) {
		h = hash_u64(h, z->loads[i].service);
		h = hash_u64(h, ((uint64_t)z->loads[i].capacity << 32) | z->loads[i].in_flight);
		h = hash_u64(h, ((uint64_t)z->loads[i].waiting << 32) | z->loads[i].foreign);
		h = hash_u64(h, z->loads[i].service_us * 2ULL + z->loads[i].out_of_target);
	}
	for (i = 0; i < z->n_exceptions; i++)
		h = hash_u64(cs_hash_str(z->exceptions[i].instance, h),
			     (uint64_t)z->exceptions[i].state * 2 + z->exceptions[i].ready);
	return (uint32_t)hash_u64(h, z->revision);
}

uint32_t row_fingerprint(const struct zone_row *z)
{
	uint64_t h = cs_hash_str(z->origin, z->content_hash);

	return (uint32_t)hash_u64(h, z->stamp.incarnation);
}

static uint64_t lowest_revision(struct core *c)
{
	uint64_t lowest = c->cfg ? c->cfg->revision : 0;
	struct member *m;

	FOREACH_OWN_ZONE_MEMBER(m, c)
	if (m->state == CS_MEMBER_ALIVE && m->revision < lowest)
		lowest = m->revision;
	return lowest;
}

/* Copies the current loads into the row. */
static void publish_content(struct core *c, bool urgent, uint64_t now_us)
{
	struct zone_row *z = c->own_row;

	free(z->loads);
	z->n_loads = c->n_loads;
	z->loads = cs_xcalloc(c->n_loads, sizeof(*z->loads));
	if (c->n_loads > 0)
		memcpy(z->loads, c->loads, c->n_loads * sizeof(*z->loads));
	z->content_hash = content_hash(z);
	z->urgent = urgent;
	z->content_clock = ++c->row_clock;
	c->content_us = now_us;
	view_loads_changed(c);
}

void own_row_update(struct core *c, bool publish, uint64_t now_us)
{
	struct zone_row *z = c->own_row;
	enum load_change change;
	uint64_t revision;
	bool urgent, content_due;

	loads_sum(c);
	loads_smooth(c, now_us);
	change = loads_compare(c);
	urgent = exceptions_update(c) || change == LOADS_URGENT;
	revision = lowest_revision(c);
	content_due =
		urgent || revision != z->revision ||
		(change == LOADS_CHANGED && now_us - c->content_us >= row_publish_interval_us(c));
	z->revision = revision;
	z->published_us = now_us;
	if (content_due)
		publish_content(c, urgent, now_us);
	if (!publish || (!content_due && now_us - c->published_us < CORE_HEARTBEAT_US &&
			 strcmp(z->origin, c->opts.instance) == 0))
		return;
	cs_copy(z->origin, sizeof(z->origin), c->opts.instance);
	z->stamp.incarnation = c->opts.incarnation;
	z->stamp.sequence = ++c->sequence;
	z->fingerprint = row_fingerprint(z);
	z->sender_zone_hash = z->zone_hash;
	z->updated_clock = ++c->row_clock;
	c->published_us = now_us;
}
