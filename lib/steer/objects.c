/*
 * Number of different objects that a service is asked for, by linear counting: a bit for each hash
 * in a bitmap that is started anew for each period.
 */
#include <math.h>
#include <string.h>

#include "steer/steer-int.h"

/* Objects are counted over this time; the last whole period counts. */
#define PERIOD_US (8 * CS_US_PER_S)

void objects_add(struct objects *o, uint64_t hash, uint64_t now_us)
{
	unsigned bit = (unsigned)(hash >> 20) % OBJECT_BITS;

	if (now_us - o->started_us > PERIOD_US) {
		o->last = o->started_us > 0 ? objects_now(o) : 0;
		memset(o->bits, 0, sizeof(o->bits));
		o->zeros = OBJECT_BITS;
		o->started_us = now_us;
	}
	if ((o->bits[bit / 8] >> bit % 8 & 1) == 0)
		o->zeros--;
	o->bits[bit / 8] |= (uint8_t)(1U << bit % 8);
}

double objects_now(const struct objects *o)
{
	unsigned zeros = o->zeros > 0 ? o->zeros : 1;

	return -(double)OBJECT_BITS * log((double)zeros / OBJECT_BITS);
}

double objects_count(const struct objects *o)
{
	double now = objects_now(o);

	if (o->last <= 0)
		return HUGE_VAL;
	return now > o->last ? now : o->last;
}
