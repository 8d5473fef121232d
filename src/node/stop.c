/*
 * Graceful shutdown. The instance reports itself as not ready at once and is dropped from the
 * directory responses of the others. It accepts connections until the lookups that clients have
 * cached expire, then closes the listener. The process exits when no request is left, or shortly
 * before the platform would kill it.
 */
#include <signal.h>

#include "src/node/node.h"

/* Longer than LOOKUP_TTL_MS of admin.c, since some clients cache lookups beyond their TTL. */
#define ANNOUNCE_US (2000 * CS_US_PER_MS)
#define POLL_INTERVAL_US (50 * CS_US_PER_MS)
/* Time reserved for the exit itself before the platform sends SIGKILL. */
#define GRACE_MARGIN_US (300 * CS_US_PER_MS)
/* Idle connections stay open this long after the listener closes: a request may be in transit. */
#define IDLE_LINGER_US (1500 * CS_US_PER_MS)

static void on_stop_signal(struct ev_loop *loop, ev_signal *w, int events);
static void on_hup(struct ev_loop *loop, ev_signal *w, int events);
static void on_timer(struct cs_timer *t, void *arg);

void stop_init(struct node *n)
{
	ev_signal_init(&n->term, on_stop_signal, SIGTERM);
	ev_signal_init(&n->interrupt, on_stop_signal, SIGINT);
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

static void on_stop_signal(struct ev_loop *loop, ev_signal *w, int events)
{
	struct node *n = w->data;

	if (n->stop != STOP_NONE)
		return;
	n->stop = STOP_ANNOUNCED;
	n->stop_us = cs_mono_us();
	cs_event(n->events, CS_EVENT_IMPORTANT, "stop.begin", "requests=%u connections=%u",
		 cs_ingress_calls(n->ingress), cs_ingress_connections(n->ingress));
	cs_ingress_disable_keep_alive(n->ingress);
	gossip_send_report(n->gossip);
	registration_withdraw(n->registration);
	cs_timer_start(n->timers, &n->stop_timer, ANNOUNCE_US);
}

static void on_timer(struct cs_timer *t, void *arg)
{
	struct node *n = arg;
	uint64_t since = cs_mono_us() - n->stop_us;
	bool grace_expired = since + GRACE_MARGIN_US >=
			     n->settings.termination_grace_ms * CS_US_PER_MS;
	bool drained =
		cs_ingress_calls(n->ingress) == 0 &&
		(cs_ingress_connections(n->ingress) == 0 || since > ANNOUNCE_US + IDLE_LINGER_US);

	if (n->stop == STOP_ANNOUNCED) {
		n->stop = STOP_CLOSED;
		cs_ingress_stop_listening(n->ingress);
	}
	if (grace_expired || drained) {
		cs_event(n->events, CS_EVENT_IMPORTANT, "stop.end", "after_ms=%llu requests=%u",
			 (unsigned long long)(since / CS_US_PER_MS), cs_ingress_calls(n->ingress));
		ev_break(n->loop, EVBREAK_ALL);
		return;
	}
	cs_timer_start(n->timers, t, POLL_INTERVAL_US);
}
