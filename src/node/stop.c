/*
 * Graceful shutdown. The instance reports itself as not ready at once and is dropped from the
 * directory responses of the others. It accepts connections until the lookups that clients have
 * cached expire, then closes the listener, and later the idle connections. A request whose deadline
 * is after the end of the process is refused as not run, so that its client can go to another
 * instance: service times have a long tail, and no multiple of their mean is a safe bound. During
 * the announcement one that may be repeated is taken all the same. The process exits when no
 * request is left and all clients have closed their connections, or shortly before the platform
 * would kill it.
 */
#include <signal.h>

#include "src/node/node.h"

/* Longer than LOOKUP_TTL_MS of admin.c, since some clients cache lookups beyond their TTL. */
#define ANNOUNCE_US (2000 * CS_US_PER_MS)
#define POLL_INTERVAL_US (50 * CS_US_PER_MS)
/* Time reserved for the exit itself before the platform sends SIGKILL. */
#define GRACE_MARGIN_US (300 * CS_US_PER_MS)
/* The deadlines of requests end this long before that, so that all of them are answered. */
#define ANSWER_MARGIN_US (300 * CS_US_PER_MS)
/* Retry-After if another instance serves clients. */
#define RETRY_ELSEWHERE_MS 20
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
	cs_steer_set_leaving(n->steer, n->stop_us);
	requests_limit_to_stop(n);
	gossip_send_report(n->gossip);
	registration_withdraw(n->registration);
	cs_timer_start(n->timers, &n->stop_timer, ANNOUNCE_US);
}

/* Time at which the process ends, at the latest. */
static uint64_t end_us(const struct node *n)
{
	return n->stop_us + n->settings.termination_grace_ms * CS_US_PER_MS - GRACE_MARGIN_US;
}

/* Time by which all requests are answered. */
static uint64_t answered_us(const struct node *n)
{
	return end_us(n) - ANSWER_MARGIN_US;
}

bool stop_limit_request(const struct node *n, struct request *req)
{
	if (n->stop == STOP_NONE || req->steer_state.deadline_us <= answered_us(n))
		return false;
	req->steer_state.deadline_us = answered_us(n);
	req->outlasts_process = true;
	return true;
}

bool stop_may_send(const struct node *n, const struct request *req)
{
	if (!req->outlasts_process)
		return true;
	return cs_repeat_is_allowed(req->repeat) &&
	       req->steer_state.arrived_us < n->stop_us + ANNOUNCE_US;
}

unsigned stop_retry_after_ms(const struct node *n)
{
	uint64_t now = cs_mono_us(), end = end_us(n);

	if (cs_steer_count_members(n->steer, now) > 1 || now >= end)
		return RETRY_ELSEWHERE_MS;
	return (unsigned)((end - now) / CS_US_PER_MS);
}

static void on_timer(struct cs_timer *t, void *arg)
{
	struct node *n = arg;
	uint64_t since = cs_mono_us() - n->stop_us;
	bool grace_expired = cs_mono_us() >= end_us(n);
	bool drained;

	if (n->stop == STOP_ANNOUNCED) {
		n->stop = STOP_CLOSED;
		cs_ingress_stop_listening(n->ingress);
	}
	/* A request on one of them would come too late to be taken. */
	if (since > ANNOUNCE_US + IDLE_LINGER_US)
		cs_ingress_close_idle(n->ingress);
	drained = cs_ingress_calls(n->ingress) == 0 && cs_ingress_connections(n->ingress) == 0 &&
		  cs_ingress_lingering(n->ingress) == 0;
	if (grace_expired || drained) {
		requests_log_cut(n);
		cs_event(n->events, CS_EVENT_IMPORTANT, "stop.end",
			 "after_ms=%llu requests=%u connections=%u lingering=%u",
			 (unsigned long long)(since / CS_US_PER_MS), cs_ingress_calls(n->ingress),
			 cs_ingress_connections(n->ingress), cs_ingress_lingering(n->ingress));
		ev_break(n->loop, EVBREAK_ALL);
		return;
	}
	cs_timer_start(n->timers, t, POLL_INTERVAL_US);
}
