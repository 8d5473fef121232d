/* Packing and parsing of the messages DIGEST, DIGEST_GET and LIST_DOC. */
#include "wire/wire-int.h"

#define NAME_HASH_SEED 3
#define BRIEF_ROW_FIELDS 4
#define FULL_ROW_FIELDS 10

uint32_t cs_wire_name_hash(const char *name)
{
	return (uint32_t)cs_hash_str(name, NAME_HASH_SEED);
}

static void pack_full_row(msgpack_packer *pk, const struct cs_wire_zone_row *z)
{
	unsigned i;

	msgpack_pack_array(pk, FULL_ROW_FIELDS);
	put_str(pk, z->zone);
	put_str(pk, z->origin);
	msgpack_pack_uint64(pk, z->stamp.incarnation);
	msgpack_pack_uint64(pk, z->stamp.sequence);
	msgpack_pack_uint32(pk, z->content_hash);
	msgpack_pack_uint32(pk, z->age_ms);
	msgpack_pack_uint64(pk, z->revision);
	put_bool(pk, z->urgent);
	msgpack_pack_array(pk, z->n_loads);
	for (i = 0; i < z->n_loads; i++) {
		msgpack_pack_array(pk, 7);
		msgpack_pack_uint32(pk, z->loads[i].service);
		msgpack_pack_uint32(pk, z->loads[i].capacity);
		msgpack_pack_uint32(pk, z->loads[i].in_flight);
		msgpack_pack_uint32(pk, z->loads[i].waiting);
		msgpack_pack_uint32(pk, z->loads[i].foreign);
		msgpack_pack_uint32(pk, z->loads[i].service_us);
		put_bool(pk, z->loads[i].out_of_target);
	}
	msgpack_pack_array(pk, z->n_exceptions);
	for (i = 0; i < z->n_exceptions; i++) {
		msgpack_pack_array(pk, 3);
		put_str(pk, z->exceptions[i].instance);
		msgpack_pack_uint8(pk, (uint8_t)z->exceptions[i].state);
		put_bool(pk, z->exceptions[i].ready);
	}
}

static void pack_row(msgpack_packer *pk, const struct cs_wire_zone_row *z)
{
	if (!z->brief) {
		pack_full_row(pk, z);
		return;
	}
	msgpack_pack_array(pk, BRIEF_ROW_FIELDS);
	msgpack_pack_uint32(pk, z->zone_hash);
	msgpack_pack_uint32(pk, z->fingerprint);
	msgpack_pack_uint64(pk, z->stamp.sequence);
	msgpack_pack_uint32(pk, z->age_ms);
}

void pack_digest(msgpack_packer *pk, const struct cs_wire_digest *d)
{
	unsigned i;

	put_str(pk, d->instance);
	msgpack_pack_uint64(pk, d->stamp.incarnation);
	msgpack_pack_uint64(pk, d->stamp.sequence);
	msgpack_pack_uint64(pk, d->revision);
	put_bool(pk, d->relayed);
	msgpack_pack_uint32(pk, d->omitted_age_max_ms);
	msgpack_pack_uint32(pk, d->fingerprints_xor);
	msgpack_pack_array(pk, d->n_zones);
	for (i = 0; i < d->n_zones; i++)
		pack_row(pk, &d->zones[i]);
}

void pack_digest_get(msgpack_packer *pk, const struct cs_wire_digest_get *g)
{
	unsigned i;

	put_str(pk, g->instance);
	msgpack_pack_array(pk, g->n_zone_hashes);
	for (i = 0; i < g->n_zone_hashes; i++)
		msgpack_pack_uint32(pk, g->zone_hashes[i]);
}

void parse_digest_get(struct reader *r, struct cs_wire_digest_get *g)
{
	struct reader rows;
	uint32_t *zone_hashes;
	unsigned i;

	g->instance = read_str(r, CS_NAME_MAX);
	if (!read_array(r, &rows))
		return;
	zone_hashes = arena_alloc(r->arena, rows.n, sizeof(*zone_hashes));
	for (i = 0; i < rows.n; i++)
		zone_hashes[i] = read_uint(&rows, UINT32_MAX);
	g->zone_hashes = zone_hashes;
	g->n_zone_hashes = rows.n;
}

static void parse_zone_loads(struct reader *r, struct cs_wire_zone_row *z)
{
	struct cs_wire_zone_load *l;
	struct reader rows, row;
	unsigned i;

	if (!read_array(r, &rows))
		return;
	l = arena_alloc(r->arena, rows.n, sizeof(*l));
	for (i = 0; i < rows.n; i++) {
		row = read_row(&rows);
		l[i].service = read_uint(&row, UINT32_MAX);
		l[i].capacity = read_uint(&row, UINT32_MAX);
		l[i].in_flight = read_uint(&row, UINT32_MAX);
		l[i].waiting = read_uint(&row, UINT32_MAX);
		l[i].foreign = read_uint(&row, UINT32_MAX);
		l[i].service_us = read_uint(&row, UINT32_MAX);
		l[i].out_of_target = read_bool(&row);
	}
	z->loads = l;
	z->n_loads = rows.n;
}

static void parse_exceptions(struct reader *r, struct cs_wire_zone_row *z)
{
	struct cs_wire_exception *e;
	struct reader rows, row;
	unsigned i;

	if (!read_array(r, &rows))
		return;
	e = arena_alloc(r->arena, rows.n, sizeof(*e));
	for (i = 0; i < rows.n; i++) {
		row = read_row(&rows);
		e[i].instance = read_str(&row, CS_NAME_MAX);
		e[i].state = (enum cs_member_state)read_uint(&row, CS_MEMBER_DEAD);
		e[i].ready = read_bool(&row);
	}
	z->exceptions = e;
	z->n_exceptions = rows.n;
}

static void parse_full_row(struct reader *row, struct cs_wire_zone_row *z)
{
	z->zone = read_str(row, CS_NAME_MAX);
	z->origin = read_str(row, CS_NAME_MAX);
	z->stamp.incarnation = read_u64(row);
	z->stamp.sequence = read_u64(row);
	z->content_hash = read_uint(row, UINT32_MAX);
	z->age_ms = read_uint(row, UINT32_MAX);
	z->revision = read_u64(row);
	z->urgent = read_bool(row);
	parse_zone_loads(row, z);
	parse_exceptions(row, z);
}

void parse_digest(struct reader *r, struct cs_wire_digest *d)
{
	struct cs_wire_zone_row *z;
	struct reader rows, row;
	unsigned i;

	d->instance = read_str(r, CS_NAME_MAX);
	d->stamp.incarnation = read_u64(r);
	d->stamp.sequence = read_u64(r);
	d->revision = read_u64(r);
	d->relayed = read_bool(r);
	d->omitted_age_max_ms = read_uint(r, UINT32_MAX);
	d->fingerprints_xor = read_uint(r, UINT32_MAX);
	if (!read_array(r, &rows))
		return;
	z = arena_alloc(r->arena, rows.n, sizeof(*z));
	for (i = 0; i < rows.n; i++) {
		row = read_row(&rows);
		z[i].brief = row.n < FULL_ROW_FIELDS;
		if (!z[i].brief) {
			parse_full_row(&row, &z[i]);
			continue;
		}
		z[i].zone_hash = read_uint(&row, UINT32_MAX);
		z[i].fingerprint = read_uint(&row, UINT32_MAX);
		z[i].stamp.sequence = read_u64(&row);
		z[i].age_ms = read_uint(&row, UINT32_MAX);
	}
	d->zones = z;
	d->n_zones = rows.n;
}

void pack_list(msgpack_packer *pk, const struct cs_wire_list_doc *l)
{
	const struct cs_wire_entry *e;
	unsigned i;

	put_str(pk, l->service);
	msgpack_pack_uint64(pk, l->version);
	msgpack_pack_uint64(pk, l->base);
	msgpack_pack_array(pk, l->n_entries);
	for (i = 0; i < l->n_entries; i++) {
		e = &l->entries[i];
		msgpack_pack_array(pk, 9);
		put_str(pk, e->id);
		put_str(pk, e->zone);
		put_str(pk, e->addr);
		msgpack_pack_uint16(pk, e->port);
		msgpack_pack_uint16(pk, e->lookup_port);
		msgpack_pack_uint16(pk, e->proxy_port);
		msgpack_pack_uint16(pk, e->bus_port);
		msgpack_pack_uint16(pk, e->admin_port);
		put_bool(pk, e->leaving);
	}
	msgpack_pack_array(pk, l->n_removed);
	for (i = 0; i < l->n_removed; i++)
		put_str(pk, l->removed[i]);
}

void parse_list(struct reader *r, struct cs_wire_list_doc *l)
{
	struct reader rows, row;
	struct cs_wire_entry *e;
	const char **removed;
	unsigned i;

	l->service = read_str(r, CS_NAME_MAX);
	l->version = read_u64(r);
	l->base = read_u64(r);
	if (!read_array(r, &rows))
		return;
	e = arena_alloc(r->arena, rows.n, sizeof(*e));
	for (i = 0; i < rows.n; i++) {
		row = read_row(&rows);
		e[i].id = read_str(&row, CS_NAME_MAX);
		e[i].zone = read_str(&row, CS_NAME_MAX);
		e[i].addr = read_str(&row, CS_ADDR_MAX);
		e[i].port = (uint16_t)read_uint(&row, UINT16_MAX);
		e[i].lookup_port = (uint16_t)read_uint(&row, UINT16_MAX);
		e[i].proxy_port = (uint16_t)read_uint(&row, UINT16_MAX);
		e[i].bus_port = (uint16_t)read_uint(&row, UINT16_MAX);
		e[i].admin_port = (uint16_t)read_uint(&row, UINT16_MAX);
		e[i].leaving = read_bool(&row);
	}
	l->entries = e;
	l->n_entries = rows.n;
	if (!read_array(r, &rows))
		return;
	removed = arena_alloc(r->arena, rows.n, sizeof(*removed));
	for (i = 0; i < rows.n; i++)
		removed[i] = read_str(&rows, CS_NAME_MAX);
	l->removed = removed;
	l->n_removed = rows.n;
}
