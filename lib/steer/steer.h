/*
 * Routing decisions of an instance that sends requests directly to backend servers of every zone:
 * choice of service, region and server, queueing and load shedding, retry budgets, rate limits of
 * cold servers, and the instances that clients are directed to. Performs no I/O: takes inputs and a
 * clock, returns a decision. Times are monotonic, in us, unless the name has another unit.
 */
#ifndef CS_STEER_H
#define CS_STEER_H

#include "steer/document.h"

#define CS_ZONES_MAX 128
#define CS_REGIONS_MAX 32

/* Limits from the deployment's settings. */
struct cs_steer_bounds {
	double retry_ratio; /* retries and hedges as a fraction of requests, over the window */
	unsigned retry_window_s;
	unsigned retry_extra; /* retries and hedges per window allowed in addition to retry_ratio,
				 for all instances together */
	double max_shift; /* fraction of a region's requests that may change region within 2 s */
	unsigned lookup_ttl_ms; /* longest time to live of a lookup response */
	unsigned member_silence_ms; /* an instance silent for longer is not returned to clients */
};

struct cs_steer_zone {
	char name[CS_NAME_MAX];
	char region[CS_NAME_MAX];
};

struct cs_steer_opts {
	char instance[CS_NAME_MAX];
	char zone[CS_NAME_MAX];
	const struct cs_steer_zone *zones;
	unsigned n_zones;
	struct cs_steer_bounds bounds;
	uint64_t seed;
};

struct cs_steer;
struct cs_steer *cs_steer_create(const struct cs_steer_opts *opts, uint64_t now_us);
void cs_steer_destroy(struct cs_steer *s);

/* Replaces the limits, as after a reload of the settings. */
void cs_steer_set_bounds(struct cs_steer *s, const struct cs_steer_bounds *bounds);

/*
 * This instance stops: it leaves what it does for all instances to those that stay, from this
 * moment on, as they take over when they learn of it. Without any it goes on.
 */
void cs_steer_set_leaving(struct cs_steer *s, uint64_t now_us);

/*
 * Takes ownership of doc. Returns false and destroys it if its version is not newer than the
 * current one.
 */
bool cs_steer_set_document(struct cs_steer *s, struct cs_document *doc, uint64_t now_us);
const struct cs_document *cs_steer_current_document(const struct cs_steer *s);

/* A server's own entry in the store. */
struct cs_server_entry {
	char id[CS_NAME_MAX];
	char service[CS_NAME_MAX];
	char addr[CS_ADDR_MAX];
	uint16_t port;
	char zone[CS_NAME_MAX];
	unsigned slots;
	bool draining;
	unsigned cold_ms; /* remaining cold time when the entry was written */
	int64_t started_ms; /* wall-clock time of its start; 0 if unknown */
	int64_t sequence; /* rises with each report of the process */
};

struct cs_backend;

/*
 * Adds or updates a server. Returns false if the server wrote a newer entry that is known: the
 * older one is believed when the store still has it 6 s later.
 */
bool cs_steer_update_server(struct cs_steer *s, const struct cs_server_entry *e, uint64_t now_us);
/*
 * The server's entry was removed, or expired during a store outage: the server stays usable for
 * removal_grace_us.
 */
void cs_steer_remove_server(struct cs_steer *s, const char *id, uint64_t removal_grace_us,
			    uint64_t now_us);
/*
 * Brackets a full read of the store's entries. Servers not added between the two calls are removed
 * at the end, but stay usable for another removal_grace_us.
 */
void cs_steer_full_read_begin(struct cs_steer *s);
void cs_steer_full_read_end(struct cs_steer *s, uint64_t removal_grace_us, uint64_t now_us);
/* Sets the lowest revision of the store's present state; instances below it do not have that. */
void cs_steer_set_first_revision(struct cs_steer *s, uint64_t revision);
/*
 * The store was restored from a copy. Until the end of the next full read, entries of servers that
 * were removed are as old as the last known ones, too.
 */
void cs_steer_store_restored(struct cs_steer *s);
/* Starts or ends the evacuation of a zone, during which nothing is sent to its servers. */
void cs_steer_set_evacuated(struct cs_steer *s, const char *zone, bool on, uint64_t now_us);
/* Number of servers that are listed in the store and not draining. */
unsigned cs_steer_count_servers(const struct cs_steer *s);

const char *cs_backend_id(const struct cs_backend *b);
const char *cs_backend_zone(const struct cs_backend *b);
const char *cs_backend_addr(const struct cs_backend *b);
uint16_t cs_backend_port(const struct cs_backend *b);

#define CS_STEER_TRIED_MAX 4

/* Routing state of one request. The caller embeds it and sets object and arg. */
struct cs_steer_request {
	uint64_t object; /* hash of the affinity key; 0 if none */
	uint64_t arrived_us;
	uint64_t deadline_us; /* the earlier of the client's and the route's */
	char service[CS_NAME_MAX]; /* chosen once, by cs_steer_request_init */
	unsigned priority;
	unsigned target_ms;
	unsigned max_attempts;
	bool sticky;
	bool waiting;
	int region; /* chosen at the first decision; -1 before */
	unsigned route; /* index in the document */
	uint64_t version; /* version of that document */
	uint64_t home_mask; /* bit mask of the regions that may serve it */
	uint64_t workspace; /* id; 0: none */
	uint32_t tried[CS_STEER_TRIED_MAX]; /* id_hash of each server that it was sent to */
	unsigned n_tried;
	unsigned n_sent; /* attempts that may have reached a server */
	uint64_t until_us; /* end of the wait */
	uint64_t awaits_check_us; /* when it last waited for a health check of its server */
	TAILQ_ENTRY(cs_steer_request) entry;
	struct cs_steer_service *queue;
	void *arg;
};

enum cs_steer_verdict { CS_STEER_SEND, CS_STEER_WAIT, CS_STEER_REFUSE };

enum cs_steer_reason {
	CS_STEER_NO_SERVER, /* no usable server of the service in the allowed regions */
	CS_STEER_OVERLOAD, /* no free slot in time */
	CS_STEER_DEADLINE, /* too little time left before the deadline */
	CS_STEER_BUDGET, /* retry budget exhausted */
	CS_STEER_ATTEMPTS /* the route's max_attempts reached */
};
const char *cs_steer_reason_name(enum cs_steer_reason r);

struct cs_steer_decision {
	enum cs_steer_verdict verdict;
	union {
		struct {
			struct cs_backend *backend; /* one of its slots is reserved */
			unsigned busy, slots; /* load known when it was chosen */
		} send;
		struct {
			uint64_t until_us;
		} wait;
		struct {
			enum cs_steer_reason reason;
			unsigned retry_after_ms;
		} refuse;
	} u;
};

/*
 * Initialises a new request: counts it and chooses the service by the route's traffic split. The
 * route belongs to the current document; budget_ms is how long the client waits, 0 if unknown.
 */
void cs_steer_request_init(struct cs_steer *s, struct cs_steer_request *req,
			   const struct cs_route *route, unsigned budget_ms, uint64_t now_us);
/*
 * States the workspace of a request that was just initialised: its home regions bind beside those
 * of the route, and its priority goes before the route's.
 */
void cs_steer_request_set_workspace(struct cs_steer *s, struct cs_steer_request *req,
				    const struct cs_workspace *ws, uint64_t now_us);
/* Decides on a request that is not queued. On WAIT the request joins the queue of its service. */
void cs_steer_decide(struct cs_steer *s, struct cs_steer_request *req, uint64_t now_us,
		     struct cs_steer_decision *out);
/* Removes and returns the next queued request that is sent or refused now; NULL if none. */
struct cs_steer_request *cs_steer_next_waiting(struct cs_steer *s, uint64_t now_us,
					       struct cs_steer_decision *out);
/* Number of queued requests. */
unsigned cs_steer_count_waiting(const struct cs_steer *s);
/* Removes a request from its queue, if it is in one. */
void cs_steer_dequeue(struct cs_steer *s, struct cs_steer_request *req);
/*
 * Chooses a server for a hedge of a request in flight: one that was not tried yet and has a free
 * slot. NULL if there is none or the retry budget is exhausted.
 */
struct cs_backend *cs_steer_hedge(struct cs_steer *s, struct cs_steer_request *req,
				  uint64_t now_us);
/* Expected service time of a request, in us. */
double cs_steer_expected_time(const struct cs_steer *s, const struct cs_steer_request *req);
/* Time after the first attempt at which a hedge may be sent, in us. */
uint64_t cs_steer_hedge_delay(struct cs_steer *s, const struct cs_steer_request *req);

enum cs_steer_outcome {
	CS_STEER_OK, /* complete response */
	CS_STEER_ERROR, /* 5xx after execution, or connection broken after sending */
	CS_STEER_CANCELLED, /* cancelled by this instance */
	CS_STEER_TIMEOUT, /* no response by the deadline */
	CS_STEER_SHED, /* rejected by the server without execution */
	CS_STEER_MISDIRECTED, /* the address now belongs to another server */
	CS_STEER_UNSENT, /* no connection could be made */
	CS_STEER_WITHHELD /* not sent, as cs_steer_may_send was false */
};
const char *cs_steer_outcome_name(enum cs_steer_outcome o);
/*
 * True if a request may still be sent to the server that was chosen for it at chosen_us. Checked
 * directly before the first byte: the server may have become unusable or limited since then.
 */
bool cs_steer_may_send(const struct cs_steer *s, const struct cs_backend *b, uint64_t chosen_us,
		       uint64_t now_us);
/* Ends one attempt, releases its slot and updates the server's statistics. */
void cs_steer_attempt_ended(struct cs_steer *s, struct cs_steer_request *req, struct cs_backend *b,
			    enum cs_steer_outcome outcome, uint64_t took_us, uint64_t now_us);

/* Load that a server reports in a response. */
struct cs_server_load {
	unsigned running, waiting, slots;
	unsigned slowdown_pct; /* service time relative to normal, in percent; 0 if not reported */
};
/* sent_us: when the request was sent; a response of the former process of the id is ignored. */
void cs_steer_update_load(struct cs_backend *b, const struct cs_server_load *l, uint64_t sent_us,
			  uint64_t now_us);
/* What a server states about itself in a response, apart from its load. */
struct cs_server_notice {
	bool leaving; /* it stops soon */
	double limit_per_s; /* requests that it takes from all instances together; 0: no limit */
	bool limit_valid; /* limit_per_s could be read */
	unsigned retry_after_ms; /* time for which it takes no request of this instance; 0: none */
	unsigned cold_ms; /* for how much longer it is cold; 0: it is not, or does not say so */
	const char *unreadable; /* name of a header whose value could not be parsed, or NULL */
};
/*
 * Records that a server leaves, as it stated in the response to a request sent at sent_us. The
 * process gets no more requests, whatever its entry says. Returns false if that is known, or if the
 * server was started again since then.
 */
bool cs_steer_server_leaving(struct cs_backend *b, uint64_t sent_us, uint64_t now_us);
/* Next server whose leaving became known from another instance, once each; NULL if none. */
struct cs_backend *cs_steer_next_reported_leaving(struct cs_steer *s);
/*
 * Records that a server takes no request of this instance for retry_after_ms, as it stated in the
 * response to a request sent at sent_us. It gets neither requests nor health checks until then.
 * Returns false if that is known, or if the server was started again since then.
 */
bool cs_steer_server_retry_after(struct cs_backend *b, unsigned retry_after_ms, uint64_t sent_us,
				 uint64_t now_us);
/* True if the server stated that it leaves. */
bool cs_backend_is_leaving(const struct cs_backend *b);
/*
 * Records the limit that a server named in the response to a request sent at sent_us; per_s is 0 if
 * it named none. Returns true if the limit began, ended or changed by more than a tenth.
 */
bool cs_steer_server_limit(struct cs_steer *s, struct cs_backend *b, double per_s, uint64_t sent_us,
			   uint64_t now_us);
/*
 * Next server whose limit changed by a report of another instance, or ended as no response
 * confirmed it, once each; NULL if none.
 */
struct cs_backend *cs_steer_next_reported_limit(struct cs_steer *s);
/* Limit that a server names, in requests per second; 0: none. */
double cs_backend_limit(const struct cs_backend *b);
/* True if the server names a limit. */
bool cs_backend_is_limited(const struct cs_backend *b);
/* Number of servers that name a limit. */
unsigned cs_steer_count_limited(const struct cs_steer *s);
/* Requests per second that this instance may send to all of them together. */
double cs_steer_limit_parts(const struct cs_steer *s);
/*
 * Next cold server of which this instance became the owner, the one that may send to it, or ceased
 * to be; NULL if none.
 */
struct cs_backend *cs_steer_next_cold_owner_change(struct cs_steer *s);
/* True if this instance is the owner of a server that is or was cold. */
bool cs_steer_owns_cold(const struct cs_steer *s, const struct cs_backend *b);
/* Where an instance learned that a server is cold. */
enum cs_cold_source { CS_COLD_ENTRY, CS_COLD_CHECK, CS_COLD_REPORT };
/* Marks a server as cold for another cold_ms, which the server reported. */
void cs_steer_mark_cold(struct cs_steer *s, struct cs_backend *b, unsigned cold_ms,
			enum cs_cold_source source, uint64_t now_us);
/*
 * States whether this instance watches the store, which responded recently. While neither it nor a
 * neighbour does, servers in service are due for health checks.
 */
void cs_steer_set_store_contact(struct cs_steer *s, bool fresh, uint64_t now_us);
/* Next server that became known to be cold, once each; NULL if none. */
struct cs_backend *cs_steer_next_cold(struct cs_steer *s);
/* Where the latest word of it came from. */
enum cs_cold_source cs_backend_cold_source(const struct cs_backend *b);
const char *cs_cold_source_name(enum cs_cold_source source);
/* Number of servers that are known to be cold. */
unsigned cs_steer_count_cold(const struct cs_steer *s, uint64_t now_us);
/* How long the server stays cold; 0 if it is not. */
unsigned cs_backend_cold_ms(const struct cs_backend *b, uint64_t now_us);

/*
 * Next server that must pass a health check before it is used again, as after connection failures
 * or an evacuation, or that is checked since its entry may be out of date; NULL if none is due. The
 * caller requests its health path and reports the result to cs_steer_probe_done.
 */
struct cs_backend *cs_steer_next_probe(struct cs_steer *s, uint64_t now_us);
/* True if, since the last call, a request began to wait for a health check that is due now. */
bool cs_steer_take_check_request(struct cs_steer *s);
const char *cs_backend_health_path(const struct cs_steer *s, const struct cs_backend *b);
/*
 * Result of a health check. ok: the response came from this server, which is healthy and not
 * draining. Returns true if it showed that the server is cold, of which the other instances should
 * learn at once.
 */
bool cs_steer_probe_done(struct cs_steer *s, struct cs_backend *b, bool ok, unsigned cold_ms,
			 uint64_t now_us);

/* Another instance of the deployment. */
struct cs_steer_member {
	char name[CS_NAME_MAX];
	char zone[CS_NAME_MAX];
	char front[CS_ADDR_MAX + 8]; /* ADDRESS:PORT that clients connect to */
	uint64_t boot; /* distinguishes successive processes of the same name */
	bool ready;
	bool leaving;
	bool store_stable; /* all of its calls to the store succeeded for several seconds */
	bool keys_stale; /* it refuses requests with a key: the key may have been withdrawn */
};

/* The process of a server that stated that it leaves. */
struct cs_report_leaving {
	uint32_t server; /* low half of the hash of its id */
	uint32_t started; /* low half of the time of its start, in ms */
};
#define CS_REPORT_LEAVING_MAX 64
/* What the process of a server named last as its limit. */
struct cs_report_limit {
	uint32_t server, started; /* as in cs_report_leaving */
	float per_s; /* 0: it names no limit any more */
	uint16_t age_ms;
};
#define CS_REPORT_LIMITS_MAX 16
/* A server that is cold, by its entry or its response to a health check. */
struct cs_report_cold {
	uint32_t server, started; /* as in cs_report_leaving */
	unsigned cold_ms; /* for how much longer */
};
#define CS_REPORT_COLD_MAX 64
/* Offered load that home regions send to a region, whatever the shares of the regions are. */
struct cs_report_home_flow {
	uint32_t service; /* low half of the hash of its name */
	unsigned region; /* in settings order */
	float busy_slots;
};
#define CS_REPORT_HOME_FLOWS_MAX 32
#define CS_REPORT_ROWS_MAX 512
/* Row of a report: the sender's own figures for one server. */
struct cs_report_row {
	uint32_t server; /* low half of the hash of its id */
	uint16_t in_flight;
	uint16_t slowdown_pct; /* last reported slowdown; 0: none recently */
	uint16_t slowdown_age_ms;
};
#define CS_REPORT_SERVICES_MAX 16
struct cs_report_service {
	uint32_t service; /* low half of the hash of its name */
	float busy_slots; /* offered load in slots: arrivals per second times service time in
			     seconds */
	float shares[CS_REGIONS_MAX]; /* shares of requests by region, in settings order */
	unsigned n_shares;
};
/* Number of ready instances that a digest can list. */
#define CS_DIGEST_READY_MAX 256
/* Roots of a zone: the instances that send its digests and watch the store for it. */
#define CS_ROOTS_PER_ZONE 2
/*
 * Message that an instance sends to others several times a second: a report of its own state or,
 * from a root, a digest that aggregates the reports of its zone.
 */
struct cs_steer_report {
	char name[CS_NAME_MAX]; /* sender */
	uint64_t boot;
	uint64_t seq;
	bool ready;
	bool leaving;
	bool store_stable;
	bool store_fresh; /* it watches the store, which responded recently */
	bool keys_stale; /* as in cs_steer_member */
	bool is_digest;
	uint64_t store_revision; /* latest revision that it has */
	unsigned root_index; /* digest: index of the sending root and of its distribution tree */
	uint32_t ready_members[CS_DIGEST_READY_MAX]; /* digest: low halves of the hashes of names */
	unsigned n_ready;
	struct cs_report_service services[CS_REPORT_SERVICES_MAX];
	unsigned n_services;
	struct cs_report_row rows[CS_REPORT_ROWS_MAX];
	unsigned n_rows;
	struct cs_report_leaving leaving_servers[CS_REPORT_LEAVING_MAX];
	unsigned n_leaving_servers;
	struct cs_report_limit limits[CS_REPORT_LIMITS_MAX];
	unsigned n_limits;
	struct cs_report_home_flow home_flows[CS_REPORT_HOME_FLOWS_MAX];
	unsigned n_home_flows;
	struct cs_report_cold cold[CS_REPORT_COLD_MAX];
	unsigned n_cold;
};
/*
 * Adds or updates an instance that is listed in the store, or removes its listing. The key of a
 * process that started before the known one takes effect when that has been silent for 2 s.
 */
void cs_steer_update_member(struct cs_steer *s, const struct cs_steer_member *info,
			    uint64_t now_us);
void cs_steer_unlist_member(struct cs_steer *s, const char *name, uint64_t now_us);
/* Handles a received report. Reports with an older boot or sequence number are dropped. */
void cs_steer_handle_report(struct cs_steer *s, const struct cs_steer_report *r, uint64_t now_us);
/* Completes this instance's report, except for name, boot, seq, flags and revision. */
void cs_steer_build_report(struct cs_steer *s, struct cs_steer_report *r, uint64_t now_us);
/*
 * True if the fleet is too large for a full mesh of reports. The instances of a zone then report to
 * its roots, the first two in an order on which all of them agree. A root sends digests to the
 * roots of the other zones and to its own zone, where each instance forwards a digest to a few
 * others.
 */
bool cs_steer_is_large_fleet(const struct cs_steer *s);
/*
 * Handles a digest received from its sender or forwarded. False if its sender is unknown, or if it
 * is outdated or a duplicate.
 */
bool cs_steer_handle_digest(struct cs_steer *s, const struct cs_steer_report *r, uint64_t now_us);
/*
 * Rank of this instance among the live ones of its zone, in an order on which all of them agree;
 * ranks below CS_ROOTS_PER_ZONE are roots.
 */
unsigned cs_steer_rank(const struct cs_steer *s);

/* Zones that a digest is sent to. */
enum cs_digest_scope {
	CS_DIGEST_REGION, /* this zone and the others of its region */
	CS_DIGEST_REMOTE /* zones of other regions */
};
/* Completes a digest of this zone, in which the caller has set name, boot, seq and flags. */
void cs_steer_build_digest(struct cs_steer *s, struct cs_steer_report *r,
			   enum cs_digest_scope scope, uint64_t now_us);
/*
 * Stores the names of the instances that this one reports to, at most max, and returns their
 * number. The names are valid until the set of members changes.
 */
unsigned cs_steer_report_targets(const struct cs_steer *s, uint64_t now_us, const char *out[],
				 unsigned max);
/* The same for a report that cannot wait for the next digest: those that are near come first. */
unsigned cs_steer_urgent_targets(const struct cs_steer *s, const char *out[], unsigned max);
/* Like cs_steer_report_targets, for a digest of this root: one instance in each other zone. */
unsigned cs_steer_digest_targets(const struct cs_steer *s, unsigned root_index,
				 enum cs_digest_scope scope, uint64_t now_us, const char *out[],
				 unsigned max);
/* Fan-out of the distribution tree. */
#define CS_FORWARD_FANOUT 4
/*
 * Stores the names of the instances of this zone to which this one forwards a root's digest. seq is
 * the digest's sequence number; it rotates the tree, so that the instances take turns at the inner
 * nodes. entry is true at the instance of the zone that received the digest first.
 */
unsigned cs_steer_forward_targets(const struct cs_steer *s, unsigned root_index, uint64_t seq,
				  bool entry, const char *out[CS_FORWARD_FANOUT]);
/* Interval between two digests of a root; it grows with their size and the number of zones. */
uint64_t cs_steer_digest_period_us(const struct cs_steer *s, enum cs_digest_scope scope,
				   size_t bytes);
/* True if the instance is listed or was seen recently. */
bool cs_steer_has_member(const struct cs_steer *s, const char *name);
/* Highest store revision that a watching instance of this zone has; 0 if none watches. */
uint64_t cs_steer_watched_revision(const struct cs_steer *s, uint64_t now_us);
/* Name of such an instance, valid until the set of members changes; NULL if there is none. */
const char *cs_steer_store_watcher(const struct cs_steer *s, uint64_t now_us);
/* True if another instance reported recently that its store contact is stable. */
bool cs_steer_store_stable(const struct cs_steer *s, uint64_t now_us);
/* Number of instances that are known, alive or not, this one included. */
unsigned cs_steer_fleet_size(const struct cs_steer *s);
/*
 * The instances that keep tokens for the quotas of workspaces, in the view of this one: those of
 * its zone, and of other zones that have any, the nearest first. Returns the number of other zones;
 * the names are valid until the set of members changes.
 */
unsigned cs_steer_quota_keepers(const struct cs_steer *s, uint64_t now_us,
				struct cs_quota_zone *own, struct cs_quota_zone others[],
				unsigned max);
/* Number of live instances, this one included. */
unsigned cs_steer_count_members(const struct cs_steer *s, uint64_t now_us);

#define CS_CLIENT_ADDRESSES_MAX 64
/*
 * Chooses at most n addresses for clients in a zone and returns their number. self describes this
 * instance.
 */
unsigned cs_steer_client_addresses(struct cs_steer *s, const char *zone, const char *region,
				   const struct cs_steer_member *self, uint64_t now_us,
				   char out[][CS_ADDR_MAX + 8], unsigned n);
/* Periodic work: expires state and plans the region shares; call it every 50 ms. */
void cs_steer_tick(struct cs_steer *s, uint64_t now_us);

#endif
