/*
 * standin-store: key-value store and service catalog with a subset of the Consul HTTP API. Faults
 * are set through its control port.
 */
#ifndef STANDIN_STORE_H
#define STANDIN_STORE_H

#include <jansson.h>

#include "tests/lib/listener.h"

enum call_kind {
	CALL_KV_GET,
	CALL_KV_WATCH,
	CALL_KV_PUT,
	CALL_LIST,
	CALL_LIST_WATCH,
	CALL_SESSION,
	CALL_REGISTER,
	CALL_KINDS
};

enum outage { OUTAGE_NONE, OUTAGE_REFUSE, OUTAGE_HANG };

/* A request from its arrival to its response. */
struct call {
	TAILQ_ENTRY(call) entry; /* in watchers or hung_calls */
	struct MHD_Connection *conn;
	char *method;
	char *path;
	char *body;
	size_t len;
	bool started; /* received completely */
	bool suspended;
	bool waiting; /* in watchers */
	bool hung; /* in hung_calls */
	uint64_t known_index; /* of a blocking query; 0: not blocking */
	struct cs_timer timer; /* wait time of a blocking query, or delay_ms */
	struct MHD_Response *response;
	unsigned status;
};
TAILQ_HEAD(call_list, call);

struct faults {
	unsigned delay_ms; /* before each call is handled */
	unsigned list_lag_ms; /* until a registration is visible in lists */
	unsigned lose_responses; /* number of applied writes that will get no response */
	unsigned stale_reads; /* 1: reads return the value before the last write of the key */
	enum outage outage;
};

extern struct ev_loop *loop;
extern struct cs_timers *timers;
extern struct faults faults;
extern uint64_t store_index; /* incremented by each change */

/* main.c. Handling a call ends with a reply, call_wait, call_hang or call_abort. */
void call_reply(struct call *c, unsigned status, const char *body, uint64_t index);
void call_reply_json(struct call *c, json_t *body, uint64_t index);
/* Suspends the call until the index of its path passes known_index or the wait time ends. */
void call_wait(struct call *c, uint64_t wait_ms);
/* Sends no response; the connection is closed when the outage ends. */
void call_hang(struct call *c);
/* Closes the connection without a response. */
void call_abort(struct call *c);
/* Calls call_handle() again for all waiting calls whose path has this prefix. */
void watchers_notify(const char *prefix);
const char *call_arg(struct call *c, const char *name);
/* Parses the query argument wait, such as 30s, 500ms or 5m. */
uint64_t call_wait_ms(struct call *c);
void count_call(enum call_kind kind);
void call_handle(struct call *c);

/* kv.c */
void kv_handle(struct call *c, const char *key);
void kv_release(const char *session);

/* session.c */
void session_handle(struct call *c, const char *rest);
bool session_exists(const char *id);
/* Ends a session as if its TTL had passed. */
bool session_expire(const char *id);

/* catalog.c */
void catalog_register(struct call *c);
void catalog_deregister(struct call *c, const char *id);
void catalog_list(struct call *c, const char *service);

/* control.c */
bool control_start(const char *addr, uint16_t port, struct cs_msg *msg);
/* main.c: applies a change of faults.outage. */
void outage_apply(void);

#endif
