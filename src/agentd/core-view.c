/* Core: the view for the daemons, full or as changes since the view that a daemon holds. */
#include <stdlib.h>
#include <string.h>

#include "core-internal.h"

/* Limits the delay for members of other zones: a failed zone must leave lookups quickly. */
#define REMOTE_MEMBERS_DELAY_MAX_US (500 * CS_US_PER_MS)

void view_members_changed(struct core *c)
{
	c->members_seq = ++c->view_seq;
}

void view_servers_changed(struct core *c)
{
	c->servers_seq = ++c->view_seq;
}

void view_loads_changed(struct core *c)
{
	c->loads_pending = true;
}

void view_remote_members_changed(struct core *c)
{
	c->remote_members_pending = true;
}

/*
 * Batches changes of loads and of members of other zones. With many zones there is always some
 * change, and each would cause a snapshot.
 */
void view_tick(struct core *c, uint64_t now_us)
{
	uint64_t wait = row_publish_interval_us(c) / 2;

	if (c->loads_pending && now_us - c->loads_view_us >= wait) {
		c->loads_pending = false;
		c->loads_view_us = now_us;
		c->loads_seq = ++c->view_seq;
	}
	if (wait > REMOTE_MEMBERS_DELAY_MAX_US)
		wait = REMOTE_MEMBERS_DELAY_MAX_US;
	if (c->remote_members_pending && now_us - c->remote_members_view_us >= wait) {
		c->remote_members_pending = false;
		c->remote_members_view_us = now_us;
		view_members_changed(c);
	}
}

uint64_t core_view_sequence(const struct core *c)
{
	return c->view_seq;
}

static uint64_t elapsed_us(uint64_t then, uint64_t now_us)
{
	return now_us > then ? now_us - then : 0;
}

static void fill_members(struct core *c, struct cs_view *v, uint64_t now_us)
{
	struct cs_member *out;
	struct member *m;
	unsigned n = 0;

	for (m = member_first(c); m != NULL; m = member_next(m))
		n++;
	v->members = cs_xcalloc(n, sizeof(*v->members));
	v->n_members = n;
	out = v->members;
	for (m = member_first(c); m != NULL; m = member_next(m), out++) {
		cs_copy(out->name, sizeof(out->name), m->name);
		cs_copy(out->zone, sizeof(out->zone), m->zone);
		cs_copy(out->addr, sizeof(out->addr), m->addr);
		out->lookup_port = m->lookup_port;
		out->proxy_port = m->proxy_port;
		out->bus_port = m->bus_port;
		out->admin_port = m->admin_port;
		out->state = m->state;
		out->listed = m->listed;
		out->ready = m->effective_ready;
		out->incarnation = m->incarnation;
		out->revision = m->in_own_zone ? m->revision : m->row->revision;
		out->silent_us = elapsed_us(
			m->in_own_zone ? m->last_heartbeat_us : m->row->published_us, now_us);
		out->roster = m->roster;
	}
}

static void fill_servers(struct core *c, struct cs_view *v, uint64_t now_us)
{
	struct cs_server *out;
	struct server *s;

	v->n_servers = core_n_servers(c);
	v->servers = cs_xcalloc(v->n_servers, sizeof(*v->servers));
	out = v->servers;
	for (s = server_first(c); s != NULL; s = server_next(s), out++) {
		cs_copy(out->name, sizeof(out->name), s->name);
		cs_copy(out->service, sizeof(out->service), s->service);
		cs_copy(out->zone, sizeof(out->zone), s->zone);
		cs_copy(out->addr, sizeof(out->addr), s->addr);
		out->port = s->port;
		out->state = s->list_leaving ? CS_SERVER_DRAINING : s->state;
		out->slots = s->slots;
		out->reported_in_flight = s->in_flight;
		out->reported_service_us = s->service_us;
		out->reported_age_us = s->reported_us ? elapsed_us(s->reported_us, now_us)
						      : UINT64_MAX;
	}
}

/* Name of a service by the hash of its name, or NULL if the configuration has none. */
static const char *service_name_by_hash(const struct core *c, const uint32_t *name_hashes,
					uint32_t hash)
{
	unsigned i;

	for (i = 0; c->cfg != NULL && i < c->cfg->n_services; i++)
		if (name_hashes[i] == hash)
			return c->cfg->services[i].name;
	return NULL;
}

static void fill_loads(struct core *c, struct cs_view *v, uint64_t now_us)
{
	const struct row_load *l;
	struct cs_zone_load *out;
	struct zone_row *z;
	const char *name;
	unsigned i, n = 0;
	uint32_t *name_hashes = cs_xcalloc(c->cfg ? c->cfg->n_services : 0, sizeof(*name_hashes));

	for (i = 0; c->cfg != NULL && i < c->cfg->n_services; i++)
		name_hashes[i] = cs_wire_name_hash(c->cfg->services[i].name);
	for (z = zone_first(c); z != NULL; z = zone_next(z))
		n += z->n_loads;
	v->loads = cs_xcalloc(n, sizeof(*v->loads));
	for (z = zone_first(c); z != NULL; z = zone_next(z)) {
		for (i = 0; i < z->n_loads; i++) {
			l = &z->loads[i];
			name = service_name_by_hash(c, name_hashes, l->service);
			if (name == NULL)
				continue;
			out = &v->loads[v->n_loads++];
			cs_copy(out->zone, sizeof(out->zone), z->zone);
			cs_copy(out->service, sizeof(out->service), name);
			out->version = z->content_clock;
			out->capacity = l->capacity;
			out->in_flight = l->in_flight;
			out->waiting = l->waiting;
			out->foreign = l->foreign;
			out->service_us = l->service_us;
			out->out_of_target = l->out_of_target;
			out->age_us = elapsed_us(z->published_us, now_us);
		}
	}
	free(name_hashes);
}

struct cs_view *core_view(struct core *c, uint64_t now_us)
{
	struct cs_view *v = cs_view_create();

	v->incarnation = c->opts.incarnation;
	v->sequence = c->view_seq;
	v->store_ok = c->zone_store_ok;
	if (c->cfg != NULL)
		v->cfg = cs_config_ref(c->cfg);
	fill_members(c, v, now_us);
	fill_servers(c, v, now_us);
	fill_loads(c, v, now_us);
	return v;
}

bool core_snapshot(struct core *c, const struct cs_wire_stamp *held, uint64_t now_us,
		   struct cs_wire_buf *out)
{
	uint64_t base = held->incarnation == c->opts.incarnation ? held->sequence : 0;
	struct cs_wire_msg m = {.type = CS_WIRE_SNAPSHOT};
	struct cs_wire_snapshot *s = &m.u.snapshot;

	if (base >= c->view_seq)
		return false;
	s->base = base;
	s->view = cs_view_create();
	s->view->incarnation = c->opts.incarnation;
	s->view->sequence = c->view_seq;
	s->view->store_ok = c->zone_store_ok;
	s->has_config = c->cfg != NULL && c->config_seq > base;
	s->has_members = c->members_seq > base || base == 0;
	s->has_servers = c->servers_seq > base || base == 0;
	s->has_loads = c->loads_seq > base || base == 0;
	if (s->has_config)
		s->view->cfg = cs_config_ref(c->cfg);
	if (s->has_members)
		fill_members(c, s->view, now_us);
	if (s->has_servers)
		fill_servers(c, s->view, now_us);
	if (s->has_loads)
		fill_loads(c, s->view, now_us);
	cs_wire_pack(out, &m);
	cs_view_destroy(s->view);
	return true;
}

void core_update_server(struct core *c, const char *name, enum cs_server_state st, unsigned slots,
			unsigned in_flight, unsigned service_us, uint64_t now_us)
{
	struct server *s = server_find(c, name);

	if (s == NULL)
		return;
	if (!s->polled || s->state != st || s->slots != slots || s->in_flight != in_flight ||
	    s->service_us != service_us)
		view_servers_changed(c);
	s->polled = true;
	s->state = st;
	if (st == CS_SERVER_DOWN)
		return;
	s->slots = slots;
	s->in_flight = in_flight;
	s->service_us = service_us;
	s->reported_us = now_us;
}

unsigned core_n_servers(const struct core *c)
{
	struct server *s;
	unsigned n = 0;

	for (s = server_first((struct core *)(uintptr_t)c); s != NULL; s = server_next(s))
		n++;
	return n;
}

void core_for_each_server(struct core *c, core_server_cb cb, void *arg)
{
	struct server *s;

	for (s = server_first(c); s != NULL; s = server_next(s))
		cb(s->name, s->addr, s->port, arg);
}
