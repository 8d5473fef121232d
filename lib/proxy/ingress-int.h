/* ingress-int: client connections and calls, shared by the files of the ingress. */
#ifndef CS_PROXY_INGRESS_INT_H
#define CS_PROXY_INGRESS_INT_H

#include "proxy/ingress.h"

/* Requests of one connection that may be in progress at once. */
#define AHEAD_CALLS_MAX 16
/* No further request is started while responses of this size wait for earlier ones, in bytes. */
#define AHEAD_RESPONSE_BYTES_MAX ((size_t)256 * 1024)
/* Input that a connection buffers in addition to one header section, in bytes. */
#define INPUT_BLOCK_SIZE ((size_t)16 * 1024)
/* Bytes that are requested at a time from a streamed response. */
#define STREAM_BLOCK_SIZE ((size_t)32 * 1024)

/* Position within a request body in chunked coding. */
enum chunk_state { CHUNK_SIZE, CHUNK_DATA, CHUNK_DATA_END, CHUNK_TRAILER };

enum body_framing { BODY_NONE, BODY_LENGTH, BODY_CHUNKED };

/* One request and its response. */
struct cs_call {
	TAILQ_ENTRY(cs_call) entry; /* in conn.calls, in the order of the requests */
	struct conn *conn;
	void *data;
	char *target;
	char method[24];
	char *cookie; /* value returned by cs_call_cookie */
	struct head headers;
	enum cs_call_fault fault;
	unsigned ahead; /* CS_AHEAD_* */
	bool begun; /* ops->begin was called */
	bool body_ended;
	bool closed_unread; /* the client closed the connection before the request was read */
	bool http_1_0;
	bool close_after; /* the connection is closed after the response */
	uint64_t deadline_us; /* until when the client waits; 0: not known */
	enum body_framing framing;
	uint64_t body_left; /* bytes of the body, or of the current chunk */
	enum chunk_state chunk;
	/* Response. */
	bool responded;
	bool head_written; /* the header section was added to the output */
	bool streamed, stream_ended, stream_chunked;
	unsigned status;
	uint64_t size; /* of the body; UINT64_MAX if unknown */
	struct head lines;
	char *body; /* complete body; NULL if streamed */
	size_t body_written;
};

/* One client connection. */
struct conn {
	TAILQ_ENTRY(conn) entry; /* in cs_ingress.conns */
	TAILQ_ENTRY(conn) idle_entry; /* in cs_ingress.idle, the longest idle first */
	TAILQ_ENTRY(conn) ready_entry; /* in cs_ingress.ready */
	struct cs_ingress *owner;
	int fd;
	ev_io readable, writable;
	struct cs_timer timeout;
	/* When the client last did what this side waits for, or this side began to wait. */
	uint64_t active_us;
	unsigned idle_s; /* idle timeout at that time, on which the client relies */
	bool awaits_client; /* the next step is the client's; the idle time counts */
	bool idle, ready;
	bool hangup_watched;
	bool input_ended; /* the client closed the connection, or its side of it */
	bool input_closed; /* no further request is read */
	bool body_blocked; /* the owner of the call accepts no more body data for now */
	char *in; /* input that was not yet consumed: in[in_pos..in_len) */
	size_t in_pos, in_len, in_size;
	size_t scanned; /* input after in_pos without an end of a header section */
	struct cs_call *held; /* request that waits for the responses before it */
	struct cs_call *reading; /* request whose body is being received */
	struct cs_linger_request last; /* on which the connection is closed */
	TAILQ_HEAD(, cs_call) calls; /* requests in progress, the oldest first */
	unsigned n_calls;
	char *out; /* output that was not yet sent: out[out_pos..out_len) */
	size_t out_pos, out_len, out_size;
	bool output_due; /* output waits until the client takes some */
	uint64_t sent, taken; /* bytes sent, and acknowledged by the client at the last check */
};

struct cs_ingress {
	struct ev_loop *loop;
	struct cs_timers *timers;
	struct cs_linger_list *lingers;
	const struct cs_ingress_ops *ops;
	void *arg;
	int fd; /* listening socket; -1: closed */
	uint16_t port;
	unsigned idle_s;
	unsigned connections_max;
	size_t head_max;
	bool keep_alive_disabled;
	bool destroying; /* calls end without being reported as disconnected */
	ev_io accept;
	struct cs_timer accept_timer;
	TAILQ_HEAD(, conn) conns, idle, ready;
	unsigned n_calls, n_conns;
	/*
	 * A socket that is not read, because its buffer is full, does not report that the client
	 * has disconnected. This epoll set watches such sockets for the end of input only.
	 */
	int hangup_epoll_fd;
	ev_io hangup;
	ev_prepare prepare;
	ev_idle keep_awake; /* keeps the loop from blocking while connections are ready */
};

/* ingress.c */
/* True if a client waits for the place of another, as there are as many connections as allowed. */
bool ingress_place_is_wanted(const struct cs_ingress *g);
/* Has a connection continue before the loop blocks. */
void conn_schedule(struct conn *c);
/* Notes that the client did what this side waits for, or that this side begins to wait. */
void conn_active(struct conn *c);
/* Closes a connection; calls in progress end for the given reason. */
void conn_destroy(struct conn *c, enum cs_call_end end);
/* Closes a connection after its last response so that the client receives all of it. */
void conn_close(struct conn *c);
/* Adjusts the watchers to the state of the connection. */
void conn_watch(struct conn *c);

/* call.c */
struct cs_call *call_create(struct conn *c);
/* Ends a call: reports it as done, if it had begun, and frees it. */
void call_destroy(struct cs_call *call);

/* client-read.c */
/* Consumes input: bodies, and requests as far as they may begin. */
void conn_parse(struct conn *c);

/* client-write.c */
/* Writes the responses that are due; false if the connection was destroyed. */
bool conn_write(struct conn *c);

#endif
