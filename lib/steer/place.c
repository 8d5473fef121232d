/*
 * Choice of a server inside a region: the lowest expected time of an answer among those with a free
 * slot. Load pattern: all instances send to all servers, some servers are slow for fractions of a
 * second because of other work on their machines, and objects that a server handled lately take it
 * less time.
 */
#include <math.h>

#include "steer/steer-int.h"

/*
 * Servers on which the requests for one object are kept, over all regions. Fewer keep the objects
 * in the servers' caches for longer, more leave more choice.
 */
#define STICKY_COPIES 12
#define STICKY_MAX 32
/* Time of work where the object was not handled lately, relative to where it was. */
#define COLD_OBJECT_FACTOR 1.4
/* A stated pace loses its meaning with this time constant. */
#define PACE_MEMORY_US (500.0 * CS_US_PER_MS)
/* Mean pace over time and servers, taken where none was stated lately. */
#define PACE_MEAN 1.2
/* A stated load counts beside the known requests in flight while it is this young. */
#define LOAD_FRESH_US (100 * CS_US_PER_MS)
/* Weight of used slots: a nearly full server serves a burst worse than an idle one. */
#define FILL_WEIGHT 0.25
/* Expected loss by a server's failed requests, in times of work. */
#define ERROR_WEIGHT 4.0
/* Spread that keeps instances with the same figures from choosing the same server. */
#define SPREAD 0.05

/* The servers of one region that are preferred for an object. */
struct preferred {
	uint64_t weight[STICKY_MAX];
	unsigned n;
};

unsigned place_busy(const struct cs_backend *b, uint64_t now_us)
{
	unsigned busy = b->in_flight + b->peers_in_flight, stated;

	if (b->load_us > 0 && now_us - b->load_us < LOAD_FRESH_US) {
		stated = b->load.running + b->load.waiting;
		if (stated > busy)
			busy = stated;
	}
	return busy;
}

static uint64_t object_weight(uint64_t object, const struct cs_backend *b)
{
	uint64_t pair[2] = {object, b->key};

	return cs_hash(pair, sizeof(pair), 0);
}

/* Inserts a weight, keeping the highest ones in falling order. */
static void preferred_add(struct preferred *p, unsigned most, uint64_t w)
{
	unsigned i;

	if (p->n < most)
		p->n++;
	else if (w <= p->weight[p->n - 1])
		return;
	for (i = p->n - 1; i > 0 && p->weight[i - 1] < w; i--)
		p->weight[i] = p->weight[i - 1];
	p->weight[i] = w;
}

/* Finds the preferred servers of a region by rendezvous hashing. */
static void preferred_fill(const struct cs_steer *s, const struct cs_steer_service *svc,
			   const struct cs_steer_ask *ask, unsigned region, uint64_t now_us,
			   struct preferred *p)
{
	unsigned total = 0, here = 0, most;
	const struct cs_backend *b;

	TAILQ_FOREACH(b, &svc->backends, entry) {
		if (!backend_in_service(s, b, now_us))
			continue;
		total++;
		here += b->region == region;
	}
	if (here == 0)
		return;
	most = (STICKY_COPIES * here + total / 2) / total;
	if (most < 1)
		most = 1;
	if (most > STICKY_MAX)
		most = STICKY_MAX;
	TAILQ_FOREACH(b, &svc->backends, entry)
		if (b->region == region && backend_in_service(s, b, now_us))
			preferred_add(p, most, object_weight(ask->object, b));
}

/* Pace expected of a server now: what it stated, fading to the mean. */
static double pace_of(const struct cs_backend *b, uint64_t now_us)
{
	double stated = b->load.pace_pct / 100.0;

	if (b->load_us == 0 || b->load.pace_pct == 0)
		return PACE_MEAN;
	return PACE_MEAN +
	       (stated - PACE_MEAN) * exp(-(double)(now_us - b->load_us) / PACE_MEMORY_US);
}

static bool was_tried(const struct cs_steer_ask *ask, const struct cs_backend *b)
{
	unsigned i;

	for (i = 0; i < ask->n_tried && i < CS_ASK_TRIED_MAX; i++)
		if (ask->tried[i] == b->key)
			return true;
	return false;
}

/* Expected time of an answer, in times of usual work. */
static double cost_of(struct cs_steer *s, const struct cs_steer_ask *ask,
		      const struct cs_backend *b, const struct preferred *p, unsigned busy,
		      uint64_t now_us)
{
	double cost = pace_of(b, now_us) * (b->slow > 1 ? b->slow : 1);

	if (p->n > 0 && object_weight(ask->object, b) < p->weight[p->n - 1])
		cost *= COLD_OBJECT_FACTOR;
	cost += FILL_WEIGHT * busy / backend_slots(b);
	cost += ERROR_WEIGHT * b->errors;
	return cost * (1 + SPREAD * cs_rng_unit(&s->rng));
}

struct cs_backend *place_in(struct cs_steer *s, struct cs_steer_service *svc,
			    const struct cs_steer_ask *ask, unsigned region, uint64_t now_us)
{
	struct cs_backend *b, *best = NULL;
	struct preferred p = {.n = 0};
	double cost, least = 0;
	bool filled = false;
	unsigned busy;

	TAILQ_FOREACH(b, &svc->backends, entry) {
		if (b->region != region || !backend_usable(s, b, now_us) || was_tried(ask, b))
			continue;
		busy = place_busy(b, now_us);
		if (busy >= backend_slots(b))
			continue;
		if (limits_is_cold(b, now_us) && !limits_cold(s, b, now_us))
			continue;
		if (!filled && ask->sticky && ask->object != 0)
			preferred_fill(s, svc, ask, region, now_us, &p);
		filled = true;
		cost = cost_of(s, ask, b, &p, busy, now_us);
		if (best == NULL || cost < least) {
			best = b;
			least = cost;
		}
	}
	return best;
}

bool place_exists(struct cs_steer *s, struct cs_steer_service *svc, const struct cs_steer_ask *ask,
		  uint64_t now_us)
{
	const struct cs_backend *b;

	TAILQ_FOREACH(b, &svc->backends, entry)
		if ((ask->home_mask >> b->region & 1) && backend_in_service(s, b, now_us) &&
		    !limits_is_cold(b, now_us) && !was_tried(ask, b))
			return true;
	return false;
}

void place_take(struct cs_steer *s, struct cs_steer_ask *ask, struct cs_backend *b, uint64_t now_us)
{
	b->in_flight++;
	if (limits_is_cold(b, now_us))
		limits_cold_sent(b, now_us);
	if (ask->n_sent > 0)
		window_add(&b->service->repeats, now_us);
	ask->n_sent++;
	if (ask->n_tried < CS_ASK_TRIED_MAX)
		ask->tried[ask->n_tried] = b->key;
	ask->n_tried++;
}
