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
/* Expected time of work by rank, relative to the first; the last is for all others. */
static const double rank_work[RANKS + 1] = {1, 2, 2.7, 3.3};
/*
 * With fewer objects a server than this, two servers can hold each object, and the second in rank
 * takes what does not fit at the first.
 */
#define FEW_OBJECTS 6.0
#define SECOND_OF_FEW 1.7
/* Any other server only up to this use: work without the object takes its slots for long. */
#define SPILL_USE_MAX 0.4
/* A stated pace loses its meaning with this time constant. */
#define PACE_MEMORY_US (500.0 * CS_US_PER_MS)
/* Mean pace over time and servers, taken where none was stated lately. */
#define PACE_MEAN 1.2
/* A stated load counts beside the known requests in flight while it is this young. */
#define LOAD_FRESH_US (100 * CS_US_PER_MS)
/* Weight of used slots: a nearly full server serves a burst worse than an idle one. */
#define FILL_WEIGHT 0.3
/* Expected loss by a server's failed requests, in times of work. */
#define ERROR_WEIGHT 6.0
/* Spread that keeps instances with the same figures from choosing the same server. */
#define SPREAD 0.05

/* The servers of one region that have an object: those with the highest weights. */
struct holders {
	const struct cs_backend *server[RANKS];
	uint64_t weight[RANKS];
	unsigned servers; /* of the region in all */
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
		h->servers++;
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

/* True if servers remember so many more objects than they are asked for that two can hold each. */
static bool two_hold(const struct cs_steer_service *svc, const struct holders *h)
{
	return objects_count(&svc->objects) < FEW_OBJECTS * h->servers;
}

/* Expected time of an answer, in us. */
static double cost_of(struct cs_steer *s, const struct cs_backend *b, double work, double factor,
		      uint64_t now_us)
{
	double pace = pace_of(b, now_us) * (b->slow > 1 ? b->slow : 1);
	double cost = pace * work * factor;
	unsigned slots = backend_slots(b), busy = place_busy(b, now_us);

	if (busy >= slots)
		cost += pace * b->service->work_us * (busy - slots + 1) / slots;
	cost += FILL_WEIGHT * work * busy / slots;
	cost += ERROR_WEIGHT * work * b->errors;
	return cost * (1 + SPREAD * cs_rng_unit(&s->rng));
}

bool place_has_room(const struct cs_backend *b, double use_max, uint64_t now_us)
{
	return place_busy(b, now_us) + 1 <= use_max * backend_slots(b);
}

/* What a server's rank for the request's object means. */
struct standing {
	double factor; /* time of work, relative to a server that has the object */
	double use_max; /* of its slots */
};

static struct standing standing_of(const struct holders *h, const struct cs_backend *b, bool two)
{
	unsigned rank = rank_of(h, b);

	if (h->server[0] == NULL)
		return (struct standing){1, 1};
	if (rank == 0)
		return (struct standing){1, PLACE_USE_MAX};
	if (rank == 1 && two)
		return (struct standing){SECOND_OF_FEW, PLACE_USE_MAX};
	return (struct standing){rank_work[rank], SPILL_USE_MAX};
}

struct cs_backend *place_in(struct cs_steer *s, struct cs_steer_service *svc,
			    const struct cs_steer_ask *ask, unsigned region, uint64_t now_us)
{
	struct cs_backend *b, *best = NULL;
	struct standing st;
	double work = steer_work(s, ask), cost, least = 0;
	struct holders h;
	bool two;

	holders_find(s, svc, ask, region, now_us, &h);
	two = two_hold(svc, &h);
	TAILQ_FOREACH(b, &svc->backends, entry) {
		if (b->region != region || !backend_usable(s, b, now_us) || was_tried(ask, b))
			continue;
		st = standing_of(&h, b, two);
		if (!place_has_room(b, st.use_max, now_us))
			continue;
		if (limits_is_cold(b, now_us) && !limits_cold(s, b, now_us))
			continue;
		cost = cost_of(s, b, work, st.factor, now_us);
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
