/*
 * HTTP server of the tests: several listening addresses in front of one MHD daemon. A listener can
 * be closed and opened again while the daemon runs, and each connection is associated with the
 * listener that accepted it.
 */
#ifndef CS_TEST_LISTENER_H
#define CS_TEST_LISTENER_H

#include "http/http.h"

struct listener_set;
struct mhd_listener;

/* memory is MHD's limit for the buffers of one connection, in bytes. Returns NULL on error. */
struct listener_set *listener_set_create(struct ev_loop *loop, struct cs_timers *ts,
					 MHD_AccessHandlerCallback access,
					 MHD_RequestCompletedCallback completed, void *arg,
					 size_t memory);
/*
 * Adds a listening address; mhd_conn_tag() returns the tag for its connections. On error returns
 * NULL and sets msg.
 */
struct mhd_listener *mhd_listener_create(struct listener_set *set, const char *addr, uint16_t port,
					 void *tag, struct cs_msg *msg);
uint16_t mhd_listener_port(const struct mhd_listener *l);
/* Stops listening, so that new connections are refused, and resets the open ones. */
void mhd_listener_close(struct mhd_listener *l);
bool mhd_listener_open(struct mhd_listener *l, struct cs_msg *msg);
/* Stops accepting, so that new connections stay in the backlog; open ones are not affected. */
void mhd_listener_pause(struct mhd_listener *l, bool paused);
void *mhd_conn_tag(struct MHD_Connection *conn);
unsigned mhd_listener_connections(const struct mhd_listener *l);
/* Has the daemon run before the event loop blocks again; required after MHD_resume_connection(). */
void listener_set_wakeup(struct listener_set *set);
int mhd_conn_fd(struct MHD_Connection *conn);
/* Shuts down a connection: the peer sees a reset or a premature end of the stream. */
void mhd_conn_abort(struct MHD_Connection *conn);

#endif
