/*
 * Store protocol for the Consul HTTP API: /v1/kv with check-and-set and blocking queries,
 * /v1/session for leases, /v1/health/service for service lists.
 */
#include <inttypes.h>
#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "store/store-int.h"

#define REQUEST_TIMEOUT_MS 3000
/* Part of the timeout of a blocking query besides wait and wait/16; see wait_timeout. */
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
					    .index_header = "X-Consul-Index",
					    .get = consul_get,
					    .put = consul_put,
					    .list = consul_list,
					    .lease_create = consul_lease_create,
					    .lease_renew = consul_lease_renew};

/* Query string for a blocking query; empty if wait_ms is 0. */
static char *wait_query(char sep, uint64_t after, unsigned wait_ms)
{
	if (wait_ms == 0)
		return cs_xstrdup("");
	return cs_xasprintf("%cindex=%" PRIu64 "&wait=%ums", sep, after, wait_ms);
}

/* By its documentation, Consul may add up to wait/16 to the duration of a blocking query. */
static unsigned wait_timeout(unsigned wait_ms)
{
	return wait_ms == 0 ? REQUEST_TIMEOUT_MS : wait_ms + wait_ms / 16 + WAIT_SLACK_MS;
}

static void complete_error(struct cs_store_op *op, enum cs_store_status st, uint64_t index,
			   const char *message)
{
	struct cs_store_result out = {.status = st, .index = index, .message = message};

	op->cb(&out, op->arg);
}

/* Fails the operation if there was no response or its status is not 200; returns true then. */
static bool fail_on_error(struct cs_store_op *op, const struct cs_fetch_result *res)
{
	char text[96];

	if (res->code != CURLE_OK) {
		complete_error(op, CS_STORE_UNAVAILABLE, 0, res->error);
		return true;
	}
	if (res->status == 200)
		return false;
	snprintf(text, sizeof(text), "the store responded with status %ld", res->status);
	complete_error(op, res->status >= 500 ? CS_STORE_UNAVAILABLE : CS_STORE_BAD, res->number,
		       text);
	return true;
}

/* Returns NULL if the text is malformed. */
static char *base64_decode(const char *text, size_t *len)
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
	struct cs_store_result out = {.status = CS_STORE_OK, .index = res->number};
	const char *text;
	char *value = NULL;
	json_t *doc = NULL, *row, *index;

	if (res->code == CURLE_OK && res->status == 404) {
		complete_error(op, CS_STORE_ABSENT, res->number, "no such key");
		return;
	}
	if (fail_on_error(op, res))
		return;
	doc = json_loadb(res->body, res->len, 0, NULL);
	row = json_array_get(doc, 0);
	index = json_object_get(row, "ModifyIndex");
	text = json_string_value(json_object_get(row, "Value"));
	if (json_is_integer(index) && text != NULL)
		value = base64_decode(text, &out.len);
	if (value == NULL) {
		complete_error(op, CS_STORE_BAD, res->number,
			       "malformed key-value response from the store");
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
	char *url = cs_xasprintf("%s/v1/kv/%s%s", s->base_url, key, query);

	free(query);
	return store_request(s, NULL, url, NULL, 0, wait_timeout(wait_ms), on_get, cb, arg);
}

/* Returns true if the request cannot have reached the store. */
static bool is_unsent(CURLcode code)
{
	return code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST ||
	       code == CURLE_INTERFACE_FAILED;
}

static void on_put(struct cs_store_op *op, const struct cs_fetch_result *res)
{
	struct cs_store_result out = {.status = CS_STORE_OK, .index = res->number};
	char text[96];

	if (is_unsent(res->code)) {
		complete_error(op, CS_STORE_UNAVAILABLE, 0, res->error);
		return;
	}
	if (res->code != CURLE_OK) {
		complete_error(op, CS_STORE_UNKNOWN, 0, res->error);
		return;
	}
	if (res->status == 200 && strncmp(res->body, "true", 4) == 0) {
		op->cb(&out, op->arg);
		return;
	}
	if (res->status == 200 && strncmp(res->body, "false", 5) == 0) {
		complete_error(op, CS_STORE_CONFLICT, res->number,
			       "the key does not have the expected index");
		return;
	}
	snprintf(text, sizeof(text), "the store responded with status %ld", res->status);
	/* The write may have taken effect despite a status of 5xx. */
	complete_error(op, res->status >= 500 ? CS_STORE_UNKNOWN : CS_STORE_BAD, res->number, text);
}

static struct cs_store_op *consul_put(struct cs_store *s, const char *key, const char *value,
				      size_t len, uint64_t index, cs_store_cb cb, void *arg)
{
	char *url = cs_xasprintf("%s/v1/kv/%s?cas=%" PRIu64, s->base_url, key, index);

	return store_request(s, "PUT", url, value, len, REQUEST_TIMEOUT_MS, on_put, cb, arg);
}

/* Returns false if the entry has no id, no address or no valid port. */
static bool parse_entry(const json_t *row, struct cs_store_entry *e)
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
	struct cs_store_result out = {.status = CS_STORE_OK, .index = res->number};
	struct cs_store_entry *entries = NULL;
	json_t *doc, *row;
	size_t i;

	if (fail_on_error(op, res))
		return;
	doc = json_loadb(res->body, res->len, 0, NULL);
	if (!json_is_array(doc)) {
		complete_error(op, CS_STORE_BAD, res->number,
			       "malformed list response from the store: not an array");
		goto out;
	}
	entries = cs_xcalloc(json_array_size(doc), sizeof(*entries));
	json_array_foreach(doc, i, row)
		if (parse_entry(row, &entries[out.n_entries]))
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
	char *url = cs_xasprintf("%s/v1/health/service/%s%s", s->base_url, service, query);

	free(query);
	return store_request(s, NULL, url, NULL, 0, wait_timeout(wait_ms), on_list, cb, arg);
}

static void on_lease(struct cs_store_op *op, const struct cs_fetch_result *res)
{
	struct cs_store_result out = {.status = CS_STORE_OK, .index = res->number};
	json_t *doc;

	if (res->code == CURLE_OK && res->status == 404) {
		complete_error(op, CS_STORE_ABSENT, res->number, "no such lease");
		return;
	}
	if (res->code != CURLE_OK && !is_unsent(res->code)) {
		complete_error(op, CS_STORE_UNKNOWN, 0, res->error);
		return;
	}
	if (fail_on_error(op, res))
		return;
	doc = json_loadb(res->body, res->len, 0, NULL);
	if (json_is_array(doc))
		out.lease = json_string_value(json_object_get(json_array_get(doc, 0), "ID"));
	else
		out.lease = json_string_value(json_object_get(doc, "ID"));
	if (out.lease == NULL)
		complete_error(op, CS_STORE_BAD, res->number,
			       "malformed lease response from the store: no ID");
	else
		op->cb(&out, op->arg);
	json_decref(doc);
}

static struct cs_store_op *consul_lease_create(struct cs_store *s, const char *name,
					       unsigned ttl_ms, cs_store_cb cb, void *arg)
{
	char *url = cs_xasprintf("%s/v1/session/create", s->base_url);
	char *ttl = cs_xasprintf("%ums", ttl_ms);
	json_t *doc = json_pack("{s:s, s:s, s:s}", "Name", name, "TTL", ttl, "LockDelay", "0s");
	char *body = json_dumps(doc, JSON_COMPACT);
	struct cs_store_op *op;

	op = store_request(s, "PUT", url, body, strlen(body), REQUEST_TIMEOUT_MS, on_lease, cb,
			   arg);
	json_decref(doc);
	free(body);
	free(ttl);
	return op;
}

static struct cs_store_op *consul_lease_renew(struct cs_store *s, const char *lease, cs_store_cb cb,
					      void *arg)
{
	char *url = cs_xasprintf("%s/v1/session/renew/%s", s->base_url, lease);

	return store_request(s, "PUT", url, "", 0, REQUEST_TIMEOUT_MS, on_lease, cb, arg);
}
