/*
 * transfer: one request to a server and its response, based on libcurl. The state shows at any
 * time whether the server may have run the request. Events are delivered from the event loop, never
 * from within libcurl's callbacks.
 */
#ifndef CS_PROXY_TRANSFER_H
#define CS_PROXY_TRANSFER_H

#include "http/http.h"
#include "proxy/head.h"
#include "proxy/ring.h"

enum cs_transfer_state {
	CS_TRANSFER_UNSENT, /* no byte of the request was sent */
	CS_TRANSFER_SENT, /* the server may have run the request */
	CS_TRANSFER_HEAD, /* the response headers were received */
	CS_TRANSFER_COMPLETE, /* the complete response was received */
	CS_TRANSFER_FAILED /* sent, but no complete response will arrive */
};

/* How the end of the response body is determined. */
enum cs_framing { CS_FRAMING_LENGTH, CS_FRAMING_CHUNKED, CS_FRAMING_CLOSE };

/* Reusable easy handles, connections to servers and transfers with queued events. */
struct cs_transfer_pool;
struct cs_transfer;

/* source: local address of the connections, or NULL. */
struct cs_transfer_pool *cs_transfer_pool_create(struct ev_loop *loop, struct cs_timers *ts,
						 const char *source);
void cs_transfer_pool_destroy(struct cs_transfer_pool *p);
/* Limits the connections of the bulk pool or of the other pool to one server; 0: no limit. */
void cs_transfer_pool_set_limit(struct cs_transfer_pool *p, bool bulk, long connections);

/* Called directly before the request is sent; false if it must not be sent any more. */
typedef bool (*cs_transfer_check_cb)(void *arg);

/* All pointers but addr must be valid until the end of the transfer. */
struct cs_transfer_opts {
	const char *addr;
	uint16_t port;
	const char *method;
	const char *target; /* as sent in the request line */
	struct curl_slist *lines; /* header lines */
	const char *id_name; /* header that a server returns unchanged in its response; NULL: none */
	const char *id; /* value of that header; NULL or empty: sent without one */
	struct ring *body; /* NULL: no body */
	bool body_buffered; /* the complete body is in the ring and stays there */
	uint64_t body_length; /* UINT64_MAX: unknown, sent in chunks */
	const bool *body_ended; /* set by the owner when no more data follows in the ring */
	bool at_most_once; /* never sent again, and only on a new or recently used connection */
	bool own_connection; /* sent on a new connection that is not reused */
	bool bulk; /* sent through the bulk pool, whose connections are not reused */
	size_t buffer_max; /* response data in bytes that is buffered before the transfer pauses */
	cs_transfer_check_cb may_send; /* NULL: the request is sent without a check */
};

/* Headers or body data were received, or the transfer ended. */
typedef void (*cs_transfer_event_cb)(struct cs_transfer *t, void *arg);
/* Request body data was sent, so the ring has space for more. */
typedef void (*cs_transfer_body_cb)(struct cs_transfer *t, void *arg);

struct cs_transfer *cs_transfer_start(struct cs_transfer_pool *p,
				      const struct cs_transfer_opts *opts,
				      cs_transfer_event_cb event_cb, cs_transfer_body_cb body_cb,
				      void *arg);
/* Frees the transfer. If it is running, its connection is closed. */
void cs_transfer_destroy(struct cs_transfer *t);
/* Aborts a running transfer but keeps the object and its state. */
void cs_transfer_stop(struct cs_transfer *t);

enum cs_transfer_state cs_transfer_state(const struct cs_transfer *t);
/* When the request was sent last; 0 if it was not. */
uint64_t cs_transfer_sent_us(const struct cs_transfer *t);
/* True if the transfer ended because its check did not allow to send the request. */
bool cs_transfer_is_withheld(const struct cs_transfer *t);
/* True once the response headers were received. */
bool cs_transfer_has_head(const struct cs_transfer *t);
/*
 * True if the response cannot belong to an earlier request: it has the id of this one, which is
 * sent on one connection only once, or nothing else was sent on its connection.
 */
bool cs_transfer_is_own_response(const struct cs_transfer *t);
/* Sends no further request on the connection of this one. */
void cs_transfer_retire_connection(struct cs_transfer *t);
/* The connection that the request was sent on. */
struct cs_transfer_connection {
	uint64_t serial; /* 0: not sent */
	unsigned earlier_sends; /* requests sent on it before this one */
	uint64_t idle_us; /* how long it had been idle */
	bool has_id; /* the response has the id of the request */
};
void cs_transfer_connection(const struct cs_transfer *t, struct cs_transfer_connection *out);
unsigned cs_transfer_status(const struct cs_transfer *t);
const struct head *cs_transfer_head(const struct cs_transfer *t);
enum cs_framing cs_transfer_framing(const struct cs_transfer *t);
/* Declared length of the response body; UINT64_MAX if there is none. */
uint64_t cs_transfer_length(const struct cs_transfer *t);
/* True if the response has no body because of its status or the request method. */
bool cs_transfer_bodiless(const struct cs_transfer *t);
/* Response body data that was received. */
struct ring *cs_transfer_data(struct cs_transfer *t);
/* True if the response exceeds its buffer and must be forwarded while it is being received. */
bool cs_transfer_overflows(const struct cs_transfer *t);
/* Reason for the failure, as text. */
const char *cs_transfer_error(const struct cs_transfer *t);
/* To be called when response data was consumed; resumes a paused transfer. */
void cs_transfer_data_consumed(struct cs_transfer *t);
/* To be called when body data was added or the body ended; resumes a paused transfer. */
void cs_transfer_body_added(struct cs_transfer *t);

#endif
