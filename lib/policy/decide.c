/* The decision on one request: send, hop, wait or refuse. */
#include "policy/internal.h"

#define QUEUE_BLIND 16 /* waiting requests while the service time is unknown */
#define RETRY_AFTER_MIN_MS 100
#define RETRY_AFTER_MAX_MS 10000

static const char *const refusal_names[] = {"not_ready", "no_server", "overload",
					    "deadline",	 "backoff",   "leaving"};

const char *cs_refusal_name(enum cs_refusal r)
{
	return refusal_names[r];
}

static void refuse(struct cs_decision *out, enum cs_refusal reason, uint64_t after_us)
{
	uint64_t ms = after_us / CS_US_PER_MS;

	if (ms < RETRY_AFTER_MIN_MS)
		ms = RETRY_AFTER_MIN_MS;
	if (ms > RETRY_AFTER_MAX_MS)
		ms = RETRY_AFTER_MAX_MS;
	out->verdict = CS_VERDICT_REFUSE;
	out->u.refuse.reason = reason;
	out->u.refuse.retry_after_ms = (unsigned)ms;
}

/* Time that the request itself needs at a server; 0 while unknown. */
static uint64_t service_us(const struct cls *c)
{
	return c->p50_us;
}

/* Latest time at which a request that waits can still be sent. */
static uint64_t wait_until(const struct cls *c, const struct cs_ask *ask)
{
	uint64_t need = service_us(c), target = c->conf.latency_target_ms * CS_US_PER_MS;
	uint64_t most, until;

	/*
	 * Under overload the queue is as long as it may be: what is sent from it at the last moment
	 * must still end within the class's target. Bulk requests take long anyway.
	 */
	if (c->pool == POOL_BULK)
		most = c->conf.timeout_ms * CS_US_PER_MS / 4;
	else if (c->p90_us < target / 4 * 3)
		most = target - c->p90_us;
	else
		most = target / 4;
	until = ask->arrived_us + most;
	if (ask->deadline_us < until + need)
		until = ask->deadline_us > need ? ask->deadline_us - need : 0;
	return until;
}

/* True if the zone may take one more request of another zone: the headroom stays free. */
static bool foreign_fits(const struct svc *s, unsigned pool)
{
	if (cs_fault("caps"))
		return true;
	return s->in_flight[pool] + 1 <= s->capacity[pool] * (1 - s->headroom);
}

static bool any_usable(const struct svc *s)
{
	const struct cs_target *t;

	TAILQ_FOREACH(t, &s->targets, in_svc)
		if (t->listed && (t->state == CS_SERVER_READY || t->n_flights > 0))
			return true;
	return false;
}

/* No slot is free here and no other zone takes the request: wait or refuse. */
static void wait_or_refuse(struct cs_policy *p, struct cls *c, struct cs_ask *ask, uint64_t now_us,
			   struct cs_decision *out)
{
	struct svc *s = c->svc;
	uint64_t until = wait_until(c, ask), wait = queue_wait_us(p, c), backoff;

	if (now_us + service_us(c) >= ask->deadline_us) {
		refuse(out, CS_REFUSAL_DEADLINE, wait);
		return;
	}
	if (!any_usable(s)) {
		refuse(out, CS_REFUSAL_NO_SERVER, CS_US_PER_S);
		return;
	}
	backoff = backoff_all(s, now_us);
	if (backoff != 0 && p->opts.backoff == CS_BACKOFF_REFUSE) {
		refuse(out, CS_REFUSAL_BACKOFF, backoff - now_us);
		return;
	}
	if (backoff != 0 && backoff >= until) {
		refuse(out, CS_REFUSAL_BACKOFF, backoff - now_us);
		return;
	}
	if (now_us >= until || now_us + wait > until ||
	    (s->service_us[c->pool] == 0 && c->n_queue >= QUEUE_BLIND + 4 * s->capacity[c->pool])) {
		refuse(out,
		       now_us + wait + service_us(c) > ask->deadline_us ? CS_REFUSAL_DEADLINE
									: CS_REFUSAL_OVERLOAD,
		       wait);
		return;
	}
	ask->until_us = until;
	queue_push(p, c, ask);
	out->verdict = CS_VERDICT_WAIT;
	out->u.wait.until_us = until;
}

void cs_policy_decide(struct cs_policy *p, struct cs_ask *ask, uint64_t now_us,
		      struct cs_decision *out)
{
	struct cls *c = policy_class(p, ask->class_index);
	bool may_hop = !ask->hopped && !ask->hop_refused;
	struct cs_target *t;

	if (c == NULL) {
		refuse(out, CS_REFUSAL_NOT_READY, CS_US_PER_S);
		return;
	}
	policy_tick(p, now_us);
	if (!ask->counted) {
		ask->counted = true;
		budget_request(c);
	}
	if (may_hop && moved_by_drain(p, ask->hash, now_us) &&
	    spill_pick(p, c, ask, true, now_us, out))
		return;
	if (ask->hopped && !foreign_fits(c->svc, c->pool)) {
		refuse(out, CS_REFUSAL_OVERLOAD, queue_wait_us(p, c));
		return;
	}
	t = choice_pick(p, c, ask, now_us);
	/* Another zone with room is better than a slowed server that may not be ejected. */
	if (t != NULL && may_hop && eject_wanted(t, now_us) && p->opts.choice == CS_CHOICE_LEAST &&
	    spill_pick(p, c, ask, false, now_us, out))
		return;
	if (t != NULL && now_us < ask->deadline_us) {
		flight_start(p, t, c, ask, now_us);
		out->verdict = CS_VERDICT_SEND;
		out->u.send.target = t;
		return;
	}
	if (may_hop && (spill_neighbour(p, c, out) || spill_pick(p, c, ask, false, now_us, out)))
		return;
	wait_or_refuse(p, c, ask, now_us, out);
}
