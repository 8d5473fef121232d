/* Key-value store with revisions, leases, range reads and watches. */
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/standins/platform/platform.h"

#define HISTORY_MAX 256
#define BODY_MAX_BYTES (2 * 1024 * 1024)
#define COPY_LEASES_MAX 32

enum mode { MODE_OK, MODE_BUSY, MODE_SILENT };

struct item {
	TAILQ_ENTRY(item) entry;
	char *key;
	char *value; /* base64; NULL in the history: deleted */
	uint64_t revision, created;
	uint64_t lease;
};
TAILQ_HEAD(items, item);

struct lease {
	LIST_ENTRY(lease) entry;
	struct store *store;
	uint64_t id;
	unsigned ttl_ms;
	struct cs_timer expiry;
};

/* A watch request that waits for a change. */
struct watch {
	LIST_ENTRY(watch) entry;
	struct store *store;
	struct cs_http_req *req;
	char *prefix;
	uint64_t after; /* later revisions are returned */
	struct cs_timer timeout;
};

/* State of the store at an earlier time. */
struct copy {
	struct items items;
	uint64_t revision, n_leases_granted;
	unsigned n_leases;
	struct {
		uint64_t id;
		unsigned ttl_ms;
	} leases[COPY_LEASES_MAX];
};

struct store {
	struct cs_timers *timers;
	struct cs_httpd *httpd;
	struct items items; /* sorted by key */
	struct items history; /* latest changes, sorted by revision */
	unsigned n_history;
	uint64_t compacted_revision; /* a watch after an earlier revision gets a 410 */
	uint64_t revision;
	uint64_t n_leases_granted;
	LIST_HEAD(, lease) leases;
	LIST_HEAD(, watch) watches;
	enum mode mode;
	unsigned calls;
	uint64_t era; /* number of restorations */
	struct copy *copy; /* NULL: none was made */
};

static void on_request(struct cs_http_req *req, void *arg);
static void on_watch_end(struct cs_timer *t, void *arg);
static void on_lease_end(struct cs_timer *t, void *arg);
static void copy_destroy(struct copy *c);

struct store *store_create(struct ev_loop *loop, struct cs_timers *ts, const char *addr,
			   uint16_t port, struct cs_msg *msg)
{
	struct store *st = cs_xcalloc(1, sizeof(*st));

	st->timers = ts;
	st->revision = 100;
	TAILQ_INIT(&st->items);
	TAILQ_INIT(&st->history);
	LIST_INIT(&st->leases);
	LIST_INIT(&st->watches);
	st->httpd = cs_httpd_create(loop, ts, addr, port, BODY_MAX_BYTES, on_request, st, msg);
	if (st->httpd == NULL) {
		free(st);
		return NULL;
	}
	return st;
}

static void item_free(struct item *it)
{
	free(it->key);
	free(it->value);
	free(it);
}

static void items_free(struct items *items)
{
	struct item *it;

	while ((it = TAILQ_FIRST(items)) != NULL) {
		TAILQ_REMOVE(items, it, entry);
		item_free(it);
	}
}

static void copy_destroy(struct copy *c)
{
	if (c == NULL)
		return;
	items_free(&c->items);
	free(c);
}

/* Drops all keys, leases and changes, and cuts the watches. */
static void clear(struct store *st)
{
	struct watch *w;
	struct lease *l;

	while ((w = LIST_FIRST(&st->watches)) != NULL) {
		LIST_REMOVE(w, entry);
		cs_timer_stop(&w->timeout);
		cs_http_reply(w->req, 503, NULL, "", 0);
		free(w->prefix);
		free(w);
	}
	while ((l = LIST_FIRST(&st->leases)) != NULL) {
		LIST_REMOVE(l, entry);
		cs_timer_stop(&l->expiry);
		free(l);
	}
	items_free(&st->items);
	items_free(&st->history);
	st->n_history = 0;
}

void store_destroy(struct store *st)
{
	if (st == NULL)
		return;
	clear(st);
	copy_destroy(st->copy);
	cs_httpd_destroy(st->httpd);
	free(st);
}

uint16_t store_port(const struct store *st)
{
	return cs_httpd_port(st->httpd);
}

static struct item *item_find(struct store *st, const char *key)
{
	struct item *it;

	TAILQ_FOREACH(it, &st->items, entry)
		if (strcmp(it->key, key) == 0)
			return it;
	return NULL;
}

static json_t *item_json(const struct item *it)
{
	if (it->value == NULL)
		return json_pack("{s:s, s:I, s:b}", "key", it->key, "revision",
				 (json_int_t)it->revision, "tombstone", 1);
	return json_pack("{s:s, s:s, s:I, s:I, s:I}", "key", it->key, "value", it->value,
			 "revision", (json_int_t)it->revision, "created-revision",
			 (json_int_t)it->created, "lease", (json_int_t)it->lease);
}

static void reply_json(struct cs_http_req *req, unsigned status, json_t *doc)
{
	char *text = json_dumps(doc, JSON_COMPACT);

	cs_http_reply(req, status, NULL, text, strlen(text));
	free(text);
	json_decref(doc);
}

static bool has_prefix(const char *key, const char *prefix)
{
	return strncmp(key, prefix, strlen(prefix)) == 0;
}

/* Returns the changes of keys with the prefix after a revision, and their number in *n. */
static json_t *events_json(struct store *st, const char *prefix, uint64_t after, unsigned *n)
{
	json_t *list = json_array();
	struct item *it;

	*n = 0;
	TAILQ_FOREACH(it, &st->history, entry) {
		if (it->revision <= after || !has_prefix(it->key, prefix))
			continue;
		json_array_append_new(list, item_json(it));
		(*n)++;
	}
	return list;
}

static void watch_reply(struct watch *w)
{
	struct store *st = w->store;
	unsigned n;

	LIST_REMOVE(w, entry);
	cs_timer_stop(&w->timeout);
	reply_json(w->req, 200,
		   json_pack("{s:o, s:I}", "events", events_json(st, w->prefix, w->after, &n),
			     "at-revision", (json_int_t)st->revision));
	free(w->prefix);
	free(w);
}

static void on_watch_end(struct cs_timer *t, void *arg)
{
	watch_reply(arg);
}

/* Adds a change to the history and completes the watches of its key. */
static void history_append(struct store *st, const char *key, const char *value, uint64_t created,
			   uint64_t lease)
{
	struct item *it = cs_xcalloc(1, sizeof(*it)), *old;
	struct watch *w, *next;

	it->key = cs_xstrdup(key);
	it->value = value != NULL ? cs_xstrdup(value) : NULL;
	it->revision = st->revision;
	it->created = created;
	it->lease = lease;
	TAILQ_INSERT_TAIL(&st->history, it, entry);
	if (++st->n_history > HISTORY_MAX) {
		old = TAILQ_FIRST(&st->history);
		st->compacted_revision = old->revision;
		TAILQ_REMOVE(&st->history, old, entry);
		item_free(old);
		st->n_history--;
	}
	LIST_FOREACH_SAFE(w, &st->watches, entry, next)
		if (has_prefix(key, w->prefix))
			watch_reply(w);
}

/* Writes a base64 value. */
static void item_put(struct store *st, const char *key, const char *value, uint64_t lease)
{
	struct item *it = item_find(st, key), *at;

	st->revision++;
	if (it == NULL) {
		it = cs_xcalloc(1, sizeof(*it));
		it->key = cs_xstrdup(key);
		it->created = st->revision;
		TAILQ_FOREACH(at, &st->items, entry)
			if (strcmp(at->key, key) > 0)
				break;
		if (at != NULL)
			TAILQ_INSERT_BEFORE(at, it, entry);
		else
			TAILQ_INSERT_TAIL(&st->items, it, entry);
	}
	free(it->value);
	it->value = cs_xstrdup(value);
	it->revision = st->revision;
	it->lease = lease;
	history_append(st, key, value, it->created, lease);
}

static void item_delete(struct store *st, const char *key)
{
	struct item *it = item_find(st, key);

	if (it == NULL)
		return;
	TAILQ_REMOVE(&st->items, it, entry);
	st->revision++;
	history_append(st, key, NULL, 0, 0);
	item_free(it);
}

void store_write(struct store *st, const char *key, const char *value)
{
	size_t len = value ? strlen(value) : 0;
	size_t size = sodium_base64_encoded_len(len, sodium_base64_VARIANT_ORIGINAL);
	char *text;

	if (value == NULL) {
		item_delete(st, key);
		return;
	}
	text = cs_xcalloc(1, size);
	sodium_bin2base64(text, size, (const unsigned char *)value, len,
			  sodium_base64_VARIANT_ORIGINAL);
	item_put(st, key, text, 0);
	free(text);
}

static const char *query_arg(struct cs_http_req *req, const char *name, const char *def)
{
	const char *v = cs_http_query_arg(req, name);

	return v != NULL ? v : def;
}

static void handle_range(struct store *st, struct cs_http_req *req)
{
	const char *prefix = query_arg(req, "prefix", ""), *after = query_arg(req, "after", "");
	unsigned limit = (unsigned)strtoul(query_arg(req, "page", "500"), NULL, 10), n = 0;
	json_t *list = json_array();
	struct item *it;
	bool more = false;

	TAILQ_FOREACH(it, &st->items, entry) {
		if (!has_prefix(it->key, prefix) || strcmp(it->key, after) <= 0)
			continue;
		if (n == limit) {
			more = true;
			break;
		}
		json_array_append_new(list, item_json(it));
		n++;
	}
	reply_json(req, 200,
		   json_pack("{s:o, s:b, s:I}", "items", list, "has-more", more, "at-revision",
			     (json_int_t)st->revision));
}

static void handle_key(struct store *st, struct cs_http_req *req)
{
	struct item *it = item_find(st, query_arg(req, "key", ""));
	json_t *doc;

	if (it == NULL) {
		cs_http_reply(req, 404, NULL, "{}", 2);
		return;
	}
	doc = item_json(it);
	json_object_set_new(doc, "at-revision", json_integer((json_int_t)st->revision));
	reply_json(req, 200, doc);
}

static void handle_watch(struct store *st, struct cs_http_req *req)
{
	uint64_t after = strtoull(query_arg(req, "after", "0"), NULL, 10);
	unsigned wait_ms = (unsigned)strtoul(query_arg(req, "wait-ms", "0"), NULL, 10), n;
	const char *prefix = query_arg(req, "prefix", "");
	struct watch *w;
	json_t *list;

	if (after < st->compacted_revision || after > st->revision) {
		cs_http_reply(req, 410, NULL, "{}", 2);
		return;
	}
	list = events_json(st, prefix, after, &n);
	if (n > 0 || wait_ms == 0) {
		reply_json(req, 200,
			   json_pack("{s:o, s:I}", "events", list, "at-revision",
				     (json_int_t)st->revision));
		return;
	}
	json_decref(list);
	w = cs_xcalloc(1, sizeof(*w));
	w->store = st;
	w->req = req;
	w->prefix = cs_xstrdup(prefix);
	w->after = after;
	cs_timer_init(&w->timeout, on_watch_end, w);
	cs_timer_start(st->timers, &w->timeout, wait_ms * CS_US_PER_MS);
	LIST_INSERT_HEAD(&st->watches, w, entry);
}

static struct lease *find_lease(struct store *st, uint64_t id)
{
	struct lease *l;

	LIST_FOREACH(l, &st->leases, entry)
		if (l->id == id)
			return l;
	return NULL;
}

static void lease_end(struct lease *l)
{
	struct store *st = l->store;
	struct item *it, *next;

	LIST_REMOVE(l, entry);
	cs_timer_stop(&l->expiry);
	TAILQ_FOREACH_SAFE(it, &st->items, entry, next)
		if (it->lease == l->id)
			item_delete(st, it->key);
	free(l);
}

static void on_lease_end(struct cs_timer *t, void *arg)
{
	lease_end(arg);
}

/* Checks all conditions, then applies all writes. Only operations that the project uses exist. */
static void handle_txn(struct store *st, struct cs_http_req *req)
{
	json_t *doc = json_loads(cs_http_body(req, NULL), 0, NULL), *row;
	json_int_t lease;
	struct item *it;
	size_t i;

	json_array_foreach(json_object_get(doc, "expected"), i, row) {
		it = item_find(st, json_string_value(json_object_get(row, "key")));
		if ((json_int_t)(it ? it->revision : 0) !=
		    json_integer_value(json_object_get(row, "revision"))) {
			cs_http_reply(req, 412, NULL, "{\"items\":[]}", 12);
			json_decref(doc);
			return;
		}
	}
	json_array_foreach(json_object_get(doc, "puts"), i, row) {
		lease = json_integer_value(json_object_get(row, "lease"));
		if (lease != 0 && find_lease(st, (uint64_t)lease) == NULL) {
			cs_http_reply(req, 404, NULL, "{}", 2);
			json_decref(doc);
			return;
		}
		item_put(st, json_string_value(json_object_get(row, "key")),
			 json_string_value(json_object_get(row, "value")), (uint64_t)lease);
	}
	json_array_foreach(json_object_get(doc, "deletes"), i, row)
		item_delete(st, json_string_value(row));
	json_decref(doc);
	reply_json(req, 200, json_pack("{s:I}", "revision", (json_int_t)st->revision));
}

static void lease_start(struct lease *l)
{
	cs_timer_start(l->store->timers, &l->expiry, l->ttl_ms * CS_US_PER_MS);
}

static struct lease *lease_create(struct store *st, uint64_t id, unsigned ttl_ms)
{
	struct lease *l = cs_xcalloc(1, sizeof(*l));

	l->store = st;
	l->id = id;
	l->ttl_ms = ttl_ms;
	cs_timer_init(&l->expiry, on_lease_end, l);
	LIST_INSERT_HEAD(&st->leases, l, entry);
	lease_start(l);
	return l;
}

static void copy_items(struct items *to, const struct items *from)
{
	struct item *it, *copied;

	TAILQ_INIT(to);
	TAILQ_FOREACH(it, from, entry) {
		copied = cs_xcalloc(1, sizeof(*copied));
		*copied = *it;
		copied->key = cs_xstrdup(it->key);
		copied->value = cs_xstrdup(it->value);
		TAILQ_INSERT_TAIL(to, copied, entry);
	}
}

/* Keeps the present state for store_restore. */
static void store_copy(struct store *st)
{
	struct copy *c = cs_xcalloc(1, sizeof(*c));
	const struct lease *l;

	copy_destroy(st->copy);
	st->copy = c;
	copy_items(&c->items, &st->items);
	c->revision = st->revision;
	c->n_leases_granted = st->n_leases_granted;
	LIST_FOREACH(l, &st->leases, entry) {
		if (c->n_leases == COPY_LEASES_MAX)
			break;
		c->leases[c->n_leases].id = l->id;
		c->leases[c->n_leases++].ttl_ms = l->ttl_ms;
	}
}

/* Goes back to the copy: revisions and leases since then are given out again. */
static void store_restore(struct store *st)
{
	const struct copy *c = st->copy;
	unsigned i;

	if (c == NULL)
		return;
	clear(st);
	copy_items(&st->items, &c->items);
	st->revision = st->compacted_revision = c->revision;
	st->n_leases_granted = c->n_leases_granted;
	for (i = 0; i < c->n_leases; i++)
		lease_create(st, c->leases[i].id, c->leases[i].ttl_ms);
	st->era++;
}

static void handle_lease(struct store *st, struct cs_http_req *req)
{
	json_t *doc = json_loads(cs_http_body(req, NULL), 0, NULL);
	struct lease *l =
		lease_create(st, 1000 + ++st->n_leases_granted,
			     (unsigned)json_integer_value(json_object_get(doc, "ttl-ms")));

	json_decref(doc);
	reply_json(req, 200,
		   json_pack("{s:I, s:i}", "lease", (json_int_t)l->id, "ttl-ms", l->ttl_ms));
}

static void handle_lease_id(struct store *st, struct cs_http_req *req, const char *id, bool keep)
{
	struct lease *l = find_lease(st, strtoull(id, NULL, 10));

	if (l == NULL) {
		cs_http_reply(req, 404, NULL, "{}", 2);
		return;
	}
	if (keep)
		lease_start(l);
	else
		lease_end(l);
	reply_json(req, 200, json_pack("{s:i}", "ttl-ms", keep ? l->ttl_ms : 0));
}

/*
 * Control paths: write or delete a key, set the mode, compact the history, make a copy of the
 * store, restore the store from it, set the header of a server's responses. Each responds with the
 * revision, the number of calls, the number of executions of the attempt in the argument id and the
 * number of requests that reached the server in the argument server.
 */
static void handle_control(struct store *st, struct cs_http_req *req, const char *what)
{
	const char *key = query_arg(req, "key", ""), *mode = query_arg(req, "mode", "ok");
	const char *server = query_arg(req, "server", "");
	char text[128];

	if (strcmp(what, "put") == 0)
		store_write(st, key, cs_http_body(req, NULL));
	else if (strcmp(what, "delete") == 0)
		store_write(st, key, NULL);
	else if (strcmp(what, "mode") == 0)
		st->mode = strcmp(mode, "silent") == 0 ? MODE_SILENT
			   : strcmp(mode, "busy") == 0 ? MODE_BUSY
						       : MODE_OK;
	else if (strcmp(what, "copy") == 0)
		store_copy(st);
	else if (strcmp(what, "restore") == 0)
		store_restore(st);
	else if (strcmp(what, "compact") == 0)
		st->compacted_revision = st->revision + 1;
	else if (strcmp(what, "header") == 0)
		server_set_header(server, query_arg(req, "name", ""), query_arg(req, "value", ""));
	snprintf(text, sizeof(text), "{\"revision\":%llu,\"calls\":%u,\"runs\":%u,\"arrivals\":%u}",
		 (unsigned long long)st->revision, st->calls,
		 request_run_count(query_arg(req, "id", "")), server_arrival_count(server));
	cs_http_reply(req, 200, NULL, text, strlen(text));
}

static void on_request(struct cs_http_req *req, void *arg)
{
	const char *path = cs_http_path(req);
	struct store *st = arg;
	char era[24];

	if (has_prefix(path, "/control/")) {
		handle_control(st, req, path + 9);
		return;
	}
	st->calls++;
	snprintf(era, sizeof(era), "%llu", (unsigned long long)st->era);
	cs_http_add_header(req, "Store-Era", era);
	/* No response in silent mode; the request is not freed until the process ends. */
	if (st->mode == MODE_SILENT)
		return;
	if (st->mode == MODE_BUSY)
		cs_http_reply(req, 503, NULL, "{}", 2);
	else if (strcmp(path, "/v1/kv-range") == 0)
		handle_range(st, req);
	else if (strcmp(path, "/v1/kv-key") == 0)
		handle_key(st, req);
	else if (strcmp(path, "/v1/kv-watch") == 0)
		handle_watch(st, req);
	else if (strcmp(path, "/v1/kv-txn") == 0)
		handle_txn(st, req);
	else if (strcmp(path, "/v1/kv-lease") == 0)
		handle_lease(st, req);
	else if (has_prefix(path, "/v1/kv-keep/"))
		handle_lease_id(st, req, path + 12, true);
	else if (has_prefix(path, "/v1/kv-lease-end/"))
		handle_lease_id(st, req, path + 17, false);
	else
		cs_http_reply(req, 404, NULL, "{}", 2);
}
