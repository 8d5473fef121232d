/* Transfers to servers: libcurl's options and callbacks. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy/sockets.h"
#include "proxy/transfer.h"

#define CONNECT_TIMEOUT_MS 1000L
#define POOL_MAX 256
/* Buffer memory that a pooled transfer keeps, in bytes. */
#define POOL_KEEP (16 * 1024)
/* Header lines of one answer in bytes; more is a broken answer. */
#define ANSWER_HEAD_MAX (64 * 1024)
/* Idle connections that are kept, to all servers. */
#define CONNECTIONS_KEPT 1024L
/*
 * A request that may run once goes out only on a connection used this lately: servers forget idle
 * connections without notice, and what is lost with one may not be sent again.
 */
#define ONCE_IDLE_US (100 * CS_US_PER_MS)
/* A server that does not answer "Expect: 100-continue" gets the body after this time. */
#define EXPECT_TIMEOUT_MS 200L
/* Idle connections of all others are not used again after this time, in seconds. */
#define IDLE_MAX_S 8L
enum lane { LANE_SMALL, LANE_BULK, LANE_MAX };

struct cs_transfer {
	TAILQ_ENTRY(cs_transfer) entry; /* of the pool */
	TAILQ_ENTRY(cs_transfer) news_entry;
	struct cs_lanes *lanes;
	CURL *easy;
	struct cs_curl *curl; /* lane it runs on */
	struct cs_transfer_opts opts;
	char url[64];
	cs_transfer_cb news_cb;
	cs_transfer_want want_cb;
	void *arg;
	enum cs_transfer_state state;
	bool running; /* libcurl has it */
	bool news; /* in the list */
	bool stale; /* the connection offered was not fit for use */
	bool resent; /* sent again after a kept connection died */
	bool refused_resend; /* libcurl wanted to send it again, and must not */
	uint64_t key; /* of its connection, once sent */
	int new_fd; /* of a connection opened for it, until it is registered; or -1 */
	bool send_paused, recv_paused;
	bool overflows;
	unsigned status;
	bool has_head, bodiless;
	enum cs_framing framing;
	uint64_t length;
	struct head head;
	struct ring data;
	const char *error;
};

struct cs_lanes {
	struct ev_loop *loop;
	struct cs_curl *curl[LANE_MAX];
	long limit[LANE_MAX]; /* connections to one server */
	struct sockets *sockets;
	struct in_addr source;
	bool bind_source;
	TAILQ_HEAD(, cs_transfer) pool;
	unsigned n_pool;
	TAILQ_HEAD(, cs_transfer) news;
	ev_prepare before;
	ev_idle awake; /* keeps the loop from sleeping while there is news */
};

static size_t on_header(char *data, size_t size, size_t n, void *arg);
static size_t on_write(char *data, size_t size, size_t n, void *arg);
static size_t on_read(char *out, size_t size, size_t n, void *arg);
static int on_prereq(void *arg, char *dst, char *src, int dst_port, int src_port);
static int on_socket(void *arg, curl_socket_t fd, curlsocktype purpose);
static int on_close(void *arg, curl_socket_t fd);
static void on_done(CURL *easy, CURLcode code, void *arg);
static void on_before(struct ev_loop *loop, ev_prepare *w, int events);
static void on_awake(struct ev_loop *loop, ev_idle *w, int events);

struct cs_lanes *cs_lanes_create(struct ev_loop *loop, struct cs_timers *ts, const char *source)
{
	struct cs_lanes *l = cs_xcalloc(1, sizeof(*l));
	unsigned i;

	l->loop = loop;
	l->sockets = sockets_create();
	l->bind_source = source != NULL && inet_pton(AF_INET, source, &l->source) == 1;
	TAILQ_INIT(&l->pool);
	TAILQ_INIT(&l->news);
	/* libev calls watchers of one priority last started first: this one after the lanes'. */
	ev_prepare_init(&l->before, on_before);
	ev_set_priority(&l->before, EV_MAXPRI);
	l->before.data = l;
	ev_prepare_start(loop, &l->before);
	ev_idle_init(&l->awake, on_awake);
	for (i = 0; i < LANE_MAX; i++) {
		l->curl[i] = cs_curl_create(loop, ts);
		curl_multi_setopt(cs_curl_multi(l->curl[i]), CURLMOPT_MAXCONNECTS,
				  CONNECTIONS_KEPT);
	}
	return l;
}

static void transfer_free(struct cs_transfer *t)
{
	curl_easy_cleanup(t->easy);
	head_free(&t->head);
	ring_free(&t->data);
	free(t);
}

void cs_lanes_destroy(struct cs_lanes *l)
{
	struct cs_transfer *t;
	unsigned i;

	if (l == NULL)
		return;
	while ((t = TAILQ_FIRST(&l->pool)) != NULL) {
		TAILQ_REMOVE(&l->pool, t, entry);
		transfer_free(t);
	}
	for (i = 0; i < LANE_MAX; i++)
		cs_curl_destroy(l->curl[i]);
	sockets_destroy(l->sockets);
	ev_prepare_stop(l->loop, &l->before);
	ev_idle_stop(l->loop, &l->awake);
	free(l);
}

void cs_lanes_limit(struct cs_lanes *l, bool bulk, long connections)
{
	enum lane lane = bulk ? LANE_BULK : LANE_SMALL;

	if (l->limit[lane] == connections)
		return;
	l->limit[lane] = connections;
	curl_multi_setopt(cs_curl_multi(l->curl[lane]), CURLMOPT_MAX_HOST_CONNECTIONS, connections);
}

/* Options that stay for the life of a handle. */
static CURL *easy_create(struct cs_lanes *l, struct cs_transfer *t)
{
	CURL *e = curl_easy_init();

	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(e, CURLOPT_EXPECT_100_TIMEOUT_MS, EXPECT_TIMEOUT_MS);
	curl_easy_setopt(e, CURLOPT_MAXAGE_CONN, IDLE_MAX_S);
	curl_easy_setopt(e, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_HTTP_CONTENT_DECODING, 0L);
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, t);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_write);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(e, CURLOPT_READFUNCTION, on_read);
	curl_easy_setopt(e, CURLOPT_READDATA, t);
	curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_prereq);
	curl_easy_setopt(e, CURLOPT_PREREQDATA, t);
	curl_easy_setopt(e, CURLOPT_SOCKOPTFUNCTION, on_socket);
	curl_easy_setopt(e, CURLOPT_SOCKOPTDATA, t);
	curl_easy_setopt(e, CURLOPT_CLOSESOCKETFUNCTION, on_close);
	curl_easy_setopt(e, CURLOPT_CLOSESOCKETDATA, l->sockets);
	return e;
}

/* Takes a transfer from the pool or makes one. */
static struct cs_transfer *transfer_take(struct cs_lanes *l, size_t buffer_max)
{
	struct cs_transfer *t = TAILQ_FIRST(&l->pool), old;

	if (t != NULL) {
		TAILQ_REMOVE(&l->pool, t, entry);
		l->n_pool--;
		old = *t;
		*t = (struct cs_transfer){.easy = old.easy, .head = old.head, .data = old.data};
	} else {
		t = cs_xcalloc(1, sizeof(*t));
		t->easy = easy_create(l, t);
	}
	t->lanes = l;
	head_clear(&t->head);
	ring_reset(&t->data, buffer_max, POOL_KEEP);
	t->length = UINT64_MAX;
	t->new_fd = -1;
	t->error = "";
	return t;
}

/* Method and body options; HTTPGET clears what the handle's last use has set. */
static void set_body(struct cs_transfer *t)
{
	const struct cs_transfer_opts *o = &t->opts;
	CURL *e = t->easy;

	curl_easy_setopt(e, CURLOPT_HTTPGET, 1L);
	curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, o->method);
	if (o->body != NULL && !o->body_whole) {
		curl_easy_setopt(e, CURLOPT_UPLOAD, 1L);
		curl_easy_setopt(e, CURLOPT_INFILESIZE_LARGE,
				 o->body_length == UINT64_MAX ? (curl_off_t)-1
							      : (curl_off_t)o->body_length);
	} else if (o->body != NULL || strcmp(o->method, "POST") == 0 ||
		   strcmp(o->method, "PUT") == 0) {
		curl_easy_setopt(e, CURLOPT_POST, 1L);
		curl_easy_setopt(e, CURLOPT_POSTFIELDS,
				 o->body != NULL && o->body->data != NULL ? o->body->data : "");
		curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE_LARGE,
				 o->body != NULL ? (curl_off_t)o->body->in : (curl_off_t)0);
	} else if (strcmp(o->method, "HEAD") == 0) {
		curl_easy_setopt(e, CURLOPT_NOBODY, 1L);
	}
}

static void transfer_send(struct cs_transfer *t)
{
	const struct cs_transfer_opts *o = &t->opts;
	CURL *e = t->easy;

	curl_easy_setopt(e, CURLOPT_URL, t->url);
	curl_easy_setopt(e, CURLOPT_REQUEST_TARGET, o->target);
	curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, t->stale || o->alone ? 1L : 0L);
	/*
	 * A server may answer before it has read a long body and keep the connection: the rest of
	 * the body would be read as the next request.
	 */
	curl_easy_setopt(e, CURLOPT_FORBID_REUSE, o->bulk || o->alone ? 1L : 0L);
	set_body(t);
	curl_easy_setopt(e, CURLOPT_HTTPHEADER, o->lines);
	t->curl = t->lanes->curl[o->bulk ? LANE_BULK : LANE_SMALL];
	t->running = true;
	cs_curl_start(t->curl, e, on_done, t);
}

struct cs_transfer *cs_transfer_start(struct cs_lanes *l, const struct cs_transfer_opts *opts,
				      cs_transfer_cb news, cs_transfer_want want, void *arg)
{
	struct cs_transfer *t = transfer_take(l, opts->buffer_max);

	t->opts = *opts;
	t->news_cb = news;
	t->want_cb = want;
	t->arg = arg;
	snprintf(t->url, sizeof(t->url), "http://%s:%u/", opts->addr, opts->port);
	t->opts.addr = NULL;
	transfer_send(t);
	return t;
}

void cs_transfer_stop(struct cs_transfer *t)
{
	if (!t->running)
		return;
	t->running = false;
	cs_curl_abort(t->curl, t->easy);
	if (t->state == CS_TRANSFER_SENT || t->state == CS_TRANSFER_HEAD)
		t->state = CS_TRANSFER_BROKEN;
}

void cs_transfer_destroy(struct cs_transfer *t)
{
	struct cs_lanes *l;

	if (t == NULL)
		return;
	l = t->lanes;
	cs_transfer_stop(t);
	if (t->news)
		TAILQ_REMOVE(&l->news, t, news_entry);
	t->news = false;
	if (l->n_pool >= POOL_MAX) {
		transfer_free(t);
		return;
	}
	ring_reset(&t->data, POOL_KEEP, POOL_KEEP);
	/* Last in, first out: the handle used last has its memory in the cache. */
	TAILQ_INSERT_HEAD(&l->pool, t, entry);
	l->n_pool++;
}

/* Puts the transfer on the list that the loop hands out before it sleeps. */
static void note_news(struct cs_transfer *t)
{
	if (t->news)
		return;
	t->news = true;
	TAILQ_INSERT_TAIL(&t->lanes->news, t, news_entry);
	ev_idle_start(t->lanes->loop, &t->lanes->awake);
}

static void on_awake(struct ev_loop *loop, ev_idle *w, int events)
{
}

static void on_before(struct ev_loop *loop, ev_prepare *w, int events)
{
	struct cs_lanes *l = w->data;
	struct cs_transfer *t;

	ev_idle_stop(loop, &l->awake);
	while ((t = TAILQ_FIRST(&l->news)) != NULL) {
		TAILQ_REMOVE(&l->news, t, news_entry);
		t->news = false;
		t->news_cb(t, t->arg);
	}
}

enum cs_transfer_state cs_transfer_state(const struct cs_transfer *t)
{
	return t->state;
}

bool cs_transfer_has_head(const struct cs_transfer *t)
{
	return t->has_head;
}

unsigned cs_transfer_status(const struct cs_transfer *t)
{
	return t->status;
}

const struct head *cs_transfer_head(const struct cs_transfer *t)
{
	return &t->head;
}

enum cs_framing cs_transfer_framing(const struct cs_transfer *t)
{
	return t->framing;
}

uint64_t cs_transfer_length(const struct cs_transfer *t)
{
	return t->length;
}

bool cs_transfer_bodiless(const struct cs_transfer *t)
{
	return t->bodiless;
}

struct ring *cs_transfer_data(struct cs_transfer *t)
{
	return &t->data;
}

bool cs_transfer_overflows(const struct cs_transfer *t)
{
	return t->overflows;
}

const char *cs_transfer_error(const struct cs_transfer *t)
{
	return t->error;
}

void cs_transfer_taken(struct cs_transfer *t)
{
	if (!t->running || !t->recv_paused || ring_space(&t->data) < t->data.max / 2)
		return;
	t->recv_paused = false;
	curl_easy_pause(t->easy, t->send_paused ? CURLPAUSE_SEND : CURLPAUSE_CONT);
}

void cs_transfer_fed(struct cs_transfer *t)
{
	if (!t->running || !t->send_paused)
		return;
	t->send_paused = false;
	curl_easy_pause(t->easy, t->recv_paused ? CURLPAUSE_RECV : CURLPAUSE_CONT);
}

/* A new socket: binds it to the process's own address. */
static int on_socket(void *arg, curl_socket_t fd, curlsocktype purpose)
{
	struct cs_transfer *t = arg;
	struct sockaddr_in sa = {.sin_family = AF_INET, .sin_addr = t->lanes->source};
	int one = 1;

	t->new_fd = fd;
	cs_sock_set_keepalive(fd);
	if (!t->lanes->bind_source)
		return CURL_SOCKOPT_OK;
	/* The port is chosen at connect, so that ports are shared between destinations. */
	setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0)
		return CURL_SOCKOPT_ERROR;
	return CURL_SOCKOPT_OK;
}

/*
 * Resets the connection. After an orderly close the kernel would go on sending what the server has
 * not acknowledged, and a request that was given up in a partition would run when that ends.
 */
static int on_close(void *arg, curl_socket_t fd)
{
	struct linger reset = {.l_onoff = 1, .l_linger = 0};

	sockets_closed(arg, fd);
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	return close(fd);
}

/* True if a kept connection may carry this request. */
static bool connection_fits(struct cs_transfer *t, uint64_t key)
{
	uint64_t idle_us = 0;
	int fd = sockets_find_idle(t->lanes->sockets, key, &idle_us);

	if (fd < 0 || sockets_has_input(fd))
		return false;
	return !t->opts.once || idle_us <= ONCE_IDLE_US;
}

/*
 * The connection is up and nothing was sent yet. A kept connection that has input, or its end,
 * holds an answer that is not ours: the transfer stops and is sent on a fresh one. libcurl also
 * comes here when it wants to send again after a kept connection died.
 */
static int on_prereq(void *arg, char *dst, char *src, int dst_port, int src_port)
{
	struct cs_transfer *t = arg;
	uint64_t key = sockets_key(dst, dst_port, src, src_port);

	if (t->state != CS_TRANSFER_UNSENT && (t->opts.once || t->resent)) {
		t->refused_resend = true;
		return CURL_PREREQFUNC_ABORT;
	}
	t->resent = t->state != CS_TRANSFER_UNSENT;
	if (t->new_fd >= 0) {
		sockets_add(t->lanes->sockets, key, t->new_fd);
		t->new_fd = -1;
	} else if (!connection_fits(t, key)) {
		t->stale = true;
		return CURL_PREREQFUNC_ABORT;
	}
	t->key = key;
	t->state = CS_TRANSFER_SENT;
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
static void read_status(struct cs_transfer *t, const char *line, size_t len)
{
	char text[64];
	const char *p;

	head_clear(&t->head);
	if (len >= sizeof(text))
		len = sizeof(text) - 1;
	memcpy(text, line, len);
	text[len] = '\0';
	p = strchr(text, ' ');
	t->status = p ? (unsigned)strtoul(p, NULL, 10) : 0;
}

/* All header lines are in; false if they are of another request's answer. */
static bool head_complete(struct cs_transfer *t)
{
	const char *length = head_get(&t->head, "Content-Length");
	const char *coding = head_get(&t->head, "Transfer-Encoding");
	const char *id = t->opts.id_name ? head_get(&t->head, t->opts.id_name) : NULL;

	if (id != NULL && strcmp(id, t->opts.id) != 0) {
		t->error = "the answer is to another request";
		return false;
	}
	t->has_head = true;
	t->state = CS_TRANSFER_HEAD;
	t->bodiless = t->status == 204 || t->status == 304 || strcmp(t->opts.method, "HEAD") == 0;
	if (length != NULL)
		t->length = strtoull(length, NULL, 10);
	if (coding != NULL && strcasecmp(coding, "identity") != 0)
		t->framing = CS_FRAMING_CHUNKED;
	else
		t->framing = length != NULL ? CS_FRAMING_LENGTH : CS_FRAMING_CLOSE;
	return true;
}

static size_t on_header(char *data, size_t size, size_t n, void *arg)
{
	struct cs_transfer *t = arg;
	size_t len = size * n, end = trimmed(data, len), name;
	const char *colon;

	/* Lines after the body are trailers, which are not passed on. */
	if (t->has_head)
		return len;
	if (len > 5 && strncmp(data, "HTTP/", 5) == 0) {
		read_status(t, data, end);
		return len;
	}
	if (end == 0) {
		if (t->status < 200)
			return len;
		if (!head_complete(t))
			return 0;
		note_news(t);
		return len;
	}
	colon = memchr(data, ':', end);
	if (colon == NULL)
		return len;
	if (t->head.len + len > ANSWER_HEAD_MAX)
		return 0;
	name = trimmed(data, (size_t)(colon - data));
	colon++;
	while (colon < data + end && (*colon == ' ' || *colon == '\t'))
		colon++;
	head_add(&t->head, data, name, colon, (size_t)(data + end - colon));
	return len;
}

static size_t on_write(char *data, size_t size, size_t n, void *arg)
{
	struct cs_transfer *t = arg;
	size_t len = size * n;

	if (t->data.in == 0 && t->framing == CS_FRAMING_LENGTH)
		ring_reserve(&t->data, t->length < t->data.max ? (size_t)t->length : t->data.max);
	if (ring_space(&t->data) < len) {
		t->recv_paused = true;
		t->overflows = true;
		note_news(t);
		return CURL_WRITEFUNC_PAUSE;
	}
	ring_put(&t->data, data, len);
	note_news(t);
	return len;
}

static size_t on_read(char *out, size_t size, size_t n, void *arg)
{
	struct cs_transfer *t = arg;
	size_t got = ring_get(t->opts.body, out, size * n);

	if (got > 0) {
		t->want_cb(t, t->arg);
		return got;
	}
	if (*t->opts.body_ended)
		return 0;
	t->send_paused = true;
	return CURL_READFUNC_PAUSE;
}

static void on_done(CURL *easy, CURLcode code, void *arg)
{
	struct cs_transfer *t = arg;

	t->running = false;
	if (t->stale && t->state == CS_TRANSFER_UNSENT && code == CURLE_ABORTED_BY_CALLBACK) {
		transfer_send(t);
		return;
	}
	if (t->has_head && (code == CURLE_OK || cs_fault("discard"))) {
		t->state = CS_TRANSFER_WHOLE;
		sockets_touch(t->lanes->sockets, t->key);
	} else {
		if (t->state != CS_TRANSFER_UNSENT)
			t->state = CS_TRANSFER_BROKEN;
		if (*t->error == '\0')
			t->error = t->refused_resend ? "the kept connection was closed"
						     : curl_easy_strerror(code);
	}
	note_news(t);
}
