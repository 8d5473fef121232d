/* Selects the requests of the own zone that a drain moves; each instance enforces cap_pct_s. */
#include "policy/internal.h"

/*
 * Updates p->remaining towards cs_shift_remaining. A change of the configuration or a step of the
 * wall clock can change that by more than the cap; p->remaining then approaches it by one step per
 * second.
 */
static void remaining_update(struct cs_policy *p, uint64_t now_us)
{
	double scheduled = cs_shift_remaining(p->cfg, (unsigned)p->zone, policy_wall_ms(p, now_us));
	double step = p->cfg->shift.cap_pct_s / 100, limit;
	uint64_t elapsed_s;

	/*
	 * While p->remaining equals the schedule, remaining_changed_us follows the clock. Otherwise
	 * the next difference would be followed at once by the steps of the whole time since the
	 * last change.
	 */
	if (scheduled == p->remaining || p->remaining_changed_us == 0 || step <= 0 ||
	    cs_fault_enabled("caps")) {
		p->remaining = scheduled;
		p->remaining_changed_us = now_us;
		p->remaining_limited = false;
		return;
	}
	/* Scheduled steps are taken immediately, so that all instances step together. */
	if (!p->remaining_limited && scheduled < p->remaining &&
	    p->remaining - scheduled <= step + 1e-9) {
		p->remaining = scheduled;
		p->remaining_changed_us = now_us;
		return;
	}
	p->remaining_limited = true;
	elapsed_s = (now_us - p->remaining_changed_us) / CS_US_PER_S;
	if (elapsed_s == 0)
		return;
	limit = step * (double)elapsed_s;
	p->remaining_changed_us = now_us;
	if (scheduled < p->remaining - limit)
		p->remaining -= limit;
	else if (scheduled > p->remaining + limit)
		p->remaining += limit;
	else
		p->remaining = scheduled;
}

bool drain_moves_request(struct cs_policy *p, uint64_t hash, uint64_t now_us)
{
	double u;

	if (p->zone < 0)
		return false;
	remaining_update(p, now_us);
	if (p->remaining >= 1)
		return false;
	u = (double)(cs_hash(&hash, sizeof(hash), DRAIN_HASH_SEED) >> 11) * 0x1.0p-53;
	return u >= p->remaining;
}
