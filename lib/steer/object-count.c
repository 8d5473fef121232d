/*
 * Estimates the number of distinct objects among a service's requests by linear counting: each hash
 * sets one bit of a bitmap that is cleared at the start of each period.
 */
#include <math.h>
#include <string.h>

#include "steer/steer-int.h"

/* Length of a counting period. */
#define PERIOD_US (8 * CS_US_PER_S)

void objects_add(struct object_counter *o, uint64_t hash, uint64_t now_us)
{
	unsigned bit = (unsigned)(hash >> 20) % OBJECT_BITS;

	if (now_us - o->period_start_us > PERIOD_US) {
		o->last_estimate = o->period_start_us > 0 ? objects_current(o) : 0;
		memset(o->bits, 0, sizeof(o->bits));
		o->clear_bits = OBJECT_BITS;
		o->period_start_us = now_us;
	}
	if ((o->bits[bit / 8] >> bit % 8 & 1) == 0)
		o->clear_bits--;
	o->bits[bit / 8] |= (uint8_t)(1U << bit % 8);
}

double objects_current(const struct object_counter *o)
{
	unsigned clear_bits = o->clear_bits > 0 ? o->clear_bits : 1;

	return -(double)OBJECT_BITS * log((double)clear_bits / OBJECT_BITS);
}

double objects_estimate(const struct object_counter *o)
{
	double now = objects_current(o);

	if (o->last_estimate <= 0)
		return HUGE_VAL;
	return now > o->last_estimate ? now : o->last_estimate;
}
