/*
 * linger: lingering close for connections on which a response was sent before the end of the
 * request body. Closing a socket with unread input makes the kernel reset the connection, and the
 * client may lose the response. A duplicate of the descriptor is read until the client closes its
 * side or a timeout expires.
 */
#ifndef CS_PROXY_LINGER_H
#define CS_PROXY_LINGER_H

#include "base/base.h"

struct cs_linger_list;
struct cs_linger_list *cs_linger_list_create(struct ev_loop *loop, struct cs_timers *ts);
void cs_linger_list_destroy(struct cs_linger_list *ll);
/* Discards further input of a connection. The caller still closes fd. */
void cs_linger_add(struct cs_linger_list *ll, int fd);
/* Number of connections that are still read. */
unsigned cs_linger_count(const struct cs_linger_list *ll);

#endif
