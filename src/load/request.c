/* Sends requests, verifies responses and retries refused requests at the next target. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "src/load/load.h"

#define CONNECT_TIMEOUT_MS 1000L
#define TIMEOUT_MARGIN_MS 500 /* clients wait for a response this long beyond the deadline */
#define HANDLE_POOL_MAX 4096

static CURL *handle_pool[HANDLE_POOL_MAX];
static unsigned n_pooled;

static void on_done(CURL *easy, CURLcode code, void *arg);

static CURL *handle_get(void)
{
	CURL *e = n_pooled > 0 ? handle_pool[--n_pooled] : curl_easy_init();

	curl_easy_reset(e);
	return e;
}

static void handle_put(CURL *e)
{
	if (n_pooled < HANDLE_POOL_MAX)
		handle_pool[n_pooled++] = e;
	else
		curl_easy_cleanup(e);
}

static size_t on_body(char *data, size_t size, size_t n, void *arg)
{
	struct request *r = arg;
	size_t len = size * n, pos = 0, part;
	char block[4096];
	long status = 0;

	curl_easy_getinfo(r->easy, CURLINFO_RESPONSE_CODE, &status);
	if (status != 200 || r->body_mismatch || r->stream->raw) {
		r->response_pos += len;
		return len;
	}
	while (pos < len) {
		part = len - pos < sizeof(block) ? len - pos : sizeof(block);
		content_fill(r->response_seed, r->response_pos, block, part);
		if (memcmp(block, data + pos, part) != 0)
			r->body_mismatch = true;
		pos += part;
		r->response_pos += part;
	}
	return len;
}

static size_t on_upload(char *buf, size_t size, size_t n, void *arg)
{
	struct request *r = arg;
	size_t len = size * n;

	if (len > r->stream->upload_bytes - r->upload_pos)
		len = (size_t)(r->stream->upload_bytes - r->upload_pos);
	content_fill(r->upload_seed, r->upload_pos, buf, len);
	r->upload_pos += len;
	return len;
}

static int on_seek(void *arg, curl_off_t offset, int origin)
{
	struct request *r = arg;

	if (origin != SEEK_SET || !r->stream->idempotent)
		return CURL_SEEKFUNC_FAIL;
	r->upload_pos = (uint64_t)offset;
	return CURL_SEEKFUNC_OK;
}

/* Copies the value of a header line if its name matches. */
static void copy_header_value(const char *data, size_t len, const char *name, char *out,
			      size_t size)
{
	size_t n = strlen(name);

	if (len <= n || strncasecmp(data, name, n) != 0)
		return;
	data += n;
	len -= n;
	while (len > 0 && *data == ' ') {
		data++;
		len--;
	}
	while (len > 0 && (data[len - 1] == '\r' || data[len - 1] == '\n'))
		len--;
	if (len >= size)
		len = size - 1;
	memcpy(out, data, len);
	out[len] = '\0';
}

static size_t on_header(char *data, size_t size, size_t n, void *arg)
{
	struct request *r = arg;
	size_t len = size * n;

	if (len < 4 || (data[0] != 'X' && data[0] != 'x'))
		return len;
	copy_header_value(data, len, "X-Cassia-Instance:", r->instance, sizeof(r->instance));
	copy_header_value(data, len, "X-Cassia-Server:", r->server, sizeof(r->server));
	copy_header_value(data, len, "X-Cassia-Ran:", r->ran, sizeof(r->ran));
	copy_header_value(data, len, "X-Ran:", r->ran, sizeof(r->ran));
	return len;
}

static void add_header(struct request *r, const char *name, const char *value)
{
	char line[192];

	snprintf(line, sizeof(line), "%s: %s", name, value);
	r->headers = curl_slist_append(r->headers, line);
}

static void set_headers(struct request *r, uint64_t left_ms)
{
	char text[24];

	curl_slist_free_all(r->headers);
	r->headers = NULL;
	snprintf(text, sizeof(text), "%llu", (unsigned long long)left_ms);
	add_header(r, "X-Request-Id", r->id);
	add_header(r, "X-Cassia-Class", r->stream->class);
	add_header(r, "X-Cassia-Deadline-Ms", text);
	r->headers = curl_slist_append(r->headers, "Expect:");
	r->headers = curl_slist_append(r->headers, "Accept:");
	r->headers = curl_slist_append(r->headers, "Content-Type: application/octet-stream");
}

static void set_upload(struct request *r)
{
	CURL *e = r->easy;

	curl_easy_setopt(e, CURLOPT_POST, 1L);
	curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)r->stream->upload_bytes);
	curl_easy_setopt(e, CURLOPT_READFUNCTION, on_upload);
	curl_easy_setopt(e, CURLOPT_READDATA, r);
	curl_easy_setopt(e, CURLOPT_SEEKFUNCTION, on_seek);
	curl_easy_setopt(e, CURLOPT_SEEKDATA, r);
}

/* Starts an attempt at the current target. */
static void send_attempt(struct request *r)
{
	uint64_t now = cs_mono_us(), left_ms;
	const struct stream *s = r->stream;
	char url[320], source[64];
	CURL *e;

	left_ms = r->deadline_us > now ? (r->deadline_us - now) / CS_US_PER_MS : 0;
	if (left_ms == 0)
		left_ms = 1;
	e = r->easy = handle_get();
	r->upload_pos = r->response_pos = 0;
	r->body_mismatch = false;
	r->status = 0;
	*r->instance = *r->server = *r->ran = '\0';
	r->tries++;
	if (r->sent_us == 0)
		r->sent_us = now;
	if (s->raw)
		snprintf(url, sizeof(url), "%s%s", r->targets[r->target].url, s->path);
	else
		snprintf(url, sizeof(url), "%s%s?size=%llu", r->targets[r->target].url, s->path,
			 (unsigned long long)s->response_bytes);
	set_headers(r, left_ms);
	curl_easy_setopt(e, CURLOPT_URL, url);
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(e, CURLOPT_HTTPHEADER, r->headers);
	curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, (long)left_ms + TIMEOUT_MARGIN_MS);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, r);
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, r);
	if (*r->client->addr != '\0') {
		snprintf(source, sizeof(source), "host!%s", r->client->addr);
		curl_easy_setopt(e, CURLOPT_INTERFACE, source);
	}
	/*
	 * libcurl sends a request again if a reused connection turns out to be closed, though a
	 * server may have executed it. Non-idempotent requests therefore never reuse a connection.
	 */
	if (!s->idempotent) {
		curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(e, CURLOPT_FORBID_REUSE, 1L);
	}
	if (s->upload_bytes > 0)
		set_upload(r);
	else if (strcmp(s->method, "GET") != 0)
		curl_easy_setopt(e, CURLOPT_POSTFIELDS, "");
	if (strcmp(s->method, "GET") != 0 && strcmp(s->method, "POST") != 0)
		curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, s->method);
	cs_curl_start(load.curl, e, on_done, r);
}

static void request_end(struct request *r, enum outcome out)
{
	struct stream *s = r->stream;

	record_request(r, out, cs_mono_us());
	curl_slist_free_all(r->headers);
	free(r);
	load_request_done(s);
}

void request_send(struct request *r)
{
	if (r->n_targets == 0) {
		cs_copy(r->ran, sizeof(r->ran), "no");
		request_end(r, OUTCOME_REFUSED);
		return;
	}
	send_attempt(r);
}

static bool body_complete(const struct request *r)
{
	return r->stream->raw ||
	       (!r->body_mismatch && r->response_pos == r->stream->response_bytes);
}

static enum outcome classify_outcome(const struct request *r, bool sent)
{
	if (!sent)
		return OUTCOME_REFUSED;
	if (r->code == CURLE_OK && r->status >= 200 && r->status < 300)
		return body_complete(r) ? OUTCOME_OK : OUTCOME_BAD;
	if (r->code == CURLE_OK && strcmp(r->ran, "no") == 0)
		return OUTCOME_REFUSED;
	if (r->code == CURLE_OK && strcmp(r->ran, "yes") == 0)
		return OUTCOME_FAILED;
	return OUTCOME_UNKNOWN;
}

/* Whether any part of the request was sent in this attempt, as observed by the client. */
static bool was_sent(CURL *easy, CURLcode code)
{
	long bytes = 0;

	if (code == CURLE_OK)
		return true;
	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &bytes);
	return bytes > 0;
}

static void on_done(CURL *easy, CURLcode code, void *arg)
{
	struct request *r = arg;
	bool sent = was_sent(easy, code);
	enum outcome out;

	r->code = code;
	r->port = 0;
	curl_easy_getinfo(easy, CURLINFO_LOCAL_PORT, &r->port);
	if (code == CURLE_OK || r->response_pos > 0)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &r->status);
	handle_put(easy);
	r->easy = NULL;
	if (!sent)
		cs_copy(r->ran, sizeof(r->ran), "no");
	out = classify_outcome(r, sent);
	if (out == OUTCOME_REFUSED && (r->status == 0 || r->status == 503) &&
	    r->target + 1 < r->n_targets && cs_mono_us() < r->deadline_us) {
		r->target++;
		send_attempt(r);
		return;
	}
	request_end(r, out);
}

void request_start(struct stream *s, uint64_t planned_us)
{
	struct request *r = cs_xcalloc(1, sizeof(*r));

	r->stream = s;
	r->client = &load.clients[load.next_client++ % load.n_clients];
	r->planned_us = planned_us;
	r->deadline_us = planned_us + s->deadline_ms * CS_US_PER_MS;
	snprintf(r->id, sizeof(r->id), "%08x-%.24s-%llu", (unsigned)load.run_id, s->class,
		 (unsigned long long)++s->sequence);
	r->response_seed = content_seed(r->id, CONTENT_RESPONSE);
	r->upload_seed = content_seed(r->id, CONTENT_UPLOAD);
	s->running++;
	load.running++;
	if (s->n_direct_targets > 0) {
		r->targets[0] = s->direct_targets[s->sequence % s->n_direct_targets];
		r->n_targets = 1;
		request_send(r);
		return;
	}
	route_request(r);
}
