/* Reads and discards the input of connections that are being closed. */
#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy/linger.h"

/* Clients that are sending are waited for while less than this passes without input. */
#define SENDING_SILENCE_US (3 * CS_US_PER_S)
/* The same for others: a further request may be in transit. */
#define DONE_SILENCE_US CS_US_PER_S
/* Clients are given this long, also after their deadline. */
#define LINGER_MIN_US (3 * CS_US_PER_S)
/* Bytes that are discarded from one connection in an iteration of the loop. */
#define READ_TURN_MAX (64 * 1024)

TAILQ_HEAD(linger_conn_list, linger_conn);

struct linger_conn {
	TAILQ_ENTRY(linger_conn) entry; /* in owner->sending or owner->done */
	struct cs_linger_list *owner;
	ev_io io;
	struct cs_timer timeout;
	int fd;
	struct cs_linger_request req;
	uint64_t since_us;
	uint64_t until_us;
	uint64_t active_us; /* of the last input */
	uint64_t bytes;
	uint64_t late_bytes; /* those behind the request that was answered last */
};

struct cs_linger_list {
	struct ev_loop *loop;
	struct cs_timers *timers;
	cs_linger_cut_cb on_cut;
	void *arg;
	struct linger_conn_list sending, done; /* those that have been silent for longest first */
	unsigned n;
};

static void on_timeout(struct cs_timer *t, void *arg);
static void on_input(struct ev_loop *loop, ev_io *w, int events);

const char *cs_linger_why_name(enum cs_linger_why why)
{
	static const char *const names[] = {"time", "silent", "room", "end", "late"};

	return names[why];
}

struct cs_linger_list *cs_linger_list_create(struct ev_loop *loop, struct cs_timers *ts,
					     cs_linger_cut_cb on_cut, void *arg)
{
	struct cs_linger_list *ll = cs_xcalloc(1, sizeof(*ll));

	ll->loop = loop;
	ll->timers = ts;
	ll->on_cut = on_cut;
	ll->arg = arg;
	TAILQ_INIT(&ll->sending);
	TAILQ_INIT(&ll->done);
	return ll;
}

static bool is_sending(const struct linger_conn *c)
{
	return c->req.body_left > 0;
}

static struct linger_conn_list *list_of(struct linger_conn *c)
{
	return is_sending(c) ? &c->owner->sending : &c->owner->done;
}

static void report(const struct linger_conn *c, enum cs_linger_why why, uint64_t bytes)
{
	struct cs_linger_cut cut = {.name = c->req.name != NULL ? c->req.name : "",
				    .why = why,
				    .lingered_us = cs_mono_us() - c->since_us,
				    .bytes = bytes};

	c->owner->on_cut(&cut, c->owner->arg);
}

static void linger_conn_destroy(struct linger_conn *c)
{
	struct cs_linger_list *ll = c->owner;

	if (c->late_bytes > 0)
		report(c, CS_LINGER_LATE, c->late_bytes);
	ev_io_stop(ll->loop, &c->io);
	cs_timer_stop(&c->timeout);
	TAILQ_REMOVE(list_of(c), c, entry);
	ll->n--;
	close(c->fd);
	free(c->req.name);
	free(c);
}

/* Closes a connection, and reports it if its client was still sending. */
static void linger_conn_cut(struct linger_conn *c, enum cs_linger_why why)
{
	if (is_sending(c))
		report(c, why, c->bytes);
	linger_conn_destroy(c);
}

static void cut_all(struct linger_conn_list *list)
{
	struct linger_conn *c, *next;

	TAILQ_FOREACH_SAFE(c, list, entry, next)
		linger_conn_cut(c, CS_LINGER_END);
}

void cs_linger_list_destroy(struct cs_linger_list *ll)
{
	if (ll == NULL)
		return;
	cut_all(&ll->sending);
	cut_all(&ll->done);
	free(ll);
}

/* Time at which a connection is closed if nothing more is received. */
static uint64_t silent_until(const struct linger_conn *c)
{
	return c->active_us + (is_sending(c) ? SENDING_SILENCE_US : DONE_SILENCE_US);
}

static void start_timeout(struct linger_conn *c, uint64_t now)
{
	uint64_t silent_us = silent_until(c);
	uint64_t until = silent_us < c->until_us ? silent_us : c->until_us;

	cs_timer_start(c->owner->timers, &c->timeout, until > now ? until - now : 0);
}

static void on_timeout(struct cs_timer *t, void *arg)
{
	struct linger_conn *c = arg;
	uint64_t now = cs_mono_us();

	if (now >= c->until_us)
		linger_conn_cut(c, CS_LINGER_TIME);
	else if (now >= silent_until(c))
		linger_conn_cut(c, CS_LINGER_SILENT);
	else
		start_timeout(c, now);
}

static void count_input(struct linger_conn *c, uint64_t n)
{
	bool was_sending = is_sending(c);

	TAILQ_REMOVE(list_of(c), c, entry);
	c->active_us = cs_mono_us();
	c->bytes += n;
	if (c->req.body_left != UINT64_MAX) {
		c->late_bytes += n > c->req.body_left ? n - c->req.body_left : 0;
		c->req.body_left -= n < c->req.body_left ? n : c->req.body_left;
	}
	TAILQ_INSERT_TAIL(list_of(c), c, entry);
	if (!was_sending || is_sending(c))
		return;
	c->until_us = c->active_us + LINGER_MIN_US;
	start_timeout(c, c->active_us);
}

static void on_input(struct ev_loop *loop, ev_io *w, int events)
{
	static char discarded[READ_TURN_MAX];
	struct linger_conn *c = w->data;
	ssize_t n = recv(c->fd, discarded, sizeof(discarded), MSG_DONTWAIT);

	if (n > 0)
		count_input(c, (uint64_t)n);
	else if (n == 0 || (errno != EAGAIN && errno != EINTR))
		linger_conn_destroy(c);
}

void cs_linger_add(struct cs_linger_list *ll, int fd, const struct cs_linger_request *req)
{
	struct linger_conn *c = cs_xcalloc(1, sizeof(*c));
	uint64_t now = cs_mono_us(), least = now + LINGER_MIN_US;

	c->owner = ll;
	c->fd = fd;
	c->req = *req;
	c->since_us = c->active_us = now;
	c->until_us = is_sending(c) && req->deadline_us > least ? req->deadline_us : least;
	ev_io_init(&c->io, on_input, fd, EV_READ);
	c->io.data = c;
	ev_io_start(ll->loop, &c->io);
	cs_timer_init(&c->timeout, on_timeout, c);
	start_timeout(c, now);
	TAILQ_INSERT_TAIL(list_of(c), c, entry);
	ll->n++;
}

bool cs_linger_has(const struct cs_linger_list *ll, bool sending)
{
	return !TAILQ_EMPTY(sending ? &ll->sending : &ll->done);
}

void cs_linger_drop(struct cs_linger_list *ll, bool sending)
{
	linger_conn_cut(TAILQ_FIRST(sending ? &ll->sending : &ll->done), CS_LINGER_ROOM);
}

unsigned cs_linger_count(const struct cs_linger_list *ll)
{
	return ll->n;
}
