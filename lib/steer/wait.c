/*
 * Sending, waiting and refusing. Load pattern: demand is above the slots for seconds at a time, and
 * an answer is worth most within the latency target, which is hardly longer than the work itself.
 * So slots go to requests that can still be on time, the urgent and the newest first; the others
 * wait for slots that nobody on time wants, for a bounded time; what cannot be served is refused
 * early with a time to come back that is spread over the caller's patience.
 */
#include "steer/steer-int.h"

/* A request with less time left than this part of the usual work cannot be served. */
#define WORK_PART_MIN 0.5
/* Longest wait of a request, as part of its latency target. */
#define WAIT_PART 0.3
/* Used for a route without a latency target. */
#define WAIT_DEFAULT_US (200 * CS_US_PER_MS)
/* More waiting requests than this many for each slot are refused at once. */
#define WAITING_PER_SLOT 1.0
/* Time to come back, as part of the time that the caller has left. */
#define RETRY_PART_MIN 0.1
#define RETRY_PART_MAX 0.32
/* Used when the caller has no time left. */
#define RETRY_MIN_MS 50
/* A second send follows after this many times the usual work. */
#define HEDGE_WORK_FACTOR 4.0
/* It needs a server whose slots are used at most to this part. */
#define HEDGE_USE_MAX 0.85

/* Best server for the request: in the region drawn, else elsewhere within the allowance. */
static struct cs_backend *find_server(struct cs_steer *s, struct cs_steer_service *svc,
				      struct cs_steer_ask *ask, uint64_t now_us)
{
	struct cs_backend *b, *other = NULL;
	unsigned i;

	if (ask->region < 0)
		ask->region = (int)regions_draw(s, svc, ask->home_mask,
						ask->sticky ? ask->object : 0, now_us);
	/* None of the route's homes may be a region of this deployment. */
	if ((ask->home_mask >> ask->region & 1) == 0)
		return NULL;
	b = place_in(s, svc, ask, (unsigned)ask->region, now_us);
	if (b != NULL)
		return b;
	for (i = 0; i < s->n_regions && other == NULL; i++)
		if (i != (unsigned)ask->region && (ask->home_mask >> i & 1))
			other = place_in(s, svc, ask, i, now_us);
	if (other == NULL || !regions_leave(svc))
		return NULL;
	return other;
}

/* Moment at which a waiting request is refused. */
static uint64_t wait_until(const struct cs_steer *s, const struct cs_steer_ask *ask)
{
	uint64_t wait = WAIT_DEFAULT_US, last;
	uint64_t need = (uint64_t)(WORK_PART_MIN * steer_work(s, ask));

	if (ask->target_ms > 0)
		wait = (uint64_t)(WAIT_PART * ask->target_ms * CS_US_PER_MS);
	last = ask->deadline_us > need ? ask->deadline_us - need : 0;
	return ask->arrived_us + wait < last ? ask->arrived_us + wait : last;
}

/* Sum of usable slots of the regions that may serve the request. */
static double slots_for(const struct cs_steer *s, const struct cs_steer_service *svc,
			const struct cs_steer_ask *ask)
{
	double sum = 0;
	unsigned i;

	for (i = 0; i < s->n_regions; i++)
		if (ask->home_mask >> i & 1)
			sum += svc->capacity[i];
	return sum;
}

/* True if so many wait already that the request has no prospect. */
static bool queue_full(const struct cs_steer *s, const struct cs_steer_service *svc,
		       const struct cs_steer_ask *ask, uint64_t now_us)
{
	return svc->n_waiting + 1 >
	       4 + WAITING_PER_SLOT * slots_for(s, svc, ask) / cs_steer_members(s, now_us);
}

static void decide_wait(struct cs_steer_service *svc, struct cs_steer_ask *ask, uint64_t until_us,
			struct cs_steer_decision *out)
{
	ask->waiting = true;
	ask->queue = svc;
	ask->until_us = until_us;
	TAILQ_INSERT_HEAD(&svc->waiting, ask, entry);
	svc->n_waiting++;
	*out = (struct cs_steer_decision){.verdict = CS_STEER_WAIT, .u.wait = {until_us}};
}

static void decide_send(struct cs_steer *s, struct cs_steer_ask *ask, struct cs_backend *b,
			uint64_t now_us, struct cs_steer_decision *out)
{
	*out = (struct cs_steer_decision){
		.verdict = CS_STEER_SEND,
		.u.send = {b, place_busy(b, now_us), backend_slots(b)},
	};
	place_take(s, ask, b, now_us);
}

/*
 * Callers come back once and wait at most a third of their time. A spread over that time keeps
 * those refused together from returning together.
 */
static unsigned retry_after_ms(struct cs_steer *s, const struct cs_steer_ask *ask, uint64_t now_us)
{
	double left = ask->deadline_us > now_us ? (double)(ask->deadline_us - now_us) / CS_US_PER_MS
						: 0;
	double part = RETRY_PART_MIN + (RETRY_PART_MAX - RETRY_PART_MIN) * cs_rng_unit(&s->rng);

	return (unsigned)(left * part) + RETRY_MIN_MS;
}

static void decide_refuse(struct cs_steer *s, struct cs_steer_ask *ask, enum cs_steer_reason reason,
			  uint64_t now_us, struct cs_steer_decision *out)
{
	*out = (struct cs_steer_decision){
		.verdict = CS_STEER_REFUSE,
		.u.refuse = {reason, retry_after_ms(s, ask, now_us)},
	};
}

void cs_steer_decide(struct cs_steer *s, struct cs_steer_ask *ask, uint64_t now_us,
		     struct cs_steer_decision *out)
{
	struct cs_steer_service *svc = steer_service(s, ask->service);
	double need = WORK_PART_MIN * steer_work(s, ask);
	struct cs_backend *b;
	uint64_t until;

	if ((double)ask->deadline_us < (double)now_us + need) {
		decide_refuse(s, ask, CS_STEER_DEADLINE, now_us, out);
		return;
	}
	if (ask->n_sent >= ask->max_attempts) {
		decide_refuse(s, ask, CS_STEER_ATTEMPTS, now_us, out);
		return;
	}
	if (ask->n_sent > 0 && !limits_repeat(s, svc, now_us)) {
		decide_refuse(s, ask, CS_STEER_BUDGET, now_us, out);
		return;
	}
	b = find_server(s, svc, ask, now_us);
	if (b != NULL) {
		decide_send(s, ask, b, now_us, out);
		return;
	}
	if (!place_exists(s, svc, ask, now_us)) {
		decide_refuse(s, ask, CS_STEER_NO_SERVER, now_us, out);
		return;
	}
	until = wait_until(s, ask);
	if (until <= now_us || queue_full(s, svc, ask, now_us)) {
		decide_refuse(s, ask, CS_STEER_OVERLOAD, now_us, out);
		return;
	}
	decide_wait(svc, ask, until, out);
}

/*
 * True if a goes before b: the urgent first, then the newest. While demand is above the slots, the
 * newest can still be on time, and the others are late whichever order is taken.
 */
static bool goes_before(const struct cs_steer_ask *a, const struct cs_steer_ask *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority;
	return a->arrived_us > b->arrived_us;
}

static bool has_free_slot(const struct cs_steer *s, const struct cs_steer_service *svc,
			  uint64_t now_us)
{
	const struct cs_backend *b;

	TAILQ_FOREACH(b, &svc->backends, entry)
		if (backend_usable(s, b, now_us) && place_has_room(b, PLACE_USE_MAX, now_us))
			return true;
	return false;
}

/* A waiting request whose time is over, or NULL. */
static struct cs_steer_ask *next_expired(struct cs_steer_service *svc, uint64_t now_us)
{
	struct cs_steer_ask *ask;

	TAILQ_FOREACH(ask, &svc->waiting, entry)
		if (ask->until_us <= now_us)
			return ask;
	return NULL;
}

/* First waiting request, in order, for which a server was found. */
static struct cs_steer_ask *next_served(struct cs_steer *s, struct cs_steer_service *svc,
					uint64_t now_us, struct cs_backend **server)
{
	uint64_t blocked = 0; /* regions drawn for which no server was found */
	struct cs_steer_ask *ask, *best;

	if (TAILQ_EMPTY(&svc->waiting) || !has_free_slot(s, svc, now_us))
		return NULL;
	for (;;) {
		best = NULL;
		TAILQ_FOREACH(ask, &svc->waiting, entry) {
			if (ask->region >= 0 && (blocked >> ask->region & 1))
				continue;
			if (best == NULL || goes_before(ask, best))
				best = ask;
		}
		if (best == NULL)
			return NULL;
		*server = find_server(s, svc, best, now_us);
		if (*server != NULL)
			return best;
		blocked |= 1ULL << best->region;
	}
}

struct cs_steer_ask *cs_steer_next(struct cs_steer *s, uint64_t now_us,
				   struct cs_steer_decision *out)
{
	struct cs_steer_service *svc;
	struct cs_steer_ask *ask;
	struct cs_backend *b;

	TAILQ_FOREACH(svc, &s->services, entry) {
		ask = next_served(s, svc, now_us, &b);
		if (ask != NULL) {
			cs_steer_forget(s, ask);
			decide_send(s, ask, b, now_us, out);
			return ask;
		}
		ask = next_expired(svc, now_us);
		if (ask != NULL) {
			cs_steer_forget(s, ask);
			decide_refuse(s, ask, CS_STEER_OVERLOAD, now_us, out);
			return ask;
		}
	}
	return NULL;
}

unsigned cs_steer_waiting(const struct cs_steer *s)
{
	const struct cs_steer_service *svc;
	unsigned n = 0;

	TAILQ_FOREACH(svc, &s->services, entry)
		n += svc->n_waiting;
	return n;
}

void cs_steer_forget(struct cs_steer *s, struct cs_steer_ask *ask)
{
	if (!ask->waiting)
		return;
	ask->waiting = false;
	TAILQ_REMOVE(&ask->queue->waiting, ask, entry);
	ask->queue->n_waiting--;
	ask->queue = NULL;
}

uint64_t cs_steer_hedge_delay(struct cs_steer *s, const struct cs_steer_ask *ask)
{
	return (uint64_t)(HEDGE_WORK_FACTOR * steer_work(s, ask));
}

struct cs_backend *cs_steer_hedge(struct cs_steer *s, struct cs_steer_ask *ask, uint64_t now_us)
{
	struct cs_steer_service *svc = steer_service(s, ask->service);
	double work = steer_work(s, ask);
	struct cs_backend *b;

	if (ask->n_sent >= ask->max_attempts || ask->region < 0 || !TAILQ_EMPTY(&svc->waiting))
		return NULL;
	if ((double)now_us + work > (double)ask->deadline_us || !limits_repeat(s, svc, now_us))
		return NULL;
	b = place_in(s, svc, ask, (unsigned)ask->region, now_us);
	if (b == NULL || !place_has_room(b, HEDGE_USE_MAX, now_us))
		return NULL;
	place_take(s, ask, b, now_us);
	return b;
}
