/* The part of the own zone's requests that a drain moves, with the cap kept at each instance. */
#include "policy/internal.h"

/*
 * Follows cs_shift_stay. A change of the configuration or a step of the wall clock can make it jump
 * by more than the cap; the difference is then worked off at one step a second.
 */
static void follow(struct cs_policy *p, uint64_t now_us)
{
	double want = cs_shift_stay(p->cfg, (unsigned)p->zone, policy_wall_ms(p, now_us));
	double step = p->cfg->shift.cap_pct_s / 100, limit;
	uint64_t seconds;

	/* Time without a difference gives no credit for a larger step later. */
	if (want == p->stay || p->stay_us == 0 || step <= 0 || cs_fault("caps")) {
		p->stay = want;
		p->stay_us = now_us;
		p->lagging = false;
		return;
	}
	/* The planned steps are taken at once, so that all instances step together. */
	if (!p->lagging && want < p->stay && p->stay - want <= step + 1e-9) {
		p->stay = want;
		p->stay_us = now_us;
		return;
	}
	p->lagging = true;
	seconds = (now_us - p->stay_us) / CS_US_PER_S;
	if (seconds == 0)
		return;
	limit = step * (double)seconds;
	p->stay_us = now_us;
	if (want < p->stay - limit)
		p->stay -= limit;
	else if (want > p->stay + limit)
		p->stay += limit;
	else
		p->stay = want;
}

bool moved_by_drain(struct cs_policy *p, uint64_t hash, uint64_t now_us)
{
	double u;

	if (p->zone < 0)
		return false;
	follow(p, now_us);
	if (p->stay >= 1)
		return false;
	u = (double)(cs_hash(&hash, sizeof(hash), 0xd7a1) >> 11) * 0x1.0p-53;
	return u >= p->stay;
}
