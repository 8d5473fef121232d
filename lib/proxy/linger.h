/*
 * linger: lingering close for connections on which a response was sent before the end of the
 * request body. Closing a socket with unread input makes the kernel reset the connection, and the
 * client may lose the response. The input is read and discarded until the client closes its side,
 * sends nothing more, or does not wait for the response any more.
 */
#ifndef CS_PROXY_LINGER_H
#define CS_PROXY_LINGER_H

#include "base/base.h"

/* Why a connection was closed although its client had not sent all, or sent more. */
enum cs_linger_why {
	CS_LINGER_TIME, /* the client does not wait for its response any more */
	CS_LINGER_SILENT, /* it sends nothing */
	CS_LINGER_ROOM, /* another connection needed the descriptor */
	CS_LINGER_END, /* the end of the process */
	CS_LINGER_LATE /* input followed the last request, such as a request that gets no response */
};
const char *cs_linger_why_name(enum cs_linger_why why);

/*
 * A connection that was closed while its client was still sending, so that its response may be
 * lost, or whose client sent another request.
 */
struct cs_linger_cut {
	const char *name; /* of the request; "" if it has none */
	enum cs_linger_why why;
	uint64_t lingered_us;
	uint64_t bytes; /* that were read and discarded; CS_LINGER_LATE: behind the request */
};
typedef void (*cs_linger_cut_cb)(const struct cs_linger_cut *cut, void *arg);

/* The request that was answered last. */
struct cs_linger_request {
	char *name; /* freed by the list; may be NULL */
	uint64_t body_left; /* bytes that the client has still to send; UINT64_MAX if unknown */
	uint64_t deadline_us; /* until when the client waits for its response */
};

struct cs_linger_list;
struct cs_linger_list *cs_linger_list_create(struct ev_loop *loop, struct cs_timers *ts,
					     cs_linger_cut_cb on_cut, void *arg);
void cs_linger_list_destroy(struct cs_linger_list *ll);
/* Discards further input of a connection, and closes fd later. */
void cs_linger_add(struct cs_linger_list *ll, int fd, const struct cs_linger_request *req);
/* True if there is a connection whose client is still sending, or another one. */
bool cs_linger_has(const struct cs_linger_list *ll, bool sending);
/* Closes the one that has been silent for longest; there must be one. */
void cs_linger_drop(struct cs_linger_list *ll, bool sending);
/* Number of connections that are still read. */
unsigned cs_linger_count(const struct cs_linger_list *ll);

#endif
