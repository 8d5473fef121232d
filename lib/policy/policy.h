/*
 * policy: the routing decisions of one proxy or lookup daemon. It does no I/O: inputs and the time
 * are passed in, decisions are returned. Times are monotonic us unless the name contains "wall".
 */
#ifndef CS_POLICY_H
#define CS_POLICY_H

#include "model/model.h"

/* Load-balancing algorithm; all but the first are baselines for comparison. */
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
 * Applies a new view. The policy copies what it needs and takes a reference to the configuration.
 * What it measured at servers that are still listed is kept. A configuration with a lower revision
 * than the one in force is ignored.
 */
void cs_policy_update(struct cs_policy *p, const struct cs_view *v, uint64_t now_us);
/* Configuration in force or NULL; valid until the next update. */
struct cs_config *cs_policy_config(const struct cs_policy *p);

/*
 * Identifies the roster: the instances of the own zone that slots are currently divided among; 0
 * before the first view. Instances announce it in heartbeats. An instance that joined gets its
 * share at once when all listed instances of the zone announce the same value, else after the hold
 * time. The upper half is a hash of the names and of the configured limits. The lower half is a
 * hash of the incarnations, with two exceptions: 0 while more of this instance's requests run at
 * some server than its share allows, and 1 while an instance that left within the hold time may
 * still have requests at servers.
 */
uint64_t cs_policy_roster(const struct cs_policy *p);

/*
 * Sets the roster that a listed instance of the own zone announced last; 0 if unknown. The members
 * of a view carry it too; this call is for changes between two views.
 */
void cs_policy_peer_roster(struct cs_policy *p, const char *instance, uint64_t roster,
			   uint64_t now_us);
/* The process was suspended: drops borrowed slots until a fresh view arrives. */
void cs_policy_suspended(struct cs_policy *p, uint64_t now_us);
/*
 * Sets the wall clock that drain schedules are compared with; it then advances with now_us. Without
 * a call the system clock is read.
 */
void cs_policy_set_wall_clock(struct cs_policy *p, int64_t wall_ms, uint64_t now_us);

/*
 * A server of this zone. The pointer is valid until a view no longer lists the server and its last
 * attempt has ended.
 */
struct cs_target;
const char *cs_target_name(const struct cs_target *t);
const char *cs_target_addr(const struct cs_target *t);
uint16_t cs_target_port(const struct cs_target *t);
/* Connections this instance may open to the server. */
unsigned cs_target_connections(const struct cs_target *t);

#define CS_TRIED_MAX 4

/* A request, embedded in the proxy's own request, which fills the first part. */
struct cs_policy_request {
	uint64_t hash; /* hash of the request id */
	uint64_t arrived_us;
	uint64_t deadline_us;
	uint64_t body_len; /* bytes; UINT64_MAX if unknown */
	struct cs_target *tried[CS_TRIED_MAX]; /* servers to exclude: already tried */
	unsigned class_index;
	unsigned n_tried;
	bool hopped; /* forwarded by another zone's proxy */
	bool hop_refused; /* a hop was refused or failed before running: do not hop again */
	/* Owned by the policy. */
	bool waiting;
	bool budget_counted; /* has earned retry and hedge credit */
	TAILQ_ENTRY(cs_policy_request) entry;
	struct cls *queue; /* class whose queue it is in */
	uint64_t until_us;
	void *arg; /* the proxy's request */
};

enum cs_verdict { CS_VERDICT_SEND, CS_VERDICT_HOP, CS_VERDICT_WAIT, CS_VERDICT_REFUSE };

enum cs_refusal {
	CS_REFUSAL_NOT_READY, /* no configuration */
	CS_REFUSAL_NO_SERVER, /* no usable server in any zone */
	CS_REFUSAL_OVERLOAD, /* slots and queue are full */
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
			struct cs_target *target; /* one of its slots is reserved */
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
 * Decides on a request. SEND reserves a slot, released by cs_policy_attempt_ended. WAIT puts the
 * request into the class's queue, from which cs_policy_next_waiting or cs_policy_dequeue removes
 * it.
 */
void cs_policy_decide(struct cs_policy *p, struct cs_policy_request *req, uint64_t now_us,
		      struct cs_decision *out);
/*
 * Removes and returns the next waiting request that should be decided again: a server is available
 * for it, its wait is over, or its class was removed. NULL if there is none.
 */
struct cs_policy_request *cs_policy_next_waiting(struct cs_policy *p, uint64_t now_us);
/* Removes a request from its queue, if it is in one. */
void cs_policy_dequeue(struct cs_policy *p, struct cs_policy_request *req);

enum cs_outcome {
	CS_OUTCOME_OK, /* complete response */
	CS_OUTCOME_ERROR, /* status 5xx, or broken after sending */
	CS_OUTCOME_TIMEOUT,
	CS_OUTCOME_CANCELLED, /* client disconnected, or another attempt was faster */
	CS_OUTCOME_REFUSED, /* the server refused before running */
	CS_OUTCOME_UNSENT /* no connection: nothing was sent */
};
/* Ends an attempt at a server and releases its slot. */
void cs_policy_attempt_ended(struct cs_policy *p, struct cs_target *t, unsigned class_index,
			     enum cs_outcome outcome, uint64_t latency_us, uint64_t now_us);
/* Takes the state that a server reported in the header of a response. */
void cs_policy_server_state(struct cs_policy *p, struct cs_target *t, enum cs_server_state st,
			    uint64_t now_us);
/* Ends a hop and records whether the other zone refused it. */
void cs_policy_hop_ended(struct cs_policy *p, const char *zone, unsigned class_index, bool refused,
			 uint64_t latency_us, uint64_t now_us);

/* Takes one from the retry budget (10 per 100 requests); false if it is used up. */
bool cs_policy_take_retry(struct cs_policy *p, unsigned class_index);
/* Delay after which an idempotent request is hedged, in us; 0: no hedge for this class now. */
uint64_t cs_policy_hedge_delay(struct cs_policy *p, unsigned class_index);
/*
 * Takes one from the hedge budget (1.8 per 100 requests) and a slot at a server that is
 * not in req->tried; NULL if there is no budget or no such server.
 */
struct cs_target *cs_policy_take_hedge(struct cs_policy *p, struct cs_policy_request *req,
				       uint64_t now_us);

/* Load of one service, for reports to the agent. */
struct cs_policy_load {
	char service[CS_NAME_MAX];
	unsigned capacity; /* slots of this instance's share on usable servers */
	unsigned in_flight;
	unsigned waiting;
	unsigned foreign; /* part of in_flight that another proxy forwarded */
	unsigned service_us;
	bool out_of_target;
};
/* Fills at most n rows; returns the number of services. */
unsigned cs_policy_loads(struct cs_policy *p, struct cs_policy_load *rows, unsigned n,
			 uint64_t now_us);
/* State behind the decisions for a class: JSON text for `explain`; free() it. */
char *cs_policy_explain(struct cs_policy *p, unsigned class_index, uint64_t now_us);

/* Fraction (0..1) of a zone's requests that stays there at a wall-clock time; 1 without a drain. */
double cs_shift_remaining(const struct cs_config *cfg, unsigned zone, int64_t wall_ms);
/*
 * Fraction (0..1) of a zone's clients that lookups still send to it; wall_ms is the time at which
 * the lookup response expires. Lookups start their ramp once the proxies have moved all requests:
 * two ramps at once would move up to twice the cap per second.
 */
double cs_shift_remaining_lookups(const struct cs_config *cfg, unsigned zone, int64_t wall_ms);
/* Wall-clock ms at which the last client has left a drained zone, if the drain starts on time. */
int64_t cs_shift_end_ms(const struct cs_config *cfg, const struct cs_drain *d);
/*
 * Checks whether a drain can end by its deadline under the cap and whether the rest of the
 * deployment has the capacity. If not, the message states what is missing and how much.
 */
bool cs_shift_feasible(const struct cs_config *cfg, const struct cs_drain *d, int64_t wall_ms,
		       const struct cs_view *v, struct cs_msg *msg);

/* Assignment of clients to zones and instances, used by lookups. */
struct cs_plan;
struct cs_plan *cs_plan_create(const struct cs_view *v, int64_t wall_ms);
/*
 * Creates the plan for a newer view. prev may be NULL and is not needed afterwards. It shows which
 * part of the measured load results from the previous assignment; without it the assignment would
 * oscillate.
 */
struct cs_plan *cs_plan_update(const struct cs_plan *prev, const struct cs_view *v,
			       int64_t wall_ms);
void cs_plan_destroy(struct cs_plan *plan);

#define CS_LOCATE_MAX 4
struct cs_locate_result {
	unsigned n;
	const struct cs_member *members[CS_LOCATE_MAX]; /* owned by the plan */
	const char *reason[CS_LOCATE_MAX];
};
/*
 * Finds instances for a class and a client's address, in order of preference; false if none is
 * usable. lookup_seq counts the daemon's lookups: each client has two instances per zone, and
 * lookups alternate between them.
 */
bool cs_plan_locate(const struct cs_plan *plan, unsigned class_index, const uint8_t addr[16],
		    int64_t wall_ms, uint64_t lookup_seq, struct cs_locate_result *out);

#endif
