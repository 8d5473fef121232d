/*
 * Plans the shares of a service's requests by region. Demand moves between regions in waves, some
 * regions have far fewer servers than clients, and an abrupt change of shares causes cache misses.
 * Every instance computes the same plan from the sums over all instances: a region keeps the load
 * that fits into LOCAL_UTILIZATION of its own slots, the rest goes to regions with free capacity,
 * and shares change at a bounded rate.
 */
#include <math.h>
#include <string.h>

#include "steer/steer-int.h"

/* A region sends requests to other regions only above this utilization of its own slots. */
#define LOCAL_UTILIZATION 0.5
/* Utilization that is assumed until demand was measured. */
#define INITIAL_UTILIZATION 0.9
/* Fraction of max_shift that planned changes use. */
#define SHIFT_FRACTION 0.5
/* Fraction of the requests that may be sent outside their chosen region. */
#define SPILL_FRACTION 0.02
#define SPILL_TOKENS_MAX 8.0 /* upper limit of spill_tokens, in requests */
/* Window to which max_shift applies. */
#define SHIFT_WINDOW_S 2.0
/* After a change of capacity, shares change faster by this factor, for this time. */
#define CAPACITY_CHANGE_FACTOR 8.0
#define CAPACITY_CHANGE_US (3 * CS_US_PER_S)
/* Shares are set at once for this time after a service's first request. */
#define UNBOUNDED_SHIFT_US (500 * CS_US_PER_MS)
/* If the sum of the shares of the allowed regions is lower, the shares are not used. */
#define SHARE_SUM_MIN 0.01
/* Requests that a region may be behind or ahead of its share. */
#define DEFICIT_MAX 3.0
/* Time constant of the smoothed arrival rate. */
#define RATE_TIME_CONSTANT_US (1.0 * CS_US_PER_S)

/* Demand of each region in busy slots, from reports and this instance's own arrivals. */
static double demand_sum(const struct cs_steer *s, const struct cs_steer_service *svc,
			 double demand[])
{
	double sum = 0;
	unsigned i;

	memcpy(demand, svc->demand, sizeof(svc->demand));
	demand[s->region] += svc->rate * svc->service_time_us / CS_US_PER_S;
	for (i = 0; i < s->n_regions; i++)
		sum += demand[i];
	return sum;
}

/* Assumed demand before any traffic: clients are distributed like the instances. */
static double demand_initial(const struct cs_steer *s, double capacity, double demand[])
{
	const struct member *m;
	unsigned n = 1;

	memset(demand, 0, CS_REGIONS_MAX * sizeof(*demand));
	demand[s->region] = 1;
	TAILQ_FOREACH(m, &s->members, entry) {
		demand[m->region]++;
		n++;
	}
	for (unsigned i = 0; i < s->n_regions; i++)
		demand[i] *= INITIAL_UTILIZATION * capacity / n;
	return INITIAL_UTILIZATION * capacity;
}

/*
 * Computes the target shares of a region's requests. They level the utilization of all regions, but
 * a region keeps the load that fits into LOCAL_UTILIZATION of its own slots.
 */
static void plan_target(const struct cs_steer *s, const struct cs_steer_service *svc,
			const double demand[], double sum, double capacity, unsigned region,
			double target[])
{
	double level = sum / capacity, excess, headroom, total_headroom = 0;
	double own_demand = demand[region];
	unsigned i;

	memset(target, 0, CS_REGIONS_MAX * sizeof(*target));
	target[region] = 1;
	if (level < LOCAL_UTILIZATION)
		level = LOCAL_UTILIZATION;
	excess = own_demand - level * svc->capacity[region];
	if (excess <= 0 || own_demand <= 0)
		return;
	for (i = 0; i < s->n_regions; i++) {
		headroom = level * svc->capacity[i] - demand[i];
		if (i != region && headroom > 0)
			total_headroom += headroom;
	}
	if (total_headroom <= 0)
		return;
	target[region] = 1 - excess / own_demand;
	for (i = 0; i < s->n_regions; i++) {
		headroom = level * svc->capacity[i] - demand[i];
		if (i != region && headroom > 0)
			target[i] = excess / own_demand * headroom / total_headroom;
	}
}

/* Fraction of requests that changes region between the current and the target shares. */
static double share_distance(const struct cs_steer *s, const double share[], const double target[])
{
	double d = 0;
	unsigned i;

	for (i = 0; i < s->n_regions; i++)
		d += fabs(target[i] - share[i]);
	return d / 2;
}

/* Moves the shares of a region's requests towards the target shares. */
static void share_step(const struct cs_steer *s, double share[], const double target[],
		       double max_step)
{
	double d = share_distance(s, share, target), fraction;
	unsigned i;

	if (d <= 0)
		return;
	fraction = d <= max_step ? 1 : max_step / d;
	for (i = 0; i < s->n_regions; i++)
		share[i] += (target[i] - share[i]) * fraction;
}

/*
 * Follows the shares of all regions, which change as slowly as those of this one, and the flows
 * between regions that result from them and from home regions. The limits of servers are split by
 * the flows.
 */
static void flows_update(struct cs_steer *s, struct cs_steer_service *svc, const double demand[],
			 double sum, double capacity, double max_step)
{
	double target[CS_REGIONS_MAX], home[CS_REGIONS_MAX], free_demand;
	bool first = !svc->has_flows;
	unsigned from, to;

	svc->has_flows = !TAILQ_EMPTY(&s->limited);
	if (!svc->has_flows)
		return;
	for (from = 0; from < s->n_regions; from++) {
		plan_target(s, svc, demand, sum, capacity, from, target);
		if (from == s->region)
			memcpy(svc->shares[from], svc->region_split.share, sizeof(target));
		else
			share_step(s, svc->shares[from], target, first ? 1 : max_step);
		free_demand = demand[from];
		for (to = 0; to < s->n_regions; to++) {
			home[to] = home_flow(s, svc, from, to);
			free_demand -= home[to];
		}
		for (to = 0; to < s->n_regions; to++)
			svc->flows[from][to] =
				home[to] + fmax(free_demand, 0) * svc->shares[from][to];
	}
}

/* Adds a service's shares in a report to a sum. */
static void add_shares(const struct cs_steer_report *report, uint32_t service, double sum[],
		       double *total)
{
	const struct cs_report_service *r;
	unsigned i, k;

	for (i = 0; i < report->n_services; i++) {
		r = &report->services[i];
		for (k = 0; r->service == service && k < r->n_shares; k++) {
			sum[k] += r->shares[k];
			*total += r->shares[k];
		}
	}
}

/*
 * Adopts the shares that other instances of the region use, so that a restart does not change them.
 */
static bool split_adopt(const struct cs_steer *s, struct cs_steer_service *svc, uint64_t now_us)
{
	double sum[CS_REGIONS_MAX] = {0}, total = 0;
	const struct member *m;
	unsigned k;

	TAILQ_FOREACH(m, &s->members, entry)
		if (m->region == s->region && m->report != NULL && member_is_alive(s, m, now_us))
			add_shares(m->report, svc->name_hash, sum, &total);
	for (k = 0; k < s->n_zones; k++)
		if (s->zone_region[k] == s->region && digest_is_recent(s, k, now_us))
			add_shares(&s->digests[k]->report, svc->name_hash, sum, &total);
	if (total < 0.5)
		return false;
	for (k = 0; k < s->n_regions; k++)
		svc->region_split.share[k] = sum[k] / total;
	return true;
}

static double capacity_sum(const struct cs_steer *s, const struct cs_steer_service *svc)
{
	double sum = 0;
	unsigned i;

	for (i = 0; i < s->n_regions; i++)
		sum += svc->capacity[i];
	return sum;
}

/*
 * Sets the first shares, before demand was measured: those of other instances of the region, or
 * else those for the assumed demand.
 */
static void split_init(const struct cs_steer *s, struct cs_steer_service *svc, uint64_t now_us)
{
	double demand[CS_REGIONS_MAX], capacity = capacity_sum(s, svc), sum;
	struct region_split *split = &svc->region_split;

	if (capacity <= 0 || split_adopt(s, svc, now_us))
		return;
	sum = demand_initial(s, capacity, demand);
	plan_target(s, svc, demand, sum, capacity, s->region, split->target);
	memcpy(split->share, split->target, sizeof(split->share));
}

static void rate_update(struct cs_steer_service *svc, uint64_t elapsed_us)
{
	double rate = svc->arrivals * (double)CS_US_PER_S / (double)elapsed_us;
	double weight = 1 - exp(-(double)elapsed_us / RATE_TIME_CONSTANT_US);

	svc->region_split.spill_tokens = fmin(
		svc->region_split.spill_tokens + SPILL_FRACTION * svc->arrivals, SPILL_TOKENS_MAX);
	svc->arrivals = 0;
	steer_update_average(&svc->rate, rate, weight);
	home_flow_update_rate(svc, elapsed_us, weight);
}

void regions_plan(struct cs_steer *s, struct cs_steer_service *svc, uint64_t elapsed_us,
		  uint64_t now_us)
{
	double demand[CS_REGIONS_MAX], capacity = capacity_sum(s, svc), sum, max_step;
	struct region_split *split = &svc->region_split;

	rate_update(svc, elapsed_us);
	if (split->first_request_us == 0 || capacity <= 0)
		return;
	if (now_us - split->first_request_us < UNBOUNDED_SHIFT_US) {
		split_init(s, svc, now_us);
		return;
	}
	sum = demand_sum(s, svc, demand);
	plan_target(s, svc, demand, sum, capacity, s->region, split->target);
	max_step = SHIFT_FRACTION * s->opts.bounds.max_shift / SHIFT_WINDOW_S * (double)elapsed_us /
		   CS_US_PER_S;
	if (now_us - svc->capacity_changed_us < CAPACITY_CHANGE_US)
		max_step *= CAPACITY_CHANGE_FACTOR;
	share_step(s, split->share, split->target, max_step);
	flows_update(s, svc, demand, sum, capacity, max_step);
}

/* Copies the shares of the regions of the mask that have servers; returns their sum. */
static double shares_within(const struct cs_steer *s, const struct cs_steer_service *svc,
			    uint64_t mask, double out[])
{
	double total = 0, sum = 0;
	unsigned i;

	for (i = 0; i < s->n_regions; i++) {
		out[i] = (mask >> i & 1) && svc->capacity[i] > 0 ? svc->region_split.share[i] : 0;
		total += out[i];
	}
	/* No region of the mask has a share, as right after servers were added: use the capacity. */
	for (i = 0; i < s->n_regions && total < SHARE_SUM_MIN; i++)
		out[i] = (mask >> i & 1) ? svc->capacity[i] : 0;
	for (i = 0; i < s->n_regions; i++)
		sum += out[i];
	return sum;
}

/* Region whose interval of the shares contains the object's hash. */
static unsigned choose_by_object(const struct cs_steer *s, const double share[], double sum,
				 uint64_t object)
{
	double point = (double)(object >> 11) * 0x1.0p-53 * sum;
	unsigned i, k, last = s->region;

	/* This instance's region comes first, so that objects return to it when its share grows. */
	for (k = 0; k < s->n_regions; k++) {
		i = (s->region + k) % s->n_regions;
		if (share[i] <= 0)
			continue;
		last = i;
		if (point < share[i])
			break;
		point -= share[i];
	}
	return last;
}

/* Region that is furthest behind its share. */
static unsigned choose_by_deficit(const struct cs_steer *s, struct region_split *split,
				  const double share[], double sum)
{
	unsigned i, best = s->region;
	bool found = false;

	for (i = 0; i < s->n_regions; i++) {
		if (share[i] <= 0)
			continue;
		split->deficit[i] += share[i] / sum;
		if (!found || split->deficit[i] > split->deficit[best])
			best = i;
		found = true;
	}
	split->deficit[best] -= 1;
	/* A region that had no servers must not get extra requests for the time without servers. */
	for (i = 0; i < s->n_regions; i++)
		split->deficit[i] = fmin(fmax(split->deficit[i], -DEFICIT_MAX), DEFICIT_MAX);
	return best;
}

/*
 * Used when no region of the mask has a server: this instance's region if it is allowed, or else
 * the first one that is.
 */
static unsigned first_allowed(const struct cs_steer *s, uint64_t mask)
{
	unsigned i;

	if (mask >> s->region & 1)
		return s->region;
	for (i = 0; i < s->n_regions; i++)
		if (mask >> i & 1)
			return i;
	return s->region;
}

unsigned regions_choose(struct cs_steer *s, struct cs_steer_service *svc, uint64_t mask,
			uint64_t object, uint64_t now_us)
{
	double share[CS_REGIONS_MAX], sum;
	struct region_split *split = &svc->region_split;

	if (split->first_request_us == 0) {
		split->first_request_us = now_us;
		split_init(s, svc, now_us);
	}
	sum = shares_within(s, svc, mask, share);
	if (sum <= 0)
		return first_allowed(s, mask);
	if (object != 0)
		return choose_by_object(s, share, sum, object);
	return choose_by_deficit(s, split, share, sum);
}

bool regions_take_spill(struct cs_steer_service *svc)
{
	if (svc->region_split.spill_tokens < 1)
		return false;
	svc->region_split.spill_tokens -= 1;
	return true;
}
