/*
 * Core: rows of zones. A zone's first relay makes the row of its zone; relays pass rows that are
 * new to them once to a few other zones and to their own zone. A row whose loads did not change
 * much travels without them.
 */
#include <stdlib.h>
#include <string.h>

#include "core-int.h"

#define SECOND_RELAY_US (2 * CS_US_PER_S) /* the second relay's period for the own row */
#define SECOND_CHOICE 8 /* one in this many digests goes to a zone's second relay */
#define CHANGE_PART 16 /* a change above this part of the capacity is sent at once */
#define ZONES_LIST "#zones" /* LIST_GET of all zone rows */
#define AGE_MAX_MS 600000

/* Adds a proxy's load to the zone's row of the service. */
static void add_load(struct cs_zone_load *z, const struct cs_report_load *l)
{
	unsigned n = z->in_flight + l->in_flight;

	if (n > 0)
		z->service_us = (unsigned)(((uint64_t)z->service_us * z->in_flight +
					    (uint64_t)l->service_us * l->in_flight) /
					   n);
	else if (l->service_us > z->service_us)
		z->service_us = l->service_us;
	z->in_flight = n;
	z->waiting += l->waiting;
	z->foreign += l->foreign;
	z->out_of_target |= l->out_of_target;
}

static struct cs_zone_load *load_find(struct cs_zone_load *rows, unsigned n, const char *service)
{
	unsigned i;

	for (i = 0; i < n; i++)
		if (strcmp(rows[i].service, service) == 0)
			return &rows[i];
	return NULL;
}

/* Slots of the zone's usable servers of a service; the configured number until one reports. */
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

static void add_member_loads(struct zone_row *z, const struct cs_report_load *l, unsigned n)
{
	struct cs_zone_load *row;
	unsigned i;

	for (i = 0; i < n; i++) {
		row = load_find(z->loads, z->n_loads, l[i].service);
		if (row != NULL)
			add_load(row, &l[i]);
	}
}

/* Sums the own zone's loads from the heartbeats, the own proxy and the health polls. */
static void own_loads(struct core *c, struct zone_row *z)
{
	const struct cs_config *cfg = c->cfg;
	struct member *m;
	unsigned i;

	free(z->loads);
	z->n_loads = cfg ? cfg->n_services : 0;
	z->loads = cs_xcalloc(z->n_loads, sizeof(*z->loads));
	for (i = 0; i < z->n_loads; i++) {
		cs_copy(z->loads[i].zone, sizeof(z->loads[i].zone), z->zone);
		cs_copy(z->loads[i].service, sizeof(z->loads[i].service), cfg->services[i].name);
		z->loads[i].capacity = capacity_of(c, &cfg->services[i]);
	}
	for (m = member_first(c); m != NULL; m = member_next(m))
		if (m->here && m != c->self && member_usable(m))
			add_member_loads(z, m->loads, m->n_loads);
	add_member_loads(z, c->daemons[CS_LINK_PROXY].loads, c->daemons[CS_LINK_PROXY].n_loads);
	z->revision = c->cfg ? c->cfg->revision : 0;
	for (m = member_first(c); m != NULL; m = member_next(m))
		if (m->here && m->state == CS_MEMBER_ALIVE && m->revision < z->revision)
			z->revision = m->revision;
}

static bool far(unsigned a, unsigned b, unsigned limit)
{
	return a > b ? a - b > limit : b - a > limit;
}

/* True if a row differs enough from what was sent for the others to decide differently. */
static bool load_changed(const struct cs_zone_load *l, const struct cs_report_load *s)
{
	unsigned limit = l->capacity / CHANGE_PART;

	return l->capacity != s->capacity || l->out_of_target != s->out_of_target ||
	       far(l->in_flight, s->in_flight, limit) || far(l->waiting, s->waiting, limit) ||
	       far(l->foreign, s->foreign, limit) ||
	       far(l->service_us, s->service_us, s->service_us / 4 + 1000);
}

static bool loads_changed(const struct zone_row *z)
{
	unsigned i;

	if (z->n_sent != z->n_loads)
		return true;
	for (i = 0; i < z->n_loads; i++)
		if (strcmp(z->loads[i].service, z->sent[i].service) != 0 ||
		    load_changed(&z->loads[i], &z->sent[i]))
			return true;
	return false;
}

/* Remembers what is sent now. */
static void loads_sent(struct zone_row *z)
{
	unsigned i;

	free(z->sent);
	z->sent = cs_xcalloc(z->n_loads, sizeof(*z->sent));
	z->n_sent = z->n_loads;
	for (i = 0; i < z->n_loads; i++) {
		cs_copy(z->sent[i].service, sizeof(z->sent[i].service), z->loads[i].service);
		z->sent[i].capacity = z->loads[i].capacity;
		z->sent[i].in_flight = z->loads[i].in_flight;
		z->sent[i].waiting = z->loads[i].waiting;
		z->sent[i].foreign = z->loads[i].foreign;
		z->sent[i].service_us = z->loads[i].service_us;
		z->sent[i].out_of_target = z->loads[i].out_of_target;
	}
}

/* Rebuilds the exceptions of the own zone; true if they changed. */
static bool own_exceptions(struct core *c, struct zone_row *z)
{
	struct member_exception *e = NULL;
	unsigned n = 0, size = 0, i;
	struct member *m;
	bool changed;

	for (m = member_first(c); m != NULL; m = member_next(m)) {
		if (!m->here || !m->listed || (m->state == CS_MEMBER_ALIVE && m->shown_ready))
			continue;
		if (n == size) {
			size = size ? size * 2 : 8;
			e = cs_xrealloc(e, size, sizeof(*e));
		}
		memset(&e[n], 0, sizeof(e[n]));
		cs_copy(e[n].instance, sizeof(e[n].instance), m->name);
		e[n].state = m->state;
		e[n].ready = m->shown_ready;
		n++;
	}
	changed = n != z->n_exceptions;
	for (i = 0; i < n && !changed; i++)
		changed = strcmp(e[i].instance, z->exceptions[i].instance) != 0 ||
			  e[i].state != z->exceptions[i].state ||
			  e[i].ready != z->exceptions[i].ready;
	free(z->exceptions);
	z->exceptions = e;
	z->n_exceptions = n;
	return changed;
}

/* Updates the own zone's row and decides whether it is sent now, brief or whole. */
static void own_row(struct core *c, uint64_t now_us)
{
	struct zone_row *z = zone_get(c, c->opts.zone);
	uint64_t period = c->rank == 0 ? CORE_HEARTBEAT_US : SECOND_RELAY_US;
	bool full;

	own_loads(c, z);
	z->heard_us = now_us;
	c->loads_dirty = false;
	full = own_exceptions(c, z);
	full |= loads_changed(z) || now_us - z->sent_full_us >= CORE_ROW_FULL_US;
	if (loads_changed(z))
		view_loads_changed(c);
	if (c->rank >= CORE_RELAYS) {
		loads_sent(z);
		return;
	}
	if (!full && !c->digest_now && now_us - z->sent_us < period)
		return;
	cs_copy(z->origin, sizeof(z->origin), c->opts.instance);
	z->stamp.incarnation = c->opts.incarnation;
	z->stamp.sequence = ++c->sequence;
	z->sent_us = now_us;
	z->fresh_out = true;
	z->full = full;
	if (full) {
		z->content = z->stamp.sequence;
		z->sent_full_us = now_us;
		loads_sent(z);
	}
}

/* Fills a wire row; its arrays come from the arrays given, which grow. */
struct row_space {
	struct cs_wire_zone *zones;
	struct cs_wire_zone_load *loads;
	struct cs_wire_exception *exceptions;
	unsigned n, n_loads, n_exceptions;
};

static void space_make(struct core *c, struct row_space *sp)
{
	unsigned n = 0, n_loads = 0, n_ex = 0;
	struct zone_row *z;

	for (z = zone_first(c); z != NULL; z = zone_next(z)) {
		n++;
		n_loads += z->n_loads;
		n_ex += z->n_exceptions;
	}
	*sp = (struct row_space){0};
	sp->zones = cs_xcalloc(n, sizeof(*sp->zones));
	sp->loads = cs_xcalloc(n_loads, sizeof(*sp->loads));
	sp->exceptions = cs_xcalloc(n_ex, sizeof(*sp->exceptions));
}

static void space_free(struct row_space *sp)
{
	free(sp->zones);
	free(sp->loads);
	free(sp->exceptions);
}

static void row_add(struct row_space *sp, const struct zone_row *z, bool full, uint64_t now_us)
{
	struct cs_wire_zone *w = &sp->zones[sp->n++];
	uint64_t age = now_us > z->heard_us ? (now_us - z->heard_us) / CS_US_PER_MS : 0;
	unsigned i;

	w->zone = z->zone;
	w->origin = z->origin;
	w->stamp = z->stamp;
	w->content = z->content;
	w->age_ms = age > AGE_MAX_MS ? AGE_MAX_MS : (unsigned)age;
	w->revision = z->revision;
	w->brief = !full;
	if (!full)
		return;
	w->loads = &sp->loads[sp->n_loads];
	w->n_loads = z->n_loads;
	w->exceptions = &sp->exceptions[sp->n_exceptions];
	w->n_exceptions = z->n_exceptions;
	for (i = 0; i < z->n_loads; i++)
		sp->loads[sp->n_loads++] =
			(struct cs_wire_zone_load){.service = z->loads[i].service,
						   .capacity = z->loads[i].capacity,
						   .in_flight = z->loads[i].in_flight,
						   .waiting = z->loads[i].waiting,
						   .foreign = z->loads[i].foreign,
						   .service_us = z->loads[i].service_us,
						   .out_of_target = z->loads[i].out_of_target};
	for (i = 0; i < z->n_exceptions; i++)
		sp->exceptions[sp->n_exceptions++] =
			(struct cs_wire_exception){.instance = z->exceptions[i].instance,
						   .state = z->exceptions[i].state,
						   .ready = z->exceptions[i].ready};
}

static void digest_fill(struct core *c, struct cs_wire_msg *m, const struct row_space *sp,
			bool relayed)
{
	struct cs_wire_digest *d = &m->u.digest;

	m->type = CS_WIRE_DIGEST;
	d->instance = c->opts.instance;
	d->stamp.incarnation = c->opts.incarnation;
	d->stamp.sequence = ++c->sequence;
	d->revision = c->cfg ? c->cfg->revision : 0;
	d->relayed = relayed;
	d->zones = sp->zones;
	d->n_zones = sp->n;
}

/* Sends to one relay of a zone, mostly the first. */
static void send_to_zone(struct core *c, const char *zone, const struct cs_wire_msg *m)
{
	struct member *relays[CORE_RELAYS];
	unsigned n = members_relays(c, zone, relays, CORE_RELAYS);

	if (n == 0)
		return;
	if (n > 1 && cs_rng_below(&c->rng, SECOND_CHOICE) == 0)
		core_post_member(c, relays[1], m);
	else
		core_post_member(c, relays[0], m);
}

/* Sends rows that are new here to a few zones, drawn at random. */
static void send_out(struct core *c, uint64_t now_us)
{
	struct zone_row *z, *chosen[CORE_FANOUT];
	struct cs_wire_msg m = {0};
	struct row_space sp;
	unsigned seen = 0, i;

	space_make(c, &sp);
	for (z = zone_first(c); z != NULL; z = zone_next(z)) {
		if (!z->fresh_out)
			continue;
		row_add(&sp, z, z->full, now_us);
		z->fresh_out = false;
		z->full &= z->fresh_in;
	}
	for (z = zone_first(c); z != NULL; z = zone_next(z)) {
		if (strcmp(z->zone, c->opts.zone) == 0)
			continue;
		if (seen < CORE_FANOUT)
			chosen[seen] = z;
		else if ((i = cs_rng_below(&c->rng, seen + 1)) < CORE_FANOUT)
			chosen[i] = z;
		seen++;
	}
	if (sp.n > 0 || c->digest_now) {
		digest_fill(c, &m, &sp, false);
		for (i = 0; i < seen && i < CORE_FANOUT; i++)
			send_to_zone(c, chosen[i]->zone, &m);
	}
	space_free(&sp);
}

/* Sends rows that came from other zones to the own zone. */
static void send_in(struct core *c, uint64_t now_us)
{
	struct cs_wire_msg m = {0};
	struct row_space sp;
	struct zone_row *z;
	struct member *peer;

	space_make(c, &sp);
	for (z = zone_first(c); z != NULL; z = zone_next(z)) {
		if (!z->fresh_in)
			continue;
		row_add(&sp, z, z->full, now_us);
		z->fresh_in = false;
		z->full &= z->fresh_out;
	}
	if (sp.n > 0) {
		digest_fill(c, &m, &sp, true);
		for (peer = member_first(c); peer != NULL; peer = member_next(peer))
			if (peer->here && peer != c->self && member_usable(peer))
				core_post_member(c, peer, &m);
	}
	space_free(&sp);
}

void digest_tick(struct core *c, uint64_t now_us)
{
	own_row(c, now_us);
	/* Inwards first: whether a row is whole is known until both ways were served. */
	send_in(c, now_us);
	if (c->rank < CORE_RELAYS)
		send_out(c, now_us);
	c->digest_now = false;
}

void digest_full_to(struct core *c, const struct core_origin *to, uint64_t now_us)
{
	struct cs_wire_msg m = {0};
	struct row_space sp;
	struct zone_row *z;

	space_make(c, &sp);
	for (z = zone_first(c); z != NULL; z = zone_next(z))
		if (z->stamp.incarnation != 0)
			row_add(&sp, z, true, now_us);
	if (sp.n > 0) {
		digest_fill(c, &m, &sp, true);
		core_post(c, to, &m);
	}
	space_free(&sp);
}

/* True if the row from the wire replaces what is held. */
static bool row_wins(const struct zone_row *z, const struct cs_wire_zone *w, uint64_t now_us)
{
	uint64_t age = now_us - z->heard_us;

	if (z->stamp.incarnation == 0)
		return true;
	if (strcmp(z->origin, w->origin) != 0)
		return age > CORE_ROW_OTHER_US && w->age_ms < age / CS_US_PER_MS;
	if (w->stamp.incarnation != z->stamp.incarnation)
		return w->stamp.incarnation > z->stamp.incarnation ||
		       age >= CORE_INCARNATION_HOLD_US;
	return w->stamp.sequence > z->stamp.sequence;
}

/* Names the members of the zone that the row excepts. */
static void apply_exceptions(struct core *c, const struct zone_row *z)
{
	struct member *m;
	unsigned i;

	for (m = member_first(c); m != NULL; m = member_next(m))
		if (m->row == z)
			m->excepted = false;
	for (i = 0; i < z->n_exceptions; i++) {
		m = member_find(c, z->exceptions[i].instance);
		if (m == NULL || m->row != z)
			continue;
		m->excepted = true;
		m->except_state = z->exceptions[i].state;
		m->except_ready = z->exceptions[i].ready;
	}
}

static void take_content(struct core *c, struct zone_row *z, const struct cs_wire_zone *w)
{
	unsigned i;

	free(z->loads);
	free(z->exceptions);
	z->loads = cs_xcalloc(w->n_loads, sizeof(*z->loads));
	z->exceptions = cs_xcalloc(w->n_exceptions, sizeof(*z->exceptions));
	z->n_loads = w->n_loads;
	z->n_exceptions = w->n_exceptions;
	for (i = 0; i < w->n_loads; i++) {
		cs_copy(z->loads[i].zone, sizeof(z->loads[i].zone), z->zone);
		cs_copy(z->loads[i].service, sizeof(z->loads[i].service), w->loads[i].service);
		z->loads[i].version = w->content;
		z->loads[i].capacity = w->loads[i].capacity;
		z->loads[i].in_flight = w->loads[i].in_flight;
		z->loads[i].waiting = w->loads[i].waiting;
		z->loads[i].foreign = w->loads[i].foreign;
		z->loads[i].service_us = w->loads[i].service_us;
		z->loads[i].out_of_target = w->loads[i].out_of_target;
	}
	for (i = 0; i < w->n_exceptions; i++) {
		cs_copy(z->exceptions[i].instance, sizeof(z->exceptions[i].instance),
			w->exceptions[i].instance);
		z->exceptions[i].state = w->exceptions[i].state;
		z->exceptions[i].ready = w->exceptions[i].ready;
	}
	apply_exceptions(c, z);
	view_loads_changed(c);
}

/* Takes one row over; false if a whole row is needed to know its content. */
static bool row_take(struct core *c, const struct cs_wire_zone *w, bool relayed, uint64_t now_us)
{
	struct zone_row *z = zone_get(c, w->zone);
	uint64_t age = (uint64_t)w->age_ms * CS_US_PER_MS, heard;
	bool known;

	if (!row_wins(z, w, now_us))
		return true;
	known = strcmp(z->origin, w->origin) == 0 && z->stamp.incarnation == w->stamp.incarnation &&
		z->content == w->content;
	heard = now_us > age ? now_us - age : 0;
	if (heard > z->heard_us)
		z->heard_us = heard;
	if (z->revision != w->revision) {
		z->revision = w->revision;
		view_members_changed(c);
	}
	if (!w->brief && !known) {
		z->content = w->content;
		take_content(c, z, w);
		known = true;
	}
	if (known || z->stamp.incarnation == 0) {
		cs_copy(z->origin, sizeof(z->origin), w->origin);
		z->stamp = w->stamp;
	}
	z->fresh_out = true;
	z->fresh_in |= !relayed;
	z->full |= !w->brief;
	if (relayed)
		z->fresh_out = false;
	return known;
}

void digest_take(struct core *c, const struct core_origin *from, const struct cs_wire_digest *d,
		 uint64_t now_us)
{
	struct cs_wire_msg m = {.type = CS_WIRE_LIST_GET};
	bool known = true;
	unsigned i;

	for (i = 0; i < d->n_zones; i++)
		if (strcmp(d->zones[i].zone, c->opts.zone) != 0)
			known &= row_take(c, &d->zones[i], d->relayed, now_us);
	c->stale = false;
	if (known || now_us - c->rows_pull_us < CS_US_PER_S)
		return;
	c->rows_pull_us = now_us;
	m.u.list_get.instance = c->opts.instance;
	m.u.list_get.service = ZONES_LIST;
	core_post(c, from, &m);
}

bool digest_get(struct core *c, const struct core_origin *from, const struct cs_wire_list_get *g,
		uint64_t now_us)
{
	if (strcmp(g->service, ZONES_LIST) != 0)
		return false;
	digest_full_to(c, from, now_us);
	return true;
}
