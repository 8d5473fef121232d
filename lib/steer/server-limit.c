/*
 * Rates that servers limit themselves to: requests per second that a server takes from all
 * instances together, for as long as its responses name the limit.
 *
 * The limit is split among the regions, in proportion to the requests that each is planned to send
 * to the server's region, and then among few instances of the region, the senders: those with the
 * highest rendezvous weights, in proportion to the region's part. Each sends at an equal part of
 * that and saves up little. So the sum stays within the limit in any fleet: what all senders can
 * send at once is bounded by the limit too, which would not hold if each of many instances had an
 * allowance of one request. With fewer senders, more instances would have requests and no server
 * that takes them. All instances compute the senders alike from the list of instances and the
 * demand of the regions, and learn the limit from each other's reports.
 */
#include <math.h>
#include <string.h>

#include "steer/steer-int.h"

/* Relative change of a limit that is reported to the caller. */
#define LIMIT_CHANGE_MIN 0.1
/* A change of a limit is in this many messages of a kind, as some are lost. */
#define CHANGE_REPEATS 3
/* Interval at which an unchanged limit that responses confirm is sent again. */
#define REFRESH_US (3 * CS_US_PER_S)
/*
 * How long the end of a limit is reported. An instance that receives a late response with the limit
 * must get newer reports of its end.
 */
#define END_REPORT_US (10 * CS_US_PER_S)
/*
 * A limit that no response confirmed to any instance ends after this time and the time of a few
 * requests, later on some instances than on others, so that they do not all send at once.
 */
#define EXPIRY_US (20 * CS_US_PER_S)
#define EXPIRY_SPREAD_US (10 * CS_US_PER_S)
#define EXPIRY_REQUESTS 4
/* The part of this instance is computed anew after this time. */
#define PART_MAX_AGE_US (1 * CS_US_PER_S)
/* An allowance grows to one request, and by what the part yields in this time. */
#define SAVED_MAX_US (500 * CS_US_PER_MS)
/*
 * A region gets no part of a limit that is lower than this, as each part has an allowance of one
 * request: with many small parts the sum of a burst would exceed the limit.
 */
#define REGION_PART_MIN_PER_S 0.5
/*
 * Senders of a limit of L requests per second: at most 1.25 L + 2. In 4 s each sends its part and
 * saves up one request and half a second, which makes 4.5 L and one for each sender; the platform
 * allows 6 L + 5. The rest is for the time in which instances take different ones for senders.
 */
#define SENDERS_PER_REQUEST 1.25
#define SENDERS_EXTRA 2.0

bool cs_backend_is_limited(const struct cs_backend *b)
{
	return b->limit_per_s > 0;
}

static bool limit_differs(double a, double b)
{
	return (a > 0) != (b > 0) || fabs(a - b) > LIMIT_CHANGE_MIN * b;
}

/* Applies a limit that was observed at observed_us, or its end; the allowance starts empty. */
static void limit_set(struct cs_steer *s, struct cs_backend *b, double per_s, uint64_t observed_us,
		      uint64_t now_us)
{
	if (b->limit_us == 0)
		TAILQ_INSERT_TAIL(&s->limited, b, limited_entry);
	if (per_s > 0 && b->limit_per_s <= 0) {
		b->limit_allowance = 0;
		b->limit_allowance_us = b->limit_since_us = now_us;
	}
	if (per_s <= 0 && b->limit_per_s > 0)
		b->limit_ended_us = now_us;
	if (fabs(per_s - b->limit_per_s) > 0)
		b->limit_part_us = 0;
	b->limit_per_s = per_s;
	b->limit_us = observed_us;
}

/* A response confirmed or changed the limit. */
static void feed_update(struct limit_feed *f, bool changed, uint64_t now_us)
{
	f->confirmed_us = now_us;
	if (changed)
		f->repeats_left = CHANGE_REPEATS;
}

bool cs_steer_server_limit(struct cs_steer *s, struct cs_backend *b, double per_s, uint64_t sent_us,
			   uint64_t now_us)
{
	bool changed;
	unsigned i;

	if (sent_us < b->process_since_us)
		return false;
	/* The server may have taken the request before it named the limit. */
	if (per_s <= 0 && (b->limit_us == 0 || sent_us < b->limit_us))
		return false;
	changed = limit_differs(per_s, b->limit_per_s);
	limit_set(s, b, per_s, now_us, now_us);
	for (i = 0; i < LIMIT_FEEDS; i++)
		feed_update(&b->limit_feeds[i], changed, now_us);
	if (!limit_differs(per_s, b->limit_logged_per_s))
		return false;
	b->limit_logged_per_s = per_s;
	return true;
}

/* Time without a confirmation after which the limit ends. */
static uint64_t expiry_us(const struct cs_steer *s, const struct cs_backend *b)
{
	uint64_t spread = limits_owner_weight(s->name_hash, b->id_hash) % EXPIRY_SPREAD_US;

	return EXPIRY_US + spread + (uint64_t)(EXPIRY_REQUESTS * CS_US_PER_S / b->limit_per_s);
}

void server_limit_reset(struct cs_steer *s, struct cs_backend *b)
{
	if (b->limit_us != 0)
		TAILQ_REMOVE(&s->limited, b, limited_entry);
	b->limit_per_s = 0;
	b->limit_us = 0;
	memset(b->limit_feeds, 0, sizeof(b->limit_feeds));
}

void server_limits_sweep(struct cs_steer *s, uint64_t now_us)
{
	struct cs_backend *b, *next;

	TAILQ_FOREACH_SAFE(b, &s->limited, limited_entry, next) {
		if (b->limit_per_s > 0 && now_us - b->limit_us >= expiry_us(s, b)) {
			server_limit_reset(s, b);
			s->n_limits_unlogged++;
		} else if (b->limit_per_s <= 0 && now_us - b->limit_ended_us >= END_REPORT_US) {
			server_limit_reset(s, b);
		}
	}
}

unsigned cs_steer_count_limited(const struct cs_steer *s)
{
	const struct cs_backend *b;
	unsigned n = 0;

	TAILQ_FOREACH(b, &s->limited, limited_entry)
		n += cs_backend_is_limited(b);
	return n;
}

double cs_steer_limit_parts(const struct cs_steer *s)
{
	const struct cs_backend *b;
	double sum = 0;

	TAILQ_FOREACH(b, &s->limited, limited_entry)
		if (cs_backend_is_limited(b))
			sum += b->limit_part_per_s;
	return sum;
}

double cs_backend_limit(const struct cs_backend *b)
{
	return b->limit_per_s;
}

#define ALL_REGIONS CS_REGIONS_MAX
/* Instances of one region, or of all, among which the senders are chosen. */
struct eligible {
	unsigned listed; /* by the store, alive or not */
	unsigned alive;
	unsigned before_self; /* of those alive, the ones with a higher rendezvous weight */
	bool self; /* this instance is one of those alive */
};

static void add_eligible(struct eligible *e, uint32_t name_hash, const struct cs_backend *b,
			 uint64_t own_weight)
{
	e->alive++;
	e->before_self += limits_owner_weight(name_hash, b->id_hash) > own_weight;
}

/* Instances that leave count only if all of the region leave, in the view of each of them. */
static struct eligible count_eligible(const struct cs_steer *s, const struct cs_backend *b,
				      unsigned region, uint64_t now_us)
{
	bool self = region == ALL_REGIONS || s->region == region;
	uint64_t own = limits_owner_weight(s->name_hash, b->id_hash);
	struct eligible staying = {.self = self && !s->leaving, .alive = self && !s->leaving};
	struct eligible leaving = {.self = self && s->leaving, .alive = self && s->leaving};
	unsigned listed = self;
	const struct member *m;

	TAILQ_FOREACH(m, &s->members, entry) {
		if (region != ALL_REGIONS && m->region != region)
			continue;
		listed += m->listed;
		if (member_is_alive(s, m, now_us))
			add_eligible(m->info.leaving ? &leaving : &staying, m->name_hash, b, own);
	}
	staying.listed = leaving.listed = listed;
	return staying.alive > 0 ? staying : leaving;
}

/* Largest flow from a region to the server's region. */
static double largest_flow(const struct cs_steer *s, const struct cs_backend *b)
{
	double largest = 0;
	unsigned i;

	for (i = 0; i < s->n_regions; i++)
		largest = fmax(largest, b->service->flows[i][b->region]);
	return largest;
}

/* Sum of the flows to the server's region that are at least min. */
static double sum_flows(const struct cs_steer *s, const struct cs_backend *b, double min)
{
	double sum = 0;
	unsigned i;

	for (i = 0; i < s->n_regions; i++)
		if (b->service->flows[i][b->region] >= min)
			sum += b->service->flows[i][b->region];
	return sum;
}

/*
 * Requests per second that the instances of this region may send to the server together. The region
 * with the largest flow has a part in any case.
 */
static double region_part(const struct cs_steer *s, const struct cs_backend *b, double largest)
{
	double own = b->service->flows[s->region][b->region];
	double min = fmin(largest, REGION_PART_MIN_PER_S / b->limit_per_s * sum_flows(s, b, 0));

	return own >= min ? b->limit_per_s * own / sum_flows(s, b, min) : 0;
}

/* Requests per second that this instance may send to the server. */
static double compute_part(const struct cs_steer *s, const struct cs_backend *b, uint64_t now_us)
{
	double part = b->limit_per_s, largest = largest_flow(s, b), most;
	unsigned region = s->region, senders;
	struct eligible e;

	/* Without a plan the server's region has the whole limit, or all if no instance is there. */
	if (largest > 0)
		part = region_part(s, b, largest);
	else if (count_eligible(s, b, b->region, now_us).alive == 0)
		region = ALL_REGIONS;
	else if (s->region != b->region)
		part = 0;
	if (part <= 0)
		return 0;
	e = count_eligible(s, b, region, now_us);
	if (!e.self)
		return 0;
	/*
	 * An instance that sees less than half of the others may be one of several that count
	 * themselves as the only senders.
	 */
	if (e.alive * 2 <= e.listed)
		return part / e.listed;
	most = part * (SENDERS_PER_REQUEST + SENDERS_EXTRA / b->limit_per_s);
	senders = most < 1 ? 1 : (unsigned)fmin(most, e.alive);
	return e.before_self < senders ? part / senders : 0;
}

/* Updates the part of this instance and its allowance. */
static void limit_update(const struct cs_steer *s, struct cs_backend *b, uint64_t now_us)
{
	double most;

	if (b->limit_part_us == 0 || b->limit_part_us < s->leaving_us ||
	    now_us - b->limit_part_us >= PART_MAX_AGE_US) {
		b->limit_part_per_s = compute_part(s, b, now_us);
		b->limit_part_us = now_us;
	}
	most = 1 + b->limit_part_per_s * SAVED_MAX_US / CS_US_PER_S;
	b->limit_allowance +=
		b->limit_part_per_s * (double)(now_us - b->limit_allowance_us) / CS_US_PER_S;
	if (b->limit_allowance > most)
		b->limit_allowance = most;
	b->limit_allowance_us = now_us;
}

bool server_limit_allows(const struct cs_steer *s, struct cs_backend *b, uint64_t now_us)
{
	if (b->limit_per_s <= 0)
		return true;
	limit_update(s, b, now_us);
	return b->limit_allowance >= 1;
}

bool server_limit_allows_until(const struct cs_steer *s, struct cs_backend *b, uint64_t until_us,
			       uint64_t now_us)
{
	if (server_limit_allows(s, b, now_us))
		return true;
	if (until_us <= now_us)
		return false;
	return b->limit_allowance +
		       b->limit_part_per_s * (double)(until_us - now_us) / CS_US_PER_S >=
	       1;
}

void server_limit_count(struct cs_backend *b)
{
	if (b->limit_per_s > 0)
		b->limit_allowance -= 1;
}

double server_limit_capacity(const struct cs_backend *b)
{
	double slots = backend_slots(b), busy;

	if (b->limit_per_s <= 0)
		return slots;
	busy = b->limit_per_s * b->service->service_time_us / CS_US_PER_S;
	return busy < slots ? busy : slots;
}

static void report_add(struct cs_steer_report *r, const struct cs_backend *b, uint64_t now_us)
{
	uint64_t age_ms = (now_us - b->limit_us) / CS_US_PER_MS;

	r->limits[r->n_limits++] = (struct cs_report_limit){
		.server = b->id_hash,
		.started = backend_started_low(b),
		.per_s = (float)b->limit_per_s,
		.age_ms = age_ms < UINT16_MAX ? (uint16_t)age_ms : UINT16_MAX,
	};
}

static bool is_due(const struct limit_feed *f, uint64_t now_us)
{
	return f->repeats_left > 0 ||
	       (f->confirmed_us > f->sent_us && now_us - f->sent_us >= REFRESH_US);
}

void server_limit_report(struct cs_steer *s, struct cs_steer_report *r, enum limit_feed_kind kind,
			 uint64_t now_us)
{
	struct cs_backend *b, *next, *first = NULL;
	struct limit_feed *f;

	r->n_limits = 0;
	TAILQ_FOREACH_SAFE(b, &s->limited, limited_entry, next) {
		f = &b->limit_feeds[kind];
		if (r->n_limits == CS_REPORT_LIMITS_MAX || b == first)
			break;
		if (!is_due(f, now_us))
			continue;
		report_add(r, b, now_us);
		f->sent_us = now_us;
		if (f->repeats_left > 0)
			f->repeats_left--;
		/* Those that did not fit into this message come first in the next one. */
		TAILQ_REMOVE(&s->limited, b, limited_entry);
		TAILQ_INSERT_TAIL(&s->limited, b, limited_entry);
		if (first == NULL)
			first = b;
	}
}

void server_limit_apply(struct cs_steer *s, const struct cs_steer_report *r, bool own_zone,
			uint64_t now_us)
{
	const struct cs_report_limit *limit;
	struct cs_backend *b;
	uint64_t observed_us;
	bool changed;
	unsigned i;

	for (i = 0; i < r->n_limits; i++) {
		limit = &r->limits[i];
		b = servers_by_id_hash(s, limit->server);
		observed_us = now_us - limit->age_ms * CS_US_PER_MS;
		if (b == NULL || limit->started != backend_started_low(b) ||
		    observed_us <= b->limit_us)
			continue;
		if (own_zone) {
			changed = limit_differs(limit->per_s, b->limit_per_s);
			feed_update(&b->limit_feeds[LIMIT_FEED_REGION], changed, now_us);
			feed_update(&b->limit_feeds[LIMIT_FEED_REMOTE], changed, now_us);
		}
		limit_set(s, b, limit->per_s, observed_us, now_us);
		if (limit_differs(limit->per_s, b->limit_logged_per_s))
			s->n_limits_unlogged++;
	}
}

struct cs_backend *cs_steer_next_reported_limit(struct cs_steer *s)
{
	struct cs_steer_service *svc;
	struct cs_backend *b;

	if (s->n_limits_unlogged == 0)
		return NULL;
	FOREACH_BACKEND(s, svc, b) {
		if (!limit_differs(b->limit_per_s, b->limit_logged_per_s))
			continue;
		b->limit_logged_per_s = b->limit_per_s;
		return b;
	}
	s->n_limits_unlogged = 0;
	return NULL;
}
