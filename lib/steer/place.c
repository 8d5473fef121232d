/*
 * Choice of a server inside a region: the lowest expected time of an answer among those with a free
 * slot. Load pattern: all instances send to all servers, some servers are slow for fractions of a
 * second because of other work on their machines, and objects that a server handled lately take it
 * less time.
 */
#include <math.h>

#include "steer/steer-int.h"

/*
 * Servers of the region that are ranked for an object. A server remembers a limited number of
 * objects: with more copies of each, every server forgets them before they come again. So the first
 * in rank takes nearly all requests for it, and the next ones, always the same, what does not fit
 * there.
 */
#define RANKS 3
/* Expected time of work by rank, relative to a server that does not have the object. */
static const double rank_work[RANKS] = {0.3, 0.6, 0.8};
#define WARM_FACTOR 0.3
/* A server that has the object is taken up to this use: its queue is shorter than the work saved. */
#define WARM_USE_MAX 2.0
/* Any other server only up to this use: work without the object takes its slots for long. */
#define SPILL_USE_MAX 0.5
/* A stated pace loses its meaning with this time constant. */
#define PACE_MEMORY_US (500.0 * CS_US_PER_MS)
/* Mean pace over time and servers, taken where none was stated lately. */
#define PACE_MEAN 1.2
/* A stated load counts beside the known requests in flight while it is this young. */
#define LOAD_FRESH_US (100 * CS_US_PER_MS)
/* Weight of used slots: a nearly full server serves a burst worse than an idle one. */
#define FILL_WEIGHT 0.1
/* Expected loss by a server's failed requests, in times of work. */
#define ERROR_WEIGHT 2.0
/* Spread that keeps instances with the same figures from choosing the same server. */
#define SPREAD 0.05

/* The servers of one region that have an object: those with the highest weights. */
struct holders {
	const struct cs_backend *server[RANKS];
	uint64_t weight[RANKS];
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

/* Finds the servers that have the request's object by rendezvous hashing. */
static void holders_find(const struct cs_steer *s, const struct cs_steer_service *svc,
			 const struct cs_steer_ask *ask, unsigned region, uint64_t now_us,
			 struct holders *h)
{
	const struct cs_backend *b;
	uint64_t w;
	unsigned i;

	*h = (struct holders){.server = {NULL}};
	if (!ask->sticky || ask->object == 0)
		return;
	TAILQ_FOREACH(b, &svc->backends, entry) {
		if (b->region != region || !backend_in_service(s, b, now_us) ||
		    limits_is_cold(b, now_us))
			continue;
		w = object_weight(ask->object, b);
		for (i = RANKS; i > 0 && (h->server[i - 1] == NULL || w > h->weight[i - 1]); i--) {
			if (i < RANKS) {
				h->server[i] = h->server[i - 1];
				h->weight[i] = h->weight[i - 1];
			}
			h->server[i - 1] = b;
			h->weight[i - 1] = w;
		}
	}
}

/* Rank of a server for the object; RANKS if it is none of the first. */
static unsigned rank_of(const struct holders *h, const struct cs_backend *b)
{
	unsigned i;

	for (i = 0; i < RANKS; i++)
		if (h->server[i] == b)
			break;
	return i;
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

/* Expected time of an answer, in times of work without the object. */
static double cost_of(struct cs_steer *s, const struct cs_backend *b, unsigned rank, unsigned busy,
		      uint64_t now_us)
{
	double pace = pace_of(b, now_us) * (b->slow > 1 ? b->slow : 1);
	double cost = pace * (rank < RANKS ? rank_work[rank] : 1);
	unsigned slots = backend_slots(b);

	if (busy >= slots)
		cost += pace * WARM_FACTOR * (busy - slots + 1) / slots;
	cost += FILL_WEIGHT * busy / slots;
	cost += ERROR_WEIGHT * b->errors;
	return cost * (1 + SPREAD * cs_rng_unit(&s->rng));
}

bool place_has_room(const struct cs_backend *b, bool holder, uint64_t now_us)
{
	unsigned slots = backend_slots(b);

	double use_max = holder ? WARM_USE_MAX : SPILL_USE_MAX;

	return place_busy(b, now_us) + 1 <= use_max * slots;
}

struct cs_backend *place_in(struct cs_steer *s, struct cs_steer_service *svc,
			    const struct cs_steer_ask *ask, unsigned region, uint64_t now_us)
{
	struct cs_backend *b, *best = NULL;
	double cost, least = 0;
	struct holders h;
	unsigned rank;

	holders_find(s, svc, ask, region, now_us, &h);
	TAILQ_FOREACH(b, &svc->backends, entry) {
		if (b->region != region || !backend_usable(s, b, now_us) || was_tried(ask, b))
			continue;
		rank = rank_of(&h, b);
		if (!place_has_room(b, rank == 0, now_us))
			continue;
		if (limits_is_cold(b, now_us) && !limits_cold(s, b, now_us))
			continue;
		cost = cost_of(s, b, rank, place_busy(b, now_us), now_us);
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
