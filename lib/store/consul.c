/*
 * Store over the Consul HTTP API: /v1/kv with cas and blocking reads, /v1/session for leases,
 * /v1/health/service for lists.
 */
#include <inttypes.h>
#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "store/store-int.h"

#define CALL_TIMEOUT_MS 3000
/* The service may add up to wait/16 to a blocking read; see its page on blocking queries. */
#define WAIT_SLACK_MS 2000

static struct cs_store_op *consul_get(struct cs_store *s, const char *key, uint64_t after,
				      unsigned wait_ms, cs_store_cb cb, void *arg);
static struct cs_store_op *consul_put(struct cs_store *s, const char *key, const char *value,
				      size_t len, uint64_t index, cs_store_cb cb, void *arg);
static struct cs_store_op *consul_list(struct cs_store *s, const char *service, uint64_t after,
				       unsigned wait_ms, cs_store_cb cb, void *arg);
static struct cs_store_op *consul_lease_create(struct cs_store *s, const char *name,
					       unsigned ttl_ms, cs_store_cb cb, void *arg);
static struct cs_store_op *consul_lease_renew(struct cs_store *s, const char *lease, cs_store_cb cb,
					      void *arg);

const struct store_protocol store_consul = {.name = "consul",
					    .get = consul_get,
					    .put = consul_put,
					    .list = consul_list,
					    .lease_create = consul_lease_create,
					    .lease_renew = consul_lease_renew};

/* Query part for a blocking read; empty without one. */
static char *wait_query(char sep, uint64_t after, unsigned wait_ms)
{
	if (wait_ms == 0)
		return cs_xstrdup("");
	return cs_xasprintf("%cindex=%" PRIu64 "&wait=%ums", sep, after, wait_ms);
}

static unsigned wait_timeout(unsigned wait_ms)
{
	return wait_ms == 0 ? CALL_TIMEOUT_MS : wait_ms + wait_ms / 16 + WAIT_SLACK_MS;
}

static void fail(struct cs_store_op *op, enum cs_store_status st, uint64_t index,
		 const char *message)
{
	struct cs_store_result out = {.status = st, .index = index, .message = message};

	op->cb(&out, op->arg);
}

/* Common faults of a read: no answer or a status other than 200. True if handled. */
static bool read_failed(struct cs_store_op *op, const struct cs_fetch_result *res)
{
	char text[96];

	if (res->code != CURLE_OK) {
		fail(op, CS_STORE_UNAVAILABLE, 0, res->error);
		return true;
	}
	if (res->status == 200)
		return false;
	snprintf(text, sizeof(text), "the store answered with status %ld", res->status);
	fail(op, res->status >= 500 ? CS_STORE_UNAVAILABLE : CS_STORE_BAD, res->index, text);
	return true;
}

/* Decodes base64 text; NULL if malformed. */
static char *decode(const char *text, size_t *len)
{
	size_t n = strlen(text);
	char *out = cs_xcalloc(1, n / 4 * 3 + 4);

	if (sodium_base642bin((unsigned char *)out, n / 4 * 3 + 3, text, n, "\r\n", len, NULL,
			      sodium_base64_VARIANT_ORIGINAL) != 0) {
		free(out);
		return NULL;
	}
	out[*len] = '\0';
	return out;
}

static void on_get(struct cs_store_op *op, const struct cs_fetch_result *res)
{
	struct cs_store_result out = {.status = CS_STORE_OK, .index = res->index};
	const char *text;
	char *value = NULL;
	json_t *doc = NULL, *row, *index;

	if (res->code == CURLE_OK && res->status == 404) {
		fail(op, CS_STORE_ABSENT, res->index, "no such key");
		return;
	}
	if (read_failed(op, res))
		return;
	doc = json_loadb(res->body, res->len, 0, NULL);
	row = json_array_get(doc, 0);
	index = json_object_get(row, "ModifyIndex");
	text = json_string_value(json_object_get(row, "Value"));
	if (json_is_integer(index) && text != NULL)
		value = decode(text, &out.len);
	if (value == NULL) {
		fail(op, CS_STORE_BAD, res->index, "the store's answer is not a key-value row");
		goto out;
	}
	out.index = (uint64_t)json_integer_value(index);
	out.value = value;
	op->cb(&out, op->arg);
out:
	free(value);
	json_decref(doc);
}

static struct cs_store_op *consul_get(struct cs_store *s, const char *key, uint64_t after,
				      unsigned wait_ms, cs_store_cb cb, void *arg)
{
	char *query = wait_query('?', after, wait_ms);
	char *url = cs_xasprintf("%s/v1/kv/%s%s", s->base, key, query);

	free(query);
	return store_call(s, NULL, url, NULL, 0, wait_timeout(wait_ms), on_get, cb, arg);
}

/* Codes after which the request cannot have reached the service. */
static bool never_sent(CURLcode code)
{
	return code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST ||
	       code == CURLE_INTERFACE_FAILED;
}

static void on_put(struct cs_store_op *op, const struct cs_fetch_result *res)
{
	struct cs_store_result out = {.status = CS_STORE_OK, .index = res->index};
	char text[96];

	if (never_sent(res->code)) {
		fail(op, CS_STORE_UNAVAILABLE, 0, res->error);
		return;
	}
	if (res->code != CURLE_OK) {
		fail(op, CS_STORE_UNKNOWN, 0, res->error);
		return;
	}
	if (res->status == 200 && strncmp(res->body, "true", 4) == 0) {
		op->cb(&out, op->arg);
		return;
	}
	if (res->status == 200 && strncmp(res->body, "false", 5) == 0) {
		fail(op, CS_STORE_CONFLICT, res->index, "the key has another index");
		return;
	}
	snprintf(text, sizeof(text), "the store answered with status %ld", res->status);
	/* A server error may come after the write took effect. */
	fail(op, res->status >= 500 ? CS_STORE_UNKNOWN : CS_STORE_BAD, res->index, text);
}

static struct cs_store_op *consul_put(struct cs_store *s, const char *key, const char *value,
				      size_t len, uint64_t index, cs_store_cb cb, void *arg)
{
	char *url = cs_xasprintf("%s/v1/kv/%s?cas=%" PRIu64, s->base, key, index);

	return store_call(s, "PUT", url, value, len, CALL_TIMEOUT_MS, on_put, cb, arg);
}

/* Reads one element of a list; false if it has no id, address or port. */
static bool entry_read(const json_t *row, struct cs_store_entry *e)
{
	const json_t *svc = json_object_get(row, "Service");
	const json_t *port = json_object_get(svc, "Port");

	e->id = json_string_value(json_object_get(svc, "ID"));
	e->addr = json_string_value(json_object_get(svc, "Address"));
	e->meta = json_object_get(svc, "Meta");
	if (e->id == NULL || e->addr == NULL || !json_is_integer(port))
		return false;
	if (json_integer_value(port) < 0 || json_integer_value(port) > UINT16_MAX)
		return false;
	e->port = (uint16_t)json_integer_value(port);
	return true;
}

static void on_list(struct cs_store_op *op, const struct cs_fetch_result *res)
{
	struct cs_store_result out = {.status = CS_STORE_OK, .index = res->index};
	struct cs_store_entry *entries = NULL;
	json_t *doc, *row;
	size_t i;

	if (read_failed(op, res))
		return;
	doc = json_loadb(res->body, res->len, 0, NULL);
	if (!json_is_array(doc)) {
		fail(op, CS_STORE_BAD, res->index, "the store's answer is not a list");
		goto out;
	}
	entries = cs_xcalloc(json_array_size(doc), sizeof(*entries));
	json_array_foreach(doc, i, row)
		if (entry_read(row, &entries[out.n_entries]))
			out.n_entries++;
	out.entries = entries;
	op->cb(&out, op->arg);
out:
	free(entries);
	json_decref(doc);
}

static struct cs_store_op *consul_list(struct cs_store *s, const char *service, uint64_t after,
				       unsigned wait_ms, cs_store_cb cb, void *arg)
{
	char *query = wait_query('?', after, wait_ms);
	char *url = cs_xasprintf("%s/v1/health/service/%s%s", s->base, service, query);

	free(query);
	return store_call(s, NULL, url, NULL, 0, wait_timeout(wait_ms), on_list, cb, arg);
}

static void on_lease(struct cs_store_op *op, const struct cs_fetch_result *res)
{
	struct cs_store_result out = {.status = CS_STORE_OK, .index = res->index};
	json_t *doc;

	if (res->code == CURLE_OK && res->status == 404) {
		fail(op, CS_STORE_ABSENT, res->index, "no such lease");
		return;
	}
	if (res->code != CURLE_OK && !never_sent(res->code)) {
		fail(op, CS_STORE_UNKNOWN, 0, res->error);
		return;
	}
	if (read_failed(op, res))
		return;
	doc = json_loadb(res->body, res->len, 0, NULL);
	if (json_is_array(doc))
		out.lease = json_string_value(json_object_get(json_array_get(doc, 0), "ID"));
	else
		out.lease = json_string_value(json_object_get(doc, "ID"));
	if (out.lease == NULL)
		fail(op, CS_STORE_BAD, res->index, "the store's answer names no lease");
	else
		op->cb(&out, op->arg);
	json_decref(doc);
}

static struct cs_store_op *consul_lease_create(struct cs_store *s, const char *name,
					       unsigned ttl_ms, cs_store_cb cb, void *arg)
{
	char *url = cs_xasprintf("%s/v1/session/create", s->base);
	char *ttl = cs_xasprintf("%ums", ttl_ms);
	json_t *doc = json_pack("{s:s, s:s, s:s}", "Name", name, "TTL", ttl, "LockDelay", "0s");
	char *body = json_dumps(doc, JSON_COMPACT);
	struct cs_store_op *op;

	op = store_call(s, "PUT", url, body, strlen(body), CALL_TIMEOUT_MS, on_lease, cb, arg);
	json_decref(doc);
	free(body);
	free(ttl);
	return op;
}

static struct cs_store_op *consul_lease_renew(struct cs_store *s, const char *lease, cs_store_cb cb,
					      void *arg)
{
	char *url = cs_xasprintf("%s/v1/session/renew/%s", s->base, lease);

	return store_call(s, "PUT", url, "", 0, CALL_TIMEOUT_MS, on_lease, cb, arg);
}
