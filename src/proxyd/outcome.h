/*
 * outcome: what became of non-idempotent requests, by class and request id. A repeat joins the
 * running request or gets the first outcome for 60 s. Memory is bounded by entries and by bytes.
 */
#ifndef PROXYD_OUTCOME_H
#define PROXYD_OUTCOME_H

#include "base/base.h"
#include "proxy/head.h"

#define OUTCOME_KEEP_US (60 * CS_US_PER_S)
#define OUTCOME_ENTRIES_MAX 65536
/* Bytes of answers kept in total; the oldest answers are reduced to their status first. */
#define OUTCOME_BYTES_MAX (8 * 1024 * 1024)
/* Largest answer kept for one request. */
#define OUTCOME_BODY_MAX (16 * 1024)

enum outcome_kind {
	OUTCOME_RUNNING,
	OUTCOME_KEPT, /* whole answer kept */
	OUTCOME_STATUS, /* answered; only the status is kept */
	OUTCOME_UNKNOWN /* sent, no whole answer */
};

/* One who waits for the outcome; embedded in a request. */
struct outcome_join {
	TAILQ_ENTRY(outcome_join) entry;
	void *arg;
};
TAILQ_HEAD(outcome_joins, outcome_join);

struct outcome {
	RB_ENTRY(outcome) by_key;
	TAILQ_ENTRY(outcome) by_age; /* finished ones */
	TAILQ_ENTRY(outcome) by_kept; /* OUTCOME_KEPT */
	struct outcome_joins joins;
	char *key;
	uint64_t print; /* hash of what was asked; a repeat must have the same */
	uint64_t done_us;
	enum outcome_kind kind;
	unsigned status;
	struct head head;
	char *body;
	size_t len;
};

struct outcomes;
struct outcomes *outcomes_create(size_t entries_max, size_t bytes_max, uint64_t keep_us);
void outcomes_destroy(struct outcomes *t);
/* Finds an entry that has not expired, or NULL. */
struct outcome *outcomes_find(struct outcomes *t, const char *class_name, const char *id,
			      uint64_t now_us);
/* Adds a running entry; NULL if the table is full of running requests. */
struct outcome *outcomes_begin(struct outcomes *t, const char *class_name, const char *id,
			       uint64_t print, uint64_t now_us);
/* Records an answer; head NULL if it is not kept. */
void outcomes_answered(struct outcomes *t, struct outcome *o, unsigned status,
		       const struct head *head, const char *body, size_t len, uint64_t now_us);
/* Records that the outcome is not known. */
void outcomes_lost(struct outcomes *t, struct outcome *o, uint64_t now_us);
/* Forgets a request that did not run, so that a repeat runs; joins must be empty. */
void outcomes_forget(struct outcomes *t, struct outcome *o);
size_t outcomes_count(const struct outcomes *t);
/* Bytes of kept answers. */
size_t outcomes_bytes(const struct outcomes *t);

#endif
