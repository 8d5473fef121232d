/*
 * Servers that are kept out of the choice for a while: outliers by latency or errors, and servers
 * that said they are not ready.
 */
#include "policy/internal.h"

#define EJECT_DOUBT 10.0 /* five late attempts in a row */
/*
 * Four, where the share of a server is five slots or less: they hold hardly a fifth attempt, and
 * waiting for one to end costs a slowed service time. Fewer would eject healthy servers by chance.
 */
#define EJECT_DOUBT_SMALL 8.0
#define SMALL_SHARE 5
#define EJECT_DOUBT_AFTER 4.0 /* after a timely trial: three late attempts eject again */
#define EJECT_ERRORS 3 /* in a row */
/* Other workloads slow a server for seconds: a longer ejection would outlast the cause. */
#define EJECT_US (500 * CS_US_PER_MS)
/* Under pressure a trial comes earlier, because servers that recovered are missed. */
#define EJECT_EARLY_US (250 * CS_US_PER_MS)
#define EJECT_PART 3 /* at most one in this many servers */

/* True if one more target of the service may be ejected. */
static bool may_eject(const struct cs_policy *p, const struct svc *s)
{
	/* The other ways to choose are baselines and do without. */
	if (p->opts.choice != CS_CHOICE_LEAST)
		return false;
	return (s->n_ejected + 1) * EJECT_PART <= s->n_targets;
}

/* Doubt at which a target is ejected. */
static double doubt_limit(const struct cs_target *t)
{
	unsigned share = t->share[POOL_SMALL] + t->share[POOL_BULK];

	return share <= SMALL_SHARE ? EJECT_DOUBT_SMALL : EJECT_DOUBT;
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
	open_refresh(p, t, now_us);
}

static void restore(struct cs_policy *p, struct cs_target *t, uint64_t now_us)
{
	t->ejected = false;
	t->svc->n_ejected--;
	t->errors_in_row = 0;
	latency_reset(t, EJECT_DOUBT_AFTER, now_us);
	open_refresh(p, t, now_us);
}

void eject_outcome(struct cs_policy *p, struct cs_target *t, enum cs_outcome outcome, bool late,
		   uint64_t now_us)
{
	if (outcome == CS_OUTCOME_ERROR || outcome == CS_OUTCOME_UNSENT ||
	    outcome == CS_OUTCOME_TIMEOUT)
		t->errors_in_row++;
	else if (outcome == CS_OUTCOME_OK)
		t->errors_in_row = 0;
	if (!t->ejected) {
		eject_check(p, t, now_us);
		return;
	}
	/* Attempts from before the ejection and trial requests end here. */
	if (outcome == CS_OUTCOME_OK && !late)
		restore(p, t, now_us);
	else if (outcome != CS_OUTCOME_REFUSED && (late || outcome != CS_OUTCOME_CANCELLED))
		eject(p, t, now_us);
}

void eject_check(struct cs_policy *p, struct cs_target *t, uint64_t now_us)
{
	if (t->ejected)
		return;
	if (latency_doubt(t, now_us) >= doubt_limit(t) || t->errors_in_row >= EJECT_ERRORS)
		eject(p, t, now_us);
}

struct cs_target *eject_early_trial(struct cs_policy *p, struct svc *s, uint64_t now_us)
{
	struct cs_target *t;

	if (s->n_ejected == 0)
		return NULL;
	TAILQ_FOREACH(t, &s->targets, in_svc)
		if (t->ejected && t->n_flights == 0 && now_us >= t->eject_us + EJECT_EARLY_US &&
		    t->listed && t->state == CS_SERVER_READY && !backoff_active(t, now_us))
			return t;
	return NULL;
}

bool eject_wanted(struct cs_target *t, uint64_t now_us)
{
	return !t->ejected && latency_doubt(t, now_us) >= doubt_limit(t);
}

bool eject_blocks(const struct cs_target *t, uint64_t now_us)
{
	if (!t->ejected)
		return false;
	/* After its time an ejected server gets one request at a time. */
	return now_us < t->eject_us + EJECT_US || t->n_flights > 0;
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
