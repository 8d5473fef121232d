/* Token buckets that limit retries and hedges, and the delay before a hedge. */
#include "policy/internal.h"

/* Tokens earned per request, and the bucket sizes. */
#define RETRY_RATIO 0.10
#define RETRY_BURST 10.0
#define HEDGE_RATIO 0.018
#define HEDGE_BURST 40.0
/*
 * Bounds the hedge delay by a multiple of the 95th percentile. If random outliers and slow servers
 * together make more than 2 in 100 requests slow, the 98th percentile is the latency of a slow
 * request.
 */
#define HEDGE_MAX_P95_MULTIPLE 1.5
#define HEDGE_MIN_US (1 * CS_US_PER_MS)

void budget_credit(struct cls *c)
{
	c->retry_tokens += RETRY_RATIO;
	if (c->retry_tokens > RETRY_BURST)
		c->retry_tokens = RETRY_BURST;
	c->hedge_tokens += HEDGE_RATIO;
	if (c->hedge_tokens > HEDGE_BURST)
		c->hedge_tokens = HEDGE_BURST;
}

bool cs_policy_take_retry(struct cs_policy *p, unsigned class_index)
{
	struct cls *c = policy_class(p, class_index);

	if (c == NULL || c->retry_tokens < 1)
		return false;
	c->retry_tokens -= 1;
	return true;
}

uint64_t cs_policy_hedge_delay(struct cs_policy *p, unsigned class_index)
{
	struct cls *c = policy_class(p, class_index);
	uint64_t us;

	if (c == NULL || !c->conf.idempotent || c->pool == POOL_BULK || c->p95_us == 0)
		return 0;
	/*
	 * 5 in 100 requests exceed the 95th percentile, but the budget is HEDGE_RATIO. Once the
	 * bucket is half empty, hedge after the 98th percentile, so that the slowest requests get
	 * the hedges.
	 */
	us = c->p95_us;
	if (c->hedge_tokens < HEDGE_BURST / 2) {
		us = c->p98_us;
		if (us > c->p95_us * HEDGE_MAX_P95_MULTIPLE)
			us = (uint64_t)(c->p95_us * HEDGE_MAX_P95_MULTIPLE);
	}
	return us > HEDGE_MIN_US ? us : HEDGE_MIN_US;
}

struct cs_target *cs_policy_take_hedge(struct cs_policy *p, struct cs_policy_request *req,
				       uint64_t now_us)
{
	struct cls *c = policy_class(p, req->class_index);
	struct cs_target *t;

	policy_tick(p, now_us);
	if (c == NULL || !c->conf.idempotent || c->hedge_tokens < 1)
		return NULL;
	t = choice_pick(p, c, req, now_us);
	/* A probe of an ejected server is no useful hedge. */
	if (t == NULL || t->ejected)
		return NULL;
	c->hedge_tokens -= 1;
	target_attempt_start(p, t, c, req, now_us);
	return t;
}
