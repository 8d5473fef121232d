/*
 * Private header of lib/policy: the decision state of one proxy.
 */
#ifndef CS_POLICY_INTERNAL_H
#define CS_POLICY_INTERNAL_H

#include "policy/policy.h"

/* Small requests and requests with large bodies have separate limits and queues. */
enum { POOL_SMALL, POOL_BULK, POOLS };

/* Largest delay of the platform's instance list. */
#define LIST_LAG_MAX_US (5 * CS_US_PER_S)
#define BACKOFF_FIRST_US (1 * CS_US_PER_S)
#define BACKOFF_MAX_US (8 * CS_US_PER_S)
#define ROSTERS_MAX 64
/* Bulk gets one third of the slots: most requests are small and have the tighter targets. */
#define BULK_DIVISOR 3
#define LOANS_MAX 8
#define SAMPLED_TARGETS 3
#define TICK_US (1 * CS_US_PER_MS)
#define TICKS_PER_SCAN 50 /* ticks in which all targets are checked once */

struct svc;
struct cls;

/* A running attempt at a server. It has no id: its end is matched by class and start time. */
struct attempt {
	uint64_t start_us;
	struct cls *cls;
	uint8_t pool;
	bool foreign;
	bool borrowed; /* uses a borrowed slot */
	bool late; /* already counted as late */
};

/* Slots of a server borrowed from another instance. */
struct loan {
	unsigned slots;
	uint64_t end_us;
};

struct cs_target {
	RB_ENTRY(cs_target) entry;
	TAILQ_ENTRY(cs_target) in_svc; /* entry of svc->targets */
	TAILQ_ENTRY(cs_target) in_all; /* entry of the policy's list of all targets */
	char name[CS_NAME_MAX];
	char addr[CS_ADDR_MAX];
	uint16_t port;
	uint64_t hash; /* hash of the name */
	struct svc *svc;
	bool listed;
	bool in_view; /* temporary flag of cs_policy_update */
	/* State: the later of the view and the state header of a response applies. */
	enum cs_server_state view_state;
	enum cs_server_state state;
	uint64_t header_state_us; /* time of the last state header */
	uint64_t last_ok_us; /* time of the last complete response */
	/* Limits of this instance. */
	unsigned slots; /* as reported; 0: unknown */
	unsigned share[POOLS];
	unsigned capacity_counted[POOLS]; /* share as included in svc->capacity */
	unsigned lent_slots;
	unsigned connections;
	struct loan loans[LOANS_MAX];
	unsigned n_loans;
	/* Running attempts, in order of their start. */
	struct attempt *attempts;
	unsigned n_attempts, cap_attempts;
	unsigned n_late; /* number of leading attempts that were counted as late */
	unsigned in_flight[POOLS];
	unsigned borrowed; /* requests in flight on borrowed slots, included in in_flight */
	/* Latency, see latency.c. */
	double cusum;
	uint64_t cusum_us; /* time of the last change */
	double latency_ratio; /* moving average of latency over the class's median */
	unsigned reported_us; /* service time by the server's own report; 0: unknown */
	double reported_ratio; /* reported service time over the service's median */
	double reported_load; /* reported requests in flight per slot */
	uint64_t samples;
	uint64_t slow_start_us; /* start of the slow start; 0: none */
	/* Ejection. */
	bool ejected;
	uint64_t eject_us; /* time of the last ejection */
	unsigned consecutive_errors;
	/* Back-off after a request that the server refused. */
	uint64_t backoff_us; /* length of the current back-off; 0: none */
	uint64_t backoff_until_us;
	/* Index in svc->available, or -1. */
	int available_index[POOLS];
};
RB_HEAD(target_tree, cs_target);
TAILQ_HEAD(target_list, cs_target);
TAILQ_HEAD(request_list, cs_policy_request);

struct svc {
	TAILQ_ENTRY(svc) entry;
	char name[CS_NAME_MAX];
	int index; /* index in the configuration, or -1 */
	double headroom; /* fraction of the capacity that is kept free, 0..1 */
	bool bulk_only; /* no small classes */
	struct target_list targets;
	unsigned n_targets, n_ejected;
	bool had_targets; /* an earlier view listed targets */
	/* Targets that can take a request now, in any order. */
	struct cs_target **available[POOLS];
	unsigned n_available[POOLS], cap_available;
	unsigned rr[POOLS]; /* round-robin position */
	unsigned in_flight[POOLS], foreign[POOLS], waiting[POOLS];
	unsigned capacity[POOLS]; /* sum of shares of usable targets */
	double service_us[POOLS]; /* mean service time */
};
TAILQ_HEAD(svc_list, svc);

struct cls {
	TAILQ_ENTRY(cls) entry;
	char name[CS_NAME_MAX];
	int index; /* index in the configuration, or -1 */
	struct svc *svc;
	unsigned pool;
	struct cs_class conf;
	struct request_list queue; /* ordered by deadline */
	unsigned n_queue;
	struct cs_hist hist; /* latencies of complete responses, halved periodically */
	uint64_t hist_us; /* time of the last halving */
	uint64_t p50_us, p90_us, p95_us, p98_us; /* 0: unknown */
	uint64_t quantile_countdown; /* samples until the quantiles are computed again */
	/* Responses within and over the latency target, halved with the histogram. */
	uint64_t n_in_target, n_over_target;
	double retry_tokens, hedge_tokens;
};
TAILQ_HEAD(cls_list, cls);

/* An instance in a roster. */
struct roster_member {
	uint64_t name_hash;
	uint64_t incarnation; /* 0: unknown */
};

/* A server in a roster. */
struct roster_server {
	uint64_t service_hash;
	uint64_t name_hash;
};

/*
 * Preferred server of each instance for one service; used if there are fewer slots per server than
 * instances.
 */
struct roster_preferred {
	uint64_t service_hash;
	uint64_t *server; /* hash of the name, for each entry of members */
};

/* A set of instances that slots are divided among; kept as long as a peer may divide by it. */
struct roster {
	/*
	 * The upper half covers all inputs of the division, the lower half the incarnations. 0 for
	 * the empty roster before the first view, in which all shares are 0.
	 */
	uint64_t hash;
	uint64_t limits; /* hash of the inputs of the division other than the members */
	struct roster_member *members; /* sorted by name_hash */
	unsigned n;
	struct cs_config *cfg;
	struct roster_server *servers; /* sorted by service_hash, then name_hash */
	unsigned n_servers;
	struct roster_preferred *preferred;
	unsigned n_preferred;
	uint64_t replaced_us; /* time at which a newer roster replaced it */
};

/* The roster last announced by a listed instance of the zone. */
struct peer {
	uint64_t name_hash;
	uint64_t roster; /* 0: unknown, or it has none at present */
	bool alive;
	uint64_t proxy_exit_us; /* last restart of its proxy that was noticed; 0: none */
};

/* Load of one service in one zone, from digests and the results of hops. */
struct zone_service {
	char zone[CS_NAME_MAX];
	char service_name[CS_NAME_MAX];
	int zone_index, service; /* indexes in the configuration */
	unsigned capacity, in_flight, waiting;
	bool out_of_target;
	uint64_t version;
	bool has_digest;
	unsigned hops_sent; /* since the last digest */
	uint64_t refused_until_us;
	uint64_t refuse_backoff_us;
};

/* Index of a zone in the configuration by the hash of its name. */
struct zone_key {
	uint64_t hash;
	unsigned index;
};

struct cs_policy {
	struct cs_policy_opts opts;
	uint64_t self; /* hash of the instance name */
	struct cs_rng rng;
	struct cs_config *cfg;
	struct target_tree targets; /* ordered by name */
	struct target_list all;
	struct svc_list svcs;
	struct cls_list classes;
	struct cls **by_index; /* classes by index in the configuration */
	struct cs_member *members; /* usable other instances, grouped by zone */
	unsigned *first_member; /* per zone, index of its first member; n_zones + 1 entries */
	struct zone_key *zone_keys; /* sorted by hash */
	struct zone_service *zone_services; /* ordered by zone, then service */
	uint64_t zone_services_revision; /* configuration revision of zone_services */
	struct roster rosters[ROSTERS_MAX]; /* the last one is the current one */
	struct peer *peers;
	uint64_t share_due_us; /* next time at which a share may change; UINT64_MAX: none */
	uint64_t now_us; /* latest time seen */
	uint64_t tick_us;
	struct cs_target *cursor; /* next target that policy_tick checks */
	uint64_t loans_blocked_until_us; /* borrowed slots are not used before this time */
	int64_t wall_ms; /* wall clock at wall_at_us; 0: read the clock */
	uint64_t wall_at_us;
	/* Fraction of the own zone's requests that drains leave there, see drain.c. */
	double remaining;
	/* Time at which remaining last changed or was found equal to the schedule. */
	uint64_t remaining_changed_us;
	bool remaining_limited; /* follows the schedule at a limited rate */
	bool share_dirty; /* an input of the shares has changed */
	int zone; /* own zone in the configuration, or -1 */
	unsigned n_targets, n_by_index, n_zone_services, n_rosters, n_peers, n_waiting;
};

/* policy.c */
struct cs_target *target_find(struct cs_policy *p, const char *name);
/* Updates the target's membership in svc->available. */
void availability_refresh(struct cs_policy *p, struct cs_target *t, uint64_t now_us);
void availability_refresh_all(struct cs_policy *p, uint64_t now_us);
void policy_tick(struct cs_policy *p, uint64_t now_us);
int64_t policy_wall_ms(const struct cs_policy *p, uint64_t now_us);
struct cls *policy_class(struct cs_policy *p, unsigned class_index);
/* Fraction of its normal load that a recently started target takes, 0.1..1. */
double slow_start_factor(const struct cs_target *t, uint64_t now_us);

/* roster.c */
#define ROSTER_DIVISION_MASK 0xffffffff00000000ULL /* upper half of a roster's hash */
#define ROSTER_LEAVE_PENDING 1ULL /* lower half; see cs_policy_roster */
/* The half of a hash that covers the inputs of the division. */
uint64_t roster_division(uint64_t hash);
/* Builds a roster of the listed instances and servers of the own zone. */
void roster_build(struct cs_policy *p, struct roster *r, const struct cs_view *v);
void roster_free(struct roster *r);
/* Index of an instance by the hash of its name, or -1. */
int roster_find(const struct roster *r, uint64_t name_hash);
/* True if every member of a is also in b. */
bool roster_is_subset(const struct roster *a, const struct roster *b);
/* True if no process of the former roster has ended, judged by names and incarnations. */
bool roster_no_departures(const struct roster *former, const struct roster *current);
/* Units of a server, out of total, that this instance gets. */
unsigned roster_share(const struct cs_policy *p, const struct roster *r, const struct cs_target *t,
		      unsigned total);

/* share.c */
void share_update(struct cs_policy *p, const struct cs_view *v, uint64_t now_us);
void share_refresh(struct cs_policy *p, uint64_t now_us);
void share_clear(struct cs_policy *p);
/* Stores the roster that an instance announced; true if something changed. */
bool peer_set(struct cs_policy *p, const char *instance, uint64_t roster, bool alive,
	      uint64_t now_us);
/* Slots of the target, own and borrowed, for a request that ends by deadline_us. */
unsigned share_limit(const struct cs_policy *p, const struct cs_target *t, unsigned pool,
		     uint64_t deadline_us, uint64_t now_us);
/* True if one more request would need a borrowed slot. */
bool share_needs_loan(const struct cs_target *t, unsigned pool);
bool share_has_free_slot(const struct cs_policy *p, const struct cs_target *t, unsigned pool,
			 uint64_t deadline_us, uint64_t now_us);

/* choice.c */
struct cs_target *choice_pick(struct cs_policy *p, struct cls *c,
			      const struct cs_policy_request *req, uint64_t now_us);
bool choice_tried(const struct cs_policy_request *req, const struct cs_target *t);

/* attempt.c */
void target_attempt_start(struct cs_policy *p, struct cs_target *t, struct cls *c,
			  const struct cs_policy_request *req, uint64_t now_us);
/* Removes the attempt that started about latency_us ago and copies it; false if there is none. */
bool target_attempt_end(struct cs_policy *p, struct cs_target *t, struct cls *c,
			uint64_t latency_us, uint64_t now_us, struct attempt *out);

/* latency.c */
/* Latency above which an attempt of the class is late, in us. */
uint64_t latency_late_threshold_us(const struct cls *c);
/* Evidence that the target is slow, 0 to 11; includes running attempts that became late. */
double latency_cusum(struct cs_target *t, uint64_t now_us);
/* Expected latency at a target as a multiple of the class's median. */
double latency_cost(struct cs_target *t, uint64_t now_us);
/* Records the end of an attempt; true if it was late. */
bool latency_attempt_ended(struct cs_target *t, const struct attempt *a, enum cs_outcome outcome,
			   uint64_t latency_us, uint64_t now_us);
void latency_cusum_set(struct cs_target *t, double cusum, uint64_t now_us);
/* Compares the reported service times of the servers of each service. */
void latency_reported_update(struct cs_policy *p);

/* eject.c */
/* Records the end of an attempt; late as returned by latency_attempt_ended. */
void eject_outcome(struct cs_policy *p, struct cs_target *t, enum cs_outcome outcome, bool late,
		   uint64_t now_us);
/* An ejected target that may be probed before its ejection is over, or NULL. */
struct cs_target *eject_early_probe(struct cs_policy *p, struct svc *s, uint64_t now_us);
void eject_check(struct cs_policy *p, struct cs_target *t, uint64_t now_us);
/* True if the target looks slow and only the limit on ejections keeps it in use. */
bool eject_over_threshold(struct cs_target *t, uint64_t now_us);
/* True if the target may not take a request now because it is ejected. */
bool eject_blocks(const struct cs_target *t, uint64_t now_us);
bool backoff_active(const struct cs_target *t, uint64_t now_us);
void backoff_start(struct cs_target *t, uint64_t now_us);
/* Earliest end of a back-off if every target that is listed and not draining or down is in one. */
uint64_t backoff_all(const struct svc *s, uint64_t now_us);

/* queue.c */
void queue_push(struct cs_policy *p, struct cls *c, struct cs_policy_request *req);
/* Expected wait of a request of the class that is queued now, in us. */
uint64_t queue_wait_us(const struct cs_policy *p, const struct cls *c);

/* hop.c */
void hop_update(struct cs_policy *p, const struct cs_view *v);
void hop_clear(struct cs_policy *p);
/*
 * Chooses another instance of the own zone if this one has no share at any server of the service,
 * as with fewer slots than instances or right after it joined.
 */
bool hop_same_zone(struct cs_policy *p, const struct cls *c, struct cs_decision *out);
/*
 * Chooses an instance of another zone; false if none is known to have free capacity. drained: the
 * request must leave the own zone.
 */
bool hop_other_zone(struct cs_policy *p, struct cls *c, const struct cs_policy_request *req,
		    bool drained, uint64_t now_us, struct cs_decision *out);

/* drain.c */
#define DRAIN_HASH_SEED 0xd7a1
/* True if a drain of the own zone moves the request to another zone. */
bool drain_moves_request(struct cs_policy *p, uint64_t hash, uint64_t now_us);

/* shift.c */
/* Longest timeout of any class, in ms. */
unsigned shift_longest_timeout_ms(const struct cs_config *cfg);

/* budget.c */
/* Adds the retry and hedge credit that one request earns. */
void budget_credit(struct cls *c);

#endif
