/*
 * store: asynchronous client of the platform's key-value store and service lists. The callback of
 * an operation runs once, from the event loop and never during the call that starts the operation.
 */
#ifndef CS_STORE_H
#define CS_STORE_H

#include "base/base.h"
#include "http/http.h"

enum cs_store_status {
	CS_STORE_OK,
	CS_STORE_ABSENT, /* no such key or lease */
	CS_STORE_CONFLICT, /* put: the key has another index */
	CS_STORE_UNAVAILABLE, /* no response or a server error, and nothing was written */
	CS_STORE_UNKNOWN, /* no response or a server error, but a write may have taken effect */
	CS_STORE_BAD /* malformed response, or the store rejected the request */
};
const char *cs_store_status_name(enum cs_store_status st);

struct cs_store;
struct cs_store_op; /* operation in progress; valid until its callback */

/* Entry of a service list, valid during the callback. meta is a JSON object of strings. */
struct cs_store_entry {
	const char *id;
	const char *addr;
	uint16_t port;
	const struct json_t *meta;
};

struct cs_store_result {
	enum cs_store_status status;
	uint64_t index; /* index of the key or list; for put, index after the write if known */
	const char *value; /* get, watch: terminated by a null byte */
	size_t len;
	const struct cs_store_entry *entries; /* list: entries found */
	unsigned n_entries;
	const char *lease; /* lease calls: id */
	const char *message; /* error message if the status is not OK */
};
typedef void (*cs_store_cb)(const struct cs_store_result *res, void *arg);

/*
 * url has the protocol and the address, for example consul:http://127.0.0.1:8500; source is the
 * source IP or NULL. Returns NULL and sets msg if the protocol is unknown or the URL malformed.
 */
struct cs_store *cs_store_create(struct cs_curl *curl, struct cs_timers *ts, const char *url,
				 const char *source, struct cs_msg *msg);
void cs_store_destroy(struct cs_store *s);
/* Number of requests sent to the store. */
uint64_t cs_store_request_count(const struct cs_store *s);

struct cs_store_op *cs_store_get(struct cs_store *s, const char *key, cs_store_cb cb, void *arg);
/* Completes when the index of the key differs from after, or with the current state after wait_ms. */
struct cs_store_op *cs_store_watch(struct cs_store *s, const char *key, uint64_t after,
				   unsigned wait_ms, cs_store_cb cb, void *arg);
/* Writes only if the key has this index; index 0: only if the key does not exist. */
struct cs_store_op *cs_store_put(struct cs_store *s, const char *key, const char *value, size_t len,
				 uint64_t index, cs_store_cb cb, void *arg);
/* Reads the list of a service; after and wait_ms as for watch, or 0 and 0 not to wait. */
struct cs_store_op *cs_store_list(struct cs_store *s, const char *service, uint64_t after,
				  unsigned wait_ms, cs_store_cb cb, void *arg);
struct cs_store_op *cs_store_lease_create(struct cs_store *s, const char *name, unsigned ttl_ms,
					  cs_store_cb cb, void *arg);
struct cs_store_op *cs_store_lease_renew(struct cs_store *s, const char *lease, cs_store_cb cb,
					 void *arg);
/* Cancels an operation; its callback is not called. */
void cs_store_cancel(struct cs_store_op *op);

#endif
