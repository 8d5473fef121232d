/*
 * policy: pure decisions of one proxy or lookup daemon. No I/O: inputs and a clock in, a decision
 * out. Times are monotonic us unless a name says wall.
 */
#ifndef CS_POLICY_H
#define CS_POLICY_H

#include "model/model.h"

/* Way to choose a server; the last three are baselines for comparison. */
enum cs_choice { CS_CHOICE_LEAST, CS_CHOICE_RR, CS_CHOICE_RANDOM, CS_CHOICE_REPORTED };
#define CS_CHOICE_NAMES "least|rr|random|reported"

/* What to do with requests when every server of a service is in back-off. */
enum cs_backoff_mode { CS_BACKOFF_WAIT, CS_BACKOFF_REFUSE };
#define CS_BACKOFF_NAMES "wait|refuse"

struct cs_policy_opts {
	char instance[CS_NAME_MAX];
	char zone[CS_NAME_MAX];
	enum cs_choice choice;
	enum cs_backoff_mode backoff;
	uint64_t seed;
};

struct cs_policy;

struct cs_policy *cs_policy_create(const struct cs_policy_opts *opts);
void cs_policy_destroy(struct cs_policy *p);
/*
 * Takes a new view; the policy keeps its own copy of what it needs and a reference to the
 * configuration. First-hand state of servers that are still listed is kept. A configuration with a
 * lower revision than the one in force is ignored.
 */
void cs_policy_update(struct cs_policy *p, const struct cs_view *v, uint64_t now_us);
/* Configuration in force or NULL; valid until the next update. */
struct cs_config *cs_policy_config(const struct cs_policy *p);

/*
 * Roster of the own zone by which slots are divided now; 0 before the first view. It travels on
 * heartbeats: when all listed instances of the zone name the same value, an instance that joined
 * gets its share at once, else after the hold time. The upper half is a hash of the names and of
 * the configured limits. The lower half is a hash of the incarnations if the instance agrees; 0 if
 * more requests run at some server than its share allows; 1 if an instance that left within the
 * hold time may still have requests at servers.
 */
uint64_t cs_policy_roster(const struct cs_policy *p);

/*
 * Roster that a listed instance of the own zone named last on its heartbeats; 0 if unknown. The
 * view's members carry it; this call is for news between two views.
 */
void cs_policy_peer_roster(struct cs_policy *p, const char *instance, uint64_t roster,
			   uint64_t now_us);
/* The process did not run for a while: borrowed slots are given up until a fresh view comes. */
void cs_policy_gap(struct cs_policy *p, uint64_t now_us);
/*
 * Sets the wall clock by which drains are read; it then advances with now_us. Without a call the
 * system's clock is read.
 */
void cs_policy_set_wall(struct cs_policy *p, int64_t wall_ms, uint64_t now_us);

/* A server of this zone; its address is valid until cs_policy_update removes it with no request. */
struct cs_target;
const char *cs_target_name(const struct cs_target *t);
const char *cs_target_addr(const struct cs_target *t);
uint16_t cs_target_port(const struct cs_target *t);
/* Connections this instance may open to the server. */
unsigned cs_target_connections(const struct cs_target *t);

#define CS_TRIED_MAX 4

/* One request as the policy sees it; the proxy embeds it and fills the first part. */
struct cs_ask {
	uint64_t hash; /* of the request id */
	uint64_t arrived_us;
	uint64_t deadline_us;
	uint64_t body_len; /* bytes; UINT64_MAX if unknown */
	struct cs_target *tried[CS_TRIED_MAX]; /* servers already tried, not taken again */
	unsigned class_index;
	unsigned n_tried;
	bool hopped; /* came from another zone's proxy */
	bool hop_refused; /* a hop was refused or failed before running: do not hop again */
	/* Owned by the policy. */
	bool waiting;
	bool counted; /* in the budgets */
	TAILQ_ENTRY(cs_ask) entry;
	struct cls *queue; /* class whose queue it is in */
	uint64_t until_us;
	void *arg; /* the proxy's request */
};

enum cs_verdict { CS_VERDICT_SEND, CS_VERDICT_HOP, CS_VERDICT_WAIT, CS_VERDICT_REFUSE };

enum cs_refusal {
	CS_REFUSAL_NOT_READY, /* no configuration */
	CS_REFUSAL_NO_SERVER, /* no usable server anywhere */
	CS_REFUSAL_OVERLOAD, /* no room within the limits or the queue */
	CS_REFUSAL_DEADLINE, /* cannot finish in time */
	CS_REFUSAL_BACKOFF, /* every server is in back-off */
	CS_REFUSAL_LEAVING /* this process is stopping */
};
const char *cs_refusal_name(enum cs_refusal r);

/* Tagged by verdict. */
struct cs_decision {
	enum cs_verdict verdict;
	union {
		struct {
			struct cs_target *target; /* a slot of it is taken */
		} send;
		struct {
			char instance[CS_NAME_MAX];
			char addr[CS_ADDR_MAX];
			uint16_t port;
			char zone[CS_NAME_MAX];
		} hop;
		struct {
			uint64_t until_us; /* refuse at this time if still waiting */
		} wait;
		struct {
			enum cs_refusal reason;
			unsigned retry_after_ms;
		} refuse;
	} u;
};

/*
 * Decides on a request. SEND takes a slot that cs_policy_ended gives back. WAIT puts the request
 * into the class's queue; cs_policy_next or cs_policy_forget takes it out.
 */
void cs_policy_decide(struct cs_policy *p, struct cs_ask *ask, uint64_t now_us,
		      struct cs_decision *out);
/* Next waiting request for which a decision other than WAIT is now possible, or NULL. */
struct cs_ask *cs_policy_next(struct cs_policy *p, uint64_t now_us);
/* Takes a request out of the queue, if it is in one. */
void cs_policy_forget(struct cs_policy *p, struct cs_ask *ask);

enum cs_outcome {
	CS_OUTCOME_OK, /* whole answer */
	CS_OUTCOME_ERROR, /* answer with status 5xx, or broken after sending */
	CS_OUTCOME_TIMEOUT,
	CS_OUTCOME_CANCELLED, /* by us: caller gone, or the slower of two hedged attempts */
	CS_OUTCOME_REFUSED, /* the server refused before running */
	CS_OUTCOME_UNSENT /* no connection: nothing was sent */
};
/* Ends an attempt at a server and gives its slot back. */
void cs_policy_ended(struct cs_policy *p, struct cs_target *t, unsigned class_index,
		     enum cs_outcome outcome, uint64_t latency_us, uint64_t now_us);
/* A server's own word on its state, from the header of an answer. */
void cs_policy_server_says(struct cs_policy *p, struct cs_target *t, enum cs_server_state st,
			   uint64_t now_us);
/* Ends a hop; feeds what is known of the other zone's room. */
void cs_policy_hop_ended(struct cs_policy *p, const char *zone, unsigned class_index, bool refused,
			 uint64_t latency_us, uint64_t now_us);

/* Takes from the retry budget (10 in 100 requests); false if it is used up. */
bool cs_policy_take_retry(struct cs_policy *p, unsigned class_index);
/* Delay after which an idempotent request is hedged, in us; 0: no hedge for this class now. */
uint64_t cs_policy_hedge_delay(struct cs_policy *p, unsigned class_index);
/*
 * Takes from the hedge budget (2 in 100) and a slot on another server than ask->tried; NULL if
 * either cannot be had.
 */
struct cs_target *cs_policy_take_hedge(struct cs_policy *p, struct cs_ask *ask, uint64_t now_us);

/* Figures of one service for reports to the agent. */
struct cs_policy_load {
	char service[CS_NAME_MAX];
	unsigned capacity; /* slots of this instance's share on usable servers */
	unsigned in_flight;
	unsigned waiting;
	unsigned foreign; /* of in_flight, hopped */
	unsigned service_us;
	bool out_of_target;
};
/* Fills at most n rows; returns the number of services. */
unsigned cs_policy_loads(struct cs_policy *p, struct cs_policy_load *rows, unsigned n,
			 uint64_t now_us);
/* Why the policy decides as it does for a class: JSON text for `explain`; free() it. */
char *cs_policy_explain(struct cs_policy *p, unsigned class_index, uint64_t now_us);

/* Part (0..1) of a zone's traffic that stays at a wall-clock time; 1 without a drain. */
double cs_shift_stay(const struct cs_config *cfg, unsigned zone, int64_t wall_ms);
/*
 * Part (0..1) of a zone's callers whom lookups still send to it. Lookups follow once the proxies
 * have moved all requests: two ramps at once would move up to twice the cap in a second.
 */
double cs_shift_entry(const struct cs_config *cfg, unsigned zone, int64_t wall_ms);
/* Wall-clock ms by which no caller is at a drained zone any more, started as planned. */
int64_t cs_shift_end_ms(const struct cs_config *cfg, const struct cs_drain *d);
/*
 * Checks whether a drain can end by its deadline under the cap and whether the rest of the
 * deployment has the capacity; else the message names the figure that is short.
 */
bool cs_shift_feasible(const struct cs_config *cfg, const struct cs_drain *d, int64_t wall_ms,
		       const struct cs_view *v, struct cs_msg *msg);

/* Steering plan for lookups. */
struct cs_plan;
struct cs_plan *cs_plan_create(const struct cs_view *v, int64_t wall_ms);
/*
 * Plan for a newer view; prev may be NULL and is not needed afterwards. The former plan tells which
 * part of the measured load is its own doing, so that the parts settle instead of swinging.
 */
struct cs_plan *cs_plan_renew(const struct cs_plan *prev, const struct cs_view *v, int64_t wall_ms);
void cs_plan_destroy(struct cs_plan *plan);

#define CS_LOCATE_MAX 4
struct cs_located {
	unsigned n;
	const struct cs_member *members[CS_LOCATE_MAX]; /* of the view the plan was made from */
	const char *reason[CS_LOCATE_MAX];
};
/*
 * Ordered entry instances for a class and a caller's address; false if none is usable. turn counts
 * the lookups of the daemon: the two instances of a zone that a caller has are named in turn.
 */
bool cs_plan_locate(const struct cs_plan *plan, unsigned class_index, const uint8_t addr[16],
		    int64_t wall_ms, uint64_t turn, struct cs_located *out);

#endif
