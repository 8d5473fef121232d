/*
 * Planned stop: reports not ready, serves requests until cached lookups have expired, then
 * refuses new requests as not run, and exits when no requests are left.
 */
#include <signal.h>

#include "src/proxyd/proxyd.h"

/* Added to the TTL of lookups: time until the lookup service learns that this instance stops. */
#define ANNOUNCE_MARGIN_US (500 * CS_US_PER_MS)
/* Used if there is no configuration. */
#define DEFAULT_LOOKUP_TTL_MS 2000
/*
 * Interval of the check for remaining requests. The first interval lets requests arrive that
 * clients sent before they noticed that their connection ends, so these still get a response.
 */
#define EXIT_CHECK_US (200 * CS_US_PER_MS)

static void on_signal(struct ev_loop *loop, ev_signal *w, int events);
static void on_stop_timer(struct cs_timer *t, void *arg);

void stop_init(struct proxyd *p)
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
	uint64_t ttl_ms = cfg ? cfg->shift.lookup_ttl_ms : DEFAULT_LOOKUP_TTL_MS;

	if (p->stop != STOP_NO)
		return;
	cs_log(CS_NOTICE, "stop", "Planned stop started. requests=%u lookup_ttl_ms=%llu",
	       p->n_requests, (unsigned long long)ttl_ms);
	p->stop = STOP_ANNOUNCED;
	*p->stats.ready = 0;
	cs_ingress_disable_keep_alive(p->ingress);
	cs_link_send_report(p->link);
	if (cs_fault_enabled("drain-wait")) {
		ev_break(p->loop, EVBREAK_ALL);
		return;
	}
	cs_timer_start(p->timers, &p->stop_timer, ttl_ms * CS_US_PER_MS + ANNOUNCE_MARGIN_US);
}

static void on_stop_timer(struct cs_timer *t, void *arg)
{
	struct proxyd *p = arg;

	if (p->stop == STOP_ANNOUNCED) {
		p->stop = STOP_REFUSING;
		cs_log(CS_NOTICE, "stop", "Refusing new requests. requests=%u", p->n_requests);
		cs_timer_start_every(p->timers, &p->stop_timer, EXIT_CHECK_US);
	} else if (p->n_requests == 0) {
		p->stop = STOP_DONE;
		ev_break(p->loop, EVBREAK_ALL);
	}
}
