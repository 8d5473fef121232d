/* Internal declarations of lib/store. */
#ifndef CS_STORE_INT_H
#define CS_STORE_INT_H

#include "store/store.h"

/* Functions of a protocol. Each protocol has a file of its own and an entry in store.c. */
struct store_protocol {
	const char *name;
	const char *index_header; /* of responses; its value is cs_fetch_result.number */
	struct cs_store_op *(*get)(struct cs_store *s, const char *key, uint64_t after,
				   unsigned wait_ms, cs_store_cb cb, void *arg);
	struct cs_store_op *(*put)(struct cs_store *s, const char *key, const char *value,
				   size_t len, uint64_t index, cs_store_cb cb, void *arg);
	struct cs_store_op *(*list)(struct cs_store *s, const char *service, uint64_t after,
				    unsigned wait_ms, cs_store_cb cb, void *arg);
	struct cs_store_op *(*lease_create)(struct cs_store *s, const char *name, unsigned ttl_ms,
					    cs_store_cb cb, void *arg);
	struct cs_store_op *(*lease_renew)(struct cs_store *s, const char *lease, cs_store_cb cb,
					   void *arg);
};

struct cs_store {
	const struct store_protocol *protocol;
	struct cs_curl *curl;
	struct cs_timers *timers;
	char *base_url; /* http://IP:PORT */
	char *source; /* NULL: any */
	uint64_t calls;
	LIST_HEAD(, cs_store_op) ops;
};

struct cs_store_op {
	LIST_ENTRY(cs_store_op) entry;
	struct cs_store *store;
	struct cs_fetch *fetch;
	cs_store_cb cb;
	void *arg;
	/* Converts the response to a result and calls cb. */
	void (*done)(struct cs_store_op *op, const struct cs_fetch_result *res);
};

extern const struct store_protocol store_consul;

/* Starts an HTTP request; frees the URL. */
struct cs_store_op *store_request(struct cs_store *s, const char *method, char *url,
				  const char *body, size_t len, unsigned timeout_ms,
				  void (*done)(struct cs_store_op *,
					       const struct cs_fetch_result *),
				  cs_store_cb cb, void *arg);

#endif
