/*
 * Planned stop: not ready, then serve on until callers' lookups have expired, then refuse new work
 * as not run, then exit when running work has ended.
 */
#include <signal.h>

#include "src/proxyd/proxyd.h"

/* Time for lookups to hear that this instance stops, added to their time to live. */
#define ANNOUNCE_US (500 * CS_US_PER_MS)
/* Used when no configuration is known. */
#define DEFAULT_TTL_MS 2000
/* Requests that callers sent before they saw the end of their connection still get an answer. */
#define LINGER_US (200 * CS_US_PER_MS)

static void on_signal(struct ev_loop *loop, ev_signal *w, int events);
static void on_stop_timer(struct cs_timer *t, void *arg);

void stop_watch(struct proxyd *p)
{
	ev_signal_init(&p->term, on_signal, SIGTERM);
	ev_signal_init(&p->intr, on_signal, SIGINT);
	p->term.data = p->intr.data = p;
	ev_signal_start(p->loop, &p->term);
	ev_signal_start(p->loop, &p->intr);
	cs_timer_init(&p->stop_timer, on_stop_timer, p);
}

static void on_signal(struct ev_loop *loop, ev_signal *w, int events)
{
	struct proxyd *p = w->data;
	const struct cs_config *cfg = cs_policy_config(p->policy);
	uint64_t ttl_ms = cfg ? cfg->shift.lookup_ttl_ms : DEFAULT_TTL_MS;

	if (p->stop != STOP_NO)
		return;
	cs_log(CS_NOTICE, "stop", "Planned stop. requests=%u lookup_ttl_ms=%llu", p->n_requests,
	       (unsigned long long)ttl_ms);
	p->stop = STOP_ANNOUNCED;
	*p->stats.ready = 0;
	cs_ingress_closing(p->ingress);
	cs_link_report_now(p->link);
	if (cs_fault("drain-wait")) {
		ev_break(p->loop, EVBREAK_ALL);
		return;
	}
	cs_timer_start(p->timers, &p->stop_timer, ttl_ms * CS_US_PER_MS + ANNOUNCE_US);
}

static void on_stop_timer(struct cs_timer *t, void *arg)
{
	struct proxyd *p = arg;

	if (p->stop == STOP_ANNOUNCED) {
		p->stop = STOP_REFUSING;
		cs_log(CS_NOTICE, "stop", "Refusing new work. requests=%u", p->n_requests);
		cs_timer_start_every(p->timers, &p->stop_timer, LINGER_US);
	} else if (p->n_requests == 0) {
		p->stop = STOP_DONE;
		ev_break(p->loop, EVBREAK_ALL);
	}
}
