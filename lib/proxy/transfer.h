/*
 * transfer: one request to a server and its answer, with libcurl. The state tells at each moment
 * whether the server may have run the request. News are handed out from the loop, never inside of
 * libcurl's callbacks.
 */
#ifndef CS_PROXY_TRANSFER_H
#define CS_PROXY_TRANSFER_H

#include "http/http.h"
#include "proxy/head.h"
#include "proxy/ring.h"

enum cs_transfer_state {
	CS_TRANSFER_UNSENT, /* no byte of the request left */
	CS_TRANSFER_SENT, /* may have run */
	CS_TRANSFER_HEAD, /* the answer's head is in */
	CS_TRANSFER_WHOLE, /* all of the answer is in */
	CS_TRANSFER_BROKEN /* sent, and no whole answer will come */
};

/* How the server marks the end of its answer. */
enum cs_framing { CS_FRAMING_LENGTH, CS_FRAMING_CHUNKED, CS_FRAMING_CLOSE };

/* Easy handles, connections to servers and the list of transfers with news. */
struct cs_lanes;
struct cs_transfer;

/* source: address to connect from, or NULL. */
struct cs_lanes *cs_lanes_create(struct ev_loop *loop, struct cs_timers *ts, const char *source);
void cs_lanes_destroy(struct cs_lanes *l);
/* Most connections of each kind to one server; 0: no limit. */
void cs_lanes_limit(struct cs_lanes *l, bool bulk, long connections);

struct cs_transfer_opts {
	const char *addr;
	uint16_t port;
	const char *method;
	const char *target; /* as it goes on the request line */
	struct curl_slist *lines; /* header lines; valid until the end of the transfer */
	const char *id_name; /* a header that answers repeat, and its value; NULL: none */
	const char *id;
	struct ring *body; /* NULL: no body */
	bool body_whole; /* all of it is in the ring and stays there */
	uint64_t body_length; /* UINT64_MAX: unknown, sent in chunks */
	const bool *body_ended; /* set by the owner when the ring gets no more bytes */
	bool once; /* at most once: never sent again, and only on a connection in recent use */
	bool alone; /* on a connection of its own, used for nothing else */
	bool bulk; /* large: on connections of their own */
	size_t buffer_max; /* bytes of the answer held; more makes the transfer pause */
};

/* There is news: a head, a body block, or the end. */
typedef void (*cs_transfer_cb)(struct cs_transfer *t, void *arg);
/* The owner needs more bytes of the request's body. */
typedef void (*cs_transfer_want)(struct cs_transfer *t, void *arg);

struct cs_transfer *cs_transfer_start(struct cs_lanes *l, const struct cs_transfer_opts *opts,
				      cs_transfer_cb news, cs_transfer_want want, void *arg);
/* Ends the transfer; a running one closes its connection. */
void cs_transfer_destroy(struct cs_transfer *t);
/* Stops a running transfer but keeps the object and its state. */
void cs_transfer_stop(struct cs_transfer *t);

enum cs_transfer_state cs_transfer_state(const struct cs_transfer *t);
/* True from the head on. */
bool cs_transfer_has_head(const struct cs_transfer *t);
unsigned cs_transfer_status(const struct cs_transfer *t);
const struct head *cs_transfer_head(const struct cs_transfer *t);
enum cs_framing cs_transfer_framing(const struct cs_transfer *t);
/* Declared length; UINT64_MAX without one. */
uint64_t cs_transfer_length(const struct cs_transfer *t);
/* True if the answer has no body by its status or the request's method. */
bool cs_transfer_bodiless(const struct cs_transfer *t);
/* Bytes of the answer that are in. */
struct ring *cs_transfer_data(struct cs_transfer *t);
/* True if the answer does not fit into its buffer: it has to be passed on while it comes. */
bool cs_transfer_overflows(const struct cs_transfer *t);
/* Text on why it broke. */
const char *cs_transfer_error(const struct cs_transfer *t);
/* Bytes were taken out of the data: goes on if it paused. */
void cs_transfer_taken(struct cs_transfer *t);
/* Bytes were put into the body, or it ended: goes on if it paused. */
void cs_transfer_fed(struct cs_transfer *t);

#endif
