/*
 * http: libmicrohttpd and libcurl's multi interface on the libev loop. Small request/reply handlers
 * use cs_httpd and cs_fetch; streaming parts attach their own MHD daemon and easy handles.
 */
#ifndef CS_HTTP_H
#define CS_HTTP_H

#include <curl/curl.h>
#include <microhttpd.h>

#include "base/base.h"

enum cs_http_status { CS_HTTP_OK, CS_HTTP_ADDRESS, CS_HTTP_SYSTEM };

/* Drives an MHD daemon (MHD_USE_EPOLL, no thread) on the loop. */
struct cs_mhd;
struct cs_mhd *cs_mhd_attach(struct ev_loop *loop, struct cs_timers *ts, struct MHD_Daemon *daemon);
void cs_mhd_detach(struct cs_mhd *m);
/* Runs the daemon before the next sleep; call it after MHD_resume_connection. */
void cs_mhd_kick(struct cs_mhd *m);
/* Opens a non-blocking listening TCP socket; port 0 takes a free one. Returns -1 and a message. */
int cs_listen(const char *addr, uint16_t port, uint16_t *bound, struct cs_msg *msg);
/*
 * Has the kernel end a connection whose peer neither acknowledges nor answers probes for some
 * seconds, as after a partition or a loss of power.
 */
void cs_sock_liveness(int fd);
/* Text form of the connection's peer address. */
void cs_mhd_peer(struct MHD_Connection *conn, char *out, size_t size);

/* A small HTTP server: whole request in, whole reply out. */
struct cs_httpd;
struct cs_http_req;
typedef void (*cs_httpd_cb)(struct cs_http_req *req, void *arg);

/* max_body in bytes; a larger request gets 413. */
struct cs_httpd *cs_httpd_create(struct ev_loop *loop, struct cs_timers *ts, const char *addr,
				 uint16_t port, size_t max_body, cs_httpd_cb cb, void *arg,
				 struct cs_msg *msg);
void cs_httpd_destroy(struct cs_httpd *h);
uint16_t cs_httpd_port(const struct cs_httpd *h);
/* Stops listening; open connections go on. */
void cs_httpd_quiesce(struct cs_httpd *h);
/* Connections that are open now. */
unsigned cs_httpd_open(const struct cs_httpd *h);

const char *cs_http_method(const struct cs_http_req *req);
const char *cs_http_path(const struct cs_http_req *req);
/* Query argument or header by name; NULL if absent. */
const char *cs_http_arg(struct cs_http_req *req, const char *name);
const char *cs_http_header(struct cs_http_req *req, const char *name);
const char *cs_http_body(const struct cs_http_req *req, size_t *len);
void cs_http_peer(struct cs_http_req *req, char *out, size_t size);
/* Adds a header to the reply to come. */
void cs_http_set(struct cs_http_req *req, const char *name, const char *value);
/*
 * Replies now or later; each request gets exactly one reply. body is copied. If the caller went
 * away before a late reply, the reply is dropped. type may be NULL for application/json.
 */
void cs_http_reply(struct cs_http_req *req, unsigned status, const char *type, const char *body,
		   size_t len);

/* libcurl's multi interface on the loop. */
struct cs_curl;
typedef void (*cs_curl_done)(CURL *easy, CURLcode code, void *arg);
struct cs_curl *cs_curl_create(struct ev_loop *loop, struct cs_timers *ts);
void cs_curl_destroy(struct cs_curl *c);
CURLM *cs_curl_multi(struct cs_curl *c);
struct cs_timers *cs_curl_timers(const struct cs_curl *c);
/* Starts a transfer; done is called once, after which the easy handle belongs to the caller. */
void cs_curl_start(struct cs_curl *c, CURL *easy, cs_curl_done done, void *arg);
/* Takes a running transfer out without calling done; its connection is closed. */
void cs_curl_abort(struct cs_curl *c, CURL *easy);
/* Unpauses a transfer from outside of its callbacks. */
void cs_curl_unpause(struct cs_curl *c, CURL *easy);

/* One whole request with a bounded answer, for control traffic. */
struct cs_fetch_result {
	CURLcode code;
	long status; /* HTTP status; 0 if no answer */
	const char *body; /* terminated; valid during the callback */
	size_t len;
	uint64_t index; /* X-Consul-Index header; 0 if absent */
	const char *error;
};
typedef void (*cs_fetch_cb)(const struct cs_fetch_result *res, void *arg);
struct cs_fetch;
struct cs_fetch_opts {
	const char *method; /* NULL: GET */
	const char *url;
	const char *interface; /* source IP or NULL */
	const char *body; /* copied */
	size_t body_len;
	unsigned timeout_ms; /* for the whole answer */
	unsigned answer_ms; /* for its first byte; 0: no limit besides */
	size_t max_answer; /* bytes */
};
/* The handle is valid until the callback; cs_fetch_cancel ends it without a call. */
struct cs_fetch *cs_fetch_start(struct cs_curl *c, const struct cs_fetch_opts *opts, cs_fetch_cb cb,
				void *arg);
void cs_fetch_cancel(struct cs_fetch *f);

#endif
