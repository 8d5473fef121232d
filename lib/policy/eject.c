/*
 * Temporary exclusion of servers: ejection of outliers by latency or errors, and back-off from
 * servers that refused a request.
 */
#include "policy/internal.h"

#define EJECT_THRESHOLD 10.0 /* five late attempts in a row */
/*
 * Four late attempts in a row where the share is at most SMALL_SHARE_SLOTS: a fifth attempt often
 * has to wait until one of these ends, which takes long at a slow server. A threshold of fewer late
 * attempts would eject healthy servers by chance.
 */
#define EJECT_THRESHOLD_SMALL_SHARE 8.0
#define SMALL_SHARE_SLOTS 5
/* Value after a timely probe: three late attempts, or two with a small share, eject again. */
#define CUSUM_AFTER_PROBE 4.0
#define EJECT_CONSECUTIVE_ERRORS 3
/* Other workloads slow a server for seconds only: a long ejection would outlast the cause. */
#define EJECT_DURATION_US (500 * CS_US_PER_MS)
/* An ejected server may be probed after this time if a request has no other server. */
#define EARLY_PROBE_DELAY_US (250 * CS_US_PER_MS)
#define EJECT_MAX_DIVISOR 3 /* at most one third of the servers are ejected */

/* True if one more target of the service may be ejected. */
static bool may_eject(const struct cs_policy *p, const struct svc *s)
{
	/* The baseline algorithms do not eject. */
	if (p->opts.choice != CS_CHOICE_LEAST)
		return false;
	return (s->n_ejected + 1) * EJECT_MAX_DIVISOR <= s->n_targets;
}

static double eject_threshold(const struct cs_target *t)
{
	unsigned share = t->share[POOL_SMALL] + t->share[POOL_BULK];

	return share <= SMALL_SHARE_SLOTS ? EJECT_THRESHOLD_SMALL_SHARE : EJECT_THRESHOLD;
}

static void eject(struct cs_policy *p, struct cs_target *t, uint64_t now_us)
{
	if (!t->ejected) {
		if (!may_eject(p, t->svc))
			return;
		t->ejected = true;
		t->svc->n_ejected++;
	}
	t->eject_us = now_us;
	availability_refresh(p, t, now_us);
}

static void reinstate(struct cs_policy *p, struct cs_target *t, uint64_t now_us)
{
	t->ejected = false;
	t->svc->n_ejected--;
	t->consecutive_errors = 0;
	latency_cusum_set(t, CUSUM_AFTER_PROBE, now_us);
	availability_refresh(p, t, now_us);
}

void eject_outcome(struct cs_policy *p, struct cs_target *t, enum cs_outcome outcome, bool late,
		   uint64_t now_us)
{
	if (outcome == CS_OUTCOME_ERROR || outcome == CS_OUTCOME_UNSENT ||
	    outcome == CS_OUTCOME_TIMEOUT)
		t->consecutive_errors++;
	else if (outcome == CS_OUTCOME_OK)
		t->consecutive_errors = 0;
	if (!t->ejected) {
		eject_check(p, t, now_us);
		return;
	}
	/* The attempt was a probe or started before the ejection. */
	if (outcome == CS_OUTCOME_OK && !late)
		reinstate(p, t, now_us);
	else if (outcome != CS_OUTCOME_REFUSED && (late || outcome != CS_OUTCOME_CANCELLED))
		eject(p, t, now_us);
}

void eject_check(struct cs_policy *p, struct cs_target *t, uint64_t now_us)
{
	if (t->ejected)
		return;
	if (latency_cusum(t, now_us) >= eject_threshold(t) ||
	    t->consecutive_errors >= EJECT_CONSECUTIVE_ERRORS)
		eject(p, t, now_us);
}

struct cs_target *eject_early_probe(struct cs_policy *p, struct svc *s, uint64_t now_us)
{
	struct cs_target *t;

	if (s->n_ejected == 0)
		return NULL;
	TAILQ_FOREACH(t, &s->targets, in_svc)
		if (t->ejected && t->n_attempts == 0 &&
		    now_us >= t->eject_us + EARLY_PROBE_DELAY_US && t->listed &&
		    t->state == CS_SERVER_READY && !backoff_active(t, now_us))
			return t;
	return NULL;
}

bool eject_over_threshold(struct cs_target *t, uint64_t now_us)
{
	return !t->ejected && latency_cusum(t, now_us) >= eject_threshold(t);
}

bool eject_blocks(const struct cs_target *t, uint64_t now_us)
{
	if (!t->ejected)
		return false;
	/* After EJECT_DURATION_US the server is probed with one request at a time. */
	return now_us < t->eject_us + EJECT_DURATION_US || t->n_attempts > 0;
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
