/*
 * Fair shares by max-min: parts in proportion to the usual demand of the workspaces, none larger
 * than what the workspace asks for, make up what all of them got together.
 */
#include <math.h>
#include <stdlib.h>

#include "workspace/workspace.h"

/* Time constants of what a workspace got and asked for lately, and of its usual demand. */
#define RECENT_S 2.0
#define USUAL_S 30.0
/* The shares are computed anew after this time, later with many workspaces. */
#define PLAN_MAX_AGE_US (100 * CS_US_PER_MS)
#define PLAN_AGE_PER_WORKSPACE_US 10
/* A workspace is over its share at this multiple of it. */
#define OVER_FACTOR 1.1
/* Below this number of recent requests, of one workspace or all, nothing is concluded. */
#define FEW_REQUESTS 2.0
/* Workspaces with fewer recent requests than this are forgotten when they have not usual demand. */
#define FORGOTTEN 0.001
/* Rounds of the search for the shares; each settles at least one workspace or ends it. */
#define ROUNDS_MAX 16

struct share {
	RB_ENTRY(share) by_id;
	TAILQ_ENTRY(share) list;
	uint64_t id;
	double got, asked; /* recent, decaying */
	double usual; /* usual demand, in the same unit as asked */
	uint64_t updated_us;
	uint64_t since_us; /* first request */
	double part; /* by the last plan */
	bool settled; /* while planning: its part is its demand */
};
RB_HEAD(shares, share);

struct cs_fair {
	struct shares shares;
	TAILQ_HEAD(, share) list;
	unsigned n;
	uint64_t planned_us;
	double got; /* sum, by the last plan */
};

static int share_cmp(const struct share *a, const struct share *b)
{
	return a->id < b->id ? -1 : a->id > b->id;
}
CS_RB_GENERATE(shares, share, by_id, share_cmp)

struct cs_fair *cs_fair_create(void)
{
	struct cs_fair *f = cs_xcalloc(1, sizeof(*f));

	RB_INIT(&f->shares);
	TAILQ_INIT(&f->list);
	return f;
}

static void share_free(struct cs_fair *f, struct share *s)
{
	RB_REMOVE(shares, &f->shares, s);
	TAILQ_REMOVE(&f->list, s, list);
	f->n--;
	free(s);
}

void cs_fair_destroy(struct cs_fair *f)
{
	struct share *s, *next;

	if (f == NULL)
		return;
	TAILQ_FOREACH_SAFE(s, &f->list, list, next)
		free(s);
	free(f);
}

/* Decays the recent figures and moves the usual demand towards the recent one. */
static void share_update(struct share *s, uint64_t now_us)
{
	double elapsed_s = (double)(now_us - s->updated_us) / CS_US_PER_S;
	double kept = exp(-elapsed_s / RECENT_S);

	if (now_us <= s->updated_us)
		return;
	/* A workspace is as it was first seen until that is known for a while. */
	if (now_us - s->since_us < RECENT_S * CS_US_PER_S)
		s->usual = s->asked;
	else
		s->usual += (s->asked - s->usual) * (1 - exp(-elapsed_s / USUAL_S));
	s->got *= kept;
	s->asked *= kept;
	s->updated_us = now_us;
}

static struct share *share_get(struct cs_fair *f, uint64_t id, uint64_t now_us)
{
	struct share *s = RB_FIND(shares, &f->shares, &(struct share){.id = id});

	if (s == NULL) {
		s = cs_xcalloc(1, sizeof(*s));
		s->id = id;
		s->since_us = s->updated_us = now_us;
		RB_INSERT(shares, &f->shares, s);
		TAILQ_INSERT_TAIL(&f->list, s, list);
		f->n++;
	}
	share_update(s, now_us);
	return s;
}

void cs_fair_arrived(struct cs_fair *f, uint64_t id, uint64_t now_us)
{
	share_get(f, id, now_us)->asked += 1;
}

void cs_fair_sent(struct cs_fair *f, uint64_t id, uint64_t now_us)
{
	share_get(f, id, now_us)->got += 1;
}

/* Weight of a workspace in the division of what its demand leaves. */
static double weight(const struct share *s)
{
	return fmax(s->usual, 0.1);
}

/* Gives the workspaces that ask for no more than their part all of it; false if there is none. */
static bool settle_round(struct cs_fair *f, double *left, double *weights)
{
	double per_weight = *weights > 0 ? *left / *weights : 0;
	struct share *s;
	bool any = false;

	TAILQ_FOREACH(s, &f->list, list) {
		if (s->settled || s->asked > weight(s) * per_weight)
			continue;
		s->settled = true;
		s->part = s->asked;
		*left -= s->asked;
		*weights -= weight(s);
		any = true;
	}
	return any;
}

static void plan(struct cs_fair *f, uint64_t now_us)
{
	double left = 0, weights = 0;
	struct share *s, *next;
	unsigned i;

	TAILQ_FOREACH(s, &f->list, list) {
		share_update(s, now_us);
		s->settled = false;
		left += s->got;
		weights += weight(s);
	}
	f->got = left;
	for (i = 0; i < ROUNDS_MAX && settle_round(f, &left, &weights); i++)
		;
	TAILQ_FOREACH(s, &f->list, list)
		if (!s->settled)
			s->part = weights > 0 ? weight(s) * left / weights : 0;
	f->planned_us = now_us;
	TAILQ_FOREACH_SAFE(s, &f->list, list, next)
		if (s->asked < FORGOTTEN && s->usual < FORGOTTEN)
			share_free(f, s);
}

/* What a workspace got as a multiple of its fair share; 0 if nothing can be concluded. */
static double share_ratio(struct cs_fair *f, uint64_t id, uint64_t now_us)
{
	const struct share *s;

	if (now_us - f->planned_us >= PLAN_MAX_AGE_US + f->n * PLAN_AGE_PER_WORKSPACE_US)
		plan(f, now_us);
	s = share_get(f, id, now_us);
	if (s->got < FEW_REQUESTS || f->got <= s->got + FEW_REQUESTS)
		return 0;
	return s->part > 0 ? s->got / s->part : CS_FAIR_LEVEL_MAX;
}

bool cs_fair_is_over(struct cs_fair *f, uint64_t id, uint64_t now_us)
{
	return share_ratio(f, id, now_us) > OVER_FACTOR;
}

unsigned cs_fair_level(struct cs_fair *f, uint64_t id, uint64_t now_us)
{
	return (unsigned)fmin(8 * share_ratio(f, id, now_us), CS_FAIR_LEVEL_MAX);
}

unsigned cs_fair_count(const struct cs_fair *f)
{
	return f->n;
}
