/* Load balancing: chooses one of the servers that can take the request now. */
#include "policy/internal.h"

#define DRAWS_PER_SAMPLE 4

bool choice_tried(const struct cs_policy_request *req, const struct cs_target *t)
{
	unsigned i;

	for (i = 0; i < req->n_tried && i < CS_TRIED_MAX; i++)
		if (req->tried[i] == t)
			return true;
	return false;
}

static bool can_take_request(const struct cs_policy *p, const struct cs_target *t,
			     const struct cls *c, const struct cs_policy_request *req,
			     uint64_t now_us)
{
	return !choice_tried(req, t) &&
	       share_has_free_slot(p, t, c->pool, req->deadline_us, now_us);
}

/* First target from index start on that can take the request, or NULL. */
static struct cs_target *scan_from(struct cs_policy *p, struct cls *c,
				   const struct cs_policy_request *req, unsigned start,
				   uint64_t now_us)
{
	struct svc *s = c->svc;
	unsigned n = s->n_available[c->pool], i;

	for (i = 0; i < n; i++) {
		struct cs_target *t = s->available[c->pool][(start + i) % n];

		if (can_take_request(p, t, c, req, now_us))
			return t;
	}
	return NULL;
}

static double target_score(const struct cs_policy *p, struct cs_target *t, uint64_t now_us)
{
	if (p->opts.choice == CS_CHOICE_REPORTED)
		return t->reported_load;
	return (t->n_attempts + 1) * latency_cost(t, now_us) / slow_start_factor(t, now_us);
}

/* The sampled target with the lowest score. */
static struct cs_target *pick_least(struct cs_policy *p, struct cls *c,
				    const struct cs_policy_request *req, uint64_t now_us)
{
	struct svc *s = c->svc;
	unsigned n = s->n_available[c->pool], found = 0, tries;
	struct cs_target *best = NULL;
	double least = 0;

	for (tries = 0; tries < SAMPLED_TARGETS * DRAWS_PER_SAMPLE && found < SAMPLED_TARGETS;
	     tries++) {
		struct cs_target *t = s->available[c->pool][cs_rng_below(&p->rng, n)];
		double x;

		if (t == best || !can_take_request(p, t, c, req, now_us))
			continue;
		found++;
		eject_check(p, t, now_us);
		/* eject_check may have ejected the target. */
		if (t->available_index[c->pool] < 0) {
			n = s->n_available[c->pool];
			if (n == 0)
				break;
			continue;
		}
		/* An ejected server that is available is due for its probe. */
		if (t->ejected)
			return t;
		x = target_score(p, t, now_us);
		if (best == NULL || x < least) {
			best = t;
			least = x;
		}
	}
	return best;
}

static struct cs_target *pick_reported(struct cs_policy *p, struct cls *c,
				       const struct cs_policy_request *req, uint64_t now_us)
{
	struct svc *s = c->svc;
	struct cs_target *best = NULL;
	unsigned i;

	for (i = 0; i < s->n_available[c->pool]; i++) {
		struct cs_target *t = s->available[c->pool][i];

		if (!can_take_request(p, t, c, req, now_us))
			continue;
		if (best == NULL || target_score(p, t, now_us) < target_score(p, best, now_us))
			best = t;
	}
	return best;
}

/* If no other server can take the request, an ejected one is probed early. */
static struct cs_target *early_probe(struct cs_policy *p, struct cls *c,
				     const struct cs_policy_request *req, uint64_t now_us)
{
	struct cs_target *t = eject_early_probe(p, c->svc, now_us);

	return t != NULL && can_take_request(p, t, c, req, now_us) ? t : NULL;
}

struct cs_target *choice_pick(struct cs_policy *p, struct cls *c,
			      const struct cs_policy_request *req, uint64_t now_us)
{
	struct svc *s = c->svc;
	unsigned n = s->n_available[c->pool];
	struct cs_target *t = NULL;

	if (n == 0)
		return early_probe(p, c, req, now_us);
	switch (p->opts.choice) {
	case CS_CHOICE_LEAST:
		t = pick_least(p, c, req, now_us);
		break;
	case CS_CHOICE_REPORTED:
		t = pick_reported(p, c, req, now_us);
		break;
	case CS_CHOICE_RR:
		return scan_from(p, c, req, s->rr[c->pool]++ % n, now_us);
	case CS_CHOICE_RANDOM:
		break;
	}
	if (t == NULL)
		t = scan_from(p, c, req, cs_rng_below(&p->rng, n), now_us);
	return t != NULL ? t : early_probe(p, c, req, now_us);
}
