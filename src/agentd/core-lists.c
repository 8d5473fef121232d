/*
 * Core: the platform's lists of instances and servers. Watchers read them from the store and
 * distribute changes; other members receive them from a watcher. While the store is unavailable,
 * the last known lists stay in use.
 */
#include <stdlib.h>
#include <string.h>

#include "core-internal.h"

void service_list_free(struct service_list *l)
{
	free(l->entries);
	free(l);
}

uint64_t lists_version(const struct core *c)
{
	const struct service_list *l;
	uint64_t sum = 0;

	LIST_FOREACH(l, &c->lists, next)
		sum += l->version;
	return sum;
}

static struct service_list *service_list_get_or_create(struct core *c, const char *service)
{
	struct service_list *l;

	LIST_FOREACH(l, &c->lists, next)
		if (strcmp(l->service, service) == 0)
			return l;
	l = cs_xcalloc(1, sizeof(*l));
	cs_copy(l->service, sizeof(l->service), service);
	LIST_INSERT_HEAD(&c->lists, l, next);
	return l;
}

static int entry_cmp(const void *a, const void *b)
{
	const struct list_entry *x = a, *y = b;

	return strcmp(x->id, y->id);
}

static struct list_entry *entry_find(const struct service_list *l, const char *id)
{
	struct list_entry key = {0};

	if (l->n == 0)
		return NULL;
	cs_copy(key.id, sizeof(key.id), id);
	return bsearch(&key, l->entries, l->n, sizeof(key), entry_cmp);
}

static bool entry_same(const struct list_entry *a, const struct list_entry *b)
{
	return strcmp(a->id, b->id) == 0 && strcmp(a->zone, b->zone) == 0 &&
	       strcmp(a->addr, b->addr) == 0 && a->port == b->port &&
	       a->lookup_port == b->lookup_port && a->proxy_port == b->proxy_port &&
	       a->bus_port == b->bus_port && a->admin_port == b->admin_port &&
	       a->leaving == b->leaving;
}

static void entry_from_wire(struct list_entry *e, const struct cs_wire_entry *w)
{
	memset(e, 0, sizeof(*e));
	cs_copy(e->id, sizeof(e->id), w->id);
	cs_copy(e->zone, sizeof(e->zone), w->zone);
	cs_copy(e->addr, sizeof(e->addr), w->addr);
	e->port = w->port;
	e->lookup_port = w->lookup_port;
	e->proxy_port = w->proxy_port;
	e->bus_port = w->bus_port;
	e->admin_port = w->admin_port;
	e->leaving = w->leaving;
}

static void entry_to_wire(struct cs_wire_entry *w, const struct list_entry *e)
{
	w->id = e->id;
	w->zone = e->zone;
	w->addr = e->addr;
	w->port = e->port;
	w->lookup_port = e->lookup_port;
	w->proxy_port = e->proxy_port;
	w->bus_port = e->bus_port;
	w->admin_port = e->admin_port;
	w->leaving = e->leaving;
}

/* Updates the members from the list of instances. */
static void list_apply_members(struct core *c, const struct service_list *l, uint64_t now_us)
{
	const struct list_entry *e;
	struct zone_row *z;
	struct member *m;
	unsigned i;

	for (m = member_first(c); m != NULL; m = member_next(m))
		m->listed = false;
	for (z = zone_first(c); z != NULL; z = zone_next(z))
		z->n_members = 0;
	for (i = 0; i < l->n; i++) {
		e = &l->entries[i];
		m = member_get_or_create(c, e->id, e->zone, now_us);
		if (strcmp(m->zone, e->zone) != 0) {
			if (m == c->self)
				continue;
			member_free(c, m);
			m = member_get_or_create(c, e->id, e->zone, now_us);
		}
		m->listed = true;
		m->row->n_members++;
		m->list_leaving = e->leaving;
		cs_copy(m->addr, sizeof(m->addr), e->addr);
		m->lookup_port = e->lookup_port;
		m->proxy_port = e->proxy_port;
		m->bus_port = e->bus_port;
		m->admin_port = e->admin_port;
	}
	for (z = zone_first(c); z != NULL; z = zone_next(z))
		zone_update(c, z, now_us);
	members_tick(c, now_us);
	view_members_changed(c);
	c->heartbeat_pending = true;
	c->digest_pending = true;
}

/* Updates the servers of a service in the own zone from its list. */
static void list_apply_servers(struct core *c, const struct service_list *l)
{
	const struct list_entry *e;
	struct server *s, *next;
	unsigned i;

	for (s = server_first(c); s != NULL; s = server_next(s))
		s->in_list = strcmp(s->service, l->service) != 0;
	for (i = 0; i < l->n; i++) {
		e = &l->entries[i];
		if (strcmp(e->zone, c->opts.zone) != 0)
			continue;
		s = server_get_or_create(c, e->id);
		cs_copy(s->service, sizeof(s->service), l->service);
		cs_copy(s->zone, sizeof(s->zone), e->zone);
		cs_copy(s->addr, sizeof(s->addr), e->addr);
		s->port = e->port;
		s->list_leaving = e->leaving;
		s->in_list = true;
	}
	for (s = server_first(c); s != NULL; s = next) {
		next = server_next(s);
		if (!s->in_list)
			server_free(c, s);
	}
	view_servers_changed(c);
}

static void list_apply(struct core *c, const struct service_list *l, uint64_t now_us)
{
	if (strcmp(l->service, CORE_INSTANCES_LIST) == 0)
		list_apply_members(c, l, now_us);
	else
		list_apply_servers(c, l);
}

static void send_full_list(struct core *c, const struct core_endpoint *to,
			   const struct service_list *l)
{
	struct cs_wire_msg m = {.type = CS_WIRE_LIST_DOC};
	struct cs_wire_entry *w = cs_xcalloc(l->n, sizeof(*w));
	unsigned i;

	for (i = 0; i < l->n; i++)
		entry_to_wire(&w[i], &l->entries[i]);
	m.u.list_doc.service = l->service;
	m.u.list_doc.version = l->version;
	m.u.list_doc.entries = w;
	m.u.list_doc.n_entries = l->n;
	core_enqueue(c, to, &m);
	free(w);
}

/* Sends the difference between two versions of a list to the own zone. */
static void send_list_delta(struct core *c, const struct service_list *old,
			    const struct service_list *l)
{
	struct cs_wire_msg m = {.type = CS_WIRE_LIST_DOC};
	struct cs_wire_entry *w = cs_xcalloc(l->n, sizeof(*w));
	const char **removed = cs_xcalloc(old->n, sizeof(*removed));
	const struct list_entry *old_entry;
	struct member *peer;
	unsigned i, n = 0, n_removed = 0;

	for (i = 0; i < l->n; i++) {
		old_entry = entry_find(old, l->entries[i].id);
		if (old_entry == NULL || !entry_same(old_entry, &l->entries[i]))
			entry_to_wire(&w[n++], &l->entries[i]);
	}
	for (i = 0; i < old->n; i++)
		if (entry_find(l, old->entries[i].id) == NULL)
			removed[n_removed++] = old->entries[i].id;
	m.u.list_doc.service = l->service;
	m.u.list_doc.version = l->version;
	m.u.list_doc.base = old->version;
	m.u.list_doc.entries = w;
	m.u.list_doc.n_entries = n;
	m.u.list_doc.removed = removed;
	m.u.list_doc.n_removed = n_removed;
	FOREACH_OWN_ZONE_MEMBER(peer, c)
	if (peer != c->self)
		core_enqueue_to_member(c, peer, &m);
	free(w);
	free(removed);
}

void core_set_list(struct core *c, const struct cs_wire_list_doc *doc, uint64_t now_us)
{
	struct service_list *l = service_list_get_or_create(c, doc->service), old = *l;
	struct list_entry *e = cs_xcalloc(doc->n_entries, sizeof(*e));
	unsigned i;
	bool same;

	for (i = 0; i < doc->n_entries; i++)
		entry_from_wire(&e[i], &doc->entries[i]);
	qsort(e, doc->n_entries, sizeof(*e), entry_cmp);
	same = l->version != 0 && l->n == doc->n_entries;
	for (i = 0; same && i < l->n; i++)
		same = entry_same(&l->entries[i], &e[i]);
	if (same && doc->version == l->version) {
		free(e);
		return;
	}
	l->entries = e;
	l->n = doc->n_entries;
	/* If the store loses its state, its index restarts; versions must always increase. */
	l->version = doc->version > old.version ? doc->version : old.version + 1;
	if (!same)
		list_apply(c, l, now_us);
	/* The first read after a start is not sent: peers with older lists request them. */
	if (c->rank == 0 && old.version != 0)
		send_list_delta(c, &old, l);
	free(old.entries);
}

/* Applies a delta; false if its base is not the version held. */
static bool apply_delta(struct service_list *l, const struct cs_wire_list_doc *doc)
{
	struct list_entry *e, *old_entry;
	unsigned i, n = 0;

	if (doc->base != l->version)
		return false;
	e = cs_xcalloc(l->n + doc->n_entries, sizeof(*e));
	/* An empty zone marks an entry as removed; valid entries always have a zone. */
	for (i = 0; i < doc->n_removed; i++) {
		old_entry = entry_find(l, doc->removed[i]);
		if (old_entry != NULL)
			old_entry->zone[0] = '\0';
	}
	for (i = 0; i < doc->n_entries; i++) {
		old_entry = entry_find(l, doc->entries[i].id);
		if (old_entry != NULL)
			old_entry->zone[0] = '\0';
	}
	for (i = 0; i < l->n; i++)
		if (l->entries[i].zone[0] != '\0')
			e[n++] = l->entries[i];
	for (i = 0; i < doc->n_entries; i++)
		entry_from_wire(&e[n++], &doc->entries[i]);
	free(l->entries);
	l->entries = e;
	l->n = n;
	return true;
}

static void replace_entries(struct service_list *l, const struct cs_wire_list_doc *doc)
{
	unsigned i;

	free(l->entries);
	l->entries = cs_xcalloc(doc->n_entries, sizeof(*l->entries));
	l->n = doc->n_entries;
	for (i = 0; i < doc->n_entries; i++)
		entry_from_wire(&l->entries[i], &doc->entries[i]);
}

void lists_handle_doc(struct core *c, const struct core_endpoint *from,
		      const struct cs_wire_list_doc *doc, uint64_t now_us)
{
	struct cs_wire_msg m = {.type = CS_WIRE_LIST_GET};
	struct service_list *l;

	if (*doc->service == '\0')
		return;
	l = service_list_get_or_create(c, doc->service);
	if (doc->version <= l->version)
		return;
	if (doc->base == 0) {
		replace_entries(l, doc);
	} else if (!apply_delta(l, doc)) {
		m.u.list_get.instance = c->opts.instance;
		m.u.list_get.service = doc->service;
		m.u.list_get.version = l->version;
		core_enqueue(c, from, &m);
		return;
	}
	qsort(l->entries, l->n, sizeof(*l->entries), entry_cmp);
	l->version = doc->version;
	list_apply(c, l, now_us);
}

void lists_handle_get(struct core *c, const struct core_endpoint *from,
		      const struct cs_wire_list_get *g)
{
	const struct service_list *l;

	LIST_FOREACH(l, &c->lists, next)
		if (l->version != 0 && (*g->service == '\0' || strcmp(g->service, l->service) == 0))
			send_full_list(c, from, l);
}
