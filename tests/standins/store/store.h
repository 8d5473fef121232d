/*
 * standin-store: a key-value service and instance list with the published Consul HTTP paths, whose
 * faults are set over its control port.
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

/* One caller's request from its arrival to its answer. */
struct call {
	TAILQ_ENTRY(call) entry; /* in watchers or hung */
	struct MHD_Connection *conn;
	char *method;
	char *path;
	char *body;
	size_t len;
	bool handled;
	bool suspended;
	bool waiting; /* in watchers */
	bool hung;
	uint64_t after; /* watch: index the caller knows */
	struct cs_timer timer; /* end of a watch, or delay */
	struct MHD_Response *reply;
	unsigned status;
};
TAILQ_HEAD(call_list, call);

struct faults {
	unsigned delay_ms; /* before each call is handled */
	unsigned lag_ms; /* until a registration shows in lists */
	unsigned lose; /* writes whose answer is still to be lost */
	unsigned stale; /* 1: reads of a key give its value before the last write */
	enum outage outage;
};

extern struct ev_loop *loop;
extern struct cs_timers *timers;
extern struct faults faults;
extern uint64_t now_index; /* grows with each change of any kind */

/* main.c: answers. Each call gets one of these. */
void call_reply(struct call *c, unsigned status, const char *body, uint64_t index);
void call_reply_json(struct call *c, json_t *body, uint64_t index);
/* Keeps the call until the index of its subject passes c->after or wait ends. */
void call_wait(struct call *c, uint64_t wait_ms);
/* Never answers; the connection is broken when the outage ends. */
void call_hang(struct call *c);
void call_drop(struct call *c);
/* Handles again all waiting calls whose path has this prefix. */
void watchers_wake(const char *prefix);
const char *call_arg(struct call *c, const char *name);
/* Value of ?wait= as 30s, 500ms or 5m, in ms. */
uint64_t call_wait_ms(struct call *c);
void count_call(enum call_kind kind);
void handle(struct call *c);

/* kv.c */
void kv_handle(struct call *c, const char *key);
void kv_release(const char *session);

/* session.c */
void session_handle(struct call *c, const char *rest);
bool session_exists(const char *id);
/* Ends a session as if its TTL had passed. */
bool session_lapse(const char *id);

/* catalog.c */
void catalog_register(struct call *c);
void catalog_deregister(struct call *c, const char *id);
void catalog_list(struct call *c, const char *service);

/* control.c */
bool control_start(const char *addr, uint16_t port, struct cs_msg *msg);
/* main.c: applies faults.outage. */
void outage_apply(void);

#endif
