/*
 * HTTP server of the tests: several listening addresses in front of one MHD daemon. A listener can
 * be closed and opened again while the daemon runs, and each connection is associated with the
 * listener that accepted it.
 */
#ifndef CS_TEST_LISTENER_H
#define CS_TEST_LISTENER_H

#include "http/http.h"

struct inlet;
struct inlet_listener;

/* memory: limit of MHD for the headers of one connection, in bytes. NULL on error. */
struct inlet *inlet_create(struct ev_loop *loop, struct cs_timers *ts,
			   MHD_AccessHandlerCallback access, MHD_RequestCompletedCallback completed,
			   void *arg, size_t memory);
/*
 * Adds a listening address; inlet_tag() returns the tag for its connections. On error returns NULL
 * and sets msg.
 */
struct inlet_listener *inlet_listen(struct inlet *set, const char *addr, uint16_t port, void *tag,
				    struct cs_msg *msg);
uint16_t inlet_port(const struct inlet_listener *l);
/* Stops listening, so that new connections are refused, and resets the open ones. */
void inlet_close(struct inlet_listener *l);
bool inlet_open(struct inlet_listener *l, struct cs_msg *msg);
/* Stops accepting, so that new connections stay in the backlog; open ones are not affected. */
void inlet_hold(struct inlet_listener *l, bool paused);
void *inlet_tag(struct MHD_Connection *conn);
unsigned inlet_connections(const struct inlet_listener *l);
/* Has the daemon run before the event loop blocks again; required after MHD_resume_connection(). */
void inlet_kick(struct inlet *set);
/* Returns the socket of a connection. */
int inlet_fd(struct MHD_Connection *conn);
/* Shuts down a connection: the peer sees a reset or a premature end of the stream. */
void inlet_break(struct MHD_Connection *conn);

#endif
