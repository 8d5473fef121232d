/*
 * View, plan and rendered fragments of lookup responses. JSON is rendered once per view, so that a
 * lookup only concatenates strings.
 */
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "src/lookupd/lookupd.h"

#define LOG_COMPONENT "steer"
/* Limits the rate of plan computations, since the view can change with every digest. */
#define PLAN_INTERVAL_MIN_US (50 * CS_US_PER_MS)
/* While a drain is configured the plan changes over time, even without a new view. */
#define PLAN_INTERVAL_MAX_US CS_US_PER_S

struct fragment {
	const char *name; /* name of the member; NULL in an empty bucket */
	char *text;
	size_t len;
};

struct steer {
	struct cs_timers *timers;
	struct cs_timer plan_timer;
	struct cs_view *pending; /* takes effect with the next plan; NULL if none */
	struct cs_view *view;
	struct cs_plan *plan;
	struct fragment *prefixes; /* indexed by class */
	struct fragment *entries; /* hash table by member name, linear probing */
	unsigned n_buckets; /* of entries: a power of two, at least twice the number of members */
	uint64_t planned_us;
	uint64_t plans;
};

static void on_plan_timer(struct cs_timer *t, void *arg);

static void free_fragments(struct fragment *fragments, unsigned n)
{
	unsigned i;

	for (i = 0; i < n; i++)
		free(fragments[i].text);
	free(fragments);
}

/* Frees the view in force and everything that refers to it. */
static void release_view(struct steer *s)
{
	if (s->view == NULL)
		return;
	cs_plan_destroy(s->plan);
	free_fragments(s->prefixes, s->view->cfg->n_classes);
	free_fragments(s->entries, s->n_buckets);
	cs_view_destroy(s->view);
	s->view = NULL;
	s->plan = NULL;
}

struct steer *steer_create(struct cs_timers *ts)
{
	struct steer *s = cs_xcalloc(1, sizeof(*s));

	s->timers = ts;
	cs_timer_init(&s->plan_timer, on_plan_timer, s);
	return s;
}

void steer_destroy(struct steer *s)
{
	if (s == NULL)
		return;
	cs_timer_stop(&s->plan_timer);
	release_view(s);
	cs_view_destroy(s->pending);
	free(s);
}

/* JSON string literal; an instance name from the platform's list may need escapes. */
static char *json_quote(const char *text)
{
	json_t *v = json_string(text);
	char *out = v != NULL ? json_dumps(v, JSON_ENCODE_ANY) : NULL;

	json_decref(v);
	return out != NULL ? out : cs_xstrdup("\"\"");
}

static struct fragment render_entry(const struct cs_member *m)
{
	char *name = json_quote(m->name), *zone = json_quote(m->zone);
	bool v6 = strchr(m->addr, ':') != NULL;
	struct fragment f = {.name = m->name};

	f.text = cs_xasprintf("{\"instance\":%s,\"zone\":%s,\"url\":\"http://%s%s%s:%u\"}", name,
			      zone, v6 ? "[" : "", m->addr, v6 ? "]" : "", m->proxy_port);
	f.len = strlen(f.text);
	free(name);
	free(zone);
	return f;
}

/* Bucket of a member's entry, or the empty bucket where it belongs. */
static struct fragment *find_bucket(const struct steer *s, const char *name)
{
	unsigned i = (unsigned)cs_hash_str(name, 0);

	for (;; i++) {
		struct fragment *f = &s->entries[i & (s->n_buckets - 1)];

		if (f->name == NULL || strcmp(f->name, name) == 0)
			return f;
	}
}

static void render_fragments(struct steer *s)
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
	for (s->n_buckets = 2; s->n_buckets < 2 * s->view->n_members; s->n_buckets *= 2)
		;
	s->entries = cs_xcalloc(s->n_buckets, sizeof(*s->entries));
	for (i = 0; i < s->view->n_members; i++) {
		struct fragment *f = find_bucket(s, s->view->members[i].name);

		if (f->name == NULL)
			*f = render_entry(&s->view->members[i]);
	}
}

/*
 * Puts the pending view into force, if there is one, and computes a plan for the current time. The
 * previous plan is an input, without which traffic shares would oscillate.
 */
static void update_plan(struct steer *s)
{
	const struct cs_view *v = s->pending != NULL ? s->pending : s->view;
	struct cs_plan *plan = cs_plan_update(s->plan, v, cs_wall_ms());

	if (s->pending != NULL) {
		release_view(s);
		s->view = s->pending;
		s->pending = NULL;
		render_fragments(s);
	} else {
		cs_plan_destroy(s->plan);
	}
	s->plan = plan;
	s->planned_us = cs_mono_us();
	s->plans++;
	cs_timer_stop(&s->plan_timer);
	if (s->view->cfg->n_drains > 0)
		cs_timer_start(s->timers, &s->plan_timer, PLAN_INTERVAL_MAX_US);
}

static void on_plan_timer(struct cs_timer *t, void *arg)
{
	update_plan(arg);
}

/* Whether a received configuration may replace the one in force. */
static bool config_may_replace(const struct cs_config *cur, const struct cs_config *cfg)
{
	if (cfg == NULL)
		return false;
	if (cfg == cur || cfg->revision > cur->revision || cs_fault_enabled("revision"))
		return true;
	if (cfg->revision == cur->revision && strcmp(cfg->text, cur->text) != 0)
		cs_log(CS_ERR, LOG_COMPONENT,
		       "configuration rejected: same revision with different content. "
		       "revision=%" PRIu64,
		       cfg->revision);
	return false;
}

/*
 * Makes a new view keep the current configuration if its own is missing, older, or different at the
 * same revision. An agent that has restarted can send such a view, and an accepted configuration
 * must never revert.
 */
static void keep_current_config(const struct steer *s, struct cs_view *v)
{
	const struct cs_view *cur = s->pending != NULL ? s->pending : s->view;

	if (cur == NULL || config_may_replace(cur->cfg, v->cfg))
		return;
	cs_config_unref(v->cfg);
	v->cfg = cs_config_ref(cur->cfg);
}

void steer_update(struct steer *s, const struct cs_view *v)
{
	struct cs_view *copy = cs_view_copy(v);
	uint64_t since_plan_us = cs_mono_us() - s->planned_us;

	keep_current_config(s, copy);
	if (copy->cfg == NULL) {
		cs_view_destroy(copy);
		return;
	}
	if (s->view == NULL || copy->cfg->revision != s->view->cfg->revision)
		cs_log(CS_NOTICE, LOG_COMPONENT, "configuration in force. revision=%" PRIu64,
		       copy->cfg->revision);
	cs_view_destroy(s->pending);
	s->pending = copy;
	if (s->view == NULL || since_plan_us >= PLAN_INTERVAL_MIN_US)
		update_plan(s);
	else
		cs_timer_start(s->timers, &s->plan_timer, PLAN_INTERVAL_MIN_US - since_plan_us);
}

const struct cs_view *steer_view(const struct steer *s)
{
	return s->view;
}

const struct cs_plan *steer_plan(const struct steer *s)
{
	return s->plan;
}

uint64_t steer_plan_count(const struct steer *s)
{
	return s->plans;
}

const char *steer_response_prefix(const struct steer *s, unsigned class_index, size_t *len)
{
	*len = s->prefixes[class_index].len;
	return s->prefixes[class_index].text;
}

const char *steer_response_entry(const struct steer *s, const struct cs_member *m, size_t *len)
{
	/* m is the plan's copy of the member, so look it up by name. */
	const struct fragment *f = find_bucket(s, m->name);

	*len = f->len;
	return f->text;
}
