/*
 * http: runs libmicrohttpd (MHD) and libcurl's multi interface on the libev loop. cs_httpd and
 * cs_fetch buffer whole messages; code that streams bodies attaches its own MHD daemon or easy
 * handles.
 */
#ifndef CS_HTTP_H
#define CS_HTTP_H

#include <curl/curl.h>
#include <microhttpd.h>

#include "base/base.h"

enum cs_http_status { CS_HTTP_OK, CS_HTTP_ADDRESS, CS_HTTP_SYSTEM };

/* Runs an MHD daemon, started with MHD_USE_EPOLL and without threads, on the loop. */
struct cs_mhd;
struct cs_mhd *cs_mhd_attach(struct ev_loop *loop, struct cs_timers *ts, struct MHD_Daemon *daemon);
void cs_mhd_detach(struct cs_mhd *m);
/* Has the daemon run before the loop blocks again; call it after MHD_resume_connection. */
void cs_mhd_wakeup(struct cs_mhd *m);
/*
 * Opens a non-blocking listening socket on an IPv4 address. Port 0 selects a free port; bound is
 * set to the port in use. Returns -1 and a message on failure.
 */
int cs_listen(const char *addr, uint16_t port, uint16_t *bound, struct cs_msg *msg);
/*
 * Enables TCP keepalive and a limit for unacknowledged data, so that the kernel closes a connection
 * within seconds if the peer is unreachable, as after a network partition or a power failure.
 */
void cs_sock_set_keepalive(int fd);
/* Formats the connection's peer address; empty if it is unknown. */
void cs_mhd_peer(struct MHD_Connection *conn, char *out, size_t size);

/* HTTP server for small messages: buffers each request and each response as a whole. */
struct cs_httpd;
struct cs_http_req;
typedef void (*cs_httpd_cb)(struct cs_http_req *req, void *arg);

/* max_body is in bytes; a request with a larger body gets a response with status 413. */
struct cs_httpd *cs_httpd_create(struct ev_loop *loop, struct cs_timers *ts, const char *addr,
				 uint16_t port, size_t max_body, cs_httpd_cb cb, void *arg,
				 struct cs_msg *msg);
void cs_httpd_destroy(struct cs_httpd *h);
uint16_t cs_httpd_port(const struct cs_httpd *h);
/* Closes the listening socket; open connections are still served. */
void cs_httpd_quiesce(struct cs_httpd *h);
/* Number of open connections. */
unsigned cs_httpd_open(const struct cs_httpd *h);

const char *cs_http_method(const struct cs_http_req *req);
const char *cs_http_path(const struct cs_http_req *req);
/* Query argument or request header by name; NULL if absent or if the client has disconnected. */
const char *cs_http_query_arg(struct cs_http_req *req, const char *name);
const char *cs_http_header(struct cs_http_req *req, const char *name);
const char *cs_http_body(const struct cs_http_req *req, size_t *len);
void cs_http_peer(struct cs_http_req *req, char *out, size_t size);
/* Adds a header to the response; call it before cs_http_reply. */
void cs_http_add_header(struct cs_http_req *req, const char *name, const char *value);
/*
 * Sends the response, during the handler or later. Must be called exactly once per request, also
 * when the client has disconnected; the response is then discarded. body is copied. type NULL
 * stands for application/json.
 */
void cs_http_reply(struct cs_http_req *req, unsigned status, const char *type, const char *body,
		   size_t len);

/* Runs libcurl's multi interface on the loop. */
struct cs_curl;
typedef void (*cs_curl_done)(CURL *easy, CURLcode code, void *arg);
struct cs_curl *cs_curl_create(struct ev_loop *loop, struct cs_timers *ts);
void cs_curl_destroy(struct cs_curl *c);
/*
 * Sets the libev priority of the sockets of later transfers. In an iteration of the loop, those
 * with a higher one are handled first.
 */
void cs_curl_set_priority(struct cs_curl *c, int priority);
CURLM *cs_curl_multi(struct cs_curl *c);
struct cs_timers *cs_curl_timers(const struct cs_curl *c);
/* Starts a transfer. done is called once at its end; the caller then owns the easy handle again. */
void cs_curl_start(struct cs_curl *c, CURL *easy, cs_curl_done done, void *arg);
/* Cancels a transfer without calling done, and closes its connection. */
void cs_curl_abort(struct cs_curl *c, CURL *easy);
/* Resumes a paused transfer; not to be called from its own callbacks. */
void cs_curl_unpause(struct cs_curl *c, CURL *easy);

/* HTTP request for control traffic; the response is buffered up to a limit. */
struct cs_fetch_result {
	CURLcode code;
	long status; /* HTTP status; 0 without a response */
	const char *body; /* NUL-terminated; valid during the callback */
	size_t len;
	bool has_number; /* number_header is there and has a number */
	uint64_t number; /* its value; 0 without one */
	uint64_t receive_us; /* time from the first byte of the response to its end */
	const char *error;
};
typedef void (*cs_fetch_cb)(const struct cs_fetch_result *res, void *arg);
struct cs_fetch;
struct cs_fetch_opts {
	const char *method; /* NULL: GET */
	const char *url;
	bool own_connection; /* not shared with other calls; calls with a method have one anyway */
	const char *interface; /* source IP or NULL */
	const char *body; /* copied by cs_fetch_start */
	size_t body_len;
	unsigned timeout_ms; /* until the response is complete */
	unsigned first_byte_timeout_ms; /* until the first byte of the response; 0: only timeout_ms
					   applies */
	size_t max_response; /* limit of the response body in bytes; 0: 64 KiB */
	const char *number_header; /* response header whose value is returned; NULL: none */
	/*
	 * Called once when large bytes of the body have arrived; no transfer may be started or
	 * cancelled in it. NULL: not called.
	 */
	void (*large_cb)(void *arg);
	size_t large;
};
/* The handle is valid until the callback is called; cs_fetch_cancel prevents that call. */
struct cs_fetch *cs_fetch_start(struct cs_curl *c, const struct cs_fetch_opts *opts, cs_fetch_cb cb,
				void *arg);
void cs_fetch_cancel(struct cs_fetch *f);

#endif
