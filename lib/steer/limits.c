/* Retry budget and rate limit of cold servers. Both hold for the sum over all instances. */
#include <string.h>

#include "steer/steer-int.h"

/*
 * Fraction of retry_ratio that is used. The rest is a margin for requests and retries that fall
 * into different windows.
 */
#define RETRY_RATIO_FRACTION 0.8
/* Fraction of retry_extra that all instances together use. */
#define RETRY_EXTRA_FRACTION 0.7
/* Fraction of a cold server's rate limit that its owner sends. */
#define COLD_RATE_FRACTION 0.8
/* Fraction of it that all instances send together while each uses its own share. */
#define COLD_SPLIT_FRACTION 0.5
/* Requests that the owner may send ahead of the rate, as the time in which they are due. */
#define COLD_BURST_US (500 * CS_US_PER_MS)
/*
 * The owner of a cold server sends it nothing for this time after it became the owner or the server
 * became known to be cold, so that the last requests of the previous owner, or of all instances to
 * a warm server, are more than a second old.
 */
#define COLD_OWNER_HOLD_US (1100 * CS_US_PER_MS)
/*
 * The same in a large fleet: a distant instance that was the owner learns from digests, which are
 * further apart than reports, that this one runs again or stays.
 */
#define COLD_OWNER_HOLD_LARGE_US (2600 * CS_US_PER_MS)
/* Servers count as cold for this much longer, to allow for clock differences and late messages. */
#define COLD_END_MARGIN_US (200 * CS_US_PER_MS)

/* Clears the steps that passed since the last use. */
static void window_advance(struct counter_window *w, uint64_t now_us)
{
	uint64_t step = now_us / CS_US_PER_S, i;

	if (step - w->step >= WINDOW_STEPS_MAX)
		memset(w->count, 0, sizeof(w->count));
	else
		for (i = w->step + 1; i <= step; i++)
			w->count[i % WINDOW_STEPS_MAX] = 0;
	w->step = step;
}

void window_add(struct counter_window *w, uint64_t now_us)
{
	window_advance(w, now_us);
	w->count[w->step % WINDOW_STEPS_MAX]++;
}

unsigned window_sum(struct counter_window *w, unsigned steps, uint64_t now_us)
{
	unsigned sum = 0, i;

	window_advance(w, now_us);
	if (steps > WINDOW_STEPS_MAX)
		steps = WINDOW_STEPS_MAX;
	for (i = 0; i < steps && i <= w->step; i++)
		sum += w->count[(w->step - i) % WINDOW_STEPS_MAX];
	return sum;
}

bool limits_allow_retry(struct cs_steer *s, struct cs_steer_service *svc, uint64_t now_us)
{
	const struct cs_steer_bounds *bd = &s->opts.bounds;
	unsigned steps = bd->retry_window_s;
	/*
	 * Retries are counted over one more second than the window and requests over one fewer, so
	 * that the budget is kept wherever the window begins.
	 */
	unsigned repeats = window_sum(&svc->repeats, steps + 1, now_us);
	unsigned requests = window_sum(&svc->requests, steps > 1 ? steps - 1 : 1, now_us);
	double budget = RETRY_RATIO_FRACTION * bd->retry_ratio * requests +
			RETRY_EXTRA_FRACTION * bd->retry_extra / s->max_members_seen;

	return repeats + 1 <= budget;
}

bool limits_is_cold(const struct cs_backend *b, uint64_t now_us)
{
	return b->cold_until_us > 0 && now_us < b->cold_until_us + COLD_END_MARGIN_US;
}

uint64_t limits_owner_weight(uint32_t instance_hash, uint32_t server_hash)
{
	uint32_t pair[2] = {instance_hash, server_hash};

	return cs_hash(pair, sizeof(pair), 0);
}

/* Instance with the highest weight for a server among those considered. */
struct candidate {
	uint32_t name_hash; /* 0: none */
	uint64_t weight;
};

static void consider(struct candidate *c, uint32_t name_hash, const struct cs_backend *b)
{
	uint64_t weight = limits_owner_weight(name_hash, b->id_hash);

	if (c->name_hash == 0 || weight > c->weight)
		*c = (struct candidate){.name_hash = name_hash, .weight = weight};
}

/*
 * Instance that sends to a cold server: the one with the highest weight among those alive. One that
 * leaves is no candidate, in its own view and in that of the others, unless all of them leave.
 */
static uint32_t owner_of(struct cs_steer *s, const struct cs_backend *b, uint64_t now_us)
{
	struct candidate staying = {0}, leaving = {0};
	struct member *m;

	consider(s->leaving ? &leaving : &staying, s->name_hash, b);
	TAILQ_FOREACH(m, &s->members, entry)
		if (member_is_alive(s, m, now_us))
			consider(m->info.leaving ? &leaving : &staying, m->name_hash, b);
	return staying.name_hash != 0 ? staying.name_hash : leaving.name_hash;
}

/*
 * True if this instance is in contact with less than half of the others: it may be one of several
 * that consider themselves the owner of a cold server.
 */
static bool may_be_split(const struct cs_steer *s, uint64_t now_us)
{
	return cs_steer_count_members(s, now_us) * 2 <= s->max_members_seen;
}

/* Mean time between two requests of this instance to a cold server that it owns. */
static uint64_t cold_interval_us(const struct cs_steer *s, const struct cs_backend *b, bool split)
{
	const struct cs_service_def *def = backend_service_def(s, b);
	double rate = def != NULL && def->cold_per_s > 0 ? def->cold_per_s : 1;

	rate *= split ? COLD_SPLIT_FRACTION / s->max_members_seen : COLD_RATE_FRACTION;
	return (uint64_t)((double)CS_US_PER_S / rate);
}

/*
 * Time until which a new owner of a cold server sends it nothing. In a large fleet another instance
 * may have been the owner before this process began, and not have learned of it yet.
 */
static uint64_t hold_end(const struct cs_steer *s, bool owner_was_known, uint64_t now_us)
{
	uint64_t end = now_us + COLD_OWNER_HOLD_US, end_large;

	if (!cs_steer_is_large_fleet(s))
		return end;
	end_large = (owner_was_known ? now_us : s->created_us) + COLD_OWNER_HOLD_LARGE_US;
	return end_large > end ? end_large : end;
}

/*
 * Has the owner of a cold server send nothing until a time, and then nothing ahead of the rate:
 * another instance that takes itself for the owner may be sending, too.
 */
static void hold_until(struct cs_backend *b, uint64_t until_us)
{
	if (until_us > b->cold_hold_until_us)
		b->cold_hold_until_us = until_us;
	b->cold_interval_us = 0;
	b->cold_next_us = b->cold_hold_until_us + COLD_BURST_US;
}

void limits_begin_cold(struct cs_backend *b, uint64_t now_us)
{
	hold_until(b, now_us + COLD_OWNER_HOLD_US);
}

void limits_update_cold_owner(struct cs_steer *s, struct cs_backend *b, uint64_t now_us)
{
	uint32_t owner = owner_of(s, b, now_us), before = b->cold_owner;

	if (owner == before)
		return;
	b->cold_owner = owner;
	if (owner == s->name_hash || before == s->name_hash) {
		b->cold_owner_unlogged = true;
		s->n_cold_owners_unlogged++;
	}
	hold_until(b, hold_end(s, before != 0, now_us));
}

struct cs_backend *cs_steer_next_cold_owner_change(struct cs_steer *s)
{
	struct cs_steer_service *svc;
	struct cs_backend *b;

	if (s->n_cold_owners_unlogged == 0)
		return NULL;
	FOREACH_BACKEND(s, svc, b) {
		if (!b->cold_owner_unlogged)
			continue;
		b->cold_owner_unlogged = false;
		return b;
	}
	s->n_cold_owners_unlogged = 0;
	return NULL;
}

bool cs_steer_owns_cold(const struct cs_steer *s, const struct cs_backend *b)
{
	return b->cold_owner == s->name_hash;
}

bool limits_allow_cold(struct cs_steer *s, struct cs_backend *b, uint64_t now_us)
{
	bool split = may_be_split(s, now_us);
	uint64_t interval = cold_interval_us(s, b, split), before = b->cold_interval_us;

	limits_update_cold_owner(s, b, now_us);
	if (b->cold_owner != s->name_hash || now_us < b->cold_hold_until_us)
		return false;
	b->cold_interval_us = interval;
	if (!split)
		return now_us + COLD_BURST_US >= b->cold_next_us;
	/* All instances that are cut off would send their first requests at the same moment. */
	if (before < interval / 2)
		b->cold_next_us = now_us + (uint64_t)(cs_rng_unit(&s->rng) * (double)interval);
	return now_us >= b->cold_next_us;
}

bool limits_may_send_cold(const struct cs_steer *s, const struct cs_backend *b, uint64_t chosen_us,
			  uint64_t now_us)
{
	if (chosen_us < b->cold_since_us || now_us - chosen_us > COLD_BURST_US)
		return false;
	return b->cold_owner == s->name_hash && now_us >= b->cold_hold_until_us;
}

void limits_count_cold(struct cs_backend *b, uint64_t now_us)
{
	if (b->cold_next_us < now_us)
		b->cold_next_us = now_us;
	b->cold_next_us += b->cold_interval_us;
}
