/*
 * Outcomes of non-idempotent requests: a tree by key, a list of finished entries by age and a list
 * of those with a stored response.
 */
#include <stdlib.h>
#include <string.h>

#include "src/proxyd/outcome.h"

RB_HEAD(outcome_tree, outcome);
TAILQ_HEAD(outcome_list, outcome);

struct outcomes {
	struct outcome_tree tree;
	struct outcome_list done; /* oldest first */
	struct outcome_list stored; /* oldest first */
	size_t entries_max, bytes_max;
	uint64_t keep_us;
	size_t count, bytes;
};

static int outcome_cmp(struct outcome *a, struct outcome *b);

CS_RB_GENERATE(outcome_tree, outcome, by_key, outcome_cmp)

static int outcome_cmp(struct outcome *a, struct outcome *b)
{
	return strcmp(a->key, b->key);
}

struct outcomes *outcomes_create(size_t entries_max, size_t bytes_max, uint64_t keep_us)
{
	struct outcomes *t = cs_xcalloc(1, sizeof(*t));

	RB_INIT(&t->tree);
	TAILQ_INIT(&t->done);
	TAILQ_INIT(&t->stored);
	t->entries_max = entries_max;
	t->bytes_max = bytes_max;
	t->keep_us = keep_us;
	return t;
}

/* Drops a stored response and keeps its status. */
static void discard_response(struct outcomes *t, struct outcome *o)
{
	if (o->kind != OUTCOME_STORED)
		return;
	TAILQ_REMOVE(&t->stored, o, by_stored);
	t->bytes -= o->head.size + o->len;
	head_free(&o->head);
	free(o->body);
	o->body = NULL;
	o->len = 0;
	o->kind = OUTCOME_STATUS_ONLY;
}

static void outcome_destroy(struct outcomes *t, struct outcome *o)
{
	discard_response(t, o);
	if (o->kind != OUTCOME_RUNNING)
		TAILQ_REMOVE(&t->done, o, by_age);
	RB_REMOVE(outcome_tree, &t->tree, o);
	t->count--;
	free(o->key);
	free(o);
}

void outcomes_destroy(struct outcomes *t)
{
	struct outcome *o, *next;

	if (t == NULL)
		return;
	RB_FOREACH_SAFE(o, outcome_tree, &t->tree, next)
		outcome_destroy(t, o);
	free(t);
}

/* Removes finished entries older than keep_us. */
static void remove_expired(struct outcomes *t, uint64_t now_us)
{
	struct outcome *o;

	while ((o = TAILQ_FIRST(&t->done)) != NULL && o->done_us + t->keep_us <= now_us)
		outcome_destroy(t, o);
}

struct outcome *outcomes_find(struct outcomes *t, const char *class_name, const char *id,
			      uint64_t now_us)
{
	struct outcome probe = {.key = cs_xasprintf("%s %s", class_name, id)}, *o;

	remove_expired(t, now_us);
	o = RB_FIND(outcome_tree, &t->tree, &probe);
	free(probe.key);
	return o;
}

struct outcome *outcomes_begin(struct outcomes *t, const char *class_name, const char *id,
			       uint64_t fingerprint, uint64_t now_us)
{
	struct outcome *o = TAILQ_FIRST(&t->done);

	if (t->count >= t->entries_max) {
		if (o == NULL)
			return NULL;
		outcome_destroy(t, o);
	}
	o = cs_xcalloc(1, sizeof(*o));
	TAILQ_INIT(&o->joins);
	o->key = cs_xasprintf("%s %s", class_name, id);
	o->fingerprint = fingerprint;
	o->kind = OUTCOME_RUNNING;
	if (RB_INSERT(outcome_tree, &t->tree, o) != NULL) {
		free(o->key);
		free(o);
		return NULL;
	}
	t->count++;
	return o;
}

static void finish(struct outcomes *t, struct outcome *o, enum outcome_kind kind, uint64_t now_us)
{
	o->kind = kind;
	o->done_us = now_us;
	TAILQ_INSERT_TAIL(&t->done, o, by_age);
}

void outcomes_complete(struct outcomes *t, struct outcome *o, unsigned status,
		       const struct head *head, const char *body, size_t len, uint64_t now_us)
{
	o->status = status;
	if (head == NULL || len > OUTCOME_BODY_MAX) {
		finish(t, o, OUTCOME_STATUS_ONLY, now_us);
		return;
	}
	finish(t, o, OUTCOME_STORED, now_us);
	head_copy(&o->head, head);
	o->body = cs_xcalloc(1, len + 1);
	if (len > 0)
		memcpy(o->body, body, len);
	o->len = len;
	t->bytes += o->head.size + o->len;
	TAILQ_INSERT_TAIL(&t->stored, o, by_stored);
	while (t->bytes > t->bytes_max)
		discard_response(t, TAILQ_FIRST(&t->stored));
}

void outcomes_set_unknown(struct outcomes *t, struct outcome *o, uint64_t now_us)
{
	finish(t, o, OUTCOME_UNKNOWN, now_us);
}

void outcomes_remove(struct outcomes *t, struct outcome *o)
{
	outcome_destroy(t, o);
}

size_t outcomes_count(const struct outcomes *t)
{
	return t->count;
}

size_t outcomes_bytes(const struct outcomes *t)
{
	return t->bytes;
}
