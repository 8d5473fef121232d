/* One MHD daemon, its connections, and the flow of each request through MHD. */
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy/early.h"
#include "proxy/ingress.h"
#include "proxy/linger.h"

/* Bytes MHD asks for in one call while an answer streams. */
#define BLOCK_SIZE (32 * 1024)
#define EVENTS_MAX 64

/* One connection of a caller. */
struct conn {
	LIST_ENTRY(conn) entry;
	struct cs_ingress *owner;
	struct cs_call *call;
	int fd;
};

struct cs_call {
	TAILQ_ENTRY(cs_call) entry;
	struct cs_ingress *owner;
	struct conn *conn;
	struct MHD_Connection *mhd;
	void *data;
	char *target;
	char method[24];
	bool begun; /* the head was handed out */
	bool has_body, body_ended;
	bool in_handler;
	bool suspended; /* MHD does not read or write the connection */
	bool gone;
	bool early; /* answered before the end of the body */
	bool last; /* the connection ends with this answer */
	struct MHD_Response *reply;
	unsigned status;
	const char *reply_body; /* whole body, or NULL if the answer streams */
	size_t reply_len;
};

struct cs_ingress {
	struct ev_loop *loop;
	struct MHD_Daemon *daemon;
	struct cs_mhd *mhd;
	struct cs_lingers *lingers;
	const struct cs_ingress_ops *ops;
	void *arg;
	uint16_t port;
	unsigned idle_s;
	bool closing;
	TAILQ_HEAD(, cs_call) calls;
	LIST_HEAD(, conn) conns;
	unsigned n_calls, n_conns;
	/*
	 * MHD does not watch the socket of a suspended connection, so that a caller that leaves
	 * while its request waits for a server would go unnoticed. A second epoll set watches all
	 * sockets for the end of input only, edge-triggered.
	 */
	int hangup_fd;
	ev_io hangup;
};

static void *on_uri(void *cls, const char *uri, struct MHD_Connection *mhd);
static enum MHD_Result on_access(void *cls, struct MHD_Connection *mhd, const char *url,
				 const char *method, const char *version, const char *data,
				 size_t *size, void **ctx);
static void on_completed(void *cls, struct MHD_Connection *mhd, void **ctx,
			 enum MHD_RequestTerminationCode code);
static void on_connection(void *cls, struct MHD_Connection *mhd, void **ctx,
			  enum MHD_ConnectionNotificationCode code);
static size_t on_unescape(void *cls, struct MHD_Connection *mhd, char *s);
static void on_hangup(struct ev_loop *loop, ev_io *w, int events);
static ssize_t on_read(void *cls, uint64_t pos, char *buf, size_t max);

struct cs_ingress *cs_ingress_create(struct ev_loop *loop, struct cs_timers *ts,
				     const struct cs_ingress_opts *opts, struct cs_msg *msg)
{
	struct cs_ingress *g = cs_xcalloc(1, sizeof(*g));
	int fd = cs_listen(opts->addr, opts->port, &g->port, msg);

	if (fd < 0)
		goto fail;
	g->loop = loop;
	g->ops = opts->ops;
	g->arg = opts->arg;
	g->idle_s = opts->idle_s;
	TAILQ_INIT(&g->calls);
	LIST_INIT(&g->conns);
	g->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_access, g,
		MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_URI_LOG_CALLBACK, on_uri, g,
		MHD_OPTION_UNESCAPE_CALLBACK, on_unescape, NULL, MHD_OPTION_NOTIFY_COMPLETED,
		on_completed, g, MHD_OPTION_NOTIFY_CONNECTION, on_connection, g,
		MHD_OPTION_CONNECTION_TIMEOUT, opts->idle_s, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		opts->memory, MHD_OPTION_CONNECTION_LIMIT, opts->connections, MHD_OPTION_END);
	if (g->daemon == NULL) {
		cs_msg_set(msg, "cannot start the HTTP server on %s:%u", opts->addr, opts->port);
		close(fd);
		goto fail;
	}
	g->hangup_fd = epoll_create1(EPOLL_CLOEXEC);
	ev_io_init(&g->hangup, on_hangup, g->hangup_fd, EV_READ);
	g->hangup.data = g;
	ev_io_start(loop, &g->hangup);
	g->lingers = cs_lingers_create(loop, ts);
	g->mhd = cs_mhd_attach(loop, ts, g->daemon);
	return g;
fail:
	free(g);
	return NULL;
}

void cs_ingress_destroy(struct cs_ingress *g)
{
	struct cs_call *call;

	if (g == NULL)
		return;
	cs_mhd_detach(g->mhd);
	/* MHD must not be stopped while connections are suspended. */
	TAILQ_FOREACH(call, &g->calls, entry) {
		call->gone = true;
		cs_call_resume(call);
	}
	MHD_run(g->daemon);
	MHD_stop_daemon(g->daemon);
	ev_io_stop(g->loop, &g->hangup);
	close(g->hangup_fd);
	cs_lingers_destroy(g->lingers);
	free(g);
}

uint16_t cs_ingress_port(const struct cs_ingress *g)
{
	return g->port;
}

void cs_ingress_idle(struct cs_ingress *g, unsigned idle_s)
{
	g->idle_s = idle_s;
}

void cs_ingress_closing(struct cs_ingress *g)
{
	g->closing = true;
}

void cs_ingress_quiesce(struct cs_ingress *g)
{
	MHD_socket fd = MHD_quiesce_daemon(g->daemon);

	if (fd != MHD_INVALID_SOCKET)
		close(fd);
}

unsigned cs_ingress_calls(const struct cs_ingress *g)
{
	return g->n_calls;
}

unsigned cs_ingress_connections(const struct cs_ingress *g)
{
	return g->n_conns;
}

void cs_call_set(struct cs_call *call, void *data)
{
	call->data = data;
}

void *cs_call_get(const struct cs_call *call)
{
	return call->data;
}

const char *cs_call_method(const struct cs_call *call)
{
	return call->method;
}

const char *cs_call_target(const struct cs_call *call)
{
	return call->target;
}

const char *cs_call_header(const struct cs_call *call, const char *name)
{
	return MHD_lookup_connection_value(call->mhd, MHD_HEADER_KIND, name);
}

const char *cs_call_cookie(const struct cs_call *call, const char *name)
{
	return MHD_lookup_connection_value(call->mhd, MHD_COOKIE_KIND, name);
}

struct visit {
	bool (*fn)(const char *name, const char *value, void *arg);
	void *arg;
};

static enum MHD_Result on_value(void *cls, enum MHD_ValueKind kind, const char *name,
				const char *value)
{
	struct visit *v = cls;

	return v->fn(name, value ? value : "", v->arg) ? MHD_YES : MHD_NO;
}

void cs_call_headers(const struct cs_call *call,
		     bool (*fn)(const char *name, const char *value, void *arg), void *arg)
{
	struct visit v = {fn, arg};

	MHD_get_connection_values(call->mhd, MHD_HEADER_KIND, on_value, &v);
}

static void call_suspend(struct cs_call *call)
{
	if (call->suspended)
		return;
	call->suspended = true;
	MHD_suspend_connection(call->mhd);
}

void cs_call_resume(struct cs_call *call)
{
	if (!call->suspended)
		return;
	call->suspended = false;
	MHD_resume_connection(call->mhd);
	cs_mhd_wakeup(call->owner->mhd);
}

/* Adds a header; MHD takes no tabs in values. */
static void add_header(struct MHD_Response *r, const char *name, const char *value)
{
	char *copy, *p;

	if (strchr(value, '\t') == NULL) {
		MHD_add_response_header(r, name, value);
		return;
	}
	copy = cs_xstrdup(value);
	for (p = copy; *p != '\0'; p++)
		if (*p == '\t')
			*p = ' ';
	MHD_add_response_header(r, name, copy);
	free(copy);
}

static void add_lines(struct MHD_Response *r, const struct head *lines)
{
	const char *name, *value;
	size_t at = 0;

	while (head_next(lines, &at, &name, &value))
		add_header(r, name, value);
}

/* Writes the answer past MHD, if it is whole and small. */
static bool write_early(struct cs_call *call)
{
	if (call->reply_body == NULL || call->conn == NULL)
		return false;
	return cs_early_write(call->conn->fd, call->reply, call->status, call->reply_body,
			      call->reply_len);
}

/* The answer is set: sends it now, also while the body still comes. */
static void send_answer(struct cs_call *call)
{
	if (call->suspended) {
		cs_call_resume(call);
		return;
	}
	if (call->in_handler || !call->has_body || call->body_ended || call->early)
		return;
	/*
	 * MHD waits for the rest of the body and takes no answer before its end. The end of input
	 * makes it close the connection.
	 */
	if (!write_early(call))
		return;
	call->early = true;
	shutdown(call->conn->fd, SHUT_RD);
}

void cs_call_last(struct cs_call *call)
{
	call->last = true;
}

static void set_reply(struct cs_call *call, unsigned status, const struct head *lines,
		      struct MHD_Response *r)
{
	if (call->reply != NULL)
		MHD_destroy_response(call->reply);
	call->reply = r;
	call->status = status;
	if (lines != NULL)
		add_lines(r, lines);
}

void cs_call_answer(struct cs_call *call, unsigned status, const struct head *lines,
		    const char *body, size_t len)
{
	struct MHD_Response *r;
	char *copy = cs_xcalloc(1, len + 1);

	memcpy(copy, body, len);
	r = MHD_create_response_from_buffer(len, copy, MHD_RESPMEM_MUST_FREE);
	set_reply(call, status, lines, r);
	call->reply_body = copy;
	call->reply_len = len;
	send_answer(call);
}

void cs_call_stream(struct cs_call *call, unsigned status, const struct head *lines, uint64_t size,
		    bool until_close)
{
	struct MHD_Response *r = MHD_create_response_from_callback(
		size == UINT64_MAX ? MHD_SIZE_UNKNOWN : size, BLOCK_SIZE, on_read, call, NULL);

	/* A final chunk would claim that an answer without a mark of its end is whole. */
	if (until_close)
		MHD_set_response_options(r, MHD_RF_HTTP_1_0_COMPATIBLE_STRICT, MHD_RO_END);
	set_reply(call, status, lines, r);
	call->reply_body = NULL;
	send_answer(call);
}

static enum MHD_Result queue_reply(struct cs_call *call)
{
	if (call->owner->closing || call->last)
		MHD_add_response_header(call->reply, "Connection", "close");
	return MHD_queue_response(call->mhd, call->status, call->reply);
}

/* Leaves targets as received; they are passed on unchanged. */
static size_t on_unescape(void *cls, struct MHD_Connection *mhd, char *s)
{
	return strlen(s);
}

static void on_connection(void *cls, struct MHD_Connection *mhd, void **ctx,
			  enum MHD_ConnectionNotificationCode code)
{
	struct cs_ingress *g = cls;
	struct conn *c = *ctx;
	struct epoll_event ev = {.events = EPOLLRDHUP | EPOLLET};
	int one = 1;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		c = cs_xcalloc(1, sizeof(*c));
		c->owner = g;
		c->fd = MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
		LIST_INSERT_HEAD(&g->conns, c, entry);
		ev.data.ptr = c;
		epoll_ctl(g->hangup_fd, EPOLL_CTL_ADD, c->fd, &ev);
		setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		MHD_set_connection_option(mhd, MHD_CONNECTION_OPTION_TIMEOUT, g->idle_s);
		*ctx = c;
		g->n_conns++;
		return;
	}
	if (c == NULL)
		return;
	epoll_ctl(g->hangup_fd, EPOLL_CTL_DEL, c->fd, NULL);
	LIST_REMOVE(c, entry);
	g->n_conns--;
	*ctx = NULL;
	free(c);
}

static void call_gone(struct cs_call *call)
{
	if (call->gone || call->early)
		return;
	call->gone = true;
	if (call->begun)
		call->owner->ops->gone(call, call->owner->arg);
	cs_call_resume(call);
}

static void on_hangup(struct ev_loop *loop, ev_io *w, int events)
{
	struct epoll_event ev[EVENTS_MAX];
	struct cs_ingress *g = w->data;
	struct conn *c;
	int n, i;

	n = epoll_wait(g->hangup_fd, ev, EVENTS_MAX, 0);
	/* call_gone defers what could free a connection, so that all of ev stays valid. */
	for (i = 0; i < n; i++) {
		c = ev[i].data.ptr;
		if (c->call != NULL)
			call_gone(c->call);
	}
}

/* Origin form of a target: an absolute one, which every server has to take, loses scheme and host. */
static const char *origin_form(const char *uri)
{
	const char *path;

	if (strncasecmp(uri, "http://", 7) != 0)
		return uri;
	path = strchr(uri + 7, '/');
	return path != NULL ? path : "/";
}

/* First line of a request is in: uri is the target as received. */
static void *on_uri(void *cls, const char *uri, struct MHD_Connection *mhd)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	struct cs_call *call = cs_xcalloc(1, sizeof(*call));

	call->owner = cls;
	call->mhd = mhd;
	call->target = cs_xstrdup(origin_form(uri));
	call->conn = info->socket_context;
	if (call->conn != NULL)
		call->conn->call = call;
	TAILQ_INSERT_TAIL(&call->owner->calls, call, entry);
	call->owner->n_calls++;
	return call;
}

/* Whether the head says that a body follows. */
static bool announces_body(const struct cs_call *call)
{
	const char *length = cs_call_header(call, "Content-Length");

	if (cs_call_header(call, "Transfer-Encoding") != NULL)
		return true;
	return length != NULL && strtoull(length, NULL, 10) > 0;
}

/* The head is in. An answer to a request with a body is queued at once; MHD then closes. */
static enum MHD_Result first_call(struct cs_call *call, const char *method)
{
	call->begun = true;
	cs_copy(call->method, sizeof(call->method), method);
	call->has_body = announces_body(call);
	call->owner->ops->begin(call, call->owner->arg);
	if (call->reply == NULL || !call->has_body)
		return MHD_YES;
	call->early = true;
	return queue_reply(call);
}

static enum MHD_Result body_call(struct cs_call *call, const char *data, size_t *size)
{
	struct cs_ingress *g = call->owner;

	if (call->reply == NULL)
		*size -= g->ops->body(call, data, *size, g->arg);
	if (call->gone)
		return MHD_NO;
	if (call->reply != NULL && write_early(call)) {
		call->early = true;
		return MHD_NO;
	}
	if (call->reply != NULL)
		*size = 0;
	if (*size > 0)
		call_suspend(call);
	return MHD_YES;
}

/* The request is complete, or MHD goes on after a suspension. */
static enum MHD_Result last_call(struct cs_call *call)
{
	struct cs_ingress *g = call->owner;

	if (!call->body_ended) {
		call->body_ended = true;
		if (call->reply == NULL)
			g->ops->body_end(call, g->arg);
	}
	if (call->gone)
		return MHD_NO;
	if (call->reply != NULL)
		return queue_reply(call);
	call_suspend(call);
	return MHD_YES;
}

static enum MHD_Result on_access(void *cls, struct MHD_Connection *mhd, const char *url,
				 const char *method, const char *version, const char *data,
				 size_t *size, void **ctx)
{
	struct cs_call *call = *ctx;
	enum MHD_Result res;

	if (call == NULL || call->gone || call->early)
		return MHD_NO;
	call->in_handler = true;
	if (!call->begun)
		res = first_call(call, method);
	else if (*size > 0)
		res = body_call(call, data, size);
	else
		res = last_call(call);
	call->in_handler = false;
	return res;
}

static void on_completed(void *cls, struct MHD_Connection *mhd, void **ctx,
			 enum MHD_RequestTerminationCode code)
{
	struct cs_call *call = *ctx;
	struct cs_ingress *g = cls;

	*ctx = NULL;
	if (call == NULL)
		return;
	if (call->early && call->conn != NULL)
		cs_linger(g->lingers, call->conn->fd);
	else if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK && !call->gone) {
		call->gone = true;
		if (call->begun)
			g->ops->gone(call, g->arg);
	}
	if (call->conn != NULL)
		call->conn->call = NULL;
	if (call->begun)
		g->ops->done(call, g->arg);
	TAILQ_REMOVE(&g->calls, call, entry);
	g->n_calls--;
	if (call->reply != NULL)
		MHD_destroy_response(call->reply);
	free(call->target);
	free(call);
}

/* MHD wants more of a streamed answer. */
static ssize_t on_read(void *cls, uint64_t pos, char *buf, size_t max)
{
	struct cs_call *call = cls;
	ssize_t n;

	if (call->gone)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	n = call->owner->ops->read(call, buf, max, call->owner->arg);
	if (n > 0)
		return n;
	if (n == CS_READ_END)
		return MHD_CONTENT_READER_END_OF_STREAM;
	if (n == CS_READ_BROKEN)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	call_suspend(call);
	return 0;
}
