/*
 * store: the platform's key-value service and instance list behind one narrow interface. Calls are
 * asynchronous; each callback runs once, from the loop, never inside the call.
 */
#ifndef CS_STORE_H
#define CS_STORE_H

#include "base/base.h"
#include "http/http.h"

enum cs_store_status {
	CS_STORE_OK,
	CS_STORE_ABSENT, /* no such key */
	CS_STORE_CONFLICT, /* put-if-index: the key has another index */
	CS_STORE_UNAVAILABLE, /* no answer, and nothing was written */
	CS_STORE_UNKNOWN, /* a write got no answer: it may have taken effect */
	CS_STORE_BAD /* malformed answer or a refusal by the service */
};
const char *cs_store_status_name(enum cs_store_status st);

struct cs_store;
struct cs_store_op; /* a running call; valid until its callback */

/* One entry of a list; strings are valid during the callback. meta is an object of strings. */
struct cs_store_entry {
	const char *id;
	const char *addr;
	uint16_t port;
	const struct json_t *meta;
};

struct cs_store_result {
	enum cs_store_status status;
	uint64_t index; /* of the key or list; for put, after the write if known */
	const char *value; /* get, watch: terminated */
	size_t len;
	const struct cs_store_entry *entries; /* list */
	unsigned n_entries;
	const char *lease; /* lease calls: id */
	const char *message; /* last message for a status other than OK */
};
typedef void (*cs_store_cb)(const struct cs_store_result *res, void *arg);

/*
 * url names protocol and address, as consul:http://127.0.0.1:8500; source is the source IP or NULL.
 * NULL and a message for an unknown protocol.
 */
struct cs_store *cs_store_create(struct cs_curl *curl, struct cs_timers *ts, const char *url,
				 const char *source, struct cs_msg *msg);
void cs_store_destroy(struct cs_store *s);
/* Calls made so far, for metrics. */
uint64_t cs_store_calls(const struct cs_store *s);

struct cs_store_op *cs_store_get(struct cs_store *s, const char *key, cs_store_cb cb, void *arg);
/* Answers when the key's index differs from after, or after wait_ms with the present state. */
struct cs_store_op *cs_store_watch(struct cs_store *s, const char *key, uint64_t after,
				   unsigned wait_ms, cs_store_cb cb, void *arg);
/* Writes if the key has this index; 0: if it does not exist. */
struct cs_store_op *cs_store_put(struct cs_store *s, const char *key, const char *value, size_t len,
				 uint64_t index, cs_store_cb cb, void *arg);
/* List of a service; after and wait_ms as for watch, 0 and 0 to answer at once. */
struct cs_store_op *cs_store_list(struct cs_store *s, const char *service, uint64_t after,
				  unsigned wait_ms, cs_store_cb cb, void *arg);
struct cs_store_op *cs_store_lease_create(struct cs_store *s, const char *name, unsigned ttl_ms,
					  cs_store_cb cb, void *arg);
struct cs_store_op *cs_store_lease_renew(struct cs_store *s, const char *lease, cs_store_cb cb,
					 void *arg);
/* Ends a call without its callback. */
void cs_store_cancel(struct cs_store_op *op);

#endif
