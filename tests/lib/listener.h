/*
 * inlet: many listening addresses in front of one MHD daemon. A listener can be closed and opened
 * again while the daemon runs, and each connection knows the listener that accepted it.
 */
#ifndef CS_TEST_INLET_H
#define CS_TEST_INLET_H

#include "http/http.h"

struct inlet;
struct inlet_listener;

/* memory: bytes MHD may use for headers of one connection. */
struct inlet *inlet_create(struct ev_loop *loop, struct cs_timers *ts,
			   MHD_AccessHandlerCallback access, MHD_RequestCompletedCallback completed,
			   void *arg, size_t memory);
/* Adds an address; tag is returned by inlet_tag for its connections. NULL and a message on error. */
struct inlet_listener *inlet_listen(struct inlet *in, const char *addr, uint16_t port, void *tag,
				    struct cs_msg *msg);
uint16_t inlet_port(const struct inlet_listener *l);
/* Refuses new connections and resets the open ones. */
void inlet_close(struct inlet_listener *l);
bool inlet_open(struct inlet_listener *l, struct cs_msg *msg);
/* Leaves new connections in the backlog; open ones go on. */
void inlet_hold(struct inlet_listener *l, bool hold);
void *inlet_tag(struct MHD_Connection *conn);
unsigned inlet_connections(const struct inlet_listener *l);
/* Runs the daemon soon; call it after MHD_resume_connection. */
void inlet_kick(struct inlet *in);
/* Descriptor of a connection's socket. */
int inlet_fd(struct MHD_Connection *conn);
/* Breaks a connection: the peer sees a reset or an early end. */
void inlet_break(struct MHD_Connection *conn);

#endif
