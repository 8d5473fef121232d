/* Internal declarations of lib/steer. */
#ifndef CS_STEER_INT_H
#define CS_STEER_INT_H

#include "steer/steer.h"

/* Longest window of request and retry counts, in steps of one second. */
#define WINDOW_STEPS_MAX 16
/* Load figures from other instances are ignored beyond this age. */
#define PEER_REPORT_MAX_AGE_US (1000 * CS_US_PER_MS)
/* Digests of zones of this region are ignored beyond this age, which covers the loss of one. */
#define DIGEST_MAX_AGE_US (3000 * CS_US_PER_MS)
/* Demand reported by other instances is ignored beyond this age; demand changes slowly. */
#define DEMAND_MAX_AGE_US (2000 * CS_US_PER_MS)

/* Servers write their entries again within this time after the store is back. */
#define ENTRY_REWRITE_US (2500 * CS_US_PER_MS)

/* Counts per second over a sliding window. */
struct counter_window {
	uint64_t step; /* number of the newest step */
	unsigned count[WINDOW_STEPS_MAX];
};

/* Kinds of messages in which limits of servers are sent. */
enum limit_feed_kind {
	LIMIT_FEED_REPORT, /* limits in responses to this instance */
	LIMIT_FEED_REGION, /* digests; also limits in reports of instances of this zone */
	LIMIT_FEED_REMOTE,
	LIMIT_FEEDS
};
struct limit_feed {
	uint64_t confirmed_us; /* when a response last named or ended the limit; 0: never */
	uint64_t sent_us;
	unsigned repeats_left; /* messages that repeat the last change */
};

/* Server of a service and the state of it that this instance has. */
struct cs_backend {
	TAILQ_ENTRY(cs_backend) entry; /* in the service's list */
	RB_ENTRY(cs_backend) by_id;
	RB_ENTRY(cs_backend) by_id_hash;
	struct cs_server_entry info;
	struct cs_steer_service *service;
	uint32_t id_hash; /* low half of the hash of its id */
	unsigned zone, region;
	bool listed; /* the store has its entry */
	bool in_full_read; /* seen in the full read in progress */
	uint64_t usable_until_us; /* end of the grace period, if not listed */
	uint64_t unlisted_us; /* when its entry was removed, if not listed */
	/* An entry older than info that the store has: when it is believed; 0: there is none. */
	uint64_t held_until_us;
	uint64_t held_us; /* when it arrived */
	uint64_t process_since_us; /* when its current process became known */
	/* The process that stated in a response that it leaves. */
	bool leaving;
	bool leaving_logged;
	int64_t leaving_started_ms;
	uint64_t leaving_us; /* when that became known */
	uint64_t leaving_response_us; /* when this instance received that response; 0: another did */
	/* Observed by this instance. */
	unsigned in_flight;
	struct cs_server_load load;
	unsigned backoff_step;
	uint64_t load_us; /* time at which load was received; 0: never */
	/*
	 * Requests per second that the server takes; 0: no limit. Here, as every tick reads it with
	 * the load.
	 */
	double limit_per_s;
	double latency_ratio; /* smoothed response time divided by the expected one */
	double error_rate; /* smoothed fraction of recent attempts that failed, 0..1 */
	uint64_t backoff_until_us;
	/* End of the time for which the server takes no request of this instance. */
	uint64_t retry_after_us;
	uint64_t retry_after_sent_us; /* when the request was sent whose response stated it */
	uint64_t unreachable_us; /* when a connection last could not be made */
	/* Sums of the reports of all other instances. */
	unsigned peers_in_flight;
	unsigned last_reported; /* value of in_flight in this instance's last report */
	/* Limit that the server names in its responses; limit_per_s is above. */
	TAILQ_ENTRY(cs_backend) limited_entry; /* in the list of limited servers */
	double limit_logged_per_s; /* value at the last change that was logged */
	/* When a response last named or ended it; 0 if none did and the server is not in the list. */
	uint64_t limit_us;
	uint64_t limit_ended_us;
	struct limit_feed limit_feeds[LIMIT_FEEDS];
	uint64_t limit_since_us; /* when the limit became known */
	double limit_part_per_s; /* part of the limit that this instance may send */
	uint64_t limit_part_us; /* when the part was computed; 0: it must be */
	double limit_allowance; /* requests that may be sent now */
	uint64_t limit_allowance_us;
	/* Rate limit while the server is cold. */
	uint64_t cold_since_us, cold_until_us;
	/* Until when it stays cold by its entry or a health check of this instance. */
	uint64_t cold_stated_until_us, cold_stated_us;
	enum cs_cold_source cold_source; /* of cold_until_us */
	enum cs_cold_source cold_stated_source;
	uint64_t cold_interval_us; /* mean time between requests of this instance; 0: not yet known */
	uint64_t cold_next_us; /* when the next request is due at that rate */
	uint32_t cold_owner; /* name_hash of the instance that may send to it */
	bool cold_unlogged; /* it became known since cs_steer_next_cold returned it */
	bool cold_owner_unlogged; /* this instance became its owner, or ceased to be */
	uint64_t cold_hold_until_us; /* as its owner, this instance sends nothing before */
	/* The server must pass a health check before it is used. */
	bool needs_probe;
	bool probing;
	/* Its entry is that of the first read; a health check or a newer entry ends that. */
	bool unverified;
	uint64_t check_requested_us; /* since when a request waits for that check; 0: none did */
	uint64_t probe_required_us; /* when the need last arose */
	uint64_t probe_started_us;
	uint64_t next_probe_us;
	struct cs_server_entry held; /* the entry of held_until_us */
};

/* Loops over all servers of all services; svc and b are the loop variables. */
#define FOREACH_BACKEND(s, svc, b)                                                                 \
	TAILQ_FOREACH(svc, &(s)->services, entry)                                                  \
		TAILQ_FOREACH(b, &(svc)->backends, entry)

RB_HEAD(backend_ids, cs_backend);
RB_HEAD(backend_hashes, cs_backend);
TAILQ_HEAD(backend_list, cs_backend);

/* Shares of a service's requests by region. */
struct region_split {
	double share[CS_REGIONS_MAX]; /* current */
	double target[CS_REGIONS_MAX]; /* share that is planned */
	double deficit[CS_REGIONS_MAX]; /* number of requests by which each region is below its
					   share */
	uint64_t first_request_us; /* 0 before the first request */
	double spill_tokens; /* requests that may be sent outside their chosen region now */
};

/* Size of the bitmap that counts distinct objects. */
#define OBJECT_BITS 4096
struct object_counter {
	uint64_t period_start_us;
	double last_estimate; /* estimate for the last complete period */
	unsigned clear_bits;
	uint8_t bits[OBJECT_BITS / 8];
};

struct cs_steer_service {
	TAILQ_ENTRY(cs_steer_service) entry;
	char name[CS_NAME_MAX];
	uint32_t name_hash; /* low half of the hash of its name */
	struct backend_list backends;
	TAILQ_HEAD(request_list, cs_steer_request) waiting;
	unsigned n_waiting;
	struct region_split region_split;
	double capacity[CS_REGIONS_MAX]; /* usable slots */
	double demand[CS_REGIONS_MAX]; /* busy slots that the other instances report */
	uint64_t capacity_changed_us;
	/*
	 * Shares of each region's requests by region, and the busy slots that result from one
	 * region in another; kept while a server is limited.
	 */
	double shares[CS_REGIONS_MAX][CS_REGIONS_MAX];
	double flows[CS_REGIONS_MAX][CS_REGIONS_MAX];
	bool has_flows;
	/* Requests of routes with home regions by region: since the last tick, and per second. */
	unsigned home_arrivals[CS_REGIONS_MAX];
	double home_rate[CS_REGIONS_MAX];
	float home_reported[CS_REGIONS_MAX]; /* busy slots in this instance's last report */
	double home_demand[CS_REGIONS_MAX][CS_REGIONS_MAX]; /* that the other instances report */
	double rate; /* arrivals per second, smoothed */
	unsigned arrivals; /* arrivals since the last tick */
	double service_time_us; /* smoothed */
	float last_reported; /* demand in this instance's last report */
	struct counter_window requests, repeats; /* repeats: retries and hedges */
	struct cs_fair *fair; /* among workspaces; NULL: none sent requests */
	struct object_counter objects; /* distinct objects of this instance's requests */
};

/* Another instance. */
struct member {
	TAILQ_ENTRY(member) entry;
	struct cs_steer_member info;
	uint32_t name_hash; /* low half of the hash of its name */
	unsigned zone, region;
	bool listed;
	/* A message from the process arrived, or a digest that lists it. */
	bool heard;
	/* The store has the key of a process that started earlier than the known one. */
	bool has_former;
	struct cs_steer_member former; /* what that key says */
	uint64_t last_seen_us; /* the same, or when its key was read; 0: never */
	uint64_t last_message_us; /* last message from the instance itself */
	bool store_fresh; /* by its last message */
	uint64_t store_revision;
	uint64_t report_received_us;
	struct cs_steer_report *report; /* last report; NULL: none */
	/* Sequence numbers of the last report, of the last digest and of the later of the two. */
	uint64_t report_seq, digest_seq, last_seq;
};
TAILQ_HEAD(member_list, member);

/* The last digest of a zone. */
struct zone_digest {
	uint64_t received_us;
	struct cs_steer_report report;
};

/* Statistics of a route; service_time_us is kept by route name when the document changes. */
struct route_state {
	double deficit[CS_SPLIT_PARTS_MAX]; /* number of requests by which each part is below its
					       weight */
	double service_time_us; /* smoothed; 0: none yet */
};

struct cs_steer {
	struct cs_steer_opts opts;
	struct cs_steer_zone zones[CS_ZONES_MAX];
	unsigned n_zones;
	unsigned zone_region[CS_ZONES_MAX];
	char regions[CS_REGIONS_MAX][CS_NAME_MAX];
	unsigned n_regions;
	unsigned zone, region; /* of this instance */
	bool evacuated[CS_ZONES_MAX];
	uint64_t taken_back_us[CS_ZONES_MAX]; /* when an evacuation ended; 0: never */
	uint32_t name_hash; /* low half of the hash of this instance's name */
	struct cs_document *doc;
	struct route_state *routes; /* indexed like the routes of doc */
	TAILQ_HEAD(, cs_steer_service) services;
	struct backend_ids ids;
	struct backend_hashes by_id_hash;
	unsigned leaving_reported; /* position after the last leaving server that was reported */
	unsigned n_leaving_unlogged; /* servers for cs_steer_next_reported_leaving */
	struct backend_list limited; /* servers whose limit_us is not 0 */
	unsigned n_cold_unlogged; /* servers for cs_steer_next_cold */
	unsigned cold_reported; /* position after the last cold server that was reported */
	bool store_fresh; /* this instance watches the store, which responded recently */
	bool full_read; /* the store's entries are being read, whenever they were written */
	bool restored; /* the store was restored, and its entries were not read since */
	uint64_t first_revision; /* the lowest one of the store's present state */
	bool first_read_done; /* the store was read once */
	bool check_requested; /* since the last cs_steer_take_check_request */
	/* Until then servers are checked before their first request; 0: there was no outage. */
	uint64_t verify_until_us;
	/* Until then servers' entries may be out of date, as no instance reached the store. */
	uint64_t entries_doubtful_until_us;
	unsigned n_cold_owners_unlogged; /* servers for cs_steer_next_cold_owner_change */
	unsigned n_limits_unlogged; /* servers for cs_steer_next_reported_limit */
	struct member_list members;
	unsigned n_members; /* length of members */
	uint64_t zone_last_seen_us; /* latest last_seen_us of the members of this zone */
	struct zone_digest *digests[CS_ZONES_MAX]; /* by zone; NULL: none received */
	unsigned max_members_seen; /* largest number of instances ever known, this one included */
	struct cs_rng rng;
	uint64_t created_us, tick_us;
	bool leaving; /* this instance stops */
	uint64_t leaving_us; /* since then */
};

/* lookup.c */
/* Service time that is assumed until a response was measured. */
#define INITIAL_SERVICE_TIME_US (400 * CS_US_PER_MS)
int steer_zone(const struct cs_steer *s, const char *name);
/* Finds a service by name, or returns NULL. */
struct cs_steer_service *steer_find_service(const struct cs_steer *s, const char *name);
/* Finds a service by name, or creates it. */
struct cs_steer_service *steer_service(struct cs_steer *s, const char *name);
/* Moves an exponential moving average towards a sample. */
void steer_update_average(double *v, double sample, double weight);
/*
 * First of n rows for the next report, of which max fit: each report begins where the one before
 * ended.
 */
unsigned rotation_next(unsigned *position, unsigned n, unsigned max);

/* limits.c */
void window_add(struct counter_window *w, uint64_t now_us);
unsigned window_sum(struct counter_window *w, unsigned steps, uint64_t now_us);
/* True if the retry budget allows another retry or hedge for the service. */
bool limits_allow_retry(struct cs_steer *s, struct cs_steer_service *svc, uint64_t now_us);
bool limits_is_cold(const struct cs_backend *b, uint64_t now_us);
/* A server became known to be cold. */
void limits_begin_cold(struct cs_backend *b, uint64_t now_us);
/*
 * Updates the owner of a cold server. Every tick does so, as a new owner must wait from the moment
 * of the change.
 */
void limits_update_cold_owner(struct cs_steer *s, struct cs_backend *b, uint64_t now_us);
/* True if this instance may send one more request to a cold server now. */
bool limits_allow_cold(struct cs_steer *s, struct cs_backend *b, uint64_t now_us);
void limits_count_cold(struct cs_backend *b, uint64_t now_us);
/*
 * True if a request that was chosen for a cold server at chosen_us may be sent to it now. Its
 * choice counted then, so that one that is sent much later comes on top of others.
 */
bool limits_may_send_cold(const struct cs_steer *s, const struct cs_backend *b, uint64_t chosen_us,
			  uint64_t now_us);

/*
 * Rendezvous weight of an instance for a server; those with the highest weights send to a server
 * whose rate is limited.
 */
uint64_t limits_owner_weight(uint32_t instance_hash, uint32_t server_hash);

/* server-limit.c */
/* True if this instance may send one more request to the server now. */
bool server_limit_allows(const struct cs_steer *s, struct cs_backend *b, uint64_t now_us);
/* True if it may do so by until_us. */
bool server_limit_allows_until(const struct cs_steer *s, struct cs_backend *b, uint64_t until_us,
			       uint64_t now_us);
void server_limit_count(struct cs_backend *b);
/* Forgets the limit of a server. */
void server_limit_reset(struct cs_steer *s, struct cs_backend *b);
/* Ends limits that no response confirmed for a time. */
void server_limits_sweep(struct cs_steer *s, uint64_t now_us);
/* Slots of the server that are busy when it gets as many requests as it takes. */
double server_limit_capacity(const struct cs_backend *b);
/* Adds the limits that changed, or that were confirmed and not sent for a time, to a message. */
void server_limit_report(struct cs_steer *s, struct cs_steer_report *r, enum limit_feed_kind kind,
			 uint64_t now_us);
/* Applies the limits in a digest, or in a report of an instance of this zone or another one. */
void server_limit_apply(struct cs_steer *s, const struct cs_steer_report *r, bool own_zone,
			uint64_t now_us);

/* object-count.c */
void objects_add(struct object_counter *o, uint64_t hash, uint64_t now_us);
/* Estimated number of distinct objects in the current period. */
double objects_current(const struct object_counter *o);
/* Estimated number of recent distinct objects; infinite before a complete period has passed. */
double objects_estimate(const struct object_counter *o);

/* servers.c */
/* True if the server's entry or one of its responses states that it leaves. */
bool backend_is_draining(const struct cs_backend *b);
/*
 * True if the server is listed or within its grace period, not draining, not evacuated and needs no
 * health check.
 */
bool backend_in_service(const struct cs_steer *s, const struct cs_backend *b, uint64_t now_us);
/* True if the server is in service, in no back-off and takes requests of this instance. */
bool backend_usable(const struct cs_steer *s, const struct cs_backend *b, uint64_t now_us);
/* Definition of the server's service in the current document; NULL if there is none. */
const struct cs_service_def *backend_service_def(const struct cs_steer *s,
						 const struct cs_backend *b);
/* Slots that the server last reported in a response, or else those of its entry. */
unsigned backend_slots(const struct cs_backend *b);
/* Low half of the time of its start, which identifies its process in reports. */
uint32_t backend_started_low(const struct cs_backend *b);
void backend_require_probe(struct cs_backend *b, uint64_t now_us);
/* Frees servers that are no longer usable and have no requests in flight. */
void servers_sweep(struct cs_steer *s, uint64_t now_us);
void servers_capacity(struct cs_steer *s, uint64_t now_us);
struct cs_backend *servers_by_id_hash(struct cs_steer *s, uint32_t id_hash);

/* Expected service time of a request, in us. */
double steer_service_time(const struct cs_steer *s, const struct cs_steer_request *req);

/* select.c */
/* Server of a region with the lowest cost among those below their utilization limit, or NULL. */
struct cs_backend *select_server(struct cs_steer *s, struct cs_steer_service *svc,
				 const struct cs_steer_request *req, unsigned region,
				 uint64_t now_us);
/* True if a server in service may take the request by until_us and was not tried. */
bool select_has_candidate(struct cs_steer *s, struct cs_steer_service *svc,
			  const struct cs_steer_request *req, uint64_t until_us, uint64_t now_us);
/*
 * Time from which a server in service takes requests: now_us unless all of them are within their
 * Retry-After.
 */
uint64_t select_retry_time(const struct cs_steer *s, const struct cs_steer_service *svc,
			   const struct cs_steer_request *req, uint64_t now_us);
unsigned backend_busy_slots(const struct cs_backend *b, uint64_t now_us);
/* True if one more request keeps the server's utilization within max_utilization. */
bool backend_below_utilization(const struct cs_backend *b, double max_utilization, uint64_t now_us);
/*
 * Highest utilization at which any request may be sent to a server; above 1, requests queue at the
 * server.
 */
#define UTILIZATION_MAX 2.0
/* Reserves a slot for an attempt and records it. */
void select_reserve(struct cs_steer *s, struct cs_steer_request *req, struct cs_backend *b,
		    uint64_t now_us);

/* regions.c */
void regions_plan(struct cs_steer *s, struct cs_steer_service *svc, uint64_t elapsed_us,
		  uint64_t now_us);
/*
 * Chooses a region of the mask for a request: by the hash of its object, so that an object moves
 * only when the shares change, or without an object the region furthest behind its share.
 */
unsigned regions_choose(struct cs_steer *s, struct cs_steer_service *svc, uint64_t mask,
			uint64_t object, uint64_t now_us);
/* Takes one of spill_tokens; false if none is left. */
bool regions_take_spill(struct cs_steer_service *svc);

/* members.c */
struct member *members_find(const struct cs_steer *s, const char *name);
/* Frees instances that are neither listed nor alive, and updates the largest number seen. */
void members_sweep(struct cs_steer *s, uint64_t now_us);
void members_free(struct cs_steer *s);
bool member_is_alive(const struct cs_steer *s, const struct member *m, uint64_t now_us);
/*
 * Applies the sender's state in a report or digest; seq is the last number of that kind. Returns
 * false if the message is outdated.
 */
bool member_accept_message(struct cs_steer *s, struct member *m, const struct cs_steer_report *r,
			   uint64_t *seq, uint64_t now_us);
/* Records that an instance is alive, by its own message or by a digest. */
void member_mark_alive(struct cs_steer *s, struct member *m, uint64_t now_us);
/*
 * True if the instance is ready, not leaving and as recently seen as the rest of this zone, so that
 * it has a rank in the zone.
 */
bool member_is_ranked(const struct cs_steer *s, const struct member *m);
/* Sort key of an instance in the order of its zone; higher comes first. */
uint64_t member_rank_weight(uint32_t name_hash);

/* entries.c */
/* True if the server wrote the entry before the one in force, which it must not replace. */
bool entry_is_older(const struct cs_steer *s, const struct cs_backend *b,
		    const struct cs_server_entry *e);
/* Remembers that the store has an older entry. If another process wrote it, the server is checked. */
void entry_hold(struct cs_backend *b, const struct cs_server_entry *e, uint64_t now_us);
/* A newer entry or the removal of the entry replaced the one that is held, if any. */
void entry_end_hold(struct cs_backend *b);
/* True if an entry was held and is to be believed now: returns it in out, and ends the hold. */
bool entry_take_held(const struct cs_steer *s, struct cs_backend *b, struct cs_server_entry *out,
		     uint64_t now_us);

/* verify.c */
/* The store was read; the first time, its entries are in doubt for a while. */
void verify_first_read_end(struct cs_steer *s, uint64_t now_us);
/* Ends the doubt if another instance has had uninterrupted contact with the store. */
void verify_tick(struct cs_steer *s, uint64_t now_us);
/* An entry was put in force; created: the server was not known. */
void verify_apply_entry(const struct cs_steer *s, struct cs_backend *b, bool created);
/* True if the server must pass a health check before it gets a request; asks for that check. */
bool verify_request(struct cs_steer *s, struct cs_backend *b, uint64_t now_us);
/* True while that check takes so long that requests go to other servers. */
bool verify_is_late(const struct cs_steer *s, const struct cs_backend *b, uint64_t now_us);
bool verify_check_is_wanted(const struct cs_steer *s, const struct cs_backend *b, uint64_t now_us);
/* How long a request waits at least for a check that it asked for. */
uint64_t verify_wait_until(uint64_t now_us);

/* cold.c */
/* Applies what a server's new entry says. */
void cold_apply_entry(struct cs_steer *s, struct cs_backend *b, uint64_t now_us);
/* Adds the servers that this instance knows to be cold by their own word to its report. */
void cold_report(struct cs_steer *s, struct cs_steer_report *r, uint64_t now_us);
/* Adds those in an instance's report, received age_us ago, to a digest. */
void cold_merge(struct cs_steer_report *to, const struct cs_steer_report *from, uint64_t age_us);
/* Applies those in a report or digest of another instance. */
void cold_apply(struct cs_steer *s, const struct cs_steer_report *r, uint64_t now_us);
/* True if the server is in service and its entry may not say that it is cold. */
bool cold_check_is_wanted(const struct cs_steer *s, const struct cs_backend *b, uint64_t now_us);
/*
 * True if this instance checks the server for the others. One or two do so, of its region if any
 * is alive there.
 */
bool cold_is_checker(const struct cs_steer *s, const struct cs_backend *b, uint64_t now_us);

/* leaving.c */
/* True if the server must be remembered although its entry is gone. */
bool leaving_is_retained(const struct cs_backend *b, uint64_t now_us);
/* Adds the servers that stated to this instance that they leave to its report. */
void leaving_report(struct cs_steer *s, struct cs_steer_report *r, uint64_t now_us);
/* Adds the leaving servers in an instance's report to a digest. */
void leaving_merge(struct cs_steer_report *to, const struct cs_steer_report *from);
/* Applies the leaving servers in a report or digest of another instance. */
void leaving_apply(struct cs_steer *s, const struct cs_steer_report *r, uint64_t now_us);

/* home-flow.c */
/* Counts a request of a route with home regions for the region that was chosen for it. */
void home_flow_count(struct cs_steer_service *svc, unsigned region);
void home_flow_update_rate(struct cs_steer_service *svc, uint64_t elapsed_us, double weight);
/* Busy slots in region to, of requests with home regions that instances of region from received. */
double home_flow(const struct cs_steer *s, const struct cs_steer_service *svc, unsigned from,
		 unsigned to);
/* Adds this instance's flows to its report, and those in another instance's report to a digest. */
void home_flows_report(struct cs_steer *s, struct cs_steer_report *r);
void home_flows_merge(struct cs_steer_report *to, const struct cs_steer_report *from);
void home_flows_reset(struct cs_steer_service *svc);
/* Adds the flows in a report to those of a region; includes_own: it includes this instance's. */
void home_flows_sum(struct cs_steer *s, const struct cs_steer_report *r, bool includes_own,
		    unsigned region);

/* fanout.c */
/* True if digests for other regions include rows of servers. */
bool fanout_remote_rows(const struct cs_steer *s);

/* digest.c */
/* Sums the reports of the other instances: requests in flight per server and demand per service. */
void digests_sum(struct cs_steer *s, uint64_t now_us);
/* True if the zone's last digest is recent enough to be used. */
bool digest_is_recent(const struct cs_steer *s, unsigned zone, uint64_t now_us);
/* True if the digest lists the instance as ready. */
bool digest_lists_ready(const struct cs_steer_report *r, uint32_t name_hash);

#endif
