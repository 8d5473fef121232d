/* Output of client connections: responses in the order of the requests. */
#include <errno.h>
#include <http_parser.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>

#include "proxy/ingress-int.h"

/*
 * Bytes that one connection sends before the loop serves others, so that large responses do not
 * delay small ones.
 */
#define WRITE_TURN_MAX ((size_t)128 * 1024)
/* Room for the size line and line ends of a chunk. */
#define CHUNK_OVERHEAD 16
/* Output buffers up to this size are kept between responses. */
#define OUTPUT_KEEP_MAX ((size_t)4 * 1024)
/* Clients without a deadline are taken to wait this long after their response. */
#define CLIENT_WAIT_DEFAULT_US (30 * CS_US_PER_S)

static const char *reason_phrase(unsigned status)
{
	switch (status) {
#define REASON(num, name, string)                                                                  \
	case num:                                                                                  \
		return #string;
		HTTP_STATUS_MAP(REASON)
#undef REASON
	default:
		return "";
	}
}

/* Date header of a response; formatted once a second. */
static const char *date_line(void)
{
	static char text[64];
	static time_t formatted;
	time_t now = time(NULL);
	struct tm tm;

	if (now != formatted && gmtime_r(&now, &tm) != NULL) {
		formatted = now;
		strftime(text, sizeof(text), "Date: %a, %d %b %Y %H:%M:%S GMT\r\n", &tm);
	}
	return text;
}

/* Returns room for n more bytes of output. */
static char *out_reserve(struct conn *c, size_t n)
{
	size_t size = c->out_size > 0 ? c->out_size : 512;

	if (c->out_pos == c->out_len)
		c->out_pos = c->out_len = 0;
	while (size < c->out_len + n)
		size *= 2;
	if (size > c->out_size) {
		c->out = cs_xrealloc(c->out, size, 1);
		c->out_size = size;
	}
	return c->out + c->out_len;
}

static void out_add(struct conn *c, const char *text, size_t len)
{
	memcpy(out_reserve(c, len), text, len);
	c->out_len += len;
}

static void out_text(struct conn *c, const char *text)
{
	out_add(c, text, strlen(text));
}

/* Adds a header line, with tabs replaced by spaces. */
static void out_header(struct conn *c, const char *name, const char *value)
{
	char *p;

	out_text(c, name);
	out_text(c, ": ");
	out_text(c, value);
	for (p = c->out + c->out_len - strlen(value); p < c->out + c->out_len; p++)
		if (*p == '\t')
			*p = ' ';
	out_text(c, "\r\n");
}

static bool is_connection_header(const char *name)
{
	return strcasecmp(name, "Keep-Alive") == 0 || strcasecmp(name, "Content-Length") == 0 ||
	       strcasecmp(name, "Transfer-Encoding") == 0 || strcasecmp(name, "Connection") == 0;
}

/* True if the status or the method of the request excludes a body. */
static bool has_no_body(const struct cs_call *call)
{
	return call->status == 204 || call->status == 304 || call->status < 200 ||
	       strcmp(call->method, "HEAD") == 0;
}

/* True if the connection is to end for a client that waits for its place. */
static bool makes_room(const struct conn *c)
{
	return c->held == NULL && c->in_pos == c->in_len && ingress_place_is_wanted(c->owner);
}

/*
 * Decides whether this is the last response of the connection. While the process stops that is the
 * last one in progress, so that no request that was begun loses its response.
 */
static void decide_close(struct conn *c, struct cs_call *call)
{
	if (!call->body_ended && call->framing != BODY_NONE)
		call->close_after = true;
	if (TAILQ_NEXT(call, entry) == NULL && (c->owner->keep_alive_disabled || makes_room(c)))
		call->close_after = true;
	if (call->close_after)
		c->input_closed = true;
}

static void write_head(struct conn *c, struct cs_call *call)
{
	const char *name, *value;
	bool has_date = false;
	char line[128];
	size_t at = 0;

	call->head_written = true;
	decide_close(c, call);
	snprintf(line, sizeof(line), "HTTP/1.1 %u %s\r\n", call->status,
		 reason_phrase(call->status));
	out_text(c, line);
	while (head_next(&call->lines, &at, &name, &value)) {
		if (is_connection_header(name))
			continue;
		has_date |= strcasecmp(name, "Date") == 0;
		out_header(c, name, value);
	}
	if (!has_date)
		out_text(c, date_line());
	if (call->close_after) {
		out_text(c, "Connection: close\r\n");
	} else if (c->owner->idle_s > CS_IDLE_MARGIN_S) {
		snprintf(line, sizeof(line), "Keep-Alive: timeout=%u\r\n",
			 c->owner->idle_s - CS_IDLE_MARGIN_S);
		out_text(c, line);
	}
	if (call->size != UINT64_MAX && call->status != 204) {
		snprintf(line, sizeof(line), "Content-Length: %llu\r\n",
			 (unsigned long long)call->size);
		out_text(c, line);
	} else if (!has_no_body(call) && !call->http_1_0) {
		call->stream_chunked = true;
		out_text(c, "Transfer-Encoding: chunked\r\n");
	}
	out_text(c, "\r\n");
	if (!has_no_body(call))
		return;
	call->stream_ended = true;
	call->body_written = call->body != NULL ? (size_t)call->size : 0;
}

/* Adds the next data of a streamed response; returns a result of ops->read. */
static ssize_t add_stream_data(struct conn *c, struct cs_call *call)
{
	struct cs_ingress *g = c->owner;
	char size_line[CHUNK_OVERHEAD], *at;
	size_t head = call->stream_chunked ? CHUNK_OVERHEAD : 0;
	ssize_t n;
	int len;

	at = out_reserve(c, STREAM_BLOCK_SIZE + 2 * head);
	n = g->ops->read(call, at + head, STREAM_BLOCK_SIZE, g->arg);
	if (n == CS_READ_END) {
		call->stream_ended = true;
		if (call->stream_chunked)
			out_text(c, "0\r\n\r\n");
	}
	if (n <= 0)
		return n;
	if (!call->stream_chunked) {
		c->out_len += (size_t)n;
		return n;
	}
	len = snprintf(size_line, sizeof(size_line), "%zx\r\n", (size_t)n);
	memmove(at + len, at + head, (size_t)n);
	memcpy(at, size_line, (size_t)len);
	c->out_len += (size_t)len + (size_t)n;
	out_text(c, "\r\n");
	return n;
}

/* Sends buffered output and the complete body of a response. */
static ssize_t send_output(struct conn *c, struct cs_call *call)
{
	struct iovec iov[2] = {
		{.iov_base = c->out + c->out_pos, .iov_len = c->out_len - c->out_pos}};
	struct msghdr msg = {.msg_iov = iov, .msg_iovlen = 1};
	size_t from_out;
	ssize_t n;

	if (call != NULL && call->head_written && call->body != NULL) {
		iov[1] = (struct iovec){.iov_base = call->body + call->body_written,
					.iov_len = (size_t)call->size - call->body_written};
		msg.msg_iovlen = 2;
	}
	n = sendmsg(c->fd, &msg, MSG_DONTWAIT | MSG_NOSIGNAL);
	if (n <= 0)
		return n;
	conn_active(c);
	c->sent += (size_t)n;
	from_out = (size_t)n < iov[0].iov_len ? (size_t)n : iov[0].iov_len;
	c->out_pos += from_out;
	if (call != NULL && msg.msg_iovlen == 2)
		call->body_written += (size_t)n - from_out;
	if (c->out_pos == c->out_len && c->out_size > OUTPUT_KEEP_MAX) {
		free(c->out);
		c->out = NULL;
		c->out_pos = c->out_len = c->out_size = 0;
	}
	return n;
}

/* Bytes of a request that its client has still to send; UINT64_MAX if unknown. */
static uint64_t body_left(const struct cs_call *call)
{
	if (call->fault != CS_CALL_VALID)
		return UINT64_MAX;
	if (call->body_ended || call->framing == BODY_NONE)
		return 0;
	return call->framing == BODY_LENGTH ? call->body_left : UINT64_MAX;
}

/* Keeps what the lingering close needs of the last call. */
static void keep_last(struct conn *c, struct cs_call *call)
{
	const struct cs_ingress *g = c->owner;

	c->last.body_left = body_left(call);
	c->last.deadline_us = call->deadline_us > 0 ? call->deadline_us
						    : cs_mono_us() + CLIENT_WAIT_DEFAULT_US;
	if (c->last.body_left > 0 && g->ops->name != NULL)
		c->last.name = cs_xstrdup(g->ops->name(call, g->arg));
}

static bool has_output(const struct conn *c, const struct cs_call *call)
{
	return c->out_pos < c->out_len || (call != NULL && call->head_written &&
					   call->body != NULL && call->body_written < call->size);
}

static void finish_call(struct conn *c, struct cs_call *call)
{
	TAILQ_REMOVE(&c->calls, call, entry);
	c->n_calls--;
	c->owner->n_calls--;
	if (c->reading == call)
		c->reading = NULL;
	call_destroy(call);
}

/* Adds output of the oldest call; false if there is none for now. */
static bool add_output(struct conn *c, struct cs_call *call, bool *broken)
{
	ssize_t n;

	if (call == NULL || !call->responded)
		return false;
	if (!call->head_written) {
		write_head(c, call);
		return true;
	}
	if (!call->streamed || call->stream_ended)
		return false;
	n = add_stream_data(c, call);
	*broken = n == CS_READ_ERROR;
	return n != CS_READ_AGAIN && n != CS_READ_ERROR;
}

static bool is_complete(const struct cs_call *call)
{
	return call != NULL && call->head_written && (!call->streamed || call->stream_ended);
}

bool conn_write(struct conn *c)
{
	struct cs_call *call;
	size_t sent = 0;
	bool broken = false, closes;
	struct linger reset = {.l_onoff = 1, .l_linger = 0};
	ssize_t n;

	for (;;) {
		call = TAILQ_FIRST(&c->calls);
		if (has_output(c, call)) {
			if (sent >= WRITE_TURN_MAX)
				break;
			n = send_output(c, call);
			if (n < 0 && (errno == EAGAIN || errno == EINTR))
				break;
			if (n <= 0) {
				conn_destroy(c, CS_CALL_CLIENT_CLOSED);
				return false;
			}
			sent += (size_t)n;
			continue;
		}
		if (is_complete(call)) {
			closes = call->close_after;
			if (closes)
				keep_last(c, call);
			finish_call(c, call);
			if (closes) {
				conn_close(c);
				return false;
			}
			continue;
		}
		if (!add_output(c, call, &broken))
			break;
	}
	if (!broken)
		return true;
	/* Without a length, only a reset shows the client that the response is incomplete. */
	if (call->size == UINT64_MAX && !call->stream_chunked)
		setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	conn_destroy(c, CS_CALL_BROKEN);
	return false;
}
