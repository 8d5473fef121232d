/* Decides on one request: send, hop, wait or refuse. */
#include "policy/internal.h"

#define QUEUE_MAX_UNKNOWN 16 /* queue limit while the service time is unknown, plus 4 per slot */
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

/* Expected service time of a request at a server; 0 while unknown. */
static uint64_t expected_service_us(const struct cls *c)
{
	return c->p50_us;
}

/* Latest time at which a waiting request can still be sent. */
static uint64_t latest_send_us(const struct cls *c, const struct cs_policy_request *req)
{
	uint64_t service = expected_service_us(c),
		 target = c->conf.latency_target_ms * CS_US_PER_MS;
	uint64_t max_wait, until;

	/*
	 * Under overload most requests wait up to this limit, and a request sent at the limit must
	 * still end within the class's target. Bulk requests get a quarter of their timeout.
	 */
	if (c->pool == POOL_BULK)
		max_wait = c->conf.timeout_ms * CS_US_PER_MS / 4;
	else if (c->p90_us < target / 4 * 3)
		max_wait = target - c->p90_us;
	else
		max_wait = target / 4;
	until = req->arrived_us + max_wait;
	if (req->deadline_us < until + service)
		until = req->deadline_us > service ? req->deadline_us - service : 0;
	return until;
}

/* True if one more request from another zone leaves the headroom free. */
static bool foreign_admissible(const struct svc *s, unsigned pool)
{
	if (cs_fault_enabled("caps"))
		return true;
	return s->in_flight[pool] + 1 <= s->capacity[pool] * (1 - s->headroom);
}

static bool any_usable(const struct svc *s)
{
	const struct cs_target *t;

	TAILQ_FOREACH(t, &s->targets, in_svc)
		if (t->listed && (t->state == CS_SERVER_READY || t->n_attempts > 0))
			return true;
	return false;
}

/* Queues or refuses a request that no server here and no other zone can take now. */
static void wait_or_refuse(struct cs_policy *p, struct cls *c, struct cs_policy_request *req,
			   uint64_t now_us, struct cs_decision *out)
{
	struct svc *s = c->svc;
	uint64_t until = latest_send_us(c, req), wait = queue_wait_us(p, c), backoff;

	if (now_us + expected_service_us(c) >= req->deadline_us) {
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
	    (s->service_us[c->pool] == 0 &&
	     c->n_queue >= QUEUE_MAX_UNKNOWN + 4 * s->capacity[c->pool])) {
		refuse(out,
		       now_us + wait + expected_service_us(c) > req->deadline_us
			       ? CS_REFUSAL_DEADLINE
			       : CS_REFUSAL_OVERLOAD,
		       wait);
		return;
	}
	req->until_us = until;
	queue_push(p, c, req);
	out->verdict = CS_VERDICT_WAIT;
	out->u.wait.until_us = until;
}

void cs_policy_decide(struct cs_policy *p, struct cs_policy_request *req, uint64_t now_us,
		      struct cs_decision *out)
{
	struct cls *c = policy_class(p, req->class_index);
	bool may_hop = !req->hopped && !req->hop_refused;
	struct cs_target *t;

	if (c == NULL) {
		refuse(out, CS_REFUSAL_NOT_READY, CS_US_PER_S);
		return;
	}
	policy_tick(p, now_us);
	if (!req->budget_counted) {
		req->budget_counted = true;
		budget_credit(c);
	}
	if (may_hop && drain_moves_request(p, req->hash, now_us) &&
	    hop_other_zone(p, c, req, true, now_us, out))
		return;
	if (req->hopped && !foreign_admissible(c->svc, c->pool)) {
		refuse(out, CS_REFUSAL_OVERLOAD, queue_wait_us(p, c));
		return;
	}
	t = choice_pick(p, c, req, now_us);
	/* Prefer another zone to a slow server kept in use only by the ejection limit. */
	if (t != NULL && may_hop && eject_over_threshold(t, now_us) &&
	    p->opts.choice == CS_CHOICE_LEAST && hop_other_zone(p, c, req, false, now_us, out))
		return;
	if (t != NULL && now_us < req->deadline_us) {
		target_attempt_start(p, t, c, req, now_us);
		out->verdict = CS_VERDICT_SEND;
		out->u.send.target = t;
		return;
	}
	if (may_hop && (hop_same_zone(p, c, out) || hop_other_zone(p, c, req, false, now_us, out)))
		return;
	wait_or_refuse(p, c, req, now_us, out);
}
