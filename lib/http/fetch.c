/* HTTP client requests whose response is buffered up to a limit. */
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "http/http.h"

#define CONNECT_TIMEOUT_MS 1000L
#define RESPONSE_MAX_DEFAULT 65536 /* bytes */
/* Limit for the lines of the head and the trailers in bytes, which libcurl keeps. */
#define HEAD_MAX 65536

struct cs_fetch {
	struct cs_curl *curl;
	CURL *easy;
	struct curl_slist *headers;
	cs_fetch_cb cb;
	void *arg;
	char *request_body;
	char *body;
	size_t len;
	size_t head_len;
	size_t max_body;
	void (*large_cb)(void *arg);
	size_t large;
	const char *number_header;
	bool has_number;
	uint64_t number;
	uint64_t response_us; /* when the response began; 0: it has not */
	struct cs_timer first_byte_timer; /* active until the response begins */
	char error[CURL_ERROR_SIZE];
};

static size_t on_body(char *data, size_t size, size_t n, void *arg);
static size_t on_header(char *data, size_t size, size_t n, void *arg);
static int on_socket(void *arg, curl_socket_t fd, curlsocktype purpose);
static void on_done(CURL *easy, CURLcode code, void *arg);
static void on_first_byte_timeout(struct cs_timer *t, void *arg);

static void fetch_free(struct cs_fetch *f)
{
	cs_timer_stop(&f->first_byte_timer);
	curl_easy_cleanup(f->easy);
	curl_slist_free_all(f->headers);
	free(f->request_body);
	free(f->body);
	free(f);
}

struct cs_fetch *cs_fetch_start(struct cs_curl *c, const struct cs_fetch_opts *opts, cs_fetch_cb cb,
				void *arg)
{
	struct cs_fetch *f = cs_xcalloc(1, sizeof(*f));
	CURL *e = curl_easy_init();

	f->curl = c;
	f->easy = e;
	f->cb = cb;
	f->arg = arg;
	f->large_cb = opts->large_cb;
	f->large = opts->large;
	f->number_header = opts->number_header;
	f->max_body = opts->max_response ? opts->max_response : RESPONSE_MAX_DEFAULT;
	curl_easy_setopt(e, CURLOPT_URL, opts->url);
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, (long)opts->timeout_ms);
	curl_easy_setopt(e, CURLOPT_ERRORBUFFER, f->error);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, f);
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, f);
	curl_easy_setopt(e, CURLOPT_SOCKOPTFUNCTION, on_socket);
	if (opts->interface != NULL)
		curl_easy_setopt(e, CURLOPT_INTERFACE, opts->interface);
	if (opts->body != NULL) {
		f->request_body = cs_xcalloc(1, opts->body_len + 1);
		memcpy(f->request_body, opts->body, opts->body_len);
		curl_easy_setopt(e, CURLOPT_POSTFIELDS, f->request_body);
		curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)opts->body_len);
		f->headers = curl_slist_append(f->headers, "Content-Type: application/json");
	}
	f->headers = curl_slist_append(f->headers, "Expect:");
	curl_easy_setopt(e, CURLOPT_HTTPHEADER, f->headers);
	if (opts->method != NULL)
		curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, opts->method);
	/*
	 * libcurl resends a request when a reused connection turns out to be closed, and a write
	 * must not run twice. Nor may a read take what the connection of a write still returns for
	 * its own response.
	 */
	if (opts->method != NULL || opts->own_connection) {
		curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(e, CURLOPT_FORBID_REUSE, 1L);
	}
	cs_timer_init(&f->first_byte_timer, on_first_byte_timeout, f);
	if (opts->first_byte_timeout_ms > 0)
		cs_timer_start(cs_curl_timers(c), &f->first_byte_timer,
			       opts->first_byte_timeout_ms * CS_US_PER_MS);
	cs_curl_start(c, e, on_done, f);
	return f;
}

void cs_fetch_cancel(struct cs_fetch *f)
{
	if (f == NULL)
		return;
	cs_curl_abort(f->curl, f->easy);
	fetch_free(f);
}

/* Appends to the response body; the transfer fails when the limit is exceeded. */
static size_t on_body(char *data, size_t size, size_t n, void *arg)
{
	struct cs_fetch *f = arg;
	size_t len = size * n;

	if (f->len + len > f->max_body)
		return 0;
	f->body = cs_xrealloc(f->body, f->len + len + 1, 1);
	memcpy(f->body + f->len, data, len);
	f->len += len;
	f->body[f->len] = '\0';
	if (f->large_cb != NULL && f->len >= f->large) {
		f->large_cb(f->arg);
		f->large_cb = NULL;
	}
	return len;
}

/* Keeps the value of a header line if the line has the name that was asked for, and a number. */
static void record_number(struct cs_fetch *f, const char *line, size_t len)
{
	size_t name_len = f->number_header != NULL ? strlen(f->number_header) : 0;
	char value[32], *end;
	uint64_t number;

	if (name_len == 0 || len <= name_len || line[name_len] != ':' ||
	    strncasecmp(line, f->number_header, name_len) != 0)
		return;
	snprintf(value, sizeof(value), "%.*s", (int)(len - name_len - 1), line + name_len + 1);
	number = strtoull(value, &end, 10);
	if (end == value || !isspace((unsigned char)*end))
		return;
	f->has_number = true;
	f->number = number;
}

static size_t on_header(char *data, size_t size, size_t n, void *arg)
{
	struct cs_fetch *f = arg;
	size_t len = size * n;

	cs_timer_stop(&f->first_byte_timer);
	if (f->response_us == 0)
		f->response_us = cs_mono_us();
	f->head_len += len;
	if (f->head_len > HEAD_MAX)
		return 0;
	record_number(f, data, len);
	return len;
}

static int on_socket(void *arg, curl_socket_t fd, curlsocktype purpose)
{
	cs_sock_set_keepalive(fd);
	return CURL_SOCKOPT_OK;
}

/* Passes the result to the callback and frees the fetch. */
static void finish(struct cs_fetch *f, CURLcode code)
{
	struct cs_fetch_result res = {
		.code = code, .has_number = f->has_number, .number = f->number};

	curl_easy_getinfo(f->easy, CURLINFO_RESPONSE_CODE, &res.status);
	res.body = f->body ? f->body : "";
	res.len = f->len;
	if (f->response_us > 0)
		res.receive_us = cs_mono_us() - f->response_us;
	res.error = *f->error ? f->error : curl_easy_strerror(code);
	f->cb(&res, f->arg);
	fetch_free(f);
}

static void on_done(CURL *easy, CURLcode code, void *arg)
{
	finish(arg, code);
}

static void on_first_byte_timeout(struct cs_timer *t, void *arg)
{
	struct cs_fetch *f = arg;

	cs_curl_abort(f->curl, f->easy);
	finish(f, CURLE_OPERATION_TIMEDOUT);
}
