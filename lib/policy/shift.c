/*
 * Schedule of drains, computed from the configuration and the clock alone. Without state or
 * messages all instances compute the same, and a ramp continues when load reports stop.
 */
#include <math.h>

#include "policy/internal.h"

#define STEP_MS 1000 /* cap_pct_s is per second */
#define CONFIG_PROPAGATION_MS 5000 /* a configuration may take 4 s to reach all instances */

static bool drain_covers(const struct cs_config *cfg, const struct cs_drain *d, unsigned zone)
{
	if (d->kind == CS_DRAIN_ZONE)
		return d->target == zone;
	return cfg->zones[zone].region == d->target;
}

static unsigned ramp_steps(const struct cs_config *cfg)
{
	double cap = cfg->shift.cap_pct_s;

	if (cs_fault_enabled("caps") || cap >= 100 || cap <= 0)
		return 1;
	return (unsigned)ceil(100.0 / cap - 1e-9);
}

/* Fraction that a ramp started at start_ms leaves at wall_ms. */
static double ramp_remaining(unsigned steps, int64_t start_ms, int64_t wall_ms)
{
	int64_t done;

	if (wall_ms < start_ms)
		return 1;
	done = (wall_ms - start_ms) / STEP_MS + 1;
	return done >= (int64_t)steps ? 0 : 1 - (double)done / steps;
}

static int64_t ramp_ms(const struct cs_config *cfg)
{
	return (int64_t)ramp_steps(cfg) * STEP_MS;
}

double cs_shift_remaining(const struct cs_config *cfg, unsigned zone, int64_t wall_ms)
{
	double least = 1, x;
	unsigned i;

	for (i = 0; i < cfg->n_drains; i++) {
		if (!drain_covers(cfg, &cfg->drains[i], zone))
			continue;
		x = ramp_remaining(ramp_steps(cfg), cfg->drains[i].start_ms, wall_ms);
		if (x < least)
			least = x;
	}
	return least;
}

double cs_shift_remaining_lookups(const struct cs_config *cfg, unsigned zone, int64_t wall_ms)
{
	/*
	 * The ramp of the lookups follows that of the proxies. lookup_ttl_ms is subtracted because
	 * wall_ms is the time at which the lookup response expires.
	 */
	return cs_shift_remaining(cfg, zone, wall_ms - ramp_ms(cfg) - cfg->shift.lookup_ttl_ms);
}

int64_t cs_shift_end_ms(const struct cs_config *cfg, const struct cs_drain *d)
{
	return d->start_ms + 2 * ramp_ms(cfg) + cfg->shift.lookup_ttl_ms;
}

unsigned shift_longest_timeout_ms(const struct cs_config *cfg)
{
	unsigned longest = 0, i;

	for (i = 0; i < cfg->n_classes; i++)
		if (cfg->classes[i].timeout_ms > longest)
			longest = cfg->classes[i].timeout_ms;
	return longest;
}

/* Checks that the drain can end between its start and its deadline. */
static bool fits_deadline(const struct cs_config *cfg, const struct cs_drain *d, int64_t wall_ms,
			  struct cs_msg *msg)
{
	int64_t start = d->start_ms > wall_ms ? d->start_ms : wall_ms;
	int64_t need = cs_shift_end_ms(cfg, d) - d->start_ms +
		       (int64_t)shift_longest_timeout_ms(cfg) + CONFIG_PROPAGATION_MS;
	int64_t have = d->deadline_ms - start;

	if (have >= need)
		return true;
	cs_msg_set(msg,
		   "time is short by %.1f s: two ramps at cap_pct_s %g, lookup_ttl_ms, the longest "
		   "timeout_ms and the margin need %.1f s, start to deadline is %.1f s",
		   (double)(need - have) / 1000, cfg->shift.cap_pct_s, (double)need / 1000,
		   (double)have / 1000);
	return false;
}

/* True if the given drain or one of the configuration covers the zone. */
static bool zone_is_drained(const struct cs_config *cfg, const struct cs_drain *d, unsigned zone)
{
	unsigned i;

	if (drain_covers(cfg, d, zone))
		return true;
	for (i = 0; i < cfg->n_drains; i++)
		if (drain_covers(cfg, &cfg->drains[i], zone))
			return true;
	return false;
}

/* Checks that the remaining zones, less headroom, can take the requests of all zones. */
static bool fits_capacity(const struct cs_config *cfg, const struct cs_drain *d,
			  const struct cs_view *v, unsigned service, struct cs_msg *msg)
{
	const struct cs_service *s = &cfg->services[service];
	double capacity = 0, used = 0;
	unsigned i;

	for (i = 0; i < v->n_loads; i++) {
		const struct cs_zone_load *l = &v->loads[i];
		int zone = cs_config_zone(cfg, l->zone);

		if (zone < 0 || cs_config_service(cfg, l->service) != (int)service)
			continue;
		used += l->in_flight + l->waiting;
		if (!zone_is_drained(cfg, d, (unsigned)zone))
			capacity += l->capacity;
	}
	if (used <= capacity * (1 - s->headroom_pct / 100))
		return true;
	cs_msg_set(
		msg,
		"capacity of service %s is short by %.0f slots: %.0f in the remaining zones less "
		"%g%% headroom, %.0f in use",
		s->name, ceil(used - capacity * (1 - s->headroom_pct / 100)), capacity,
		s->headroom_pct, used);
	return false;
}

bool cs_shift_feasible(const struct cs_config *cfg, const struct cs_drain *d, int64_t wall_ms,
		       const struct cs_view *v, struct cs_msg *msg)
{
	unsigned i, left = 0;

	for (i = 0; i < cfg->n_zones; i++)
		left += !zone_is_drained(cfg, d, i);
	if (left == 0) {
		cs_msg_set(msg, "zones are short by 1: the drains would leave no zone");
		return false;
	}
	if (!fits_deadline(cfg, d, wall_ms, msg))
		return false;
	for (i = 0; v != NULL && i < cfg->n_services; i++)
		if (!fits_capacity(cfg, d, v, i, msg))
			return false;
	return true;
}
