/*
 * Planned stop: not ready at once and out of the others' directory answers, connections are still
 * accepted until callers' look-ups have expired, then none; the process ends when no request is
 * left, or shortly before it would be killed.
 */
#include <signal.h>

#include "src/node/node.h"

/* Look-ups that name this instance expire after their time to live; some callers keep them longer. */
#define ACCEPT_US (2000 * CS_US_PER_MS)
/* Checked this often whether requests are left. */
#define CHECK_US (50 * CS_US_PER_MS)
/* The process ends this long before it would be killed. */
#define GRACE_MARGIN_US (300 * CS_US_PER_MS)
/* Connections without a request stay open this long: a request may be on its way. */
#define IDLE_US (1500 * CS_US_PER_MS)

static void on_signal(struct ev_loop *loop, ev_signal *w, int events);
static void on_hup(struct ev_loop *loop, ev_signal *w, int events);
static void on_timer(struct cs_timer *t, void *arg);

void stop_watch(struct node *n)
{
	ev_signal_init(&n->term, on_signal, SIGTERM);
	ev_signal_init(&n->interrupt, on_signal, SIGINT);
	ev_signal_init(&n->hup, on_hup, SIGHUP);
	n->term.data = n->interrupt.data = n->hup.data = n;
	ev_signal_start(n->loop, &n->term);
	ev_signal_start(n->loop, &n->interrupt);
	ev_signal_start(n->loop, &n->hup);
	cs_timer_init(&n->stop_timer, on_timer, n);
}

static void on_hup(struct ev_loop *loop, ev_signal *w, int events)
{
	reload_now(w->data, "signal");
}

static void on_signal(struct ev_loop *loop, ev_signal *w, int events)
{
	struct node *n = w->data;

	if (n->stop != STOP_NO)
		return;
	n->stop = STOP_ANNOUNCED;
	n->stop_us = cs_mono_us();
	cs_event(n->events, CS_EVENT_KEEP, "stop.begin", "requests=%u connections=%u",
		 cs_ingress_calls(n->front), cs_ingress_connections(n->front));
	cs_ingress_closing(n->front);
	gossip_now(n->gossip);
	member_leave(n->member);
	cs_timer_start(n->timers, &n->stop_timer, ACCEPT_US);
}

static void on_timer(struct cs_timer *t, void *arg)
{
	struct node *n = arg;
	uint64_t since = cs_mono_us() - n->stop_us;
	bool over = since + GRACE_MARGIN_US >= n->settings.grace_ms * CS_US_PER_MS;
	bool empty = cs_ingress_calls(n->front) == 0 &&
		     (cs_ingress_connections(n->front) == 0 || since > ACCEPT_US + IDLE_US);

	if (n->stop == STOP_ANNOUNCED) {
		n->stop = STOP_CLOSED;
		cs_ingress_quiesce(n->front);
	}
	if (over || empty) {
		cs_event(n->events, CS_EVENT_KEEP, "stop.end", "after_ms=%llu requests=%u",
			 (unsigned long long)(since / CS_US_PER_MS), cs_ingress_calls(n->front));
		ev_break(n->loop, EVBREAK_ALL);
		return;
	}
	cs_timer_start(n->timers, t, CHECK_US);
}
