/* Shared by the files of lib/store only. */
#ifndef CS_STORE_INT_H
#define CS_STORE_INT_H

#include "store/store.h"

/* One protocol; a new one is a file with such a table and a line in store.c. */
struct store_protocol {
	const char *name;
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
	char *base; /* http://IP:PORT */
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
	/* Turns the answer into a result; calls op_finish. */
	void (*done)(struct cs_store_op *op, const struct cs_fetch_result *res);
};

extern const struct store_protocol store_consul;

/* Starts one HTTP exchange; the URL is freed. */
struct cs_store_op *store_call(struct cs_store *s, const char *method, char *url, const char *body,
			       size_t len, unsigned timeout_ms,
			       void (*done)(struct cs_store_op *, const struct cs_fetch_result *),
			       cs_store_cb cb, void *arg);

#endif
