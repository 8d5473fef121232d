/* Running attempts of each target, in order of their start. */
#include <string.h>

#include "policy/internal.h"

void flight_start(struct cs_policy *p, struct cs_target *t, struct cls *c, const struct cs_ask *ask,
		  uint64_t now_us)
{
	struct flight *f;

	if (t->n_flights == t->cap_flights) {
		t->cap_flights = t->cap_flights != 0 ? 2 * t->cap_flights : 8;
		t->flights = cs_xrealloc(t->flights, t->cap_flights, sizeof(*t->flights));
	}
	f = &t->flights[t->n_flights];
	f->start_us = now_us;
	f->cls = c;
	f->pool = (uint8_t)c->pool;
	f->foreign = ask->hopped;
	f->late = false;
	f->borrowed = share_needs_loan(t, c->pool);
	t->n_flights++;
	t->in_flight[f->pool]++;
	t->svc->in_flight[f->pool]++;
	if (f->foreign)
		t->svc->foreign[f->pool]++;
	if (f->borrowed)
		t->borrowed++;
	open_refresh(p, t, now_us);
}

/* Distance of two times. */
static uint64_t apart(uint64_t a, uint64_t b)
{
	return a > b ? a - b : b - a;
}

bool flight_end(struct cs_policy *p, struct cs_target *t, struct cls *c, uint64_t latency_us,
		uint64_t now_us, struct flight *out)
{
	uint64_t start = now_us > latency_us ? now_us - latency_us : 0;
	unsigned i, best = t->n_flights;

	/* The class may be unknown after a change of the configuration; the start decides then. */
	for (i = 0; i < t->n_flights; i++) {
		const struct flight *f = &t->flights[i];

		if (best < t->n_flights) {
			const struct flight *b = &t->flights[best];

			if ((b->cls == c) != (f->cls == c)) {
				if (b->cls == c)
					continue;
			} else if (apart(f->start_us, start) >= apart(b->start_us, start)) {
				continue;
			}
		}
		best = i;
	}
	if (best == t->n_flights)
		return false;
	*out = t->flights[best];
	if (best < t->n_late)
		t->n_late--;
	t->n_flights--;
	memmove(&t->flights[best], &t->flights[best + 1],
		(t->n_flights - best) * sizeof(*t->flights));
	t->in_flight[out->pool]--;
	t->svc->in_flight[out->pool]--;
	if (out->foreign)
		t->svc->foreign[out->pool]--;
	if (out->borrowed)
		t->borrowed--;
	open_refresh(p, t, now_us);
	return true;
}
