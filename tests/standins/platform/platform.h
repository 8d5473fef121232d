/*
 * standin-platform: simulates the platform of the users in one process: the store with its
 * published protocol, and some backend servers. Faults are set through paths under /control/ of the
 * store.
 */
#ifndef STANDIN_PLATFORM_H
#define STANDIN_PLATFORM_H

#include "http/http.h"

struct store;
struct store *store_create(struct ev_loop *loop, struct cs_timers *ts, const char *addr,
			   uint16_t port, struct cs_msg *msg);
void store_destroy(struct store *st);
uint16_t store_port(const struct store *st);
/* Writes a key without conditions and lease, or deletes it if value is NULL. */
void store_write(struct store *st, const char *key, const char *value);

struct server;
/* Where a server listens, and the address that it registers in the store. */
struct server_location {
	const char *addr;
	uint16_t port; /* 0: any free port */
	const char *registered_addr; /* NULL: addr */
};
/* Starts a server and registers it in the store. */
struct server *server_create(struct ev_loop *loop, struct cs_timers *ts, struct store *st,
			     const struct server_location *location, const char *id,
			     const char *service, const char *zone, struct cs_msg *msg);
void server_destroy(struct server *s);
/* Writes the server's store entry with a state: "ready" or "draining". */
void server_register(struct server *s, const char *state);
const char *server_id(const struct server *s);

/* How often the servers have executed a request. */
unsigned request_run_count(const char *request_id);

#endif
