/* Core: conversion of zone rows to and from digests. */
#include <stdlib.h>
#include <string.h>

#include "core-internal.h"

#define ROW_AGE_MAX_MS 600000

struct digest_builder {
	struct cs_wire_zone_row *zones;
	struct cs_wire_zone_load *loads;
	struct cs_wire_exception *exceptions;
	unsigned n, n_loads, n_exceptions;
};

struct digest_builder *digest_builder_create(struct core *c)
{
	struct digest_builder *b = cs_xcalloc(1, sizeof(*b));
	unsigned n = 0, n_loads = 0, n_ex = 0;
	struct zone_row *z;

	for (z = zone_first(c); z != NULL; z = zone_next(z)) {
		n++;
		n_loads += z->n_loads;
		n_ex += z->n_exceptions;
	}
	b->zones = cs_xcalloc(n, sizeof(*b->zones));
	b->loads = cs_xcalloc(n_loads, sizeof(*b->loads));
	b->exceptions = cs_xcalloc(n_ex, sizeof(*b->exceptions));
	return b;
}

void digest_builder_destroy(struct digest_builder *b)
{
	free(b->zones);
	free(b->loads);
	free(b->exceptions);
	free(b);
}

unsigned digest_builder_count(const struct digest_builder *b)
{
	return b->n;
}

static void builder_add_content(struct digest_builder *b, struct cs_wire_zone_row *w,
				const struct zone_row *z)
{
	unsigned i;

	w->loads = &b->loads[b->n_loads];
	w->n_loads = z->n_loads;
	w->exceptions = &b->exceptions[b->n_exceptions];
	w->n_exceptions = z->n_exceptions;
	for (i = 0; i < z->n_loads; i++)
		b->loads[b->n_loads++] =
			(struct cs_wire_zone_load){.service = z->loads[i].service,
						   .capacity = z->loads[i].capacity,
						   .in_flight = z->loads[i].in_flight,
						   .waiting = z->loads[i].waiting,
						   .foreign = z->loads[i].foreign,
						   .service_us = z->loads[i].service_us,
						   .out_of_target = z->loads[i].out_of_target};
	for (i = 0; i < z->n_exceptions; i++)
		b->exceptions[b->n_exceptions++] =
			(struct cs_wire_exception){.instance = z->exceptions[i].instance,
						   .state = z->exceptions[i].state,
						   .ready = z->exceptions[i].ready};
}

void digest_builder_add(struct digest_builder *b, const struct zone_row *z, bool full,
			uint64_t now_us)
{
	struct cs_wire_zone_row *w = &b->zones[b->n++];
	uint64_t age = now_us > z->published_us ? (now_us - z->published_us) / CS_US_PER_MS : 0;

	w->brief = !full;
	w->zone_hash = z->zone_hash;
	w->fingerprint = z->fingerprint;
	w->stamp = z->stamp;
	w->age_ms = age > ROW_AGE_MAX_MS ? ROW_AGE_MAX_MS : (unsigned)age;
	if (!full)
		return;
	w->zone = z->zone;
	w->origin = z->origin;
	w->content_hash = z->content_hash;
	w->revision = z->revision;
	w->urgent = z->urgent;
	builder_add_content(b, w, z);
}

void digest_builder_finish(struct core *c, const struct digest_builder *b, struct cs_wire_msg *m)
{
	struct cs_wire_digest *d = &m->u.digest;

	m->type = CS_WIRE_DIGEST;
	d->instance = c->opts.instance;
	d->stamp.incarnation = c->opts.incarnation;
	d->stamp.sequence = ++c->sequence;
	d->revision = c->cfg ? c->cfg->revision : 0;
	d->zones = b->zones;
	d->n_zones = b->n;
}

/* True if a received full row replaces the current one. */
static bool row_supersedes(const struct zone_row *z, const struct cs_wire_zone_row *w,
			   uint64_t now_us)
{
	uint64_t age = now_us > z->published_us ? now_us - z->published_us : 0;

	if (z->stamp.incarnation == 0)
		return true;
	/* If both relays of a zone consider themselves responsible, the later row is used. */
	if (strcmp(z->origin, w->origin) != 0)
		return w->age_ms < age / CS_US_PER_MS;
	if (w->stamp.incarnation != z->stamp.incarnation)
		return w->stamp.incarnation > z->stamp.incarnation ||
		       age >= CORE_INCARNATION_HOLD_US;
	return w->stamp.sequence > z->stamp.sequence;
}

/* Applies the exceptions of a row to the members of its zone. */
static void apply_exceptions(struct core *c, struct zone_row *z, uint64_t now_us)
{
	struct member *m;
	unsigned i;

	FOREACH_ZONE_MEMBER(m, z)
	m->has_exception = false;
	for (i = 0; i < z->n_exceptions; i++) {
		m = member_find(c, z->exceptions[i].instance);
		if (m == NULL || m->row != z)
			continue;
		m->has_exception = true;
		m->exception_state = z->exceptions[i].state;
		m->exception_ready = z->exceptions[i].ready;
	}
	zone_update(c, z, now_us);
}

static void apply_content(struct core *c, struct zone_row *z, const struct cs_wire_zone_row *w,
			  uint64_t now_us)
{
	unsigned i;

	free(z->loads);
	free(z->exceptions);
	z->loads = cs_xcalloc(w->n_loads, sizeof(*z->loads));
	z->exceptions = cs_xcalloc(w->n_exceptions, sizeof(*z->exceptions));
	z->n_loads = w->n_loads;
	z->n_exceptions = w->n_exceptions;
	for (i = 0; i < w->n_loads; i++)
		z->loads[i] = (struct row_load){.service = w->loads[i].service,
						.capacity = w->loads[i].capacity,
						.in_flight = w->loads[i].in_flight,
						.waiting = w->loads[i].waiting,
						.foreign = w->loads[i].foreign,
						.service_us = w->loads[i].service_us,
						.out_of_target = w->loads[i].out_of_target};
	for (i = 0; i < w->n_exceptions; i++) {
		cs_copy(z->exceptions[i].instance, sizeof(z->exceptions[i].instance),
			w->exceptions[i].instance);
		z->exceptions[i].state = w->exceptions[i].state;
		z->exceptions[i].ready = w->exceptions[i].ready;
	}
	z->content_hash = w->content_hash;
	z->urgent = w->urgent;
	z->content_clock = ++c->row_clock;
	apply_exceptions(c, z, now_us);
	view_loads_changed(c);
}

/* Sets the publication time of a row by its age; the time never decreases. */
static void row_advance_published(struct zone_row *z, unsigned age_ms, uint64_t now_us)
{
	uint64_t age = (uint64_t)age_ms * CS_US_PER_MS, published = now_us > age ? now_us - age : 1;

	if (published > z->published_us)
		z->published_us = published;
}

static bool apply_brief(struct core *c, const struct cs_wire_zone_row *w, uint32_t sender_zone_hash,
			uint64_t now_us)
{
	struct zone_row *z = zone_find_by_hash(c, w->zone_hash);
	uint64_t age;

	if (z == c->own_row)
		return true;
	if (z == NULL || z->stamp.incarnation == 0)
		return false;
	if (z->fingerprint != w->fingerprint) {
		age = now_us > z->published_us ? (now_us - z->published_us) / CS_US_PER_MS : 0;
		return w->age_ms >= age;
	}
	if (w->stamp.sequence <= z->stamp.sequence)
		return true;
	z->stamp.sequence = w->stamp.sequence;
	z->sender_zone_hash = sender_zone_hash;
	z->updated_clock = ++c->row_clock;
	row_advance_published(z, w->age_ms, now_us);
	return true;
}

bool row_apply(struct core *c, const struct cs_wire_zone_row *w, uint32_t sender_zone_hash,
	       uint64_t now_us)
{
	struct zone_row *z;
	uint32_t old_content_hash;

	if (w->brief)
		return apply_brief(c, w, sender_zone_hash, now_us);
	z = zone_get_or_create(c, w->zone);
	if (z == c->own_row || !row_supersedes(z, w, now_us))
		return true;
	old_content_hash = z->content_hash;
	cs_copy(z->origin, sizeof(z->origin), w->origin);
	z->stamp = w->stamp;
	z->sender_zone_hash = sender_zone_hash;
	if (z->revision != w->revision)
		view_remote_members_changed(c);
	z->revision = w->revision;
	row_advance_published(z, w->age_ms, now_us);
	if (z->content_clock == 0 || old_content_hash != w->content_hash)
		apply_content(c, z, w, now_us);
	z->fingerprint = row_fingerprint(z);
	z->updated_clock = ++c->row_clock;
	return true;
}
