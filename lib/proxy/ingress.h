/*
 * ingress: HTTP/1.1 server for clients. A call is one request and its response. Its callbacks are
 * begin, any number of body, body_end, and done; one response is sent in between. If the connection
 * ends before the end of the response, disconnected is called before done.
 *
 * A client may send further requests before the first response. Responses are sent in the order of
 * the requests. Those that the owner allows (ops->ahead) begin at once, up to a limit; others begin
 * after the responses before them. If a response closes the connection, requests behind it that
 * have not begun are left unread.
 */
#ifndef CS_PROXY_INGRESS_H
#define CS_PROXY_INGRESS_H

#include "http/http.h"
#include "proxy/head.h"
#include "proxy/linger.h"

struct cs_ingress;
struct cs_call;

/*
 * Clients are told to use a connection for this much less than the idle timeout, so that their next
 * request does not cross its close.
 */
#define CS_IDLE_MARGIN_S 1

/* Results of cs_ingress_ops.read other than a number of bytes. */
#define CS_READ_AGAIN 0 /* no data yet; call cs_call_resume when there is some */
#define CS_READ_END (-1)
#define CS_READ_ERROR (-2) /* the connection is closed before the end of the response */

/* What is wrong with a request; method, target and headers are those that could be read. */
enum cs_call_fault {
	CS_CALL_VALID,
	CS_CALL_BAD_SYNTAX, /* no request line, or no header section */
	CS_CALL_BAD_METHOD,
	CS_CALL_BAD_TARGET,
	CS_CALL_BAD_VERSION,
	CS_CALL_BAD_HEADER,
	CS_CALL_BAD_FRAMING, /* where the body ends is not certain */
	CS_CALL_TOO_LARGE /* the header section exceeds the limit */
};

/* What a request allows on a connection with several requests; results of cs_ingress_ops.ahead. */
#define CS_AHEAD_BEGIN 1U /* it may begin before the responses to earlier requests */
#define CS_AHEAD_FOLLOW 2U /* others may begin before its response, which keeps the connection */

/* Why a request gets no response, or not all of it. */
enum cs_call_end {
	CS_CALL_CLIENT_CLOSED, /* the client closed or reset its connection */
	/* This side closed the connection: */
	CS_CALL_IDLE, /* this side waited for the client for the idle timeout */
	CS_CALL_BROKEN, /* the owner's data of a streamed response ended early */
	CS_CALL_BAD_BODY /* the rest of the request cannot be read; it gets an error response */
};
const char *cs_call_end_name(enum cs_call_end end);

struct cs_ingress_ops {
	/*
	 * The request headers were received. The callback may already send the response. It must
	 * send an error if cs_call_fault is not CS_CALL_VALID; the connection is then closed.
	 */
	void (*begin)(struct cs_call *call, void *arg);
	/*
	 * Body data; returns the number of bytes accepted. The rest is delivered again after
	 * cs_call_resume.
	 */
	size_t (*body)(struct cs_call *call, const char *data, size_t n, void *arg);
	void (*body_end)(struct cs_call *call, void *arg);
	/* The client receives no response of the owner, or not all of it. */
	void (*disconnected)(struct cs_call *call, enum cs_call_end end, void *arg);
	/* Provides the next data of a streamed response; returns its length or one of CS_READ_*. */
	ssize_t (*read)(struct cs_call *call, char *buf, size_t max, void *arg);
	/* The call has ended and is freed after this callback. */
	void (*done)(struct cs_call *call, void *arg);
	/* Returns CS_AHEAD_* for a call that has not begun; NULL: one request at a time. */
	unsigned (*ahead)(struct cs_call *call, void *arg);
	/* Names a request in reports of cut; NULL: without names. */
	const char *(*name)(struct cs_call *call, void *arg);
	/* A connection was closed after its last response while its client still sent; may be NULL.
	 */
	void (*cut)(const struct cs_linger_cut *cut, void *arg);
};

struct cs_ingress_opts {
	const char *addr;
	uint16_t port; /* 0: any free port */
	/* Limit of concurrent connections, lingering ones included; idle ones make room for others.
	 */
	unsigned connections;
	size_t head_max; /* limit of a request line with its headers, in bytes */
	/*
	 * Time for which this side waits for the client: to send a request or the rest of one, or
	 * to take output. The time in which the owner owes a response or its next data, or accepts
	 * no body data, does not count.
	 */
	unsigned idle_s;
	const struct cs_ingress_ops *ops;
	void *arg;
};

struct cs_ingress *cs_ingress_create(struct ev_loop *loop, struct cs_timers *ts,
				     const struct cs_ingress_opts *opts, struct cs_msg *msg);
void cs_ingress_destroy(struct cs_ingress *g);
uint16_t cs_ingress_port(const struct cs_ingress *g);
/* Sets the idle timeout. Connections that are idle keep the one before if that is longer. */
void cs_ingress_set_idle_timeout(struct cs_ingress *g, unsigned idle_s);
/* Closes each connection after its last response in progress from now on, and announces that. */
void cs_ingress_disable_keep_alive(struct cs_ingress *g);
/* Closes the connections on which no request is in progress or has begun to arrive. */
void cs_ingress_close_idle(struct cs_ingress *g);
/* Stops listening; open connections are still served. */
void cs_ingress_stop_listening(struct cs_ingress *g);
unsigned cs_ingress_calls(const struct cs_ingress *g);
unsigned cs_ingress_connections(const struct cs_ingress *g);
/*
 * Connections that were closed after their last response and whose clients have not closed them
 * yet. If the process ended now, a response on its way to them could be lost.
 */
unsigned cs_ingress_lingering(const struct cs_ingress *g);

void cs_call_set_data(struct cs_call *call, void *data);
void *cs_call_data(const struct cs_call *call);
enum cs_call_fault cs_call_fault(const struct cs_call *call);
/* Status of an error response to a fault, and a name for it. */
unsigned cs_call_fault_status(enum cs_call_fault fault);
const char *cs_call_fault_name(enum cs_call_fault fault);
const char *cs_call_method(const struct cs_call *call);
/* Request target as received, except that absolute form is converted to origin form. */
const char *cs_call_target(const struct cs_call *call);
const char *cs_call_header(const struct cs_call *call, const char *name);
/* Valid until the next call of this function. */
const char *cs_call_cookie(struct cs_call *call, const char *name);
/*
 * Sets until when the client waits for its response. A response that comes before the end of the
 * request can reach a client that still sends until then; there is a default.
 */
void cs_call_set_deadline(struct cs_call *call, uint64_t deadline_us);
/* True if the client had closed its connection before its request was read. */
bool cs_call_closed_unread(const struct cs_call *call);
/* Calls fn for each header line in order until it returns false. */
void cs_call_headers(const struct cs_call *call,
		     bool (*fn)(const char *name, const char *value, void *arg), void *arg);

/* Sends a complete response. Each call gets exactly one response, complete or streamed. */
void cs_call_respond(struct cs_call *call, unsigned status, const struct head *lines,
		     const char *body, size_t len);
/*
 * Sends a response whose body is provided by cs_ingress_ops.read. size is UINT64_MAX if unknown;
 * the body is then sent in chunks, so that one that ends with an error does not look complete.
 */
void cs_call_respond_stream(struct cs_call *call, unsigned status, const struct head *lines,
			    uint64_t size);
/*
 * Closes the connection after the response, for example if the start of the next request cannot be
 * determined.
 */
void cs_call_close_after_response(struct cs_call *call);
/*
 * To be called when more body data can be accepted or more data of a streamed response is
 * available.
 */
void cs_call_resume(struct cs_call *call);

#endif
