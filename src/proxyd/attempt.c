/* One transfer to a server or another proxy: libcurl's options and callbacks. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "src/proxyd/proxyd.h"

#define CONNECT_TIMEOUT_MS 1000L
/* A server that does not answer "Expect: 100-continue" gets the body after this time. */
#define EXPECT_TIMEOUT_MS 200L
#define POOL_MAX 256
/* Buffer memory that a pooled attempt keeps. */
#define POOL_KEEP (16 * 1024)
/* Header lines of one answer in bytes; more is a broken answer. */
#define ANSWER_HEAD_MAX (64 * 1024)

static size_t on_header(char *data, size_t size, size_t n, void *arg);
static size_t on_write(char *data, size_t size, size_t n, void *arg);
static size_t on_read(char *out, size_t size, size_t n, void *arg);
static int on_prereq(void *arg, char *dst, char *src, int dst_port, int src_port);
static int on_socket(void *arg, curl_socket_t fd, curlsocktype purpose);
static int on_close(void *arg, curl_socket_t fd);
static void on_done(CURL *easy, CURLcode code, void *arg);

/* Options that stay for the life of a handle. */
static CURL *easy_create(struct proxyd *p, struct attempt *att)
{
	CURL *e = curl_easy_init();

	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(e, CURLOPT_EXPECT_100_TIMEOUT_MS, EXPECT_TIMEOUT_MS);
	curl_easy_setopt(e, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, att);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_write);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, att);
	curl_easy_setopt(e, CURLOPT_READFUNCTION, on_read);
	curl_easy_setopt(e, CURLOPT_READDATA, att);
	curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_prereq);
	curl_easy_setopt(e, CURLOPT_PREREQDATA, att);
	curl_easy_setopt(e, CURLOPT_SOCKOPTFUNCTION, on_socket);
	curl_easy_setopt(e, CURLOPT_SOCKOPTDATA, att);
	curl_easy_setopt(e, CURLOPT_CLOSESOCKETFUNCTION, on_close);
	curl_easy_setopt(e, CURLOPT_CLOSESOCKETDATA, p->sockets);
	return e;
}

/* Takes an attempt from the pool or makes one. */
static struct attempt *attempt_create(struct request *req)
{
	struct proxyd *p = req->proxyd;
	struct attempt *att = TAILQ_FIRST(&p->pool), old;

	if (att != NULL) {
		TAILQ_REMOVE(&p->pool, att, entry);
		p->n_pool--;
		old = *att;
		*att = (struct attempt){.easy = old.easy, .head = old.head, .data = old.data};
	} else {
		att = cs_xcalloc(1, sizeof(*att));
		att->easy = easy_create(p, att);
	}
	head_clear(&att->head);
	ring_reset(&att->data, BUFFER_MAX, POOL_KEEP);
	att->req = req;
	att->length = UINT64_MAX;
	att->new_fd = -1;
	att->started_us = cs_mono_us();
	TAILQ_INSERT_TAIL(&req->attempts, att, entry);
	(*req->stats->attempts)++;
	return att;
}

static void attempt_release(struct attempt *att)
{
	curl_easy_cleanup(att->easy);
	head_free(&att->head);
	ring_free(&att->data);
	free(att);
}

void attempt_free(struct attempt *att)
{
	struct request *req = att->req;
	struct proxyd *p = req->proxyd;

	TAILQ_REMOVE(&req->attempts, att, entry);
	att->req = NULL;
	if (p->n_pool >= POOL_MAX) {
		attempt_release(att);
		return;
	}
	ring_reset(&att->data, BUFFER_MAX, POOL_KEEP);
	/* Last in, first out: the handle used last has its memory in the cache. */
	TAILQ_INSERT_HEAD(&p->pool, att, entry);
	p->n_pool++;
}

void attempts_free(struct proxyd *p)
{
	struct attempt *att;

	while ((att = TAILQ_FIRST(&p->pool)) != NULL) {
		TAILQ_REMOVE(&p->pool, att, entry);
		attempt_release(att);
	}
}

/* Method and body options; HTTPGET clears what the handle's last use has set. */
static void set_body(struct attempt *att)
{
	struct request *req = att->req;
	CURL *e = att->easy;

	curl_easy_setopt(e, CURLOPT_HTTPGET, 1L);
	curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, req->method);
	if (req->streaming) {
		curl_easy_setopt(e, CURLOPT_UPLOAD, 1L);
		curl_easy_setopt(e, CURLOPT_INFILESIZE_LARGE,
				 req->chunked ? (curl_off_t)-1 : (curl_off_t)req->content_length);
	} else if (req->body.in > 0 || strcmp(req->method, "POST") == 0 ||
		   strcmp(req->method, "PUT") == 0) {
		curl_easy_setopt(e, CURLOPT_POST, 1L);
		curl_easy_setopt(e, CURLOPT_POSTFIELDS, req->body.data ? req->body.data : "");
		curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)req->body.in);
	} else if (strcmp(req->method, "HEAD") == 0) {
		curl_easy_setopt(e, CURLOPT_NOBODY, 1L);
	}
}

/* Lines of this attempt come first, then those of the request. */
static void set_lines(struct attempt *att)
{
	struct request *req = att->req;
	uint64_t now = att->started_us, left = 1;
	unsigned n = 0;

	if (req->ask.deadline_us > now + CS_US_PER_MS)
		left = (req->ask.deadline_us - now) / CS_US_PER_MS;
	snprintf(att->deadline_line, sizeof(att->deadline_line), "X-Cassia-Deadline-Ms: %llu",
		 (unsigned long long)left);
	att->lines[n++].data = att->deadline_line;
	/* A refusal then comes before the body, which is still whole for another attempt. */
	att->lines[n++].data = req->streaming ? "Expect: 100-continue" : "Expect:";
	if (att->kind == ATTEMPT_HOP)
		att->lines[n++].data = "X-Cassia-Hop: 1";
	att->lines[0].next = &att->lines[1];
	att->lines[1].next = n > 2 ? &att->lines[2] : req->lines;
	att->lines[2].next = req->lines;
	curl_easy_setopt(att->easy, CURLOPT_HTTPHEADER, att->lines);
}

/*
 * Holds the connections to one server within this instance's part of its limit. Bulk and small
 * requests have pools of their own, so that each pool gets half.
 */
static void limit_connections(struct proxyd *p, enum lane lane, const struct cs_target *t)
{
	long limit = cs_target_connections(t) / 2;

	if (limit < 1)
		limit = 1;
	if (p->lane_limits[lane] == limit)
		return;
	p->lane_limits[lane] = limit;
	curl_multi_setopt(cs_curl_multi(p->lanes[lane]), CURLMOPT_MAX_HOST_CONNECTIONS, limit);
}

/* Starts the transfer; once: on a connection of its own, used for nothing else. */
static void attempt_send(struct attempt *att)
{
	struct request *req = att->req;
	struct proxyd *p = req->proxyd;
	bool once = !req->idempotent && !cs_fault("attempts");
	enum lane lane = req->bulk ? LANE_BULK : LANE_SMALL;
	char url[CS_ADDR_MAX + 24];
	CURL *e = att->easy;

	snprintf(url, sizeof(url), strchr(att->addr, ':') ? "http://[%s]:%u/" : "http://%s:%u/",
		 att->addr, att->port);
	curl_easy_setopt(e, CURLOPT_URL, url);
	curl_easy_setopt(e, CURLOPT_REQUEST_TARGET, req->target);
	/* libcurl sends a request again when a reused connection turns out to be closed. */
	curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, once || att->stale ? 1L : 0L);
	curl_easy_setopt(e, CURLOPT_FORBID_REUSE, once ? 1L : 0L);
	set_body(att);
	set_lines(att);
	if (att->kind == ATTEMPT_HOP)
		lane = req->bulk ? LANE_HOP_BULK : LANE_HOP_SMALL;
	else
		limit_connections(p, lane, att->target);
	att->curl = p->lanes[lane];
	att->running = true;
	cs_curl_start(att->curl, e, on_done, att);
}

struct attempt *attempt_start(struct request *req, struct cs_target *target)
{
	struct attempt *att = attempt_create(req);

	att->kind = ATTEMPT_SERVER;
	att->target = target;
	cs_copy(att->name, sizeof(att->name), cs_target_name(target));
	cs_copy(att->addr, sizeof(att->addr), cs_target_addr(target));
	att->port = cs_target_port(target);
	attempt_send(att);
	return att;
}

struct attempt *attempt_hop(struct request *req, const struct cs_decision *d)
{
	struct attempt *att = attempt_create(req);

	att->kind = ATTEMPT_HOP;
	cs_copy(att->name, sizeof(att->name), d->u.hop.instance);
	cs_copy(att->zone, sizeof(att->zone), d->u.hop.zone);
	cs_copy(att->addr, sizeof(att->addr), d->u.hop.addr);
	att->port = d->u.hop.port;
	attempt_send(att);
	return att;
}

void attempt_end(struct attempt *att, enum cs_outcome outcome)
{
	struct request *req = att->req;
	struct proxyd *p = req->proxyd;
	uint64_t now = cs_mono_us(), took = now - att->started_us;

	if (att->ended)
		return;
	att->ended = true;
	if (att->running) {
		att->running = false;
		cs_curl_abort(att->curl, att->easy);
		if (att->state != ATTEMPT_NOT_SENT && att->state != ATTEMPT_REFUSED)
			att->state = ATTEMPT_LOST;
	}
	if (outcome == CS_OUTCOME_TIMEOUT && att->state == ATTEMPT_NOT_SENT)
		outcome = CS_OUTCOME_UNSENT;
	if (att->kind == ATTEMPT_HOP)
		cs_policy_hop_ended(p->policy, att->zone, req->ask.class_index,
				    outcome == CS_OUTCOME_REFUSED || outcome == CS_OUTCOME_UNSENT,
				    took, now);
	else
		cs_policy_ended(p->policy, att->target, req->ask.class_index, outcome, took, now);
	p->pump = true;
	proxyd_wake(p);
}

void attempt_body_ready(struct attempt *att)
{
	if (!att->running || !att->send_paused)
		return;
	att->send_paused = false;
	curl_easy_pause(att->easy, att->recv_paused ? CURLPAUSE_RECV : CURLPAUSE_CONT);
}

void attempt_answer_taken(struct attempt *att)
{
	if (!att->running || !att->recv_paused || ring_space(&att->data) < BUFFER_MAX / 2)
		return;
	att->recv_paused = false;
	curl_easy_pause(att->easy, att->send_paused ? CURLPAUSE_SEND : CURLPAUSE_CONT);
}

/*
 * A new socket: binds it to the process's own address, by which relays and servers know the zone.
 * CURLOPT_INTERFACE would do the same but compares texts on each search for a connection.
 */
static int on_socket(void *arg, curl_socket_t fd, curlsocktype purpose)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	struct attempt *att = arg;
	struct proxyd *p = att->req->proxyd;
	int one = 1;

	att->new_fd = fd;
	if (!p->bind_source)
		return CURL_SOCKOPT_OK;
	/* The port is chosen at connect, so that ports are shared between destinations. */
	setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &one, sizeof(one));
	if (inet_pton(AF_INET, p->address, &sa.sin_addr) != 1 ||
	    bind(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0)
		return CURL_SOCKOPT_ERROR;
	return CURL_SOCKOPT_OK;
}

static int on_close(void *arg, curl_socket_t fd)
{
	sockets_closed(arg, fd);
	return close(fd);
}

/*
 * The connection is up and nothing was sent yet. A reused connection that has input, or its end,
 * holds an answer that is not ours: the attempt stops and is sent on a fresh one.
 */
static int on_prereq(void *arg, char *dst, char *src, int dst_port, int src_port)
{
	struct attempt *att = arg;
	struct proxyd *p = att->req->proxyd;
	uint64_t key = sockets_key(dst, dst_port, src, src_port);
	int fd;

	if (att->new_fd >= 0) {
		sockets_add(p->sockets, key, att->new_fd);
		att->new_fd = -1;
	} else {
		fd = sockets_find(p->sockets, key);
		if (fd < 0 || sockets_has_input(fd)) {
			att->stale = true;
			return CURL_PREREQFUNC_ABORT;
		}
	}
	att->state = ATTEMPT_SENT;
	return CURL_PREREQFUNC_OK;
}

/* Length of a line without its end and trailing spaces. */
static size_t trimmed(const char *s, size_t len)
{
	while (len > 0 && strchr(" \t\r\n", s[len - 1]) != NULL)
		len--;
	return len;
}

/* Reads the status line; a new one follows each interim answer. */
static void read_status(struct attempt *att, const char *line, size_t len)
{
	char text[64];
	const char *p;

	head_clear(&att->head);
	if (len >= sizeof(text))
		len = sizeof(text) - 1;
	memcpy(text, line, len);
	text[len] = '\0';
	p = strchr(text, ' ');
	att->status = p ? (unsigned)strtoul(p, NULL, 10) : 0;
}

/* All header lines are in; false if they are of another request's answer. */
static bool head_complete(struct attempt *att)
{
	const char *length = head_get(&att->head, "Content-Length");
	const char *coding = head_get(&att->head, "Transfer-Encoding");
	const char *ran = head_get(&att->head, att->kind == ATTEMPT_HOP ? "X-Cassia-Ran" : "X-Ran");
	const char *id = head_get(&att->head, "X-Request-Id");

	if (id != NULL && strcmp(id, att->req->id) != 0) {
		cs_log(CS_WARNING, "attempt",
		       "Answer is not to this request. peer=%s id=%s got=%.64s", att->name,
		       att->req->id, id);
		return false;
	}
	att->head_done = true;
	att->state = ATTEMPT_ANSWERED;
	att->no_body = att->status == 204 || att->status == 304 ||
		       strcmp(att->req->method, "HEAD") == 0;
	if (length != NULL)
		att->length = strtoull(length, NULL, 10);
	if (coding != NULL && strcasecmp(coding, "identity") != 0)
		att->framing = FRAMING_CHUNKED;
	else
		att->framing = length != NULL ? FRAMING_LENGTH : FRAMING_CLOSE;
	if (ran != NULL && strcasecmp(ran, "no") == 0 &&
	    (att->kind == ATTEMPT_HOP || att->status == 503)) {
		att->refused = true;
		att->state = ATTEMPT_REFUSED;
	}
	return true;
}

static size_t on_header(char *data, size_t size, size_t n, void *arg)
{
	struct attempt *att = arg;
	size_t len = size * n, end = trimmed(data, len), name;
	const char *colon;

	/* Lines after the body are trailers, which are not passed on. */
	if (att->head_done)
		return len;
	if (len > 5 && strncmp(data, "HTTP/", 5) == 0) {
		read_status(att, data, end);
		return len;
	}
	if (end == 0) {
		if (att->status < 200)
			return len;
		if (!head_complete(att))
			return 0;
		request_work(att->req);
		return len;
	}
	colon = memchr(data, ':', end);
	if (colon == NULL)
		return len;
	if (att->head.len + len > ANSWER_HEAD_MAX)
		return 0;
	name = trimmed(data, (size_t)(colon - data));
	colon++;
	while (colon < data + end && (*colon == ' ' || *colon == '\t'))
		colon++;
	head_add(&att->head, data, name, colon, (size_t)(data + end - colon));
	return len;
}

static size_t on_write(char *data, size_t size, size_t n, void *arg)
{
	struct attempt *att = arg;
	size_t len = size * n;

	if (att->refused)
		return len;
	if (att->data.in == 0 && att->framing == FRAMING_LENGTH)
		ring_reserve(&att->data,
			     att->length < BUFFER_MAX ? (size_t)att->length : BUFFER_MAX);
	if (ring_space(&att->data) < len) {
		att->recv_paused = true;
		return CURL_WRITEFUNC_PAUSE;
	}
	ring_put(&att->data, data, len);
	request_work(att->req);
	return len;
}

static size_t on_read(char *out, size_t size, size_t n, void *arg)
{
	struct attempt *att = arg;
	struct request *req = att->req;
	size_t got = ring_get(&req->body, out, size * n);

	if (got > 0) {
		server_resume(req);
		return got;
	}
	if (req->body_ended)
		return 0;
	att->send_paused = true;
	return CURL_READFUNC_PAUSE;
}

void attempt_take_state(struct attempt *att)
{
	const char *state;
	int i;

	if (!att->head_done || att->state_taken || att->kind != ATTEMPT_SERVER)
		return;
	att->state_taken = true;
	state = head_get(&att->head, "X-Server-State");
	if (state == NULL)
		return;
	i = cs_server_state_parse(state);
	if (i >= 0)
		cs_policy_server_says(att->req->proxyd->policy, att->target,
				      (enum cs_server_state)i, cs_mono_us());
}

static void on_done(CURL *easy, CURLcode code, void *arg)
{
	struct attempt *att = arg;

	att->running = false;
	if (att->stale && att->state == ATTEMPT_NOT_SENT && code == CURLE_ABORTED_BY_CALLBACK) {
		attempt_send(att);
		return;
	}
	if (att->head_done && (code == CURLE_OK || cs_fault("discard")))
		att->whole = true;
	else
		att->failed = true;
	if (att->failed && att->state != ATTEMPT_NOT_SENT && att->state != ATTEMPT_REFUSED)
		att->state = ATTEMPT_LOST;
	if (code != CURLE_OK)
		cs_log(CS_DEBUG, "attempt", "Transfer ended early. peer=%s id=%s error=%s",
		       att->name, att->req->id, curl_easy_strerror(code));
	request_progress(att->req);
}
