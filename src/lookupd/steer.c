/*
 * View, plan and rendered parts of answers. All JSON text is made once for each view, so that a
 * lookup only joins strings.
 */
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "src/lookupd/lookupd.h"

#define PART "steer"
/* Views can change with every digest; a plan is made at most this often. */
#define PLAN_MIN_US (50 * CS_US_PER_MS)
/* Drains move the plan with the wall clock. */
#define PLAN_MAX_US CS_US_PER_S

struct piece {
	const char *name; /* of the member; NULL in an unused place */
	char *text;
	size_t len;
};

struct steer {
	struct cs_timers *timers;
	struct cs_timer due;
	struct cs_view *next; /* not in force yet */
	struct cs_view *view;
	struct cs_plan *plan;
	struct piece *prefixes; /* by class */
	struct piece *entries; /* hash table by member name, linear probing */
	unsigned n_entries; /* a power of two, at least twice the members */
	uint64_t planned_us;
	uint64_t plans;
};

static void on_due(struct cs_timer *t, void *arg);

static void free_pieces(struct piece *p, unsigned n)
{
	unsigned i;

	for (i = 0; i < n; i++)
		free(p[i].text);
	free(p);
}

/* Drops the plan and all that refers to the view, then the view. */
static void drop_view(struct steer *s)
{
	if (s->view == NULL)
		return;
	cs_plan_destroy(s->plan);
	free_pieces(s->prefixes, s->view->cfg->n_classes);
	free_pieces(s->entries, s->n_entries);
	cs_view_destroy(s->view);
	s->view = NULL;
	s->plan = NULL;
}

struct steer *steer_create(struct cs_timers *ts)
{
	struct steer *s = cs_xcalloc(1, sizeof(*s));

	s->timers = ts;
	cs_timer_init(&s->due, on_due, s);
	return s;
}

void steer_destroy(struct steer *s)
{
	if (s == NULL)
		return;
	cs_timer_stop(&s->due);
	drop_view(s);
	cs_view_destroy(s->next);
	free(s);
}

/* Quoted and escaped JSON string; names of instances come from the platform's list. */
static char *quote(const char *text)
{
	json_t *v = json_string(text);
	char *out = v != NULL ? json_dumps(v, JSON_ENCODE_ANY) : NULL;

	json_decref(v);
	return out != NULL ? out : cs_xstrdup("\"\"");
}

static struct piece render_entry(const struct cs_member *m)
{
	char *name = quote(m->name), *zone = quote(m->zone);
	bool v6 = strchr(m->addr, ':') != NULL;
	struct piece p = {.name = m->name};

	p.text = cs_xasprintf("{\"instance\":%s,\"zone\":%s,\"url\":\"http://%s%s%s:%u\"}", name,
			      zone, v6 ? "[" : "", m->addr, v6 ? "]" : "", m->proxy_port);
	p.len = strlen(p.text);
	free(name);
	free(zone);
	return p;
}

/* Place of a member's entry, or the unused place where it belongs. */
static struct piece *find_entry(const struct steer *s, const char *name)
{
	unsigned i = (unsigned)cs_hash_str(name, 0);

	for (;; i++) {
		struct piece *p = &s->entries[i & (s->n_entries - 1)];

		if (p->name == NULL || strcmp(p->name, name) == 0)
			return p;
	}
}

static void render(struct steer *s)
{
	const struct cs_config *cfg = s->view->cfg;
	unsigned i;

	s->prefixes = cs_xcalloc(cfg->n_classes, sizeof(*s->prefixes));
	for (i = 0; i < cfg->n_classes; i++) {
		s->prefixes[i].text = cs_xasprintf("{\"class\":\"%s\",\"revision\":%" PRIu64
						   ",\"ttl_ms\":%u,\"entries\":[",
						   cfg->classes[i].name, cfg->revision,
						   cfg->shift.lookup_ttl_ms);
		s->prefixes[i].len = strlen(s->prefixes[i].text);
	}
	for (s->n_entries = 2; s->n_entries < 2 * s->view->n_members; s->n_entries *= 2)
		;
	s->entries = cs_xcalloc(s->n_entries, sizeof(*s->entries));
	for (i = 0; i < s->view->n_members; i++) {
		struct piece *p = find_entry(s, s->view->members[i].name);

		if (p->name == NULL)
			*p = render_entry(&s->view->members[i]);
	}
}

/*
 * Puts the waiting view into force, if there is one, and makes a plan for the present time. The
 * former plan is needed for it, so that the parts settle instead of swinging.
 */
static void make_plan(struct steer *s)
{
	const struct cs_view *v = s->next != NULL ? s->next : s->view;
	struct cs_plan *plan = cs_plan_renew(s->plan, v, cs_wall_ms());

	if (s->next != NULL) {
		drop_view(s);
		s->view = s->next;
		s->next = NULL;
		render(s);
	} else {
		cs_plan_destroy(s->plan);
	}
	s->plan = plan;
	s->planned_us = cs_mono_us();
	s->plans++;
	cs_timer_stop(&s->due);
	if (s->view->cfg->n_drains > 0)
		cs_timer_start(s->timers, &s->due, PLAN_MAX_US);
}

static void on_due(struct cs_timer *t, void *arg)
{
	make_plan(arg);
}

/* True if a configuration may replace the one in force. */
static bool may_replace(const struct cs_config *cur, const struct cs_config *cfg)
{
	if (cfg == NULL)
		return false;
	if (cfg == cur || cfg->revision > cur->revision || cs_fault("revision"))
		return true;
	if (cfg->revision == cur->revision && strcmp(cfg->text, cur->text) != 0)
		cs_log(CS_ERR, PART,
		       "configuration refused: equal revision, other content. revision=%" PRIu64,
		       cfg->revision);
	return false;
}

/*
 * Keeps the configuration in force when the view has none, a lower revision or other content at the
 * same one: the agent may have restarted, and an accepted configuration never reverts.
 */
static void keep_config(const struct steer *s, struct cs_view *v)
{
	const struct cs_view *cur = s->next != NULL ? s->next : s->view;

	if (cur == NULL || may_replace(cur->cfg, v->cfg))
		return;
	cs_config_unref(v->cfg);
	v->cfg = cs_config_ref(cur->cfg);
}

void steer_update(struct steer *s, const struct cs_view *v)
{
	struct cs_view *copy = cs_view_copy(v);
	uint64_t since = cs_mono_us() - s->planned_us;

	keep_config(s, copy);
	if (copy->cfg == NULL) {
		cs_view_destroy(copy);
		return;
	}
	if (s->view == NULL || copy->cfg->revision != s->view->cfg->revision)
		cs_log(CS_NOTICE, PART, "configuration in force. revision=%" PRIu64,
		       copy->cfg->revision);
	cs_view_destroy(s->next);
	s->next = copy;
	if (s->view == NULL || since >= PLAN_MIN_US)
		make_plan(s);
	else
		cs_timer_start(s->timers, &s->due, PLAN_MIN_US - since);
}

const struct cs_view *steer_view(const struct steer *s)
{
	return s->view;
}

const struct cs_plan *steer_plan(const struct steer *s)
{
	return s->plan;
}

uint64_t steer_plans(const struct steer *s)
{
	return s->plans;
}

const char *steer_prefix(const struct steer *s, unsigned class_index, size_t *len)
{
	*len = s->prefixes[class_index].len;
	return s->prefixes[class_index].text;
}

const char *steer_entry(const struct steer *s, const struct cs_member *m, size_t *len)
{
	/* The plan holds copies of the members, so they are found by name. */
	const struct piece *p = find_entry(s, m->name);

	*len = p->len;
	return p->text;
}
