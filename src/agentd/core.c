/* Core: life cycle, event dispatch, lookup trees and the queue of outgoing messages. */
#include <stdlib.h>
#include <string.h>

#include "core-internal.h"

static int member_cmp(struct member *a, struct member *b);
static int server_cmp(struct server *a, struct server *b);
static int zone_cmp(struct zone_row *a, struct zone_row *b);

CS_RB_GENERATE(member_tree, member, entry, member_cmp)
CS_RB_GENERATE(server_tree, server, entry, server_cmp)
CS_RB_GENERATE(zone_tree, zone_row, entry, zone_cmp)

static int member_cmp(struct member *a, struct member *b)
{
	return strcmp(a->name, b->name);
}

static int server_cmp(struct server *a, struct server *b)
{
	return strcmp(a->name, b->name);
}

/*
 * Ordered by hash, since brief rows carry only the hash of the zone's name; zones with equal hashes
 * cannot be told apart by brief rows.
 */
static int zone_cmp(struct zone_row *a, struct zone_row *b)
{
	if (a->zone_hash != b->zone_hash)
		return a->zone_hash < b->zone_hash ? -1 : 1;
	return strcmp(a->zone, b->zone);
}

struct core *core_create(const struct core_opts *opts, uint64_t now_us)
{
	struct core *c = cs_xcalloc(1, sizeof(*c));

	c->opts = *opts;
	c->peers = cs_xcalloc(opts->n_peers, sizeof(*c->peers));
	if (opts->n_peers > 0)
		memcpy(c->peers, opts->peers, opts->n_peers * sizeof(*c->peers));
	c->opts.peers = c->peers;
	cs_rng_seed(&c->rng, opts->seed);
	RB_INIT(&c->members);
	RB_INIT(&c->servers);
	RB_INIT(&c->zones);
	LIST_INIT(&c->lists);
	TAILQ_INIT(&c->sends);
	c->view_seq = 1;
	c->own_row = zone_get_or_create(c, opts->zone);
	c->self = member_get_or_create(c, opts->instance, opts->zone, now_us);
	c->self->incarnation = opts->incarnation;
	c->heartbeat_pending = true;
	return c;
}

void core_destroy(struct core *c)
{
	struct core_outgoing *s;
	struct member *m;
	struct server *sv;
	struct zone_row *z;
	struct service_list *l;

	if (c == NULL)
		return;
	while ((s = core_next_outgoing(c)) != NULL)
		core_outgoing_free(s);
	while ((m = member_first(c)) != NULL)
		member_free(c, m);
	while ((sv = server_first(c)) != NULL)
		server_free(c, sv);
	while ((z = zone_first(c)) != NULL)
		zone_free(c, z);
	while ((l = LIST_FIRST(&c->lists)) != NULL) {
		LIST_REMOVE(l, next);
		service_list_free(l);
	}
	free(c->loads);
	free(c->averages);
	free(c->daemons[0].loads);
	free(c->daemons[1].loads);
	cs_config_unref(c->cfg);
	cs_wire_buf_free(&c->scratch);
	free(c->peers);
	free(c);
}

struct member *member_find(struct core *c, const char *name)
{
	struct member key;

	cs_copy(key.name, sizeof(key.name), name);
	return RB_FIND(member_tree, &c->members, &key);
}

struct member *member_get_or_create(struct core *c, const char *name, const char *zone,
				    uint64_t now_us)
{
	struct member *m = member_find(c, name);

	if (m != NULL)
		return m;
	m = cs_xcalloc(1, sizeof(*m));
	cs_copy(m->name, sizeof(m->name), name);
	cs_copy(m->zone, sizeof(m->zone), zone);
	m->in_own_zone = strcmp(zone, c->opts.zone) == 0;
	m->row = zone_get_or_create(c, zone);
	m->state = CS_MEMBER_SUSPECT;
	m->last_heartbeat_us = now_us;
	RB_INSERT(member_tree, &c->members, m);
	TAILQ_INSERT_TAIL(&m->row->members, m, zone_entry);
	return m;
}

void member_free(struct core *c, struct member *m)
{
	RB_REMOVE(member_tree, &c->members, m);
	TAILQ_REMOVE(&m->row->members, m, zone_entry);
	free(m->loads);
	free(m);
}

struct member *member_first(struct core *c)
{
	return RB_MIN(member_tree, &c->members);
}

struct member *member_next(struct member *m)
{
	return RB_NEXT(member_tree, NULL, m);
}

struct server *server_find(struct core *c, const char *name)
{
	struct server key;

	cs_copy(key.name, sizeof(key.name), name);
	return RB_FIND(server_tree, &c->servers, &key);
}

struct server *server_get_or_create(struct core *c, const char *name)
{
	struct server *s = server_find(c, name);

	if (s != NULL)
		return s;
	s = cs_xcalloc(1, sizeof(*s));
	cs_copy(s->name, sizeof(s->name), name);
	s->state = CS_SERVER_STARTING;
	RB_INSERT(server_tree, &c->servers, s);
	return s;
}

void server_free(struct core *c, struct server *s)
{
	RB_REMOVE(server_tree, &c->servers, s);
	free(s);
}

struct server *server_first(struct core *c)
{
	return RB_MIN(server_tree, &c->servers);
}

struct server *server_next(struct server *s)
{
	return RB_NEXT(server_tree, NULL, s);
}

struct zone_row *zone_find_by_hash(struct core *c, uint32_t hash)
{
	struct zone_row search = {.zone_hash = hash}, *z;

	z = RB_NFIND(zone_tree, &c->zones, &search);
	return z != NULL && z->zone_hash == hash ? z : NULL;
}

struct zone_row *zone_get_or_create(struct core *c, const char *zone)
{
	struct zone_row search = {.zone_hash = cs_wire_name_hash(zone)}, *z;

	cs_copy(search.zone, sizeof(search.zone), zone);
	z = RB_FIND(zone_tree, &c->zones, &search);
	if (z != NULL)
		return z;
	z = cs_xcalloc(1, sizeof(*z));
	cs_copy(z->zone, sizeof(z->zone), zone);
	z->zone_hash = search.zone_hash;
	z->reachability = CS_MEMBER_SUSPECT;
	TAILQ_INIT(&z->members);
	RB_INSERT(zone_tree, &c->zones, z);
	return z;
}

void zone_free(struct core *c, struct zone_row *z)
{
	RB_REMOVE(zone_tree, &c->zones, z);
	free(z->loads);
	free(z->exceptions);
	free(z);
}

struct zone_row *zone_first(struct core *c)
{
	return RB_MIN(zone_tree, &c->zones);
}

struct zone_row *zone_next(struct zone_row *z)
{
	return RB_NEXT(zone_tree, NULL, z);
}

void core_enqueue(struct core *c, const struct core_endpoint *to, const struct cs_wire_msg *m)
{
	struct core_outgoing *s = cs_xcalloc(1, sizeof(*s));

	s->to = *to;
	s->type = m->type;
	cs_wire_pack(&s->buf, m);
	c->stats.sends[m->type]++;
	c->stats.send_bytes[m->type] += s->buf.len;
	TAILQ_INSERT_TAIL(&c->sends, s, entry);
}

void core_enqueue_to_member(struct core *c, const struct member *m, const struct cs_wire_msg *msg)
{
	struct core_endpoint to = {.port = m->bus_port};

	if (m->bus_port == 0)
		return;
	cs_copy(to.addr, sizeof(to.addr), m->addr);
	core_enqueue(c, &to, msg);
}

struct core_outgoing *core_next_outgoing(struct core *c)
{
	struct core_outgoing *s = TAILQ_FIRST(&c->sends);

	if (s != NULL)
		TAILQ_REMOVE(&c->sends, s, entry);
	return s;
}

void core_outgoing_free(struct core_outgoing *s)
{
	if (s == NULL)
		return;
	cs_wire_buf_free(&s->buf);
	free(s);
}

void core_handle_message(struct core *c, const struct core_endpoint *from,
			 const struct cs_wire_msg *m, uint64_t now_us)
{
	struct cs_msg msg;

	switch (m->type) {
	case CS_WIRE_HEARTBEAT:
		members_handle_heartbeat(c, from, &m->u.heartbeat, now_us);
		break;
	case CS_WIRE_DIGEST:
		digest_handle(c, from, m, now_us);
		config_pull_if_newer(c, from, m->u.digest.revision, now_us);
		break;
	case CS_WIRE_DIGEST_GET:
		digest_handle_get(c, from, &m->u.digest_get, now_us);
		break;
	case CS_WIRE_CONFIG_GET: {
		struct cs_wire_msg out = {.type = CS_WIRE_CONFIG_DOC};

		if (c->cfg == NULL || c->cfg->revision <= m->u.config_get.revision)
			break;
		out.u.config_doc.revision = c->cfg->revision;
		out.u.config_doc.text = c->cfg->text;
		out.u.config_doc.len = c->cfg->text_len;
		core_enqueue(c, from, &out);
		break;
	}
	case CS_WIRE_CONFIG_DOC:
		core_set_config(c, m->u.config_doc.text, m->u.config_doc.len, now_us, &msg);
		break;
	case CS_WIRE_LIST_GET:
		lists_handle_get(c, from, &m->u.list_get);
		break;
	case CS_WIRE_LIST_DOC:
		lists_handle_doc(c, from, &m->u.list_doc, now_us);
		break;
	case CS_WIRE_REPORT:
	case CS_WIRE_SNAPSHOT:
	case CS_WIRE_LOAN_ASK:
	case CS_WIRE_LOAN_GRANT:
		break;
	}
}

static bool daemon_is_alive(const struct daemon *d, uint64_t now_us)
{
	return d->last_report_us != 0 && now_us - d->last_report_us <= CORE_REPORT_TIMEOUT_US;
}

/* Updates the own member from the daemons' reports; a change triggers a heartbeat. */
static void self_update(struct core *c, uint64_t now_us)
{
	const struct daemon *proxy = &c->daemons[CS_LINK_PROXY];
	const struct daemon *lookup = &c->daemons[CS_LINK_LOOKUP];
	bool alive = daemon_is_alive(proxy, now_us);
	bool ready = alive && proxy->ready && !c->leaving && c->cfg != NULL;
	bool leaving = c->leaving || (alive && proxy->stopping) ||
		       (daemon_is_alive(lookup, now_us) && lookup->stopping);
	uint64_t roster = alive ? proxy->roster : 0;

	if (c->self->ready != ready || c->self->leaving != leaving || c->self->roster != roster) {
		c->heartbeat_pending = true;
		view_members_changed(c);
	}
	c->self->ready = ready;
	c->self->leaving = leaving;
	c->self->roster = roster;
	c->self->last_heartbeat_us = now_us;
	c->self->revision = c->cfg ? c->cfg->revision : 0;
}

/*
 * Marks servers as draining that the proxy reports as draining; the next health poll overrides it.
 * Other states in a report concern only the proxy that observed them.
 */
static void apply_reported_servers(struct core *c, const struct cs_report *r)
{
	struct server *s;
	unsigned i;

	for (i = 0; i < r->n_servers; i++) {
		s = server_find(c, r->servers[i].server);
		if (s == NULL || s->state != CS_SERVER_READY ||
		    r->servers[i].state != CS_SERVER_DRAINING)
			continue;
		s->state = CS_SERVER_DRAINING;
		view_servers_changed(c);
	}
}

/*
 * Roster used by the proxy, or 0 (none) for a while after it alone was restarted: requests of its
 * previous process may still run for up to the longest request timeout.
 */
static uint64_t effective_roster(const struct core *c, const struct daemon *d, uint64_t roster,
				 uint64_t now_us)
{
	unsigned longest_ms = 0, i;

	for (i = 0; c->cfg != NULL && i < c->cfg->n_classes; i++)
		if (c->cfg->classes[i].timeout_ms > longest_ms)
			longest_ms = c->cfg->classes[i].timeout_ms;
	if (d->restarted_us != 0 && now_us < d->restarted_us + longest_ms * CS_US_PER_MS)
		return 0;
	return roster;
}

bool core_handle_report(struct core *c, const struct cs_wire_report *r, uint64_t now_us)
{
	struct daemon *d = &c->daemons[r->body.kind];

	if (r->started_ms < d->started_ms)
		return false;
	if (d->started_ms != 0 && r->started_ms > d->started_ms)
		d->restarted_us = now_us;
	d->started_ms = r->started_ms;
	d->last_report_us = now_us;
	d->ready = r->body.ready;
	d->stopping = r->body.stopping;
	d->roster = effective_roster(c, d, r->body.roster, now_us);
	d->revision = r->body.revision;
	free(d->loads);
	d->n_loads = r->body.n_loads;
	d->loads = cs_xcalloc(d->n_loads, sizeof(*d->loads));
	if (d->n_loads > 0)
		memcpy(d->loads, r->body.loads, d->n_loads * sizeof(*d->loads));
	apply_reported_servers(c, &r->body);
	self_update(c, now_us);
	return true;
}

void core_set_store_ok(struct core *c, bool ok)
{
	if (c->store_ok == ok)
		return;
	c->store_ok = ok;
	if (ok)
		c->stale = false;
	c->heartbeat_pending = true;
}

void core_tick(struct core *c, uint64_t now_us)
{
	if (!daemon_is_alive(&c->daemons[CS_LINK_PROXY], now_us))
		c->daemons[CS_LINK_PROXY].n_loads = 0;
	self_update(c, now_us);
	members_tick(c, now_us);
	if (c->heartbeat_pending || now_us >= c->heartbeat_due_us)
		members_send_heartbeats(c, now_us);
	digest_tick(c, now_us);
	view_tick(c, now_us);
}

void core_resume(struct core *c, uint64_t now_us)
{
	struct zone_row *z;
	struct member *m;

	c->stale = true;
	FOREACH_OWN_ZONE_MEMBER(m, c)
	if (m->state <= CS_MEMBER_SUSPECT)
		m->last_heartbeat_us = now_us;
	for (z = zone_first(c); z != NULL; z = zone_next(z))
		if (z->published_us != 0)
			z->published_us = now_us;
	c->heartbeat_pending = true;
	c->view_seq++;
}

void core_leave(struct core *c, uint64_t now_us)
{
	c->leaving = true;
	self_update(c, now_us);
	members_send_heartbeats(c, now_us);
}

bool core_is_watcher(const struct core *c)
{
	return c->rank < CORE_RELAYS;
}

struct cs_config *core_current_config(const struct core *c)
{
	return c->cfg;
}

bool core_is_ready(const struct core *c)
{
	return c->cfg != NULL && !c->leaving;
}

bool core_is_stale(const struct core *c)
{
	return c->stale;
}

const struct core_stats *core_stats(const struct core *c)
{
	return &c->stats;
}
