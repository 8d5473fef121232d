/* Table of store protocols, and the parts that they share. */
#include <stdlib.h>
#include <string.h>

#include "store/store-int.h"

/* Limit of a response in bytes; a list of 1,700 instances is about 700 KB of JSON. */
#define RESPONSE_MAX ((size_t)8 * 1024 * 1024)

static const struct store_protocol *const protocols[] = {&store_consul};

#define N_PROTOCOLS (sizeof(protocols) / sizeof(protocols[0]))

static const char *const status_names[] = {"ok",	  "absent",  "conflict",
					   "unavailable", "unknown", "bad"};

const char *cs_store_status_name(enum cs_store_status st)
{
	return status_names[st];
}

struct cs_store *cs_store_create(struct cs_curl *curl, struct cs_timers *ts, const char *url,
				 const char *source, struct cs_msg *msg)
{
	const char *colon = strchr(url, ':'), *base;
	struct cs_store *s;
	size_t i, n;

	for (i = 0; i < N_PROTOCOLS && colon != NULL; i++) {
		n = strlen(protocols[i]->name);
		if ((size_t)(colon - url) == n && strncmp(url, protocols[i]->name, n) == 0)
			break;
	}
	base = colon ? colon + 1 : "";
	n = strlen(base);
	if (colon == NULL || i == N_PROTOCOLS || strncmp(base, "http://", 7) != 0 || n < 8) {
		cs_msg_set(msg, "store: value '%s' is not allowed; use consul:http://IP:PORT", url);
		return NULL;
	}
	s = cs_xcalloc(1, sizeof(*s));
	s->protocol = protocols[i];
	s->curl = curl;
	s->timers = ts;
	s->base_url = cs_xstrdup(base);
	if (s->base_url[n - 1] == '/')
		s->base_url[n - 1] = '\0';
	s->source = source != NULL && *source != '\0' ? cs_xstrdup(source) : NULL;
	LIST_INIT(&s->ops);
	return s;
}

void cs_store_destroy(struct cs_store *s)
{
	struct cs_store_op *op, *next;

	if (s == NULL)
		return;
	for (op = LIST_FIRST(&s->ops); op != NULL; op = next) {
		next = LIST_NEXT(op, entry);
		cs_store_cancel(op);
	}
	free(s->base_url);
	free(s->source);
	free(s);
}

uint64_t cs_store_request_count(const struct cs_store *s)
{
	return s->calls;
}

static void on_response(const struct cs_fetch_result *res, void *arg)
{
	struct cs_store_op *op = arg;

	/* Leaves the list first, because the callback may start or cancel other operations. */
	LIST_REMOVE(op, entry);
	op->done(op, res);
	free(op);
}

struct cs_store_op *store_request(struct cs_store *s, const char *method, char *url,
				  const char *body, size_t len, unsigned timeout_ms,
				  void (*done)(struct cs_store_op *,
					       const struct cs_fetch_result *),
				  cs_store_cb cb, void *arg)
{
	struct cs_store_op *op = cs_xcalloc(1, sizeof(*op));
	struct cs_fetch_opts opts = {.method = method,
				     .url = url,
				     .interface = s->source,
				     .body = body,
				     .body_len = len,
				     .timeout_ms = timeout_ms,
				     .max_response = RESPONSE_MAX,
				     .number_header = s->protocol->index_header};

	op->store = s;
	op->cb = cb;
	op->arg = arg;
	op->done = done;
	LIST_INSERT_HEAD(&s->ops, op, entry);
	s->calls++;
	op->fetch = cs_fetch_start(s->curl, &opts, on_response, op);
	free(url);
	return op;
}

struct cs_store_op *cs_store_get(struct cs_store *s, const char *key, cs_store_cb cb, void *arg)
{
	return s->protocol->get(s, key, 0, 0, cb, arg);
}

struct cs_store_op *cs_store_watch(struct cs_store *s, const char *key, uint64_t after,
				   unsigned wait_ms, cs_store_cb cb, void *arg)
{
	return s->protocol->get(s, key, after, wait_ms, cb, arg);
}

struct cs_store_op *cs_store_put(struct cs_store *s, const char *key, const char *value, size_t len,
				 uint64_t index, cs_store_cb cb, void *arg)
{
	return s->protocol->put(s, key, value, len, index, cb, arg);
}

struct cs_store_op *cs_store_list(struct cs_store *s, const char *service, uint64_t after,
				  unsigned wait_ms, cs_store_cb cb, void *arg)
{
	return s->protocol->list(s, service, after, wait_ms, cb, arg);
}

struct cs_store_op *cs_store_lease_create(struct cs_store *s, const char *name, unsigned ttl_ms,
					  cs_store_cb cb, void *arg)
{
	return s->protocol->lease_create(s, name, ttl_ms, cb, arg);
}

struct cs_store_op *cs_store_lease_renew(struct cs_store *s, const char *lease, cs_store_cb cb,
					 void *arg)
{
	return s->protocol->lease_renew(s, lease, cb, arg);
}

void cs_store_cancel(struct cs_store_op *op)
{
	if (op == NULL)
		return;
	LIST_REMOVE(op, entry);
	cs_fetch_cancel(op->fetch);
	free(op);
}
