/* Core: the own zone's row, summed from heartbeats, the own proxy and the health polls. */
#include <stdlib.h>
#include <string.h>

#include "core-int.h"

#define CONTENT_SEED 13
#define CHANGE_PART 8 /* a change above this part of the capacity is published */
#define CHANGE_MIN 2 /* requests */
#define INTERVAL_US (250 * CS_US_PER_MS)
#define INTERVAL_ZONE_US (20 * CS_US_PER_MS) /* more for each zone */
#define INTERVAL_MAX_US (2 * CS_US_PER_S)

uint64_t row_interval(const struct core *c)
{
	uint64_t t = INTERVAL_US;
	struct zone_row *z;

	for (z = zone_first((struct core *)(uintptr_t)c); z != NULL; z = zone_next(z))
		t += INTERVAL_ZONE_US;
	return t < INTERVAL_MAX_US ? t : INTERVAL_MAX_US;
}

/* Adds a proxy's load to the zone's load of the service. */
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
	uint32_t key;
	unsigned i, k;

	for (i = 0; i < n; i++) {
		key = cs_wire_key(l[i].service);
		for (k = 0; k < c->n_loads; k++)
			if (c->loads[k].service == key)
				add_load(&c->loads[k], &l[i]);
	}
}

/* Slots of the zone's usable servers of a service. */
static unsigned capacity_of(struct core *c, const struct cs_service *svc)
{
	struct server *s;
	unsigned n = 0;

	for (s = server_first(c); s != NULL; s = server_next(s))
		if (strcmp(s->service, svc->name) == 0 && !s->list_leaving && s->polled &&
		    s->state == CS_SERVER_READY)
			n += s->slots > 0 && s->slots < svc->slots ? s->slots : svc->slots;
	return n;
}

/* Sums the loads of the own zone as they are now. */
static void loads_sum(struct core *c)
{
	const struct cs_config *cfg = c->cfg;
	struct member *m;
	unsigned i;

	free(c->loads);
	c->n_loads = cfg ? cfg->n_services : 0;
	c->loads = cs_xcalloc(c->n_loads, sizeof(*c->loads));
	for (i = 0; i < c->n_loads; i++) {
		c->loads[i].service = cs_wire_key(cfg->services[i].name);
		c->loads[i].capacity = capacity_of(c, &cfg->services[i]);
	}
	FOREACH_HERE(m, c)
	if (m != c->self && member_usable(m))
		add_loads(c, m->loads, m->n_loads);
	add_loads(c, c->daemons[CS_LINK_PROXY].loads, c->daemons[CS_LINK_PROXY].n_loads);
}

static struct load_mean *mean_of(struct core *c, const struct row_load *l)
{
	unsigned i;

	for (i = 0; i < c->n_means; i++)
		if (c->means[i].service == l->service)
			return &c->means[i];
	c->means = cs_xrealloc(c->means, c->n_means + 1, sizeof(*c->means));
	c->means[c->n_means] = (struct load_mean){.service = l->service,
						  .in_flight = l->in_flight,
						  .waiting = l->waiting,
						  .foreign = l->foreign,
						  .service_us = l->service_us};
	return &c->means[c->n_means++];
}

static unsigned mean_step(double *mean, unsigned v, double part)
{
	*mean += ((double)v - *mean) * part;
	/* An idle zone says so at once and not only after the mean has run out. */
	if (v == 0 && *mean < 1)
		*mean = 0;
	return (unsigned)(*mean + 0.5);
}

/*
 * Replaces the loads by their moving means. Requests in flight scatter by the square root of their
 * number from one moment to the next; sent as they are, most rows would change every second.
 */
static void loads_smooth(struct core *c, uint64_t now_us)
{
	/* The time constant is the time between two changes of the row. */
	double part = (double)(now_us - c->means_us) / (double)row_interval(c);
	struct load_mean *mean;
	struct row_load *l;
	unsigned i;

	if (part > 1)
		part = 1;
	c->means_us = now_us;
	for (i = 0; i < c->n_loads; i++) {
		l = &c->loads[i];
		mean = mean_of(c, l);
		l->in_flight = mean_step(&mean->in_flight, l->in_flight, part);
		l->waiting = mean_step(&mean->waiting, l->waiting, part);
		l->foreign = mean_step(&mean->foreign, l->foreign, part);
		l->service_us = mean_step(&mean->service_us, l->service_us, part);
	}
}

static bool far(unsigned a, unsigned b, unsigned limit)
{
	return a > b ? a - b > limit : b - a > limit;
}

/* A drain ends when its zone reports nothing in flight, so the last step to zero always counts. */
static bool load_emptied(const struct row_load *l, const struct row_load *p)
{
	return (l->in_flight == 0 && p->in_flight > 0) || (l->waiting == 0 && p->waiting > 0);
}

/* True if the load differs enough from the published one for others to decide differently. */
static bool load_moved(const struct row_load *l, const struct row_load *p)
{
	unsigned limit = l->capacity / CHANGE_PART;

	if (limit < CHANGE_MIN)
		limit = CHANGE_MIN;
	return load_emptied(l, p) || far(l->in_flight, p->in_flight, limit) ||
	       far(l->waiting, p->waiting, limit) || far(l->foreign, p->foreign, limit) ||
	       far(l->service_us, p->service_us, p->service_us / 4 + 1000);
}

/* How the loads differ from the published ones. */
enum load_change { LOADS_SAME, LOADS_MOVED, LOADS_URGENT };

static enum load_change loads_compare(const struct core *c)
{
	const struct zone_row *z = c->own;
	enum load_change change = LOADS_SAME;
	unsigned i;

	if (z->n_loads != c->n_loads)
		return LOADS_URGENT;
	for (i = 0; i < z->n_loads; i++) {
		if (z->loads[i].service != c->loads[i].service ||
		    z->loads[i].capacity != c->loads[i].capacity ||
		    z->loads[i].out_of_target != c->loads[i].out_of_target)
			return LOADS_URGENT;
		if (load_moved(&c->loads[i], &z->loads[i]))
			change = LOADS_MOVED;
	}
	return change;
}

/* Members to be named: listed, and not both alive and ready. */
static struct member_exception *exceptions_make(struct core *c, unsigned *n)
{
	struct member_exception *e = NULL;
	struct member *m;
	unsigned size = 0;

	*n = 0;
	FOREACH_HERE(m, c)
	{
		if (!m->listed || (m->state == CS_MEMBER_ALIVE && m->shown_ready))
			continue;
		if (*n == size) {
			size = size ? size * 2 : 8;
			e = cs_xrealloc(e, size, sizeof(*e));
		}
		cs_copy(e[*n].instance, sizeof(e[*n].instance), m->name);
		e[*n].state = m->state;
		e[*n].ready = m->shown_ready;
		(*n)++;
	}
	return e;
}

/* Replaces the row's exceptions; true if they changed. */
static bool exceptions_update(struct core *c)
{
	struct zone_row *z = c->own;
	unsigned n, i;
	struct member_exception *e = exceptions_make(c, &n);
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

static uint64_t mix(uint64_t h, uint64_t v)
{
	return cs_hash(&v, sizeof(v), h);
}

/* Hash of what a whole row carries beyond its stamp. */
static uint32_t content_hash(const struct zone_row *z)
{
	uint64_t h = CONTENT_SEED;
	unsigned i;

	for (i = 0; i < z->n_loads; i++) {
		h = mix(h, z->loads[i].service);
		h = mix(h, ((uint64_t)z->loads[i].capacity << 32) | z->loads[i].in_flight);
		h = mix(h, ((uint64_t)z->loads[i].waiting << 32) | z->loads[i].foreign);
		h = mix(h, z->loads[i].service_us * 2ULL + z->loads[i].out_of_target);
	}
	for (i = 0; i < z->n_exceptions; i++)
		h = mix(cs_hash_str(z->exceptions[i].instance, h),
			(uint64_t)z->exceptions[i].state * 2 + z->exceptions[i].ready);
	return (uint32_t)mix(h, z->revision);
}

uint32_t row_mark(const struct zone_row *z)
{
	uint64_t h = cs_hash_str(z->origin, z->content);

	return (uint32_t)mix(h, z->stamp.incarnation);
}

static uint64_t lowest_revision(struct core *c)
{
	uint64_t lowest = c->cfg ? c->cfg->revision : 0;
	struct member *m;

	FOREACH_HERE(m, c)
	if (m->state == CS_MEMBER_ALIVE && m->revision < lowest)
		lowest = m->revision;
	return lowest;
}

/* Makes the present loads the published ones. */
static void publish_content(struct core *c, bool urgent, uint64_t now_us)
{
	struct zone_row *z = c->own;

	free(z->loads);
	z->n_loads = c->n_loads;
	z->loads = cs_xcalloc(c->n_loads, sizeof(*z->loads));
	if (c->n_loads > 0)
		memcpy(z->loads, c->loads, c->n_loads * sizeof(*z->loads));
	z->content = content_hash(z);
	z->urgent = urgent;
	z->changed = ++c->row_clock;
	c->content_us = now_us;
	view_loads_changed(c);
}

void row_own_update(struct core *c, bool publish, uint64_t now_us)
{
	struct zone_row *z = c->own;
	enum load_change change;
	uint64_t revision;
	bool urgent, whole;

	loads_sum(c);
	loads_smooth(c, now_us);
	change = loads_compare(c);
	urgent = exceptions_update(c) || change == LOADS_URGENT;
	revision = lowest_revision(c);
	whole = urgent || revision != z->revision ||
		(change == LOADS_MOVED && now_us - c->content_us >= row_interval(c));
	z->revision = revision;
	z->heard_us = now_us;
	if (whole)
		publish_content(c, urgent, now_us);
	if (!publish || (!whole && now_us - c->published_us < CORE_HEARTBEAT_US &&
			 strcmp(z->origin, c->opts.instance) == 0))
		return;
	cs_copy(z->origin, sizeof(z->origin), c->opts.instance);
	z->stamp.incarnation = c->opts.incarnation;
	z->stamp.sequence = ++c->sequence;
	z->mark = row_mark(z);
	z->from = z->key;
	z->touched = ++c->row_clock;
	c->published_us = now_us;
}
