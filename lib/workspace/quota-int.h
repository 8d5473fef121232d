/* Internal declarations of the quotas: quota.c spends and asks, quota-keeper.c holds and grants. */
#ifndef CS_WORKSPACE_QUOTA_INT_H
#define CS_WORKSPACE_QUOTA_INT_H

#include "workspace/workspace.h"

/* Tokens that may be spent until a time. */
struct lot {
	double tokens;
	uint64_t until_us;
};

/* What an instance does to get tokens of a workspace. */
enum phase {
	PHASE_IDLE,
	PHASE_ASK_ZONE, /* a keeper of this zone is to be asked */
	PHASE_ZONE_ASKED,
	PHASE_ASK_OTHERS, /* a keeper of another zone is to be asked */
	PHASE_OTHERS_ASKED,
	PHASE_DENIED /* no keeper had enough, for a time */
};

#define PHASES (PHASE_DENIED + 1)

/* State of a workspace with a quota of which this instance had requests or questions. */
struct entry {
	RB_ENTRY(entry) by_id;
	TAILQ_ENTRY(entry) list;
	uint64_t id;
	uint64_t used_us; /* last request or question */
	/* As a keeper: tokens, and the value of the slot's integral when they were counted. */
	double tokens, seen;
	/* As a spender. */
	struct lot lots[2]; /* the older one first */
	unsigned arrivals; /* since the last round */
	double rate; /* requests per second, smoothed */
	unsigned waiting;
	enum phase phase;
	uint64_t phase_us; /* since then */
	/* Other zones: asked since it was short, to be asked now in parallel, and not replied. */
	unsigned zones_tried, parallel, to_ask, outstanding;
	unsigned room_ms; /* the keepers' last word */
};
RB_HEAD(entries, entry);

/* An instance that asked this one, and the rights that it lent. */
struct loan {
	TAILQ_ENTRY(loan) list;
	char name[CS_QUOTA_NAME_MAX];
	uint64_t boot, seq;
	double fraction; /* of the deployment's rights */
	unsigned slots; /* bit mask */
	uint64_t until_us;
	bool ended; /* it has lent nothing, or no more */
	uint64_t heard_us; /* last question */
};

/* Rights of a slot that this instance lent. */
struct lent {
	char keeper[CS_QUOTA_NAME_MAX];
	uint64_t until_us; /* 0: none */
	uint64_t return_seq; /* of the question that gives them back; 0: none was sent */
};

/* An instance that was asked. */
struct keeper_link {
	TAILQ_ENTRY(keeper_link) list;
	char name[CS_QUOTA_NAME_MAX];
	uint64_t seq_received;
	uint64_t echo_us, echo_boot, received_us; /* last reply */
	uint64_t asked_us; /* last question */
};

struct cs_quota {
	char instance[CS_QUOTA_NAME_MAX];
	uint64_t boot, created_us;
	struct cs_quota_bounds bounds;
	const struct cs_workspace_table *table;
	unsigned fleet;
	struct entries entries;
	TAILQ_HEAD(, entry) list;
	unsigned n_in_phase[PHASES];
	/* As a keeper: rights of each slot, and their integral over time, in seconds. */
	TAILQ_HEAD(, loan) loans;
	unsigned n_loans; /* length of loans */
	double held[CS_QUOTA_SLOTS], integral[CS_QUOTA_SLOTS];
	double base[CS_QUOTA_SLOTS]; /* value from which a workspace without an entry accrues */
	uint64_t advanced_us; /* time of integral */
	/* As a lender. */
	struct lent lent[CS_QUOTA_SLOTS];
	/* Keepers of the zone by slot; empty names where there is none. */
	char wanted[CS_QUOTA_SLOTS][CS_QUOTA_CANDIDATES][CS_QUOTA_NAME_MAX];
	bool due[CS_QUOTA_SLOTS]; /* the slot's keeper is asked in this round */
	char also[CS_QUOTA_NAME_MAX]; /* is asked next; empty: none */
	uint64_t round_us;
	uint64_t seq;
	TAILQ_HEAD(, keeper_link) links;
	/* Keepers of other zones by slot. */
	char zones[CS_QUOTA_ZONES_MAX][CS_QUOTA_SLOTS][CS_QUOTA_NAME_MAX];
	unsigned n_zones, zone_offset;
	struct cs_quota_counts counts;
};

/* Figures that follow from the quota of a workspace. */
struct pace {
	double per_s; /* tokens that all rights together accrue */
	double keep_s; /* a keeper holds what its rights accrue in this time */
};
struct pace quota_pace(const struct cs_quota *q, const struct cs_workspace *ws);

/* Finds the state of a workspace, or creates it. */
struct entry *quota_entry(struct cs_quota *q, uint64_t id, uint64_t now_us);

/* Slot of a workspace. */
unsigned quota_slot(uint64_t id);

/* quota-keeper.c */
/* Brings the integrals up to date and ends loans. */
void keeper_advance(struct cs_quota *q, uint64_t now_us);
/* Forgets instances that lend nothing and were not heard for a while. */
void keeper_sweep(struct cs_quota *q, uint64_t now_us);
void keeper_free(struct cs_quota *q);
/* Before the state of a workspace is forgotten: it must not get more tokens by that. */
void keeper_forget(struct cs_quota *q, const struct entry *e);

#endif
