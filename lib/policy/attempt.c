/* Running attempts of each target, in order of their start. */
#include <string.h>

#include "policy/internal.h"

void target_attempt_start(struct cs_policy *p, struct cs_target *t, struct cls *c,
			  const struct cs_policy_request *req, uint64_t now_us)
{
	struct attempt *a;

	if (t->n_attempts == t->cap_attempts) {
		t->cap_attempts = t->cap_attempts != 0 ? 2 * t->cap_attempts : 8;
		t->attempts = cs_xrealloc(t->attempts, t->cap_attempts, sizeof(*t->attempts));
	}
	a = &t->attempts[t->n_attempts];
	a->start_us = now_us;
	a->cls = c;
	a->pool = (uint8_t)c->pool;
	a->foreign = req->hopped;
	a->late = false;
	a->borrowed = share_needs_loan(t, c->pool);
	t->n_attempts++;
	t->in_flight[a->pool]++;
	t->svc->in_flight[a->pool]++;
	if (a->foreign)
		t->svc->foreign[a->pool]++;
	if (a->borrowed)
		t->borrowed++;
	availability_refresh(p, t, now_us);
}

static uint64_t time_diff(uint64_t a, uint64_t b)
{
	return a > b ? a - b : b - a;
}

bool target_attempt_end(struct cs_policy *p, struct cs_target *t, struct cls *c,
			uint64_t latency_us, uint64_t now_us, struct attempt *out)
{
	uint64_t start = now_us > latency_us ? now_us - latency_us : 0;
	unsigned i, best = t->n_attempts;

	/* After a change of the configuration the class may be unknown: match by start time. */
	for (i = 0; i < t->n_attempts; i++) {
		const struct attempt *a = &t->attempts[i];

		if (best < t->n_attempts) {
			const struct attempt *b = &t->attempts[best];

			if ((b->cls == c) != (a->cls == c)) {
				if (b->cls == c)
					continue;
			} else if (time_diff(a->start_us, start) >= time_diff(b->start_us, start)) {
				continue;
			}
		}
		best = i;
	}
	if (best == t->n_attempts)
		return false;
	*out = t->attempts[best];
	if (best < t->n_late)
		t->n_late--;
	t->n_attempts--;
	memmove(&t->attempts[best], &t->attempts[best + 1],
		(t->n_attempts - best) * sizeof(*t->attempts));
	t->in_flight[out->pool]--;
	t->svc->in_flight[out->pool]--;
	if (out->foreign)
		t->svc->foreign[out->pool]--;
	if (out->borrowed)
		t->borrowed--;
	availability_refresh(p, t, now_us);
	return true;
}
