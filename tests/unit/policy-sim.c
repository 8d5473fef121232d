/* Discrete-event simulation of one zone's proxies and servers, with decisions by lib/policy. */
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/unit/policy-sim.h"

#define MS CS_US_PER_MS
#define S CS_US_PER_S
#define START (1000 * S)
#define WARMUP (10 * S) /* requests that arrive during the warm-up are not measured */

struct request;

struct attempt {
	struct cs_target *target; /* NULL: not running */
	unsigned server;
	uint64_t start_us, end_us;
	enum cs_outcome outcome;
};

/* Not freed before the end of the run, since events in the heap may refer to it. */
struct request {
	struct request *next;
	struct cs_policy_request policy_req;
	unsigned owner;
	struct attempt attempts[2]; /* the second is the hedge */
	bool measured;
	bool done;
};

enum event_kind { EV_ARRIVE, EV_END, EV_HEDGE, EV_EXPIRE, EV_TICK };

struct event {
	uint64_t at_us;
	enum event_kind kind;
	struct request *req;
	unsigned attempt;
};

struct sim {
	const struct sim_spec *spec;
	struct sim_result *res;
	struct cs_rng rng;
	uint64_t now;
	struct event *heap;
	unsigned n_heap, cap_heap;
	struct cs_policy *p[SIM_INSTANCES];
	bool slow[SIM_SERVERS];
	unsigned running[SIM_SERVERS];
	uint64_t last_id;
	struct request *requests;
};

static void heap_push(struct sim *s, struct event e)
{
	unsigned i = s->n_heap++, parent;

	if (s->n_heap > s->cap_heap) {
		s->cap_heap = s->cap_heap ? s->cap_heap * 2 : 1024;
		s->heap = cs_xrealloc(s->heap, s->cap_heap, sizeof(*s->heap));
	}
	for (; i > 0; i = parent) {
		parent = (i - 1) / 2;
		if (s->heap[parent].at_us <= e.at_us)
			break;
		s->heap[i] = s->heap[parent];
	}
	s->heap[i] = e;
}

static struct event heap_pop(struct sim *s)
{
	struct event top = s->heap[0], last = s->heap[--s->n_heap];
	unsigned i = 0, child;

	for (; (child = 2 * i + 1) < s->n_heap; i = child) {
		if (child + 1 < s->n_heap && s->heap[child + 1].at_us < s->heap[child].at_us)
			child++;
		if (s->heap[child].at_us >= last.at_us)
			break;
		s->heap[i] = s->heap[child];
	}
	s->heap[i] = last;
	return top;
}

static void schedule(struct sim *s, uint64_t at, enum event_kind kind, struct request *r,
		     unsigned attempt)
{
	struct event e = {at, kind, r, attempt};

	heap_push(s, e);
}

static uint64_t service_time(struct sim *s, unsigned server)
{
	const struct sim_spec *x = s->spec;
	double us = (double)x->service_us * (0.5 + cs_rng_unit(&s->rng));

	if (x->exponential)
		us = -(double)x->service_us * log(1 - cs_rng_unit(&s->rng));
	if (cs_rng_unit(&s->rng) < x->straggler_fraction)
		us = (double)x->service_us * x->straggler_factor;
	if (s->slow[server])
		us *= x->slow_factor;
	return (uint64_t)us;
}

static bool servers_down(const struct sim *s)
{
	return s->now >= START + s->spec->down_from_us && s->now < START + s->spec->down_until_us;
}

static void attempt_start(struct sim *s, struct request *r, unsigned k, struct cs_target *t)
{
	struct attempt *a = &r->attempts[k];

	a->target = t;
	a->server = (unsigned)atoi(cs_target_name(t) + 2);
	a->start_us = s->now;
	a->outcome = CS_OUTCOME_OK;
	if (servers_down(s)) {
		a->outcome = CS_OUTCOME_REFUSED;
		a->end_us = s->now + MS;
		s->res->refused_attempts++;
	} else if (s->spec->failing_server == a->server + 1) {
		a->outcome = CS_OUTCOME_ERROR;
		a->end_us = s->now + MS;
	} else {
		a->end_us = s->now + service_time(s, a->server);
	}
	if (a->end_us > r->policy_req.deadline_us) {
		a->outcome = CS_OUTCOME_TIMEOUT;
		a->end_us = r->policy_req.deadline_us;
	}
	s->running[a->server]++;
	if (s->running[a->server] > s->spec->slots)
		s->res->over_slots++;
	if (r->measured && s->slow[a->server])
		s->res->slow_attempts++;
	if (r->policy_req.n_tried < CS_TRIED_MAX)
		r->policy_req.tried[r->policy_req.n_tried++] = t;
	schedule(s, a->end_us, EV_END, r, k);
}

static void refuse_request(struct sim *s, struct request *r)
{
	if (r->measured)
		s->res->refused++;
	r->done = true;
}

static void decide(struct sim *s, struct request *r)
{
	struct cs_policy *p = s->p[r->owner];
	struct cs_decision d;
	uint64_t delay;

	cs_policy_decide(p, &r->policy_req, s->now, &d);
	switch (d.verdict) {
	case CS_VERDICT_SEND:
		attempt_start(s, r, 0, d.u.send.target);
		delay = cs_policy_hedge_delay(p, r->policy_req.class_index);
		if (s->spec->hedge && delay > 0 && r->policy_req.n_tried == 1)
			schedule(s, s->now + delay, EV_HEDGE, r, 0);
		break;
	case CS_VERDICT_WAIT:
		if (s->spec->no_queue) {
			cs_policy_dequeue(p, &r->policy_req);
			refuse_request(s, r);
			break;
		}
		schedule(s, d.u.wait.until_us, EV_EXPIRE, r, 0);
		break;
	case CS_VERDICT_HOP:
	case CS_VERDICT_REFUSE:
		refuse_request(s, r);
		break;
	}
}

static void dispatch_waiting(struct sim *s, unsigned i)
{
	struct cs_policy_request *policy_req;

	while ((policy_req = cs_policy_next_waiting(s->p[i], s->now)) != NULL)
		decide(s, policy_req->arg);
}

static void on_arrive(struct sim *s)
{
	const struct sim_spec *x = s->spec;
	double mean =
		(double)x->service_us * (1 + x->straggler_fraction * (x->straggler_factor - 1));
	double per_us = x->load * x->servers * x->slots / mean;
	struct request *r = cs_xcalloc(1, sizeof(*r));
	unsigned class_index = x->class_index;

	if (x->half_lookups && cs_rng_next(&s->rng) % 2)
		class_index = FX_LOOKUPS;
	r->owner = cs_rng_below(&s->rng, x->instances);
	r->policy_req = fx_request(class_index, ++s->last_id, s->now);
	r->policy_req.arg = r;
	r->next = s->requests;
	s->requests = r;
	r->measured = s->now >= START + WARMUP;
	if (r->measured)
		s->res->requests++;
	decide(s, r);
	if (s->now < START + x->duration_us)
		schedule(s, s->now + 1 + (uint64_t)(-log(1 - cs_rng_unit(&s->rng)) / per_us),
			 EV_ARRIVE, NULL, 0);
}

static void attempt_end(struct sim *s, struct request *r, unsigned k, enum cs_outcome outcome)
{
	struct attempt *a = &r->attempts[k];
	struct cs_target *t = a->target;

	a->target = NULL;
	s->running[a->server]--;
	cs_policy_attempt_ended(s->p[r->owner], t, r->policy_req.class_index, outcome,
				s->now - a->start_us, s->now);
}

static void finish(struct sim *s, struct request *r, enum cs_outcome outcome)
{
	uint64_t us = s->now - r->policy_req.arrived_us;

	r->done = true;
	if (!r->measured)
		return;
	if (outcome == CS_OUTCOME_OK) {
		s->res->answered++;
		s->res->in_target += us <= 400 * MS;
		cs_hist_add(&s->res->latency, us);
		if (r->policy_req.class_index == FX_LOOKUPS)
			cs_hist_add(&s->res->latency_lookups, us);
	} else {
		s->res->errors++;
	}
}

static void on_end(struct sim *s, const struct event *e)
{
	struct request *r = e->req;
	struct attempt *a = &r->attempts[e->attempt], *other = &r->attempts[1 - e->attempt];
	enum cs_outcome outcome = a->outcome;
	unsigned owner = r->owner;

	/* The end event of a cancelled attempt stays in the heap; ignore it. */
	if (a->target == NULL || a->end_us != s->now)
		return;
	attempt_end(s, r, e->attempt, outcome);
	if (outcome != CS_OUTCOME_OK && other->target != NULL)
		return;
	if (other->target != NULL)
		attempt_end(s, r, 1 - e->attempt, CS_OUTCOME_CANCELLED);
	if (outcome == CS_OUTCOME_REFUSED ||
	    (outcome == CS_OUTCOME_ERROR && r->policy_req.class_index == FX_LOOKUPS)) {
		if (r->policy_req.n_tried < CS_TRIED_MAX &&
		    cs_policy_take_retry(s->p[owner], r->policy_req.class_index)) {
			s->res->retries += r->measured;
			decide(s, r);
			dispatch_waiting(s, owner);
			return;
		}
	}
	finish(s, r, outcome);
	dispatch_waiting(s, owner);
}

static void on_hedge(struct sim *s, const struct event *e)
{
	struct request *r = e->req;
	struct cs_target *t;

	if (r->done || r->attempts[0].target == NULL || r->attempts[1].target != NULL)
		return;
	t = cs_policy_take_hedge(s->p[r->owner], &r->policy_req, s->now);
	if (t == NULL)
		return;
	s->res->hedges += r->measured;
	attempt_start(s, r, 1, t);
}

static void on_tick(struct sim *s)
{
	const struct sim_spec *x = s->spec;
	uint64_t elapsed_ms = (s->now - START) / MS;
	unsigned i, left;

	if (x->slow_us >= MS && (elapsed_ms * MS) % x->slow_us == 0) {
		memset(s->slow, 0, sizeof(s->slow));
		for (left = (unsigned)(x->slow_fraction * x->servers + 0.5); left > 0;) {
			i = cs_rng_below(&s->rng, x->servers);
			left -= !s->slow[i];
			s->slow[i] = true;
		}
	}
	for (i = 0; i < x->instances; i++)
		dispatch_waiting(s, i);
	if (s->now < START + x->duration_us)
		schedule(s, s->now + MS, EV_TICK, NULL, 0);
}

static void policies_create(struct sim *s)
{
	const struct sim_spec *x = s->spec;
	struct fx_shape shape = {.slots = x->slots, .no_bulk = true};
	struct cs_view *v = fx_view(&shape);
	char name[16];
	unsigned i;

	for (i = 0; i < x->instances; i++) {
		snprintf(name, sizeof(name), "i-%u", i);
		fx_member(v, name, "z-0-0");
	}
	for (i = 0; i < x->servers; i++) {
		snprintf(name, sizeof(name), "s-%u", i);
		fx_server(v, name, "web", "z-0-0");
	}
	for (i = 0; i < x->instances; i++) {
		struct cs_policy_opts opts = {.zone = "z-0-0",
					      .choice = x->choice,
					      .backoff = x->backoff,
					      .seed = x->seed * 31 + i};

		snprintf(opts.instance, sizeof(opts.instance), "i-%u", i);
		s->p[i] = cs_policy_create(&opts);
		cs_policy_update(s->p[i], v, START);
		fx_announce_roster(s->p[i], v, START);
	}
	cs_view_destroy(v);
}

void sim_run(const struct sim_spec *spec, struct sim_result *res)
{
	struct sim *s = g_new0(struct sim, 1);
	struct request *r;
	unsigned i;

	memset(res, 0, sizeof(*res));
	s->spec = spec;
	s->res = res;
	cs_rng_seed(&s->rng, spec->seed);
	s->now = START;
	policies_create(s);
	schedule(s, START, EV_TICK, NULL, 0);
	schedule(s, START, EV_ARRIVE, NULL, 0);
	while (s->n_heap > 0) {
		struct event e = heap_pop(s);

		s->now = e.at_us;
		switch (e.kind) {
		case EV_ARRIVE:
			on_arrive(s);
			break;
		case EV_TICK:
			on_tick(s);
			break;
		case EV_END:
			on_end(s, &e);
			break;
		case EV_HEDGE:
			on_hedge(s, &e);
			break;
		case EV_EXPIRE:
			if (e.req->policy_req.waiting && e.req->policy_req.until_us <= s->now) {
				cs_policy_dequeue(s->p[e.req->owner], &e.req->policy_req);
				refuse_request(s, e.req);
			}
			break;
		}
	}
	for (i = 0; i < spec->instances; i++)
		cs_policy_destroy(s->p[i]);
	while ((r = s->requests) != NULL) {
		s->requests = r->next;
		free(r);
	}
	free(s->heap);
	g_free(s);
}
