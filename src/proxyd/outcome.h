/*
 * outcome: outcomes of non-idempotent requests by class and request id. A repeated request joins
 * the running one or gets its outcome for 60 s. Memory is limited by entries and by bytes.
 */
#ifndef PROXYD_OUTCOME_H
#define PROXYD_OUTCOME_H

#include "base/base.h"
#include "proxy/head.h"

#define OUTCOME_KEEP_US (60 * CS_US_PER_S)
#define OUTCOME_ENTRIES_MAX 65536
/* Total bytes of stored responses; if exceeded, the oldest ones are reduced to their status. */
#define OUTCOME_BYTES_MAX (8 * 1024 * 1024)
/* Largest response body in bytes that is stored. */
#define OUTCOME_BODY_MAX (16 * 1024)

enum outcome_kind {
	OUTCOME_RUNNING,
	OUTCOME_STORED, /* complete response stored */
	OUTCOME_STATUS_ONLY, /* completed; only the status is stored */
	OUTCOME_UNKNOWN /* sent, but no complete response */
};

/* A repeated request that waits for the outcome; embedded in the request. */
struct outcome_join {
	TAILQ_ENTRY(outcome_join) entry;
	void *arg;
};
TAILQ_HEAD(outcome_joins, outcome_join);

struct outcome {
	RB_ENTRY(outcome) by_key;
	TAILQ_ENTRY(outcome) by_age; /* unless OUTCOME_RUNNING */
	TAILQ_ENTRY(outcome) by_stored; /* if OUTCOME_STORED */
	struct outcome_joins joins;
	char *key;
	uint64_t fingerprint; /* hash of the request; a repeat must have the same */
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
/* Returns an entry that has not expired, or NULL. */
struct outcome *outcomes_find(struct outcomes *t, const char *class_name, const char *id,
			      uint64_t now_us);
/*
 * Adds an OUTCOME_RUNNING entry. Returns NULL if the key exists or the table is full of running
 * requests.
 */
struct outcome *outcomes_begin(struct outcomes *t, const char *class_name, const char *id,
			       uint64_t fingerprint, uint64_t now_us);
/* Records the response; head is NULL if only the status is to be stored. */
void outcomes_complete(struct outcomes *t, struct outcome *o, unsigned status,
		       const struct head *head, const char *body, size_t len, uint64_t now_us);
/* Records that the outcome is unknown. */
void outcomes_set_unknown(struct outcomes *t, struct outcome *o, uint64_t now_us);
/* Removes a request that did not run, so that a repeat will run; joins must be empty. */
void outcomes_remove(struct outcomes *t, struct outcome *o);
size_t outcomes_count(const struct outcomes *t);
/* Bytes of stored responses. */
size_t outcomes_bytes(const struct outcomes *t);

#endif
