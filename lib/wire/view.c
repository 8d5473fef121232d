/*
 * Packing and parsing of the messages REPORT and SNAPSHOT, which daemons and their local agent send
 * each other.
 */
#include <stdlib.h>

#include "wire/wire-int.h"

void pack_report(msgpack_packer *pk, const struct cs_wire_report *rep)
{
	const struct cs_report *r = &rep->body;
	unsigned i;

	msgpack_pack_uint8(pk, (uint8_t)r->kind);
	msgpack_pack_uint64(pk, rep->applied.incarnation);
	msgpack_pack_uint64(pk, rep->applied.sequence);
	msgpack_pack_uint64(pk, rep->started_ms);
	put_bool(pk, r->ready);
	put_bool(pk, r->stopping);
	msgpack_pack_uint64(pk, r->roster);
	msgpack_pack_uint64(pk, r->revision);
	msgpack_pack_array(pk, r->n_loads);
	for (i = 0; i < r->n_loads; i++)
		pack_load(pk, &r->loads[i]);
	msgpack_pack_array(pk, r->n_servers);
	for (i = 0; i < r->n_servers; i++) {
		msgpack_pack_array(pk, 2);
		put_str(pk, r->servers[i].server);
		msgpack_pack_uint8(pk, (uint8_t)r->servers[i].state);
	}
}

void parse_report(struct reader *r, struct cs_wire_report *rep)
{
	struct cs_report *b = &rep->body;
	const struct cs_report_load *loads = NULL;
	struct reader rows, row;
	unsigned i;

	b->kind = (enum cs_link_kind)read_uint(r, CS_LINK_LOOKUP);
	rep->applied.incarnation = read_u64(r);
	rep->applied.sequence = read_u64(r);
	rep->started_ms = read_u64(r);
	b->ready = read_bool(r);
	b->stopping = read_bool(r);
	b->roster = read_u64(r);
	b->revision = read_u64(r);
	parse_loads(r, &loads, &b->n_loads);
	b->loads = (struct cs_report_load *)(uintptr_t)loads;
	if (!read_array(r, &rows))
		return;
	b->servers = arena_alloc(r->arena, rows.n, sizeof(*b->servers));
	for (i = 0; i < rows.n; i++) {
		row = read_row(&rows);
		read_name(&row, b->servers[i].server, sizeof(b->servers[i].server));
		b->servers[i].state = (enum cs_server_state)read_uint(&row, CS_SERVER_DOWN);
	}
	b->n_servers = rows.n;
}

static void pack_members(msgpack_packer *pk, const struct cs_view *v)
{
	const struct cs_member *m;
	unsigned i;

	msgpack_pack_array(pk, v->n_members);
	for (i = 0; i < v->n_members; i++) {
		m = &v->members[i];
		msgpack_pack_array(pk, 14);
		put_str(pk, m->name);
		put_str(pk, m->zone);
		put_str(pk, m->addr);
		msgpack_pack_uint16(pk, m->lookup_port);
		msgpack_pack_uint16(pk, m->proxy_port);
		msgpack_pack_uint16(pk, m->bus_port);
		msgpack_pack_uint16(pk, m->admin_port);
		msgpack_pack_uint8(pk, (uint8_t)m->state);
		put_bool(pk, m->listed);
		put_bool(pk, m->ready);
		msgpack_pack_uint64(pk, m->incarnation);
		msgpack_pack_uint64(pk, m->revision);
		msgpack_pack_uint64(pk, m->silent_us);
		msgpack_pack_uint64(pk, m->roster);
	}
}

static void parse_members(struct reader *rows, struct cs_view *v)
{
	struct cs_member *m;
	struct reader row;
	unsigned i;

	v->members = cs_xcalloc(rows->n, sizeof(*v->members));
	v->n_members = rows->n;
	for (i = 0; i < rows->n; i++) {
		m = &v->members[i];
		row = read_row(rows);
		read_name(&row, m->name, sizeof(m->name));
		read_name(&row, m->zone, sizeof(m->zone));
		read_name(&row, m->addr, sizeof(m->addr));
		m->lookup_port = (uint16_t)read_uint(&row, UINT16_MAX);
		m->proxy_port = (uint16_t)read_uint(&row, UINT16_MAX);
		m->bus_port = (uint16_t)read_uint(&row, UINT16_MAX);
		m->admin_port = (uint16_t)read_uint(&row, UINT16_MAX);
		m->state = (enum cs_member_state)read_uint(&row, CS_MEMBER_DEAD);
		m->listed = read_bool(&row);
		m->ready = read_bool(&row);
		m->incarnation = read_u64(&row);
		m->revision = read_u64(&row);
		m->silent_us = read_u64(&row);
		m->roster = read_u64(&row);
	}
}

static void pack_servers(msgpack_packer *pk, const struct cs_view *v)
{
	const struct cs_server *s;
	unsigned i;

	msgpack_pack_array(pk, v->n_servers);
	for (i = 0; i < v->n_servers; i++) {
		s = &v->servers[i];
		msgpack_pack_array(pk, 10);
		put_str(pk, s->name);
		put_str(pk, s->service);
		put_str(pk, s->zone);
		put_str(pk, s->addr);
		msgpack_pack_uint16(pk, s->port);
		msgpack_pack_uint8(pk, (uint8_t)s->state);
		msgpack_pack_uint32(pk, s->slots);
		msgpack_pack_uint32(pk, s->reported_in_flight);
		msgpack_pack_uint32(pk, s->reported_service_us);
		msgpack_pack_uint64(pk, s->reported_age_us);
	}
}

static void parse_servers(struct reader *rows, struct cs_view *v)
{
	struct cs_server *s;
	struct reader row;
	unsigned i;

	v->servers = cs_xcalloc(rows->n, sizeof(*v->servers));
	v->n_servers = rows->n;
	for (i = 0; i < rows->n; i++) {
		s = &v->servers[i];
		row = read_row(rows);
		read_name(&row, s->name, sizeof(s->name));
		read_name(&row, s->service, sizeof(s->service));
		read_name(&row, s->zone, sizeof(s->zone));
		read_name(&row, s->addr, sizeof(s->addr));
		s->port = (uint16_t)read_uint(&row, UINT16_MAX);
		s->state = (enum cs_server_state)read_uint(&row, CS_SERVER_DOWN);
		s->slots = read_uint(&row, UINT32_MAX);
		s->reported_in_flight = read_uint(&row, UINT32_MAX);
		s->reported_service_us = read_uint(&row, UINT32_MAX);
		s->reported_age_us = read_u64(&row);
	}
}

static void pack_view_loads(msgpack_packer *pk, const struct cs_view *v)
{
	const struct cs_zone_load *l;
	unsigned i;

	msgpack_pack_array(pk, v->n_loads);
	for (i = 0; i < v->n_loads; i++) {
		l = &v->loads[i];
		msgpack_pack_array(pk, 10);
		put_str(pk, l->zone);
		put_str(pk, l->service);
		msgpack_pack_uint64(pk, l->version);
		msgpack_pack_uint32(pk, l->capacity);
		msgpack_pack_uint32(pk, l->in_flight);
		msgpack_pack_uint32(pk, l->waiting);
		msgpack_pack_uint32(pk, l->foreign);
		msgpack_pack_uint32(pk, l->service_us);
		put_bool(pk, l->out_of_target);
		msgpack_pack_uint64(pk, l->age_us);
	}
}

static void parse_view_loads(struct reader *rows, struct cs_view *v)
{
	struct cs_zone_load *l;
	struct reader row;
	unsigned i;

	v->loads = cs_xcalloc(rows->n, sizeof(*v->loads));
	v->n_loads = rows->n;
	for (i = 0; i < rows->n; i++) {
		l = &v->loads[i];
		row = read_row(rows);
		read_name(&row, l->zone, sizeof(l->zone));
		read_name(&row, l->service, sizeof(l->service));
		l->version = read_u64(&row);
		l->capacity = read_uint(&row, UINT32_MAX);
		l->in_flight = read_uint(&row, UINT32_MAX);
		l->waiting = read_uint(&row, UINT32_MAX);
		l->foreign = read_uint(&row, UINT32_MAX);
		l->service_us = read_uint(&row, UINT32_MAX);
		l->out_of_target = read_bool(&row);
		l->age_us = read_u64(&row);
	}
}

static void pack_loans(msgpack_packer *pk, const struct cs_view *v)
{
	const struct cs_loan *l;
	unsigned i;

	msgpack_pack_array(pk, v->n_loans);
	for (i = 0; i < v->n_loans; i++) {
		l = &v->loans[i];
		msgpack_pack_array(pk, 5);
		put_str(pk, l->server);
		put_str(pk, l->lender);
		put_str(pk, l->borrower);
		msgpack_pack_uint32(pk, l->slots);
		msgpack_pack_uint64(pk, l->remaining_us);
	}
}

static void parse_loans(struct reader *rows, struct cs_view *v)
{
	struct cs_loan *l;
	struct reader row;
	unsigned i;

	v->loans = cs_xcalloc(rows->n, sizeof(*v->loans));
	v->n_loans = rows->n;
	for (i = 0; i < rows->n; i++) {
		l = &v->loans[i];
		row = read_row(rows);
		read_name(&row, l->server, sizeof(l->server));
		read_name(&row, l->lender, sizeof(l->lender));
		read_name(&row, l->borrower, sizeof(l->borrower));
		l->slots = read_uint(&row, UINT16_MAX);
		l->remaining_us = read_u64(&row);
	}
}

void pack_snapshot(msgpack_packer *pk, const struct cs_wire_snapshot *s)
{
	const struct cs_view *v = s->view;

	msgpack_pack_uint64(pk, v->incarnation);
	msgpack_pack_uint64(pk, v->sequence);
	msgpack_pack_uint64(pk, s->base);
	put_bool(pk, v->store_ok);
	msgpack_pack_uint64(pk, v->cfg ? v->cfg->revision : 0);
	if (s->has_config && v->cfg != NULL) {
		msgpack_pack_str(pk, v->cfg->text_len);
		msgpack_pack_str_body(pk, v->cfg->text, v->cfg->text_len);
	} else {
		msgpack_pack_nil(pk);
	}
	if (s->has_members)
		pack_members(pk, v);
	else
		msgpack_pack_nil(pk);
	if (s->has_servers)
		pack_servers(pk, v);
	else
		msgpack_pack_nil(pk);
	if (s->has_loads)
		pack_view_loads(pk, v);
	else
		msgpack_pack_nil(pk);
	if (s->has_loans)
		pack_loans(pk, v);
	else
		msgpack_pack_nil(pk);
}

/* Reads and parses the configuration document; if it is invalid, the snapshot is malformed. */
static void parse_config(struct reader *r, struct cs_wire_snapshot *s)
{
	const msgpack_object *o = r->next < r->n ? &r->items[r->next] : NULL;
	struct cs_msg msg;

	if (*r->malformed || o == NULL) {
		*r->malformed = true;
		return;
	}
	r->next++;
	if (o->type == MSGPACK_OBJECT_NIL)
		return;
	if (o->type != MSGPACK_OBJECT_STR || o->via.str.size > CS_CONFIG_MAX) {
		*r->malformed = true;
		return;
	}
	s->view->cfg = cs_config_parse(o->via.str.ptr, o->via.str.size, &msg);
	s->has_config = s->view->cfg != NULL;
	if (!s->has_config)
		*r->malformed = true;
}

void parse_snapshot(struct reader *r, struct cs_wire_snapshot *s)
{
	struct reader rows;

	s->view = cs_view_create();
	s->view->incarnation = read_u64(r);
	s->view->sequence = read_u64(r);
	s->base = read_u64(r);
	s->view->store_ok = read_bool(r);
	read_u64(r); /* configuration revision; also in the configuration document */
	parse_config(r, s);
	if ((s->has_members = read_array(r, &rows)))
		parse_members(&rows, s->view);
	if ((s->has_servers = read_array(r, &rows)))
		parse_servers(&rows, s->view);
	if ((s->has_loads = read_array(r, &rows)))
		parse_view_loads(&rows, s->view);
	if ((s->has_loans = read_array(r, &rows)))
		parse_loans(&rows, s->view);
}
