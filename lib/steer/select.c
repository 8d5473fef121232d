/*
 * Choice of a server within a region: of the servers below their utilization limit, the one with
 * the lowest expected response time. All instances send to all servers, servers slow down for
 * fractions of a second because of other load on their machines, and a server responds faster for
 * objects that it handled recently.
 */
#include <math.h>

#include "steer/steer-int.h"

/*
 * Servers of the region that are ranked for an object. A server caches a limited number of
 * objects: with more copies of each, every server would evict objects before they are requested
 * again. So the first in rank gets nearly all requests for the object, and the next ones, always
 * the same, get the overflow.
 */
#define RANKS 3
/* Expected service time by rank, relative to the first; the last value is for all others. */
static const double rank_time_factor[RANKS + 1] = {1, 2, 2.7, 3.3};
/*
 * With fewer objects per server than this, the servers can cache two copies of each object. The
 * second server in rank then takes the overflow of the first, and its expected service time is
 * SECOND_COPY_TIME_FACTOR times that of the first.
 */
#define TWO_COPIES_OBJECTS_PER_SERVER 6.0
#define SECOND_COPY_TIME_FACTOR 1.7
/*
 * Highest utilization of all servers but the first in rank and, if two copies fit, the second: they
 * rarely cache the object, so its requests occupy their slots for long.
 */
#define UNRANKED_UTILIZATION_MAX 0.4
/* Time constant with which a reported slowdown decays to the mean. */
#define SLOWDOWN_DECAY_US (500.0 * CS_US_PER_MS)
/* Mean slowdown over time and servers, used where none was reported recently. */
#define SLOWDOWN_MEAN 1.2
/* Up to this age, a reported load that exceeds the known requests in flight replaces them. */
#define REPORTED_LOAD_MAX_AGE_US (100 * CS_US_PER_MS)
/* Cost of full utilization, in service times: a burst queues sooner at a nearly full server. */
#define UTILIZATION_WEIGHT 0.3
/* Cost of the error rate, in service times. */
#define ERROR_WEIGHT 6.0
/* Jitter that keeps instances with the same figures from choosing the same server. */
#define COST_JITTER 0.05

/* The servers of one region with the highest rendezvous weights for an object. */
struct object_ranking {
	const struct cs_backend *server[RANKS];
	uint64_t weight[RANKS];
	unsigned servers; /* number of servers of the region */
};

unsigned backend_busy_slots(const struct cs_backend *b, uint64_t now_us)
{
	unsigned busy = b->in_flight + b->peers_in_flight, reported;

	if (b->load_us > 0 && now_us - b->load_us < REPORTED_LOAD_MAX_AGE_US) {
		reported = b->load.running + b->load.waiting;
		if (reported > busy)
			busy = reported;
	}
	return busy;
}

static uint64_t object_weight(uint64_t object, const struct cs_backend *b)
{
	uint64_t pair[2] = {object, b->id_hash};

	return cs_hash(pair, sizeof(pair), 0);
}

/* Ranks the servers for the request's object by rendezvous hashing. */
static void rank_servers(const struct cs_steer *s, const struct cs_steer_service *svc,
			 const struct cs_steer_request *req, unsigned region, uint64_t now_us,
			 struct object_ranking *ranking)
{
	const struct cs_backend *b;
	uint64_t w;
	unsigned i;

	*ranking = (struct object_ranking){.server = {NULL}};
	if (!req->sticky || req->object == 0)
		return;
	TAILQ_FOREACH(b, &svc->backends, entry) {
		if (b->region != region || !backend_in_service(s, b, now_us) ||
		    limits_is_cold(b, now_us) || now_us < b->retry_after_us)
			continue;
		ranking->servers++;
		w = object_weight(req->object, b);
		for (i = RANKS;
		     i > 0 && (ranking->server[i - 1] == NULL || w > ranking->weight[i - 1]); i--) {
			if (i < RANKS) {
				ranking->server[i] = ranking->server[i - 1];
				ranking->weight[i] = ranking->weight[i - 1];
			}
			ranking->server[i - 1] = b;
			ranking->weight[i - 1] = w;
		}
	}
}

/* Rank of a server for the object; RANKS if it is not ranked. */
static unsigned rank_of(const struct object_ranking *ranking, const struct cs_backend *b)
{
	unsigned i;

	for (i = 0; i < RANKS; i++)
		if (ranking->server[i] == b)
			break;
	return i;
}

/* Expected slowdown now: the reported one, decaying to the mean. */
static double expected_slowdown(const struct cs_backend *b, uint64_t now_us)
{
	double reported = b->load.slowdown_pct / 100.0;

	if (b->load_us == 0 || b->load.slowdown_pct == 0)
		return SLOWDOWN_MEAN;
	return SLOWDOWN_MEAN +
	       (reported - SLOWDOWN_MEAN) * exp(-(double)(now_us - b->load_us) / SLOWDOWN_DECAY_US);
}

static bool was_tried(const struct cs_steer_request *req, const struct cs_backend *b)
{
	unsigned i;

	for (i = 0; i < req->n_tried && i < CS_STEER_TRIED_MAX; i++)
		if (req->tried[i] == b->id_hash)
			return true;
	return false;
}

/* True if there are so few objects per server that two servers can cache each. */
static bool fits_two_copies(const struct cs_steer_service *svc,
			    const struct object_ranking *ranking)
{
	return objects_estimate(&svc->objects) < TWO_COPIES_OBJECTS_PER_SERVER * ranking->servers;
}

/* Cost of a server: its expected response time, in us. */
static double response_cost(struct cs_steer *s, const struct cs_backend *b, double service_time,
			    double factor, uint64_t now_us)
{
	double slowdown =
		expected_slowdown(b, now_us) * (b->latency_ratio > 1 ? b->latency_ratio : 1);
	double cost = slowdown * service_time * factor;
	unsigned slots = backend_slots(b), busy = backend_busy_slots(b, now_us);

	if (busy >= slots)
		cost += slowdown * b->service->service_time_us * (busy - slots + 1) / slots;
	cost += UTILIZATION_WEIGHT * service_time * busy / slots;
	cost += ERROR_WEIGHT * service_time * b->error_rate;
	return cost * (1 + COST_JITTER * cs_rng_unit(&s->rng));
}

bool backend_below_utilization(const struct cs_backend *b, double max_utilization, uint64_t now_us)
{
	return backend_busy_slots(b, now_us) + 1 <= max_utilization * backend_slots(b);
}

/*
 * Expected relative service time and utilization limit of a server for one object; both depend on
 * the position of the server in the ranking of servers for that object.
 */
struct rank_policy {
	double factor; /* service time relative to a server that caches the object */
	double max_utilization; /* of its slots */
};

static struct rank_policy rank_policy_of(const struct object_ranking *ranking,
					 const struct cs_backend *b, bool two_copies)
{
	unsigned rank = rank_of(ranking, b);

	if (ranking->server[0] == NULL)
		return (struct rank_policy){1, 1};
	if (rank == 0)
		return (struct rank_policy){1, UTILIZATION_MAX};
	if (rank == 1 && two_copies)
		return (struct rank_policy){SECOND_COPY_TIME_FACTOR, UTILIZATION_MAX};
	/* A limited server has slots to spare: what it takes is bounded by its limit. */
	if (cs_backend_is_limited(b))
		return (struct rank_policy){rank_time_factor[rank], 1};
	return (struct rank_policy){rank_time_factor[rank], UNRANKED_UTILIZATION_MAX};
}

struct cs_backend *select_server(struct cs_steer *s, struct cs_steer_service *svc,
				 const struct cs_steer_request *req, unsigned region,
				 uint64_t now_us)
{
	struct cs_backend *b, *best = NULL;
	struct rank_policy policy;
	double service_time = steer_service_time(s, req), cost, best_cost = 0;
	struct object_ranking ranking;
	bool two_copies;

	rank_servers(s, svc, req, region, now_us, &ranking);
	two_copies = fits_two_copies(svc, &ranking);
	TAILQ_FOREACH(b, &svc->backends, entry) {
		if (b->region != region || !backend_usable(s, b, now_us) || was_tried(req, b) ||
		    verify_is_late(s, b, now_us))
			continue;
		policy = rank_policy_of(&ranking, b, two_copies);
		if (!backend_below_utilization(b, policy.max_utilization, now_us))
			continue;
		if (limits_is_cold(b, now_us) && !limits_allow_cold(s, b, now_us))
			continue;
		if (!server_limit_allows(s, b, now_us))
			continue;
		cost = response_cost(s, b, service_time, policy.factor, now_us);
		if (best == NULL || cost < best_cost) {
			best = b;
			best_cost = cost;
		}
	}
	return best;
}

bool select_has_candidate(struct cs_steer *s, struct cs_steer_service *svc,
			  const struct cs_steer_request *req, uint64_t until_us, uint64_t now_us)
{
	struct cs_backend *b;

	TAILQ_FOREACH(b, &svc->backends, entry)
		if ((req->home_mask >> b->region & 1) && backend_in_service(s, b, now_us) &&
		    !limits_is_cold(b, now_us) && !was_tried(req, b) &&
		    b->retry_after_us <= until_us &&
		    server_limit_allows_until(s, b, until_us, now_us))
			return true;
	return false;
}

uint64_t select_retry_time(const struct cs_steer *s, const struct cs_steer_service *svc,
			   const struct cs_steer_request *req, uint64_t now_us)
{
	uint64_t earliest = UINT64_MAX;
	const struct cs_backend *b;

	TAILQ_FOREACH(b, &svc->backends, entry) {
		if (!(req->home_mask >> b->region & 1) || !backend_in_service(s, b, now_us) ||
		    limits_is_cold(b, now_us))
			continue;
		if (b->retry_after_us <= now_us)
			return now_us;
		if (b->retry_after_us < earliest)
			earliest = b->retry_after_us;
	}
	return earliest < UINT64_MAX ? earliest : now_us;
}

void select_reserve(struct cs_steer *s, struct cs_steer_request *req, struct cs_backend *b,
		    uint64_t now_us)
{
	b->in_flight++;
	if (limits_is_cold(b, now_us))
		limits_count_cold(b, now_us);
	server_limit_count(b);
	if (req->n_sent > 0)
		window_add(&b->service->repeats, now_us);
	else if (req->workspace != 0)
		cs_fair_sent(b->service->fair, req->workspace, now_us);
	req->n_sent++;
	if (req->n_tried < CS_STEER_TRIED_MAX)
		req->tried[req->n_tried] = b->id_hash;
	req->n_tried++;
}
