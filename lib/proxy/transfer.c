/* Transfers to servers: options and callbacks of libcurl. */
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
#define IDLE_TRANSFERS_MAX 256
/* Buffer memory that an idle transfer keeps, in bytes. */
#define IDLE_BUFFER_SIZE_MAX (16 * 1024)
/*
 * Limit for the header lines of one response in bytes, and for its trailers. The transfer fails if
 * it is exceeded: libcurl keeps each line until the transfer ends.
 */
#define RESPONSE_HEAD_MAX (64 * 1024)
/* Limit of the idle connections that one connection pool keeps to all servers together. */
#define IDLE_CONNECTIONS_MAX 1024L
/*
 * An at-most-once request is sent only on a connection that was idle no longer than this. Servers
 * drop idle connections without notice, and a request that is lost that way must not be sent again.
 */
#define AT_MOST_ONCE_IDLE_MAX_US (100 * CS_US_PER_MS)
/* The body is sent after this time if the server does not respond to "Expect: 100-continue". */
#define EXPECT_TIMEOUT_MS 200L
/* Requests that may be sent more than once reuse a connection idle for at most this time. */
#define CONNECTION_IDLE_MAX_S 8L
enum conn_pool { CONN_POOL_SMALL, CONN_POOL_BULK, CONN_POOL_COUNT };

struct cs_transfer {
	TAILQ_ENTRY(cs_transfer) entry; /* in the list of idle transfers */
	TAILQ_ENTRY(cs_transfer) event_entry;
	struct cs_transfer_pool *pool;
	CURL *easy;
	struct cs_curl *curl; /* connection pool that the transfer uses */
	struct cs_transfer_opts opts;
	char url[64];
	cs_transfer_event_cb event_cb;
	cs_transfer_body_cb body_cb;
	void *arg;
	enum cs_transfer_state state;
	bool running; /* added to libcurl */
	bool event_queued; /* in the list of events */
	bool stale; /* the kept connection that libcurl chose was unusable */
	bool restarted; /* on a new connection */
	bool withheld; /* opts.may_send was false */
	bool resend_aborted; /* libcurl tried to send the request again */
	uint64_t sent_us; /* time of the last send; 0: unsent */
	uint64_t key; /* sockets_key of its connection; set when the request is sent */
	int new_fd; /* new connection that is not yet in sockets, or -1 */
	bool send_paused, recv_paused;
	bool overflows;
	unsigned status;
	bool has_head, bodiless;
	struct sockets_use connection; /* set when the request is sent */
	bool has_id; /* the response has the id of the request */
	enum cs_framing framing;
	uint64_t length;
	struct head head;
	size_t trailer_len; /* bytes of lines after the body */
	struct ring data;
	const char *error;
};

struct cs_transfer_pool {
	struct ev_loop *loop;
	struct cs_curl *curl[CONN_POOL_COUNT];
	long limit[CONN_POOL_COUNT]; /* connections to one server; 0: no limit */
	struct sockets *sockets;
	struct in_addr source;
	bool bind_source;
	TAILQ_HEAD(, cs_transfer) idle;
	unsigned n_idle;
	TAILQ_HEAD(, cs_transfer) events;
	ev_prepare prepare;
	ev_idle keep_awake; /* keeps the loop from blocking while events are queued */
};

static size_t on_header(char *data, size_t size, size_t n, void *arg);
static size_t on_write(char *data, size_t size, size_t n, void *arg);
static size_t on_read(char *out, size_t size, size_t n, void *arg);
static int on_prereq(void *arg, char *dst, char *src, int dst_port, int src_port);
static int on_socket_created(void *arg, curl_socket_t fd, curlsocktype purpose);
static int on_socket_close(void *arg, curl_socket_t fd);
static void on_transfer_done(CURL *easy, CURLcode code, void *arg);
static void on_prepare(struct ev_loop *loop, ev_prepare *w, int events);
static void on_keep_awake(struct ev_loop *loop, ev_idle *w, int events);

struct cs_transfer_pool *cs_transfer_pool_create(struct ev_loop *loop, struct cs_timers *ts,
						 const char *source)
{
	struct cs_transfer_pool *p = cs_xcalloc(1, sizeof(*p));
	unsigned i;

	p->loop = loop;
	p->sockets = sockets_create();
	p->bind_source = source != NULL && inet_pton(AF_INET, source, &p->source) == 1;
	TAILQ_INIT(&p->idle);
	TAILQ_INIT(&p->events);
	/*
	 * libev calls watchers of one priority in reverse order of their start. This watcher runs
	 * after those of the connection pools, which are started below.
	 */
	ev_prepare_init(&p->prepare, on_prepare);
	ev_set_priority(&p->prepare, EV_MAXPRI);
	p->prepare.data = p;
	ev_prepare_start(loop, &p->prepare);
	ev_idle_init(&p->keep_awake, on_keep_awake);
	for (i = 0; i < CONN_POOL_COUNT; i++) {
		p->curl[i] = cs_curl_create(loop, ts);
		curl_multi_setopt(cs_curl_multi(p->curl[i]), CURLMOPT_MAXCONNECTS,
				  IDLE_CONNECTIONS_MAX);
	}
	return p;
}

static void transfer_free(struct cs_transfer *t)
{
	curl_easy_cleanup(t->easy);
	head_free(&t->head);
	ring_free(&t->data);
	free(t);
}

void cs_transfer_pool_destroy(struct cs_transfer_pool *p)
{
	struct cs_transfer *t;
	unsigned i;

	if (p == NULL)
		return;
	while ((t = TAILQ_FIRST(&p->idle)) != NULL) {
		TAILQ_REMOVE(&p->idle, t, entry);
		transfer_free(t);
	}
	for (i = 0; i < CONN_POOL_COUNT; i++)
		cs_curl_destroy(p->curl[i]);
	sockets_destroy(p->sockets);
	ev_prepare_stop(p->loop, &p->prepare);
	ev_idle_stop(p->loop, &p->keep_awake);
	free(p);
}

void cs_transfer_pool_set_limit(struct cs_transfer_pool *p, bool bulk, long connections)
{
	enum conn_pool kind = bulk ? CONN_POOL_BULK : CONN_POOL_SMALL;

	if (p->limit[kind] == connections)
		return;
	p->limit[kind] = connections;
	curl_multi_setopt(cs_curl_multi(p->curl[kind]), CURLMOPT_MAX_HOST_CONNECTIONS, connections);
}

/* Creates a handle and sets the options that never change. */
static CURL *easy_create(struct cs_transfer_pool *p, struct cs_transfer *t)
{
	CURL *e = curl_easy_init();

	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(e, CURLOPT_EXPECT_100_TIMEOUT_MS, EXPECT_TIMEOUT_MS);
	curl_easy_setopt(e, CURLOPT_MAXAGE_CONN, CONNECTION_IDLE_MAX_S);
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
	curl_easy_setopt(e, CURLOPT_SOCKOPTFUNCTION, on_socket_created);
	curl_easy_setopt(e, CURLOPT_SOCKOPTDATA, t);
	curl_easy_setopt(e, CURLOPT_CLOSESOCKETFUNCTION, on_socket_close);
	curl_easy_setopt(e, CURLOPT_CLOSESOCKETDATA, p->sockets);
	return e;
}

/* Reuses an idle transfer or creates one. */
static struct cs_transfer *transfer_acquire(struct cs_transfer_pool *p, size_t buffer_max)
{
	struct cs_transfer *t = TAILQ_FIRST(&p->idle), old;

	if (t != NULL) {
		TAILQ_REMOVE(&p->idle, t, entry);
		p->n_idle--;
		old = *t;
		*t = (struct cs_transfer){.easy = old.easy, .head = old.head, .data = old.data};
	} else {
		t = cs_xcalloc(1, sizeof(*t));
		t->easy = easy_create(p, t);
	}
	t->pool = p;
	head_clear(&t->head);
	ring_reset(&t->data, buffer_max, IDLE_BUFFER_SIZE_MAX);
	t->length = UINT64_MAX;
	t->new_fd = -1;
	t->error = "";
	return t;
}

static const char *request_id(const struct cs_transfer *t)
{
	return t->opts.id != NULL ? t->opts.id : "";
}

/* True if the body is sent while it arrives. */
static bool is_streamed(const struct cs_transfer_opts *o)
{
	return o->body != NULL && !o->body_buffered;
}

/*
 * Sets the method and body options. Those of the previous transfer are reset first: with its
 * POSTFIELDS libcurl would take a streamed body for one that can be sent again from its start.
 */
static void set_body(struct cs_transfer *t)
{
	const struct cs_transfer_opts *o = &t->opts;
	CURL *e = t->easy;

	curl_easy_setopt(e, CURLOPT_POSTFIELDS, NULL);
	curl_easy_setopt(e, CURLOPT_HTTPGET, 1L);
	curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, o->method);
	if (is_streamed(o)) {
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
				 o->body != NULL ? (curl_off_t)o->body->written : (curl_off_t)0);
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
	curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, t->restarted || o->own_connection ? 1L : 0L);
	/*
	 * A server may respond before it has read a long body and keep the connection open. If the
	 * connection were reused, it would read the rest of the body as the next request.
	 */
	curl_easy_setopt(e, CURLOPT_FORBID_REUSE,
			 o->bulk || o->own_connection || is_streamed(o) ? 1L : 0L);
	set_body(t);
	curl_easy_setopt(e, CURLOPT_HTTPHEADER, o->lines);
	t->curl = t->pool->curl[o->bulk ? CONN_POOL_BULK : CONN_POOL_SMALL];
	t->running = true;
	cs_curl_start(t->curl, e, on_transfer_done, t);
}

struct cs_transfer *cs_transfer_start(struct cs_transfer_pool *p,
				      const struct cs_transfer_opts *opts,
				      cs_transfer_event_cb event_cb, cs_transfer_body_cb body_cb,
				      void *arg)
{
	struct cs_transfer *t = transfer_acquire(p, opts->buffer_max);

	t->opts = *opts;
	t->event_cb = event_cb;
	t->body_cb = body_cb;
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
		t->state = CS_TRANSFER_FAILED;
}

void cs_transfer_destroy(struct cs_transfer *t)
{
	struct cs_transfer_pool *p;

	if (t == NULL)
		return;
	p = t->pool;
	cs_transfer_stop(t);
	if (t->event_queued)
		TAILQ_REMOVE(&p->events, t, event_entry);
	t->event_queued = false;
	if (p->n_idle >= IDLE_TRANSFERS_MAX) {
		transfer_free(t);
		return;
	}
	ring_reset(&t->data, IDLE_BUFFER_SIZE_MAX, IDLE_BUFFER_SIZE_MAX);
	/* Last in, first out: the memory of the last used handle is likely still in the CPU cache. */
	TAILQ_INSERT_HEAD(&p->idle, t, entry);
	p->n_idle++;
}

/* Queues an event that is delivered before the loop blocks. */
static void queue_event(struct cs_transfer *t)
{
	if (t->event_queued)
		return;
	t->event_queued = true;
	TAILQ_INSERT_TAIL(&t->pool->events, t, event_entry);
	ev_idle_start(t->pool->loop, &t->pool->keep_awake);
}

static void on_keep_awake(struct ev_loop *loop, ev_idle *w, int events)
{
}

static void on_prepare(struct ev_loop *loop, ev_prepare *w, int events)
{
	struct cs_transfer_pool *p = w->data;
	struct cs_transfer *t;

	ev_idle_stop(loop, &p->keep_awake);
	while ((t = TAILQ_FIRST(&p->events)) != NULL) {
		TAILQ_REMOVE(&p->events, t, event_entry);
		t->event_queued = false;
		t->event_cb(t, t->arg);
	}
}

enum cs_transfer_state cs_transfer_state(const struct cs_transfer *t)
{
	return t->state;
}

uint64_t cs_transfer_sent_us(const struct cs_transfer *t)
{
	return t->sent_us;
}

bool cs_transfer_is_withheld(const struct cs_transfer *t)
{
	return t->withheld;
}

bool cs_transfer_has_head(const struct cs_transfer *t)
{
	return t->has_head;
}

bool cs_transfer_is_own_response(const struct cs_transfer *t)
{
	return t->has_id || t->connection.sends == 0;
}

void cs_transfer_retire_connection(struct cs_transfer *t)
{
	sockets_retire(t->pool->sockets, t->key);
}

void cs_transfer_connection(const struct cs_transfer *t, struct cs_transfer_connection *out)
{
	*out = (struct cs_transfer_connection){.serial = t->connection.serial,
					       .earlier_sends = t->connection.sends,
					       .idle_us = t->connection.idle_us,
					       .has_id = t->has_id};
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

void cs_transfer_data_consumed(struct cs_transfer *t)
{
	if (!t->running || !t->recv_paused || ring_space(&t->data) < t->data.max / 2)
		return;
	t->recv_paused = false;
	curl_easy_pause(t->easy, t->send_paused ? CURLPAUSE_SEND : CURLPAUSE_CONT);
}

void cs_transfer_body_added(struct cs_transfer *t)
{
	if (!t->running || !t->send_paused)
		return;
	t->send_paused = false;
	curl_easy_pause(t->easy, t->recv_paused ? CURLPAUSE_RECV : CURLPAUSE_CONT);
}

/* Binds a new socket to the configured source address. */
static int on_socket_created(void *arg, curl_socket_t fd, curlsocktype purpose)
{
	struct cs_transfer *t = arg;
	struct sockaddr_in sa = {.sin_family = AF_INET, .sin_addr = t->pool->source};
	int one = 1;

	t->new_fd = fd;
	cs_sock_set_keepalive(fd);
	if (!t->pool->bind_source)
		return CURL_SOCKOPT_OK;
	/* Choosing the port at connect lets connections to different destinations share ports. */
	setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0)
		return CURL_SOCKOPT_ERROR;
	return CURL_SOCKOPT_OK;
}

/*
 * Closes the connection with a reset. After an orderly close the kernel would keep retransmitting
 * unacknowledged data, and a request that was abandoned during a network partition would run once
 * the partition ends.
 */
static int on_socket_close(void *arg, curl_socket_t fd)
{
	struct linger reset = {.l_onoff = 1, .l_linger = 0};

	sockets_remove(arg, fd);
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	return close(fd);
}

/* True if a kept connection may be used for this request. */
static bool connection_usable(const struct cs_transfer *t)
{
	if (t->connection.id_used || sockets_has_input(t->connection.fd))
		return false;
	return !t->opts.at_most_once || t->connection.idle_us <= AT_MOST_ONCE_IDLE_MAX_US;
}

/*
 * Called when the connection is established and nothing was sent yet. Input on a kept connection
 * belongs to an earlier request, and the end of input means that the server closed it. In both
 * cases, and if a request with the same id was sent on the connection before, the transfer is
 * aborted and restarted on a new connection. libcurl also calls this function before it sends a
 * request again because a kept connection failed. That is refused: the server may have run the
 * request, so whether it is sent again, with how much time left and at whose expense is for the
 * owner of the transfer to decide.
 */
static int on_prereq(void *arg, char *dst, char *src, int dst_port, int src_port)
{
	struct cs_transfer *t = arg;
	uint64_t key = sockets_key(dst, dst_port, src, src_port);
	bool is_new;

	if (t->state != CS_TRANSFER_UNSENT) {
		t->resend_aborted = true;
		return CURL_PREREQFUNC_ABORT;
	}
	if (t->opts.may_send != NULL && !t->opts.may_send(t->arg)) {
		t->withheld = true;
		return CURL_PREREQFUNC_ABORT;
	}
	if (t->new_fd >= 0)
		sockets_add(t->pool->sockets, key, t->new_fd);
	is_new = t->new_fd >= 0;
	t->new_fd = -1;
	if (!sockets_find(t->pool->sockets, key, request_id(t), &t->connection) ||
	    (!is_new && !connection_usable(t))) {
		t->stale = true;
		return CURL_PREREQFUNC_ABORT;
	}
	sockets_record_send(t->pool->sockets, key, request_id(t));
	t->key = key;
	t->state = CS_TRANSFER_SENT;
	t->sent_us = cs_mono_us();
	return CURL_PREREQFUNC_OK;
}

/* Length of a line without line end and trailing white space. */
static size_t trimmed_len(const char *s, size_t len)
{
	while (len > 0 && strchr(" \t\r\n", s[len - 1]) != NULL)
		len--;
	return len;
}

/* Parses a status line and discards the header lines of an interim response before it. */
static void parse_status(struct cs_transfer *t, const char *line, size_t len)
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

/* Looks for the id of the request; false if the response has another one. */
static bool parse_id(struct cs_transfer *t)
{
	const char *name, *value;
	size_t at = 0;

	while (t->opts.id_name != NULL && head_next(&t->head, &at, &name, &value)) {
		if (strcasecmp(name, t->opts.id_name) != 0)
			continue;
		if (strcmp(value, request_id(t)) != 0)
			return false;
		t->has_id = true;
	}
	return true;
}

/* Evaluates the complete headers; returns false if they belong to a response to another request. */
static bool parse_head(struct cs_transfer *t)
{
	const char *length = head_get(&t->head, "Content-Length");
	const char *coding = head_get(&t->head, "Transfer-Encoding");

	if (!parse_id(t)) {
		t->error = "response belongs to another request";
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
	/* The client need not wait until the buffer is full. */
	if (t->framing == CS_FRAMING_LENGTH && !t->bodiless && t->length > t->opts.buffer_max)
		t->overflows = true;
	return true;
}

static size_t on_header(char *data, size_t size, size_t n, void *arg)
{
	struct cs_transfer *t = arg;
	size_t len = size * n, end = trimmed_len(data, len), name;
	const char *colon;

	/* Lines after the body are trailers, which are not forwarded. */
	if (t->has_head) {
		t->trailer_len += len;
		return t->trailer_len <= RESPONSE_HEAD_MAX ? len : 0;
	}
	if (len > 5 && strncmp(data, "HTTP/", 5) == 0) {
		parse_status(t, data, end);
		return len;
	}
	if (end == 0) {
		if (t->status < 200)
			return len;
		if (!parse_head(t))
			return 0;
		queue_event(t);
		return len;
	}
	colon = memchr(data, ':', end);
	if (colon == NULL)
		return len;
	if (t->head.len + len > RESPONSE_HEAD_MAX)
		return 0;
	name = trimmed_len(data, (size_t)(colon - data));
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

	if (t->data.written == 0 && t->framing == CS_FRAMING_LENGTH)
		ring_reserve(&t->data, t->length < t->data.max ? (size_t)t->length : t->data.max);
	if (ring_space(&t->data) < len) {
		t->recv_paused = true;
		t->overflows = true;
		queue_event(t);
		return CURL_WRITEFUNC_PAUSE;
	}
	ring_write(&t->data, data, len);
	queue_event(t);
	return len;
}

static size_t on_read(char *out, size_t size, size_t n, void *arg)
{
	struct cs_transfer *t = arg;
	size_t got = ring_read(t->opts.body, out, size * n);

	if (got > 0) {
		t->body_cb(t, t->arg);
		return got;
	}
	if (*t->opts.body_ended)
		return 0;
	t->send_paused = true;
	return CURL_READFUNC_PAUSE;
}

static void on_transfer_done(CURL *easy, CURLcode code, void *arg)
{
	struct cs_transfer *t = arg;

	t->running = false;
	if (t->stale && !t->restarted && !t->withheld && t->state == CS_TRANSFER_UNSENT &&
	    code == CURLE_ABORTED_BY_CALLBACK) {
		t->restarted = true;
		transfer_send(t);
		return;
	}
	if (t->has_head && (code == CURLE_OK || cs_fault_enabled("discard"))) {
		t->state = CS_TRANSFER_COMPLETE;
		sockets_touch(t->pool->sockets, t->key);
	} else {
		if (t->state != CS_TRANSFER_UNSENT)
			t->state = CS_TRANSFER_FAILED;
		if (*t->error != '\0')
			;
		else if (t->resend_aborted)
			t->error = "kept connection failed; request not sent again";
		else if (t->withheld)
			t->error = "the server became unusable before the request was sent";
		else
			t->error = curl_easy_strerror(code);
	}
	queue_event(t);
}
