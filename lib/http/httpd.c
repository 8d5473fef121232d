/* HTTP server for control interfaces, which buffers each request and each response as a whole. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "http/http.h"

#define CONNECTION_MEMORY_BYTES (16 * 1024) /* MHD's limit for the headers of a connection */
#define IDLE_TIMEOUT_S 60

struct header {
	struct header *next;
	char *name;
	char *value;
};

struct cs_http_req {
	struct cs_httpd *owner;
	struct MHD_Connection *conn;
	char *method;
	char *path;
	char *body;
	size_t len;
	bool too_large;
	bool handler_called;
	bool in_handler; /* the handler is running, and the connection is not suspended */
	bool suspended;
	bool disconnected; /* the connection ended before the response */
	struct header *headers;
	struct MHD_Response *reply;
	unsigned status;
};

struct cs_httpd {
	struct MHD_Daemon *daemon;
	struct cs_mhd *mhd;
	cs_httpd_cb cb;
	void *arg;
	size_t max_body;
	uint16_t port;
	unsigned open_connections;
	bool stopping;
};

static enum MHD_Result on_access(void *cls, struct MHD_Connection *conn, const char *url,
				 const char *method, const char *version, const char *data,
				 size_t *size, void **ctx);
static void on_completed(void *cls, struct MHD_Connection *conn, void **ctx,
			 enum MHD_RequestTerminationCode code);
static void on_connection(void *cls, struct MHD_Connection *conn, void **ctx,
			  enum MHD_ConnectionNotificationCode code);

struct cs_httpd *cs_httpd_create(struct ev_loop *loop, struct cs_timers *ts, const char *addr,
				 uint16_t port, size_t max_body, cs_httpd_cb cb, void *arg,
				 struct cs_msg *msg)
{
	struct cs_httpd *h = cs_xcalloc(1, sizeof(*h));
	int fd = cs_listen(addr, port, &h->port, msg);

	if (fd < 0)
		goto fail;
	h->cb = cb;
	h->arg = arg;
	h->max_body = max_body;
	h->daemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
				     on_access, h, MHD_OPTION_LISTEN_SOCKET, fd,
				     MHD_OPTION_NOTIFY_COMPLETED, on_completed, h,
				     MHD_OPTION_NOTIFY_CONNECTION, on_connection, h,
				     MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)IDLE_TIMEOUT_S,
				     MHD_OPTION_CONNECTION_MEMORY_LIMIT,
				     (size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_END);
	if (h->daemon == NULL) {
		cs_msg_set(msg, "cannot start the HTTP server on %s:%u", addr, port);
		close(fd);
		goto fail;
	}
	h->mhd = cs_mhd_attach(loop, ts, h->daemon);
	return h;
fail:
	free(h);
	return NULL;
}

void cs_httpd_destroy(struct cs_httpd *h)
{
	if (h == NULL)
		return;
	h->stopping = true;
	cs_mhd_detach(h->mhd);
	MHD_stop_daemon(h->daemon);
	free(h);
}

uint16_t cs_httpd_port(const struct cs_httpd *h)
{
	return h->port;
}

void cs_httpd_quiesce(struct cs_httpd *h)
{
	MHD_socket fd = MHD_quiesce_daemon(h->daemon);

	if (fd != MHD_INVALID_SOCKET)
		close(fd);
}

unsigned cs_httpd_open(const struct cs_httpd *h)
{
	return h->open_connections;
}

static void on_connection(void *cls, struct MHD_Connection *conn, void **ctx,
			  enum MHD_ConnectionNotificationCode code)
{
	struct cs_httpd *h = cls;

	if (code == MHD_CONNECTION_NOTIFY_STARTED)
		h->open_connections++;
	else
		h->open_connections--;
}

static void req_free(struct cs_http_req *req)
{
	struct header *hd;

	while ((hd = req->headers) != NULL) {
		req->headers = hd->next;
		free(hd->name);
		free(hd->value);
		free(hd);
	}
	if (req->reply != NULL)
		MHD_destroy_response(req->reply);
	free(req->method);
	free(req->path);
	free(req->body);
	free(req);
}

/* Appends body data. Data beyond the limit is discarded, and the response has status 413. */
static void append_body(struct cs_http_req *req, const char *data, size_t size)
{
	if (req->too_large || req->len + size > req->owner->max_body) {
		req->too_large = true;
		return;
	}
	req->body = cs_xrealloc(req->body, req->len + size + 1, 1);
	memcpy(req->body + req->len, data, size);
	req->len += size;
	req->body[req->len] = '\0';
}

static enum MHD_Result on_access(void *cls, struct MHD_Connection *conn, const char *url,
				 const char *method, const char *version, const char *data,
				 size_t *size, void **ctx)
{
	static const char too_large[] = "{\"error\":\"too_large\",\"message\":\"the body is over "
					"the limit\",\"ran\":\"no\"}\n";
	struct cs_httpd *h = cls;
	struct cs_http_req *req = *ctx;

	if (req == NULL) {
		req = cs_xcalloc(1, sizeof(*req));
		req->owner = h;
		req->conn = conn;
		req->method = cs_xstrdup(method);
		req->path = cs_xstrdup(url);
		*ctx = req;
		return MHD_YES;
	}
	if (*size > 0) {
		append_body(req, data, *size);
		*size = 0;
		return MHD_YES;
	}
	if (!req->handler_called) {
		req->handler_called = true;
		req->in_handler = true;
		if (req->too_large)
			cs_http_reply(req, 413, NULL, too_large, sizeof(too_large) - 1);
		else
			h->cb(req, h->arg);
		req->in_handler = false;
	}
	if (req->reply != NULL)
		return MHD_queue_response(conn, req->status, req->reply);
	req->suspended = true;
	MHD_suspend_connection(conn);
	return MHD_YES;
}

static void on_completed(void *cls, struct MHD_Connection *conn, void **ctx,
			 enum MHD_RequestTerminationCode code)
{
	struct cs_http_req *req = *ctx;

	*ctx = NULL;
	if (req == NULL)
		return;
	if (req->handler_called && req->reply == NULL) {
		/* The handler still refers to the request; cs_http_reply frees it. */
		req->disconnected = true;
		req->conn = NULL;
		return;
	}
	req_free(req);
}

const char *cs_http_method(const struct cs_http_req *req)
{
	return req->method;
}

const char *cs_http_path(const struct cs_http_req *req)
{
	return req->path;
}

const char *cs_http_query_arg(struct cs_http_req *req, const char *name)
{
	if (req->conn == NULL)
		return NULL;
	return MHD_lookup_connection_value(req->conn, MHD_GET_ARGUMENT_KIND, name);
}

const char *cs_http_header(struct cs_http_req *req, const char *name)
{
	if (req->conn == NULL)
		return NULL;
	return MHD_lookup_connection_value(req->conn, MHD_HEADER_KIND, name);
}

const char *cs_http_body(const struct cs_http_req *req, size_t *len)
{
	if (len != NULL)
		*len = req->len;
	return req->body ? req->body : "";
}

void cs_http_peer(struct cs_http_req *req, char *out, size_t size)
{
	cs_copy(out, size, "");
	if (req->conn != NULL)
		cs_mhd_peer(req->conn, out, size);
}

void cs_http_add_header(struct cs_http_req *req, const char *name, const char *value)
{
	struct header *hd = cs_xcalloc(1, sizeof(*hd));

	hd->name = cs_xstrdup(name);
	hd->value = cs_xstrdup(value);
	hd->next = req->headers;
	req->headers = hd;
}

void cs_http_reply(struct cs_http_req *req, unsigned status, const char *type, const char *body,
		   size_t len)
{
	struct header *hd;

	if (req->disconnected) {
		req_free(req);
		return;
	}
	req->status = status;
	req->reply = MHD_create_response_from_buffer(len, (void *)(uintptr_t)body,
						     MHD_RESPMEM_MUST_COPY);
	MHD_add_response_header(req->reply, MHD_HTTP_HEADER_CONTENT_TYPE,
				type ? type : "application/json");
	for (hd = req->headers; hd != NULL; hd = hd->next)
		MHD_add_response_header(req->reply, hd->name, hd->value);
	if (req->suspended) {
		req->suspended = false;
		MHD_resume_connection(req->conn);
		cs_mhd_wakeup(req->owner->mhd);
	}
}
