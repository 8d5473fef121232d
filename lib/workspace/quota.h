/*
 * Quotas of workspaces, summed over all instances. Rights to accrue tokens are divided equally among
 * the instances, which lend them for short times to keepers; a request spends a token that a keeper
 * granted. docs/design/workspace-quotas.md has the bound that this keeps and what was weighed.
 */
#ifndef CS_WORKSPACE_QUOTA_H
#define CS_WORKSPACE_QUOTA_H

#include "base/base.h"

#define CS_QUOTA_NAME_MAX 64
/* Slots into which workspaces are divided by the hash of their name; each has its own keepers. */
#define CS_QUOTA_SLOTS 2
/* Rows of a question or reply. */
#define CS_QUOTA_ROWS_MAX 64
/* Other zones whose keepers are asked. */
#define CS_QUOTA_ZONES_MAX 128
/* A request waits at most this long for a token. */
#define CS_QUOTA_WAIT_US (250 * CS_US_PER_MS)
/* Interval of the questions to the keepers of the zone. */
#define CS_QUOTA_ROUND_US (200 * CS_US_PER_MS)
/* A process lends nothing for this time after its start, as its predecessor may have lent. */
#define CS_QUOTA_LOAN_US (700 * CS_US_PER_MS)

struct cs_workspace;
struct cs_workspace_table;

/* The rule: (rate * window + burst) * (1 + overrun) + slack requests in any window. */
struct cs_quota_bounds {
	double window_s;
	double overrun, slack;
};

struct cs_quota;
/* instance and boot identify this process to the others. */
struct cs_quota *cs_quota_create(const char *instance, uint64_t boot,
				 const struct cs_quota_bounds *bounds, uint64_t now_us);
void cs_quota_destroy(struct cs_quota *q);
void cs_quota_set_bounds(struct cs_quota *q, const struct cs_quota_bounds *bounds);
/* Settings of the workspaces; the table is used until the next call. NULL: no quotas. */
void cs_quota_set_table(struct cs_quota *q, const struct cs_workspace_table *t);
/*
 * Number of instances among which rights are divided, this one included; 0 while this instance does
 * not know, and lends nothing.
 */
void cs_quota_set_fleet(struct cs_quota *q, unsigned instances);
/* Candidates for the keeper of a slot in a zone: the second is used while the first is silent. */
#define CS_QUOTA_CANDIDATES 2
struct cs_quota_zone {
	const char *keepers[CS_QUOTA_SLOTS][CS_QUOTA_CANDIDATES]; /* NULL: none */
};
/* The keepers of this zone; the names are copied. */
void cs_quota_set_keepers(struct cs_quota *q, const struct cs_quota_zone *own);
/* Other zones, the nearest first; each has a keeper of each slot. The names are copied. */
void cs_quota_set_zones(struct cs_quota *q, const struct cs_quota_zone *zones, unsigned n);

enum cs_quota_verdict {
	CS_QUOTA_ALLOWED, /* a token was spent, or the workspace has no quota */
	CS_QUOTA_PENDING, /* keepers are asked; the request waits */
	CS_QUOTA_DENIED /* the workspace is over its quota */
};
/*
 * Decides on a new request. ALLOWED sets until_us, until when the token may be spent by another
 * request; 0 without a quota. DENIED sets room_ms, after which there is room for a request.
 * PENDING: the caller ends the wait by cs_quota_leave, and asks by cs_quota_retry after a reply.
 */
enum cs_quota_verdict cs_quota_take(struct cs_quota *q, const struct cs_workspace *ws,
				    uint64_t now_us, uint64_t *until_us, unsigned *room_ms);
/* Decides again on a request that waits. The wait has ended unless the result is PENDING. */
enum cs_quota_verdict cs_quota_retry(struct cs_quota *q, const struct cs_workspace *ws,
				     uint64_t now_us, uint64_t *until_us, unsigned *room_ms);
/* A request ceases to wait without a decision. */
void cs_quota_leave(struct cs_quota *q, uint64_t id);
/* The request that spent a token is not sent to any server. */
void cs_quota_put_back(struct cs_quota *q, uint64_t id, uint64_t until_us, uint64_t now_us);

struct cs_quota_row {
	uint64_t id; /* of the workspace */
	unsigned tokens; /* wanted or granted */
	unsigned room_ms; /* reply: time until the keeper has another token */
};
/* Question of an instance to a keeper. */
struct cs_quota_ask {
	char from[CS_QUOTA_NAME_MAX], to[CS_QUOTA_NAME_MAX];
	uint64_t boot; /* of the sender */
	uint64_t seq;
	uint64_t sent_us; /* by the sender's clock */
	/*
	 * From the keeper's last reply: its clock and its process, and how long ago the reply was
	 * received; echo_us is 0 if there is none.
	 */
	uint64_t echo_us, echo_boot, held_us;
	/*
	 * Bit mask of the slots whose rights are lent to this keeper from now on; those of other
	 * slots are given back.
	 */
	unsigned lent_slots;
	unsigned fleet; /* the sender's right is one part of so many */
	struct cs_quota_row rows[CS_QUOTA_ROWS_MAX];
	unsigned n_rows;
};
struct cs_quota_reply {
	char from[CS_QUOTA_NAME_MAX], to[CS_QUOTA_NAME_MAX];
	uint64_t boot, to_boot; /* of the keeper and of the asking process */
	uint64_t seq, asked_us; /* those of the question */
	uint64_t now_us; /* by the keeper's clock */
	/* What the keeper knows of keys: version in force and its age; filled in by the caller. */
	uint64_t version;
	uint64_t age_us;
	struct cs_quota_row rows[CS_QUOTA_ROWS_MAX];
	unsigned n_rows;
};
/*
 * Another instance is asked too, for what it knows of keys: one that watches the store. The name is
 * copied.
 */
void cs_quota_ask_also(struct cs_quota *q, const char *name);
/* Next question to send, which may be to this instance itself; false if none is due. */
bool cs_quota_next_ask(struct cs_quota *q, uint64_t now_us, struct cs_quota_ask *out);
/* Acts as a keeper: accepts loans and grants tokens. */
void cs_quota_handle_ask(struct cs_quota *q, const struct cs_quota_ask *ask, uint64_t now_us,
			 struct cs_quota_reply *out);
/* False if the reply is a copy, late, or for another process. */
bool cs_quota_handle_reply(struct cs_quota *q, const struct cs_quota_reply *reply, uint64_t now_us);

struct cs_quota_counts {
	uint64_t allowed, denied; /* decisions on requests of workspaces with a quota */
	uint64_t granted; /* tokens granted to others as a keeper */
	unsigned loans; /* instances whose rights this one holds */
	unsigned waiting; /* requests that wait for a token */
};
void cs_quota_counts(const struct cs_quota *q, struct cs_quota_counts *out);

#endif
