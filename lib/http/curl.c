/* Runs libcurl's multi interface on the loop through its socket and timer callbacks. */
#include <stdlib.h>
#include <string.h>

#include "http/http.h"

/* A socket that libcurl waits for. */
struct sock {
	LIST_ENTRY(sock) entry;
	struct cs_curl *owner;
	ev_io io;
};

/* A running transfer; the easy handle's private pointer refers to it. */
struct transfer {
	LIST_ENTRY(transfer) entry;
	CURL *easy;
	cs_curl_done done;
	void *arg;
};

struct cs_curl {
	struct ev_loop *loop;
	struct cs_timers *timers;
	CURLM *multi;
	struct cs_timer timeout;
	ev_prepare prepare;
	int priority; /* of the sockets */
	bool timeout_due; /* libcurl requested a timeout of 0 ms */
	LIST_HEAD(, sock) socks;
	LIST_HEAD(, transfer) transfers;
	bool in_process_messages; /* prevents recursion from done callbacks */
};

static int on_socket(CURL *easy, curl_socket_t fd, int what, void *userp, void *sockp);
static int on_timer(CURLM *multi, long timeout_ms, void *userp);
static void on_io(struct ev_loop *loop, ev_io *w, int events);
static void on_prepare(struct ev_loop *loop, ev_prepare *w, int events);
static void on_timeout(struct cs_timer *t, void *arg);
static void process_messages(struct cs_curl *c);

struct cs_curl *cs_curl_create(struct ev_loop *loop, struct cs_timers *ts)
{
	struct cs_curl *c = cs_xcalloc(1, sizeof(*c));

	c->loop = loop;
	c->timers = ts;
	LIST_INIT(&c->socks);
	LIST_INIT(&c->transfers);
	cs_timer_init(&c->timeout, on_timeout, c);
	/* Runs before prepare watchers that forward results in the same loop iteration. */
	ev_prepare_init(&c->prepare, on_prepare);
	ev_set_priority(&c->prepare, EV_MAXPRI);
	c->prepare.data = c;
	ev_prepare_start(loop, &c->prepare);
	c->multi = curl_multi_init();
	curl_multi_setopt(c->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(c->multi, CURLMOPT_SOCKETDATA, c);
	curl_multi_setopt(c->multi, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(c->multi, CURLMOPT_TIMERDATA, c);
	return c;
}

void cs_curl_destroy(struct cs_curl *c)
{
	struct transfer *t;
	struct sock *s;

	if (c == NULL)
		return;
	while ((t = LIST_FIRST(&c->transfers)) != NULL) {
		LIST_REMOVE(t, entry);
		curl_multi_remove_handle(c->multi, t->easy);
		curl_easy_cleanup(t->easy);
		free(t);
	}
	curl_multi_cleanup(c->multi);
	while ((s = LIST_FIRST(&c->socks)) != NULL) {
		LIST_REMOVE(s, entry);
		ev_io_stop(c->loop, &s->io);
		free(s);
	}
	ev_prepare_stop(c->loop, &c->prepare);
	cs_timer_stop(&c->timeout);
	free(c);
}

void cs_curl_set_priority(struct cs_curl *c, int priority)
{
	c->priority = priority;
}

CURLM *cs_curl_multi(struct cs_curl *c)
{
	return c->multi;
}

struct cs_timers *cs_curl_timers(const struct cs_curl *c)
{
	return c->timers;
}

static struct transfer *get_transfer(CURL *easy)
{
	char *p = NULL;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &p);
	return (struct transfer *)(void *)p;
}

void cs_curl_start(struct cs_curl *c, CURL *easy, cs_curl_done done, void *arg)
{
	struct transfer *t = cs_xcalloc(1, sizeof(*t));

	t->easy = easy;
	t->done = done;
	t->arg = arg;
	curl_easy_setopt(easy, CURLOPT_PRIVATE, t);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	LIST_INSERT_HEAD(&c->transfers, t, entry);
	curl_multi_add_handle(c->multi, easy);
}

void cs_curl_abort(struct cs_curl *c, CURL *easy)
{
	struct transfer *t = get_transfer(easy);

	if (t == NULL)
		return;
	curl_multi_remove_handle(c->multi, easy);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, NULL);
	LIST_REMOVE(t, entry);
	free(t);
}

void cs_curl_unpause(struct cs_curl *c, CURL *easy)
{
	curl_easy_pause(easy, CURLPAUSE_CONT);
	process_messages(c);
}

/* Removes finished transfers and calls their done callbacks. */
static void process_messages(struct cs_curl *c)
{
	struct transfer *t;
	cs_curl_done done;
	CURLMsg *m;
	CURLcode code;
	CURL *easy;
	void *arg;
	int left;

	if (c->in_process_messages)
		return;
	c->in_process_messages = true;
	while ((m = curl_multi_info_read(c->multi, &left)) != NULL) {
		if (m->msg != CURLMSG_DONE)
			continue;
		easy = m->easy_handle;
		code = m->data.result;
		t = get_transfer(easy);
		done = t->done;
		arg = t->arg;
		curl_multi_remove_handle(c->multi, easy);
		curl_easy_setopt(easy, CURLOPT_PRIVATE, NULL);
		LIST_REMOVE(t, entry);
		free(t);
		done(easy, code, arg);
	}
	c->in_process_messages = false;
}

static void on_io(struct ev_loop *loop, ev_io *w, int events)
{
	struct sock *s = w->data;
	struct cs_curl *c = s->owner;
	int flags = 0, running;

	if (events & EV_READ)
		flags |= CURL_CSELECT_IN;
	if (events & EV_WRITE)
		flags |= CURL_CSELECT_OUT;
	curl_multi_socket_action(c->multi, w->fd, flags, &running);
	process_messages(c);
}

/* Runs a due timeout before the loop blocks, so that a transfer starts in the same iteration. */
static void on_prepare(struct ev_loop *loop, ev_prepare *w, int events)
{
	struct cs_curl *c = w->data;
	int running;

	if (!c->timeout_due)
		return;
	c->timeout_due = false;
	curl_multi_socket_action(c->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	process_messages(c);
}

static void on_timeout(struct cs_timer *t, void *arg)
{
	struct cs_curl *c = arg;
	int running;

	curl_multi_socket_action(c->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	process_messages(c);
}

static int on_timer(CURLM *multi, long timeout_ms, void *userp)
{
	struct cs_curl *c = userp;

	c->timeout_due = timeout_ms == 0;
	if (timeout_ms < 0)
		cs_timer_stop(&c->timeout);
	else
		cs_timer_start(c->timers, &c->timeout, (uint64_t)timeout_ms * CS_US_PER_MS);
	return 0;
}

static int on_socket(CURL *easy, curl_socket_t fd, int what, void *userp, void *sockp)
{
	struct cs_curl *c = userp;
	struct sock *s = sockp;
	int events = 0;

	if (what == CURL_POLL_REMOVE) {
		if (s != NULL) {
			ev_io_stop(c->loop, &s->io);
			LIST_REMOVE(s, entry);
			free(s);
		}
		return 0;
	}
	if (what & CURL_POLL_IN)
		events |= EV_READ;
	if (what & CURL_POLL_OUT)
		events |= EV_WRITE;
	if (s == NULL) {
		s = cs_xcalloc(1, sizeof(*s));
		s->owner = c;
		ev_io_init(&s->io, on_io, fd, events);
		ev_set_priority(&s->io, c->priority);
		s->io.data = s;
		LIST_INSERT_HEAD(&c->socks, s, entry);
		curl_multi_assign(c->multi, fd, s);
	} else {
		ev_io_stop(c->loop, &s->io);
		ev_io_set(&s->io, fd, events);
	}
	ev_io_start(c->loop, &s->io);
	return 0;
}
