/* Callers' side: one MHD daemon, its connections, and the flow of each request through MHD. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "src/proxyd/proxyd.h"

/* Bytes MHD may use for one connection: headers over HEAD_MAX still fit, so that we answer them. */
#define CONNECTION_MEMORY (32 * 1024)
#define CONNECTION_LIMIT 20000
/* MHD closes a connection that is idle, or slow in sending its headers, after this time. */
#define IDLE_TIMEOUT_S 30

static void *on_uri(void *cls, const char *uri, struct MHD_Connection *mhd);
static enum MHD_Result on_access(void *cls, struct MHD_Connection *mhd, const char *url,
				 const char *method, const char *version, const char *data,
				 size_t *size, void **ctx);
static void on_completed(void *cls, struct MHD_Connection *mhd, void **ctx,
			 enum MHD_RequestTerminationCode code);
static void on_connection(void *cls, struct MHD_Connection *mhd, void **ctx,
			  enum MHD_ConnectionNotificationCode code);
static size_t on_unescape(void *cls, struct MHD_Connection *mhd, char *s);
static void on_log(void *cls, const char *fmt, va_list ap) __attribute__((format(printf, 2, 0)));

bool server_start(struct proxyd *p, struct cs_msg *msg)
{
	int fd = cs_listen(p->address, p->port, &p->port, msg);

	if (fd < 0)
		return false;
	p->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG, 0, NULL, NULL,
		on_access, p, MHD_OPTION_EXTERNAL_LOGGER, on_log, NULL, MHD_OPTION_LISTEN_SOCKET,
		fd, MHD_OPTION_URI_LOG_CALLBACK, on_uri, p, MHD_OPTION_UNESCAPE_CALLBACK,
		on_unescape, NULL, MHD_OPTION_NOTIFY_COMPLETED, on_completed, p,
		MHD_OPTION_NOTIFY_CONNECTION, on_connection, p, MHD_OPTION_CONNECTION_TIMEOUT,
		(unsigned)IDLE_TIMEOUT_S, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)CONNECTION_MEMORY, MHD_OPTION_CONNECTION_LIMIT, (unsigned)CONNECTION_LIMIT,
		MHD_OPTION_END);
	if (p->daemon == NULL) {
		cs_msg_set(msg, "cannot start the HTTP server on %s:%u", p->address, p->port);
		close(fd);
		return false;
	}
	p->hangup = hangup_create(p->loop);
	p->mhd = cs_mhd_attach(p->loop, p->timers, p->daemon);
	return true;
}

void server_stop(struct proxyd *p)
{
	struct request *req;

	if (p->daemon == NULL)
		return;
	cs_mhd_detach(p->mhd);
	/* MHD must not be stopped while connections are suspended. */
	TAILQ_FOREACH(req, &p->requests, entry)
		request_gone(req);
	MHD_run(p->daemon);
	MHD_stop_daemon(p->daemon);
	hangup_destroy(p->hangup);
	p->daemon = NULL;
}

void server_suspend(struct request *req)
{
	if (req->suspended)
		return;
	req->suspended = true;
	MHD_suspend_connection(req->mhd);
}

void server_resume(struct request *req)
{
	if (!req->suspended)
		return;
	req->suspended = false;
	MHD_resume_connection(req->mhd);
	cs_mhd_kick(req->proxyd->mhd);
}

void server_answer(struct request *req)
{
	if (req->suspended) {
		server_resume(req);
		return;
	}
	if (req->in_handler || !req->has_body || req->body_ended || req->early)
		return;
	/*
	 * MHD waits for the rest of the body and takes no reply before its end. The end of input
	 * makes it close the connection.
	 */
	if (!reply_early(req))
		return;
	req->early = true;
	shutdown(req->conn->fd, SHUT_RD);
}

static void on_log(void *cls, const char *fmt, va_list ap)
{
	char text[200];

	vsnprintf(text, sizeof(text), fmt, ap);
	text[strcspn(text, "\n")] = '\0';
	cs_log(CS_DEBUG, "server", "%s", text);
}

/* Leaves targets as received; they are passed on unchanged. */
static size_t on_unescape(void *cls, struct MHD_Connection *mhd, char *s)
{
	return strlen(s);
}

static void on_connection(void *cls, struct MHD_Connection *mhd, void **ctx,
			  enum MHD_ConnectionNotificationCode code)
{
	struct proxyd *p = cls;
	struct conn *c = *ctx;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		c = cs_xcalloc(1, sizeof(*c));
		c->proxyd = p;
		c->mhd = mhd;
		c->fd = MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
		LIST_INSERT_HEAD(&p->conns, c, entry);
		hangup_add(p->hangup, c);
		*ctx = c;
		p->n_conns++;
		(*p->stats.connections)++;
		return;
	}
	if (c == NULL)
		return;
	hangup_remove(p->hangup, c);
	LIST_REMOVE(c, entry);
	p->n_conns--;
	*ctx = NULL;
	free(c);
}

/* First line of a request is in: uri is the target as received. */
static void *on_uri(void *cls, const char *uri, struct MHD_Connection *mhd)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	struct request *req = request_create(cls, uri);

	req->mhd = mhd;
	req->conn = info->socket_context;
	if (req->conn != NULL)
		req->conn->req = req;
	return req;
}

/* Headers are in. An error reply is queued at once, before the body. */
static enum MHD_Result first_call(struct request *req, const char *method)
{
	req->started = true;
	if (!cs_copy(req->method, sizeof(req->method), method))
		req->method[0] = '\0';
	intake_check(req);
	if (req->reply == NULL && req->admin)
		return MHD_YES;
	if (req->reply == NULL)
		request_start(req);
	/* MHD closes the connection after a reply to the first call; without a body there is no
	 * need. */
	if (req->reply == NULL || !req->has_body)
		return MHD_YES;
	req->early = true;
	return reply_send(req);
}

/* The request is complete, or MHD goes on after a suspension. */
static enum MHD_Result last_call(struct request *req)
{
	if (req->admin && req->reply == NULL)
		admin_handle(req);
	else if (!req->body_ended && req->reply == NULL)
		request_body_end(req);
	if (req->gone)
		return MHD_NO;
	if (req->reply != NULL)
		return reply_send(req);
	server_suspend(req);
	return MHD_YES;
}

static enum MHD_Result body_call(struct request *req, const char *data, size_t *size)
{
	if (req->admin)
		*size = 0;
	else if (req->reply == NULL)
		*size -= request_body(req, data, *size);
	if (req->gone)
		return MHD_NO;
	if (req->reply != NULL && reply_early(req)) {
		req->early = true;
		return MHD_NO;
	}
	if (req->reply != NULL)
		*size -= request_body(req, data, *size);
	if (*size > 0)
		server_suspend(req);
	return MHD_YES;
}

static enum MHD_Result on_access(void *cls, struct MHD_Connection *mhd, const char *url,
				 const char *method, const char *version, const char *data,
				 size_t *size, void **ctx)
{
	struct request *req = *ctx;
	enum MHD_Result res;

	if (req == NULL || req->gone || req->early)
		return MHD_NO;
	req->in_handler = true;
	if (!req->started)
		res = first_call(req, method);
	else if (*size > 0)
		res = body_call(req, data, size);
	else
		res = last_call(req);
	req->in_handler = false;
	return res;
}

static void on_completed(void *cls, struct MHD_Connection *mhd, void **ctx,
			 enum MHD_RequestTerminationCode code)
{
	struct request *req = *ctx;

	*ctx = NULL;
	if (req == NULL)
		return;
	if (req->early && req->conn != NULL)
		cs_linger(req->proxyd->lingers, req->conn->fd);
	else if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK)
		req->gone = true;
	if (req->conn != NULL)
		req->conn->req = NULL;
	request_destroy(req);
}
