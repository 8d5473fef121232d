/* Budgets of retries and hedges, and the delay before a hedge. */
#include "policy/internal.h"

/* Parts of the requests; the caps bound bursts after a quiet time. */
#define RETRY_PART 0.10
#define RETRY_CAP 10.0
#define HEDGE_PART 0.018
#define HEDGE_CAP 40.0
/*
 * Multiple of the 95th percentile: with stragglers and slowed servers together more than two in 100
 * requests are late, and the 98th percentile is then theirs.
 */
#define HEDGE_LATEST 1.5
#define HEDGE_MIN_US (1 * CS_US_PER_MS)

void budget_request(struct cls *c)
{
	c->retry_tokens += RETRY_PART;
	if (c->retry_tokens > RETRY_CAP)
		c->retry_tokens = RETRY_CAP;
	c->hedge_tokens += HEDGE_PART;
	if (c->hedge_tokens > HEDGE_CAP)
		c->hedge_tokens = HEDGE_CAP;
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
	 * Five in 100 requests last longer than the 95th percentile and the budget is two: once it
	 * runs low, hedges wait for the 98th, so that the slowest requests get them.
	 */
	us = c->p95_us;
	if (c->hedge_tokens < HEDGE_CAP / 2) {
		us = c->p98_us;
		if (us > c->p95_us * HEDGE_LATEST)
			us = (uint64_t)(c->p95_us * HEDGE_LATEST);
	}
	return us > HEDGE_MIN_US ? us : HEDGE_MIN_US;
}

struct cs_target *cs_policy_take_hedge(struct cs_policy *p, struct cs_ask *ask, uint64_t now_us)
{
	struct cls *c = policy_class(p, ask->class_index);
	struct cs_target *t;

	policy_tick(p, now_us);
	if (c == NULL || !c->conf.idempotent || c->hedge_tokens < 1)
		return NULL;
	t = choice_pick(p, c, ask, now_us);
	/* A trial request at an ejected server would not help a slow one. */
	if (t == NULL || t->ejected)
		return NULL;
	c->hedge_tokens -= 1;
	flight_start(p, t, c, ask, now_us);
	return t;
}
