/*
 * linger: connections on which an answer went out before the end of the request's body. Closing a
 * socket with unread input makes the kernel reset the connection, and the caller may lose the
 * answer: a duplicate of the descriptor is read until the caller has closed its side.
 */
#ifndef CS_PROXY_LINGER_H
#define CS_PROXY_LINGER_H

#include "base/base.h"

struct cs_lingers;
struct cs_lingers *cs_lingers_create(struct ev_loop *loop, struct cs_timers *ts);
void cs_lingers_destroy(struct cs_lingers *ls);
/* Discards what still comes on a connection; fd itself stays the caller's to close. */
void cs_linger(struct cs_lingers *ls, int fd);

#endif
