/*
 * Admission: sending, queueing and refusing requests. Demand can exceed the slots for seconds at a
 * time, and the latency target of a response is hardly longer than the service time. So slots go
 * first to requests that can still meet their target, the most urgent and then the newest. The
 * others are queued for a bounded time and get the slots that remain. Requests that cannot be
 * served are refused early, with a Retry-After that is spread over the time that the client has
 * left.
 */
#include "steer/steer-int.h"

/* A request is not sent with less than this fraction of the expected service time left. */
#define SERVICE_TIME_FRACTION_MIN 0.5
/* Longest time in the queue, as a fraction of the latency target. */
#define WAIT_FRACTION 0.3
/* Longest time in the queue for a route without a latency target. */
#define DEFAULT_WAIT_US (200 * CS_US_PER_MS)
/*
 * Longest queue per slot of this instance's part of the slots, in addition to 4 requests. Further
 * requests are refused at once.
 */
#define QUEUED_PER_SLOT_MAX 1.0
/* Part of the queue that requests of workspaces over their fair share may fill. */
#define OVER_SHARE_QUEUE_FRACTION 0.5
/* Bounds of Retry-After, as a fraction of the time that the client has left. */
#define RETRY_AFTER_FRACTION_MIN 0.1
#define RETRY_AFTER_FRACTION_MAX 0.32
/* Added to every Retry-After; the whole Retry-After when the client has no time left. */
#define RETRY_AFTER_MIN_MS 50
/* A hedge is sent after this multiple of the expected service time. */
#define HEDGE_DELAY_FACTOR 4.0
/* Highest utilization of a server that receives a hedge. */
#define HEDGE_UTILIZATION_MAX 0.85

/*
 * Chooses a server in the request's region, or else in another one if spill_tokens allow it.
 * Returns NULL if there is none, or if the one that is best must pass a health check first: the
 * request then waits, and awaits_check_us is now_us.
 */
static struct cs_backend *find_server(struct cs_steer *s, struct cs_steer_service *svc,
				      struct cs_steer_request *req, uint64_t now_us)
{
	struct cs_backend *b, *other = NULL;
	unsigned i;

	if (req->region < 0) {
		req->region = (int)regions_choose(s, svc, req->home_mask,
						  req->sticky ? req->object : 0, now_us);
		if (req->home_mask != UINT64_MAX)
			home_flow_count(svc, (unsigned)req->region);
	}
	/* True if this deployment has none of the route's home regions. */
	if ((req->home_mask >> req->region & 1) == 0)
		return NULL;
	b = select_server(s, svc, req, (unsigned)req->region, now_us);
	for (i = 0; i < s->n_regions && b == NULL && other == NULL; i++)
		if (i != (unsigned)req->region && (req->home_mask >> i & 1))
			other = select_server(s, svc, req, i, now_us);
	if (b == NULL && other == NULL)
		return NULL;
	if (verify_request(s, b != NULL ? b : other, now_us)) {
		req->awaits_check_us = now_us;
		return NULL;
	}
	if (b != NULL)
		return b;
	return regions_take_spill(svc) ? other : NULL;
}

/* Time at which a queued request is refused. */
static uint64_t wait_until(const struct cs_steer *s, const struct cs_steer_request *req,
			   uint64_t now_us)
{
	uint64_t wait = DEFAULT_WAIT_US, latest, until;
	uint64_t min_time = (uint64_t)(SERVICE_TIME_FRACTION_MIN * steer_service_time(s, req));

	if (req->target_ms > 0)
		wait = (uint64_t)(WAIT_FRACTION * req->target_ms * CS_US_PER_MS);
	latest = req->deadline_us > min_time ? req->deadline_us - min_time : 0;
	until = req->arrived_us + wait;
	if (req->awaits_check_us == now_us && until < verify_wait_until(now_us))
		until = verify_wait_until(now_us);
	return until < latest ? until : latest;
}

/* The server that was best has not passed its check in time, and another one is checked now. */
static void extend_wait(const struct cs_steer *s, struct cs_steer_request *req, uint64_t now_us)
{
	uint64_t until = wait_until(s, req, now_us);

	if (until > req->until_us)
		req->until_us = until;
}

/* Sum of usable slots in the regions that may serve the request. */
static double allowed_slots(const struct cs_steer *s, const struct cs_steer_service *svc,
			    const struct cs_steer_request *req)
{
	double sum = 0;
	unsigned i;

	for (i = 0; i < s->n_regions; i++)
		if (req->home_mask >> i & 1)
			sum += svc->capacity[i];
	return sum;
}

/* True if the request's workspace lately got more than its fair share of the service. */
static bool is_over_share(const struct cs_steer_service *svc, const struct cs_steer_request *req,
			  uint64_t now_us)
{
	return req->workspace != 0 && cs_fair_is_over(svc->fair, req->workspace, now_us);
}

static unsigned fair_level(const struct cs_steer_service *svc, const struct cs_steer_request *req,
			   uint64_t now_us)
{
	return req->workspace != 0 ? cs_fair_level(svc->fair, req->workspace, now_us) : 0;
}

/* True if the queue is too long for the request to be served in time. */
static bool queue_full(const struct cs_steer *s, const struct cs_steer_service *svc,
		       const struct cs_steer_request *req, uint64_t now_us)
{
	double most = 4 + QUEUED_PER_SLOT_MAX * allowed_slots(s, svc, req) /
				  cs_steer_count_members(s, now_us);

	if (is_over_share(svc, req, now_us))
		most *= OVER_SHARE_QUEUE_FRACTION;
	return svc->n_waiting + 1 > most;
}

/*
 * Ends the wait of the oldest request whose workspace got more of its share than that of the new
 * one, and which is not more urgent: it is refused instead. False if there is none.
 */
static bool make_room(struct cs_steer_service *svc, const struct cs_steer_request *req,
		      uint64_t now_us)
{
	struct cs_steer_request *other, *oldest = NULL;
	unsigned level;

	if (req->workspace == 0)
		return false;
	level = fair_level(svc, req, now_us);
	/* The newest is first. */
	TAILQ_FOREACH(other, &svc->waiting, entry)
		if (other->until_us > now_us && other->priority >= req->priority &&
		    fair_level(svc, other, now_us) > level)
			oldest = other;
	if (oldest != NULL)
		oldest->until_us = now_us;
	return oldest != NULL;
}

static void decide_wait(struct cs_steer_service *svc, struct cs_steer_request *req,
			uint64_t until_us, struct cs_steer_decision *out)
{
	req->waiting = true;
	req->queue = svc;
	req->until_us = until_us;
	TAILQ_INSERT_HEAD(&svc->waiting, req, entry);
	svc->n_waiting++;
	*out = (struct cs_steer_decision){.verdict = CS_STEER_WAIT, .u.wait = {until_us}};
}

static void decide_send(struct cs_steer *s, struct cs_steer_request *req, struct cs_backend *b,
			uint64_t now_us, struct cs_steer_decision *out)
{
	*out = (struct cs_steer_decision){
		.verdict = CS_STEER_SEND,
		.u.send = {b, backend_busy_slots(b, now_us), backend_slots(b)},
	};
	select_reserve(s, req, b, now_us);
}

/*
 * Clients retry once and wait at most a third of their time. Spreading the delays over that time
 * keeps clients that were refused together from returning together. While all servers are within
 * their Retry-After, the delays begin at the end of the first one.
 */
static unsigned retry_after_ms(struct cs_steer *s, const struct cs_steer_service *svc,
			       const struct cs_steer_request *req, uint64_t now_us)
{
	double left = req->deadline_us > now_us ? (double)(req->deadline_us - now_us) / CS_US_PER_MS
						: 0;
	double min = RETRY_AFTER_FRACTION_MIN * left, max = RETRY_AFTER_FRACTION_MAX * left;
	double wait = (double)(select_retry_time(s, svc, req, now_us) - now_us) / CS_US_PER_MS;

	if (wait > min && wait < max)
		min = wait;
	return (unsigned)(min + (max - min) * cs_rng_unit(&s->rng)) + RETRY_AFTER_MIN_MS;
}

static void decide_refuse(struct cs_steer *s, const struct cs_steer_service *svc,
			  const struct cs_steer_request *req, enum cs_steer_reason reason,
			  uint64_t now_us, struct cs_steer_decision *out)
{
	*out = (struct cs_steer_decision){
		.verdict = CS_STEER_REFUSE,
		.u.refuse = {reason, retry_after_ms(s, svc, req, now_us)},
	};
}

void cs_steer_decide(struct cs_steer *s, struct cs_steer_request *req, uint64_t now_us,
		     struct cs_steer_decision *out)
{
	struct cs_steer_service *svc = steer_service(s, req->service);
	double min_time = SERVICE_TIME_FRACTION_MIN * steer_service_time(s, req);
	struct cs_backend *b;
	uint64_t until;

	if ((double)req->deadline_us < (double)now_us + min_time) {
		decide_refuse(s, svc, req, CS_STEER_DEADLINE, now_us, out);
		return;
	}
	if (req->n_sent >= req->max_attempts) {
		decide_refuse(s, svc, req, CS_STEER_ATTEMPTS, now_us, out);
		return;
	}
	if (req->n_sent > 0 && !limits_allow_retry(s, svc, now_us)) {
		decide_refuse(s, svc, req, CS_STEER_BUDGET, now_us, out);
		return;
	}
	b = find_server(s, svc, req, now_us);
	if (b != NULL) {
		decide_send(s, req, b, now_us, out);
		return;
	}
	until = wait_until(s, req, now_us);
	if (!select_has_candidate(s, svc, req, until, now_us)) {
		decide_refuse(s, svc, req, CS_STEER_NO_SERVER, now_us, out);
		return;
	}
	if (until <= now_us || (queue_full(s, svc, req, now_us) && !make_room(svc, req, now_us))) {
		decide_refuse(s, svc, req, CS_STEER_OVERLOAD, now_us, out);
		return;
	}
	decide_wait(svc, req, until, out);
}

/*
 * True if a is served before b: the more urgent first, then those of workspaces that got less of
 * their fair share, then the newer. Under overload only the newest requests can still meet their
 * target; the older ones miss it in any order.
 */
static bool has_precedence(const struct cs_steer_service *svc, const struct cs_steer_request *a,
			   const struct cs_steer_request *b, uint64_t now_us)
{
	unsigned a_level, b_level;

	if (a->priority != b->priority)
		return a->priority < b->priority;
	a_level = fair_level(svc, a, now_us);
	b_level = fair_level(svc, b, now_us);
	if (a_level != b_level)
		return a_level < b_level;
	return a->arrived_us > b->arrived_us;
}

static bool has_available_server(const struct cs_steer *s, const struct cs_steer_service *svc,
				 uint64_t now_us)
{
	const struct cs_backend *b;

	TAILQ_FOREACH(b, &svc->backends, entry)
		if (backend_usable(s, b, now_us) &&
		    backend_below_utilization(b, UTILIZATION_MAX, now_us))
			return true;
	return false;
}

/* A queued request whose wait has expired, or NULL. */
static struct cs_steer_request *next_expired(struct cs_steer_service *svc, uint64_t now_us)
{
	struct cs_steer_request *req;

	TAILQ_FOREACH(req, &svc->waiting, entry)
		if (req->until_us <= now_us)
			return req;
	return NULL;
}

/* Queued request with the highest precedence of those for which a server is available, or NULL. */
static struct cs_steer_request *next_sendable(struct cs_steer *s, struct cs_steer_service *svc,
					      uint64_t now_us, struct cs_backend **server)
{
	uint64_t blocked = 0; /* regions in which no server was found */
	struct cs_steer_request *req, *best;

	if (TAILQ_EMPTY(&svc->waiting) || !has_available_server(s, svc, now_us))
		return NULL;
	for (;;) {
		best = NULL;
		TAILQ_FOREACH(req, &svc->waiting, entry) {
			if (req->region >= 0 && (blocked >> req->region & 1))
				continue;
			if (req->awaits_check_us == now_us)
				continue;
			if (best == NULL || has_precedence(svc, req, best, now_us))
				best = req;
		}
		if (best == NULL)
			return NULL;
		*server = find_server(s, svc, best, now_us);
		if (*server != NULL)
			return best;
		if (best->awaits_check_us == now_us) {
			extend_wait(s, best, now_us);
			continue;
		}
		blocked |= 1ULL << best->region;
	}
}

struct cs_steer_request *cs_steer_next_waiting(struct cs_steer *s, uint64_t now_us,
					       struct cs_steer_decision *out)
{
	struct cs_steer_service *svc;
	struct cs_steer_request *req;
	struct cs_backend *b;

	TAILQ_FOREACH(svc, &s->services, entry) {
		req = next_sendable(s, svc, now_us, &b);
		if (req != NULL) {
			cs_steer_dequeue(s, req);
			decide_send(s, req, b, now_us, out);
			return req;
		}
		req = next_expired(svc, now_us);
		if (req != NULL) {
			cs_steer_dequeue(s, req);
			decide_refuse(s, svc, req, CS_STEER_OVERLOAD, now_us, out);
			return req;
		}
	}
	return NULL;
}

unsigned cs_steer_count_waiting(const struct cs_steer *s)
{
	const struct cs_steer_service *svc;
	unsigned n = 0;

	TAILQ_FOREACH(svc, &s->services, entry)
		n += svc->n_waiting;
	return n;
}

void cs_steer_dequeue(struct cs_steer *s, struct cs_steer_request *req)
{
	if (!req->waiting)
		return;
	req->waiting = false;
	TAILQ_REMOVE(&req->queue->waiting, req, entry);
	req->queue->n_waiting--;
	req->queue = NULL;
}

double cs_steer_expected_time(const struct cs_steer *s, const struct cs_steer_request *req)
{
	return steer_service_time(s, req);
}

uint64_t cs_steer_hedge_delay(struct cs_steer *s, const struct cs_steer_request *req)
{
	return (uint64_t)(HEDGE_DELAY_FACTOR * steer_service_time(s, req));
}

struct cs_backend *cs_steer_hedge(struct cs_steer *s, struct cs_steer_request *req, uint64_t now_us)
{
	struct cs_steer_service *svc = steer_service(s, req->service);
	double service_time = steer_service_time(s, req);
	struct cs_backend *b;

	if (req->n_sent >= req->max_attempts || req->region < 0 || !TAILQ_EMPTY(&svc->waiting))
		return NULL;
	if ((double)now_us + service_time > (double)req->deadline_us ||
	    !limits_allow_retry(s, svc, now_us))
		return NULL;
	b = select_server(s, svc, req, (unsigned)req->region, now_us);
	if (b == NULL || !backend_below_utilization(b, HEDGE_UTILIZATION_MAX, now_us) ||
	    verify_request(s, b, now_us))
		return NULL;
	select_reserve(s, req, b, now_us);
	return b;
}
