/* The policy object: its state from views, and the set of targets that can take requests. */
#include <stdlib.h>
#include <string.h>

#include "policy/internal.h"

#define SLOW_START_US (10 * CS_US_PER_S)
#define SLOW_START_MIN 0.1
#define OK_OVERRIDES_DOWN_US (2 * CS_US_PER_S) /* a response overrides failed health checks */
/*
 * A state header overrides the view until the agent's next health poll (every 500 ms) can have
 * reached the view.
 */
#define HEADER_STATE_VALID_US (5 * CS_US_PER_S)

static int target_cmp(struct cs_target *a, struct cs_target *b);
static void target_free(struct cs_policy *p, struct cs_target *t);

CS_RB_GENERATE(target_tree, cs_target, entry, target_cmp)

static int target_cmp(struct cs_target *a, struct cs_target *b)
{
	return strcmp(a->name, b->name);
}

struct cs_policy *cs_policy_create(const struct cs_policy_opts *opts)
{
	struct cs_policy *p = cs_xcalloc(1, sizeof(*p));

	p->opts = *opts;
	p->self = cs_hash_str(opts->instance, 0);
	cs_rng_seed(&p->rng, opts->seed);
	p->zone = -1;
	p->share_due_us = UINT64_MAX;
	p->remaining = 1;
	RB_INIT(&p->targets);
	TAILQ_INIT(&p->all);
	TAILQ_INIT(&p->svcs);
	TAILQ_INIT(&p->classes);
	return p;
}

void cs_policy_destroy(struct cs_policy *p)
{
	struct cs_target *t, *tn;
	struct cls *c, *cn;
	struct svc *s, *sn;
	unsigned k;

	if (p == NULL)
		return;
	share_clear(p);
	hop_clear(p);
	TAILQ_FOREACH_SAFE(t, &p->all, in_all, tn)
		target_free(p, t);
	TAILQ_FOREACH_SAFE(c, &p->classes, entry, cn)
		free(c);
	TAILQ_FOREACH_SAFE(s, &p->svcs, entry, sn) {
		for (k = 0; k < POOLS; k++)
			free(s->available[k]);
		free(s);
	}
	free(p->by_index);
	cs_config_unref(p->cfg);
	free(p);
}

/* Adds a target to or removes it from the available targets of a pool. */
static void available_set(struct cs_target *t, unsigned pool, bool available)
{
	struct svc *s = t->svc;
	struct cs_target *last;

	if (available == (t->available_index[pool] >= 0))
		return;
	if (available) {
		t->available_index[pool] = (int)s->n_available[pool];
		s->available[pool][s->n_available[pool]++] = t;
		return;
	}
	last = s->available[pool][--s->n_available[pool]];
	s->available[pool][t->available_index[pool]] = last;
	last->available_index[pool] = t->available_index[pool];
	t->available_index[pool] = -1;
}

double slow_start_factor(const struct cs_target *t, uint64_t now_us)
{
	double factor;

	if (t->slow_start_us == 0 || now_us >= t->slow_start_us + SLOW_START_US)
		return 1;
	factor = (double)(now_us - t->slow_start_us) / (double)SLOW_START_US;
	return factor > SLOW_START_MIN ? factor : SLOW_START_MIN;
}

/*
 * Health checks may fail while the server works: a server that is down according to its health
 * checks stays in use as long as it responds to requests.
 */
static bool target_usable(const struct cs_target *t, uint64_t now_us)
{
	if (!t->listed)
		return false;
	if (t->state == CS_SERVER_DOWN)
		return t->last_ok_us > 0 && now_us < t->last_ok_us + OK_OVERRIDES_DOWN_US;
	return t->state == CS_SERVER_READY;
}

/* Updates the service's capacity after a change of the target's share or usability. */
static void capacity_set(struct cs_target *t, uint64_t now_us)
{
	unsigned k, slots;

	for (k = 0; k < POOLS; k++) {
		slots = target_usable(t, now_us) ? t->share[k] : 0;
		t->svc->capacity[k] += slots - t->capacity_counted[k];
		t->capacity_counted[k] = slots;
	}
}

void availability_refresh(struct cs_policy *p, struct cs_target *t, uint64_t now_us)
{
	unsigned k;
	bool usable = target_usable(t, now_us) && !backoff_active(t, now_us) &&
		      !eject_blocks(t, now_us);

	capacity_set(t, now_us);
	for (k = 0; k < POOLS; k++) {
		unsigned limit = share_limit(p, t, k, now_us, now_us);
		/* A recently started server gets a fraction of the share, at least one request. */
		unsigned allowed = (unsigned)(limit * slow_start_factor(t, now_us));
		bool has_slot = t->in_flight[k] < (allowed > 0 ? allowed : 1) &&
				share_has_free_slot(p, t, k, now_us, now_us);

		if (cs_fault_enabled("caps"))
			has_slot = true;

		available_set(t, k, usable && has_slot);
	}
}

void availability_refresh_all(struct cs_policy *p, uint64_t now_us)
{
	struct cs_target *t;

	TAILQ_FOREACH(t, &p->all, in_all)
		availability_refresh(p, t, now_us);
}

/* Availability also changes with time alone: each tick checks a part of the targets. */
void policy_tick(struct cs_policy *p, uint64_t now_us)
{
	unsigned n = 0;

	if (now_us < p->tick_us + TICK_US)
		return;
	p->now_us = now_us;
	p->tick_us = now_us;
	if (now_us >= p->share_due_us)
		share_refresh(p, now_us);
	for (n = p->n_targets / TICKS_PER_SCAN + 1; n > 0 && p->n_targets > 0; n--) {
		if (p->cursor == NULL)
			p->cursor = TAILQ_FIRST(&p->all);
		eject_check(p, p->cursor, now_us);
		availability_refresh(p, p->cursor, now_us);
		p->cursor = TAILQ_NEXT(p->cursor, in_all);
	}
}

int64_t policy_wall_ms(const struct cs_policy *p, uint64_t now_us)
{
	if (p->wall_ms == 0)
		return cs_wall_ms();
	return p->wall_ms + ((int64_t)now_us - (int64_t)p->wall_at_us) / (int64_t)CS_US_PER_MS;
}

void cs_policy_set_wall_clock(struct cs_policy *p, int64_t wall_ms, uint64_t now_us)
{
	p->wall_ms = wall_ms;
	p->wall_at_us = now_us;
}

struct cls *policy_class(struct cs_policy *p, unsigned class_index)
{
	return class_index < p->n_by_index ? p->by_index[class_index] : NULL;
}

struct cs_config *cs_policy_config(const struct cs_policy *p)
{
	return p->cfg;
}

static struct svc *service_get_or_create(struct cs_policy *p, const char *name)
{
	struct svc *s;

	TAILQ_FOREACH(s, &p->svcs, entry)
		if (strcmp(s->name, name) == 0)
			return s;
	s = cs_xcalloc(1, sizeof(*s));
	cs_copy(s->name, sizeof(s->name), name);
	s->index = -1;
	TAILQ_INIT(&s->targets);
	TAILQ_INSERT_TAIL(&p->svcs, s, entry);
	return s;
}

static struct cls *class_get_or_create(struct cs_policy *p, const char *name)
{
	struct cls *c;

	TAILQ_FOREACH(c, &p->classes, entry)
		if (strcmp(c->name, name) == 0)
			return c;
	c = cs_xcalloc(1, sizeof(*c));
	cs_copy(c->name, sizeof(c->name), name);
	TAILQ_INIT(&c->queue);
	TAILQ_INSERT_TAIL(&p->classes, c, entry);
	return c;
}

/* Updates the class index of waiting requests after a change of the configuration. */
static void waiting_renumber(struct cls *c)
{
	struct cs_policy_request *req;

	TAILQ_FOREACH(req, &c->queue, entry)
		req->class_index = c->index >= 0 ? (unsigned)c->index : UINT32_MAX;
}

static void config_set(struct cs_policy *p, struct cs_config *cfg)
{
	struct svc *s;
	struct cls *c;
	unsigned i;

	if (p->cfg != NULL && p->cfg->revision >= cfg->revision)
		return;
	cs_config_unref(p->cfg);
	p->cfg = cs_config_ref(cfg);
	p->zone = cs_config_zone(cfg, p->opts.zone);
	TAILQ_FOREACH(s, &p->svcs, entry) {
		s->index = -1;
		s->bulk_only = true;
	}
	TAILQ_FOREACH(c, &p->classes, entry)
		c->index = -1;
	for (i = 0; i < cfg->n_services; i++) {
		s = service_get_or_create(p, cfg->services[i].name);
		s->index = (int)i;
		s->headroom = cfg->services[i].headroom_pct / 100;
		s->bulk_only = true;
	}
	free(p->by_index);
	p->by_index = cs_xcalloc(cfg->n_classes, sizeof(void *));
	p->n_by_index = cfg->n_classes;
	for (i = 0; i < cfg->n_classes; i++) {
		c = class_get_or_create(p, cfg->classes[i].name);
		s = service_get_or_create(p, cfg->services[cfg->classes[i].service].name);
		/* The waiting requests move with the class to its new service and pool. */
		if (c->svc != NULL)
			c->svc->waiting[c->pool] -= c->n_queue;
		c->svc = s;
		c->pool = cfg->classes[i].bulk ? POOL_BULK : POOL_SMALL;
		s->waiting[c->pool] += c->n_queue;
		if (!cfg->classes[i].bulk)
			s->bulk_only = false;
		c->conf = cfg->classes[i];
		c->index = (int)i;
		p->by_index[i] = c;
	}
	TAILQ_FOREACH(c, &p->classes, entry)
		waiting_renumber(c);
}

struct cs_target *target_find(struct cs_policy *p, const char *name)
{
	struct cs_target key;

	cs_copy(key.name, sizeof(key.name), name);
	return RB_FIND(target_tree, &p->targets, &key);
}

static struct cs_target *target_get_or_create(struct cs_policy *p, const struct cs_server *sv,
					      uint64_t now_us)
{
	struct cs_target *t = target_find(p, sv->name);
	struct svc *s;
	unsigned k;

	if (t != NULL)
		return t;
	t = cs_xcalloc(1, sizeof(*t));
	cs_copy(t->name, sizeof(t->name), sv->name);
	t->hash = cs_hash_str(t->name, 0);
	t->svc = s = service_get_or_create(p, sv->service);
	t->latency_ratio = t->reported_ratio = 1;
	for (k = 0; k < POOLS; k++)
		t->available_index[k] = -1;
	t->state = t->view_state = sv->state;
	/* A server that joins later may be cold; those of the first view were running before. */
	if (s->had_targets)
		t->slow_start_us = now_us;
	RB_INSERT(target_tree, &p->targets, t);
	TAILQ_INSERT_TAIL(&s->targets, t, in_svc);
	TAILQ_INSERT_TAIL(&p->all, t, in_all);
	p->share_dirty = true;
	p->n_targets++;
	s->n_targets++;
	if (s->n_targets > s->cap_available) {
		s->cap_available = s->n_targets * 2;
		for (k = 0; k < POOLS; k++)
			s->available[k] =
				cs_xrealloc(s->available[k], s->cap_available, sizeof(void *));
	}
	return t;
}

static void target_free(struct cs_policy *p, struct cs_target *t)
{
	unsigned k;

	t->listed = false;
	capacity_set(t, 0);
	for (k = 0; k < POOLS; k++)
		available_set(t, k, false);
	if (t->ejected)
		t->svc->n_ejected--;
	t->svc->n_targets--;
	p->n_targets--;
	if (p->cursor == t)
		p->cursor = NULL;
	TAILQ_REMOVE(&t->svc->targets, t, in_svc);
	TAILQ_REMOVE(&p->all, t, in_all);
	RB_REMOVE(target_tree, &p->targets, t);
	free(t->attempts);
	free(t);
}

static void state_set(struct cs_target *t, enum cs_server_state st, uint64_t now_us)
{
	if (st == CS_SERVER_READY && (t->state == CS_SERVER_STARTING || t->state == CS_SERVER_DOWN))
		t->slow_start_us = now_us;
	t->state = st;
}

static void targets_update(struct cs_policy *p, const struct cs_view *v, uint64_t now_us)
{
	struct cs_target *t, *next;
	struct svc *s;
	unsigned i;

	TAILQ_FOREACH(t, &p->all, in_all)
		t->in_view = false;
	for (i = 0; i < v->n_servers; i++) {
		const struct cs_server *sv = &v->servers[i];

		if (strcmp(sv->zone, p->opts.zone) != 0)
			continue;
		t = target_get_or_create(p, sv, now_us);
		t->in_view = t->listed = true;
		cs_copy(t->addr, sizeof(t->addr), sv->addr);
		t->port = sv->port;
		if (t->slots != sv->slots)
			p->share_dirty = true;
		t->slots = sv->slots;
		t->reported_us = sv->reported_service_us;
		t->reported_load = (double)sv->reported_in_flight / (sv->slots > 0 ? sv->slots : 1);
		/* An unchanged state in the view does not undo a newer state header. */
		if (sv->state != t->view_state ||
		    now_us >= t->header_state_us + HEADER_STATE_VALID_US)
			state_set(t, sv->state, now_us);
		t->view_state = sv->state;
	}
	TAILQ_FOREACH_SAFE(t, &p->all, in_all, next) {
		if (t->in_view)
			continue;
		t->listed = false;
		if (t->n_attempts == 0)
			target_free(p, t);
	}
	TAILQ_FOREACH(s, &p->svcs, entry)
		s->had_targets |= s->n_targets > 0;
}

void cs_policy_update(struct cs_policy *p, const struct cs_view *v, uint64_t now_us)
{
	unsigned i;

	p->now_us = now_us;
	if (v->cfg != NULL)
		config_set(p, v->cfg);
	if (p->cfg == NULL)
		return;
	targets_update(p, v, now_us);
	latency_reported_update(p);
	for (i = 0; i < v->n_members; i++)
		if (strcmp(v->members[i].zone, p->opts.zone) == 0)
			peer_set(p, v->members[i].name, v->members[i].roster,
				 v->members[i].state == CS_MEMBER_ALIVE, now_us);
	share_update(p, v, now_us);
	hop_update(p, v);
}

const char *cs_target_name(const struct cs_target *t)
{
	return t->name;
}

const char *cs_target_addr(const struct cs_target *t)
{
	return t->addr;
}

uint16_t cs_target_port(const struct cs_target *t)
{
	return t->port;
}

void cs_policy_server_state(struct cs_policy *p, struct cs_target *t, enum cs_server_state st,
			    uint64_t now_us)
{
	t->header_state_us = now_us;
	if (st != t->state)
		state_set(t, st, now_us);
	availability_refresh(p, t, now_us);
}

void cs_policy_attempt_ended(struct cs_policy *p, struct cs_target *t, unsigned class_index,
			     enum cs_outcome outcome, uint64_t latency_us, uint64_t now_us)
{
	struct cls *c = policy_class(p, class_index);
	struct attempt a;
	bool late;

	if (!target_attempt_end(p, t, c, latency_us, now_us, &a))
		return;
	if (outcome == CS_OUTCOME_OK)
		t->last_ok_us = now_us;
	late = latency_attempt_ended(t, &a, outcome, latency_us, now_us);
	if (outcome == CS_OUTCOME_REFUSED)
		backoff_start(t, now_us);
	else if (outcome == CS_OUTCOME_OK || outcome == CS_OUTCOME_ERROR)
		t->backoff_us = 0;
	eject_outcome(p, t, outcome, late, now_us);
	availability_refresh(p, t, now_us);
	if (!t->listed && t->n_attempts == 0)
		target_free(p, t);
}

void cs_policy_suspended(struct cs_policy *p, uint64_t now_us)
{
	struct cs_target *t;

	/* A view that was sent before the suspension may still be in the receive queue. */
	p->loans_blocked_until_us = now_us + CS_US_PER_S;
	TAILQ_FOREACH(t, &p->all, in_all) {
		t->n_loans = 0;
		availability_refresh(p, t, now_us);
	}
}
