/*
 * Servers that are kept out of the choice for a while: outliers by latency or errors, and servers
 * that said they are not ready.
 */
#include "policy/internal.h"

#define EJECT_RATIO 3.0
#define EJECT_SAMPLES 2
#define EJECT_ERRORS 3 /* in a row */
#define EJECT_FIRST_US (500 * CS_US_PER_MS)
#define EJECT_MAX_US (8 * CS_US_PER_S)
#define EJECT_PART 3 /* at most one in this many servers */

/* True if one more target of the service may be ejected. */
static bool may_eject(const struct svc *s)
{
	return (s->n_ejected + 1) * EJECT_PART <= s->n_targets;
}

static void eject(struct cs_policy *p, struct cs_target *t, uint64_t now_us)
{
	uint64_t us = EJECT_FIRST_US;
	unsigned i;

	if (!t->ejected) {
		if (!may_eject(t->svc))
			return;
		t->ejected = true;
		t->svc->n_ejected++;
	}
	for (i = 0; i < t->eject_count && us < EJECT_MAX_US; i++)
		us *= 2;
	t->eject_count++;
	t->eject_until_us = now_us + us;
	open_refresh(p, t, now_us);
}

static void restore(struct cs_policy *p, struct cs_target *t, uint64_t now_us)
{
	t->ejected = false;
	t->svc->n_ejected--;
	t->errors_in_row = 0;
	open_refresh(p, t, now_us);
}

void eject_outcome(struct cs_policy *p, struct cs_target *t, enum cs_outcome outcome,
		   uint64_t now_us)
{
	bool probe = t->ejected && now_us >= t->eject_until_us;

	if (outcome == CS_OUTCOME_ERROR || outcome == CS_OUTCOME_UNSENT ||
	    outcome == CS_OUTCOME_TIMEOUT)
		t->errors_in_row++;
	else if (outcome == CS_OUTCOME_OK)
		t->errors_in_row = 0;
	if (probe && outcome == CS_OUTCOME_OK && latency_ratio(t, now_us) < EJECT_RATIO) {
		restore(p, t, now_us);
		t->eject_count = 0;
		return;
	}
	if (probe && outcome != CS_OUTCOME_CANCELLED && outcome != CS_OUTCOME_REFUSED) {
		eject(p, t, now_us);
		return;
	}
	eject_check(p, t, now_us);
}

void eject_check(struct cs_policy *p, struct cs_target *t, uint64_t now_us)
{
	bool slow;

	if (t->ejected)
		return;
	slow = (t->samples >= EJECT_SAMPLES || t->n_flights >= EJECT_SAMPLES) &&
	       latency_ratio(t, now_us) >= EJECT_RATIO;
	if (slow || t->errors_in_row >= EJECT_ERRORS)
		eject(p, t, now_us);
}

bool eject_blocks(const struct cs_target *t, uint64_t now_us)
{
	if (!t->ejected)
		return false;
	/* After its time an ejected server gets one request at a time. */
	return now_us < t->eject_until_us || t->n_flights > 0;
}

bool backoff_active(const struct cs_target *t, uint64_t now_us)
{
	return t->backoff_us > 0 && now_us < t->backoff_until_us;
}

void backoff_start(struct cs_target *t, uint64_t now_us)
{
	if (backoff_active(t, now_us))
		return;
	t->backoff_us = t->backoff_us == 0 ? BACKOFF_FIRST_US : 2 * t->backoff_us;
	if (t->backoff_us > BACKOFF_MAX_US)
		t->backoff_us = BACKOFF_MAX_US;
	t->backoff_until_us = now_us + t->backoff_us;
}

uint64_t backoff_all(const struct svc *s, uint64_t now_us)
{
	const struct cs_target *t;
	uint64_t first = 0;

	TAILQ_FOREACH(t, &s->targets, in_svc) {
		if (!t->listed || t->state == CS_SERVER_DRAINING || t->state == CS_SERVER_DOWN)
			continue;
		if (!backoff_active(t, now_us))
			return 0;
		if (first == 0 || t->backoff_until_us < first)
			first = t->backoff_until_us;
	}
	return first;
}
