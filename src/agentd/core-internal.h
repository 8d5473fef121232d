/* Internal declarations shared by core*.c. */
#ifndef CS_AGENTD_CORE_INTERNAL_H
#define CS_AGENTD_CORE_INTERNAL_H

#include "core.h"

#define CORE_INSTANCES_LIST "cassia"

struct zone_row;

/*
 * An instance of this system. The data come from the store's list, from the instance's own
 * heartbeats (own zone) and from the row of its zone (other zones).
 */
struct member {
	RB_ENTRY(member) entry;
	TAILQ_ENTRY(member) zone_entry;
	char name[CS_NAME_MAX];
	char zone[CS_NAME_MAX];
	char addr[CS_ADDR_MAX];
	uint16_t lookup_port, proxy_port, bus_port, admin_port;
	struct zone_row *row; /* of its zone; rows are not freed before the core */
	bool in_own_zone;
	bool listed;
	bool list_leaving; /* marked as leaving in the list */
	bool ready, leaving, store_ok; /* own zone: from the last heartbeat */
	bool has_exception; /* other zones: the row has an exception for it */
	enum cs_member_state exception_state;
	bool exception_ready;
	enum cs_member_state state; /* by the last member_update */
	bool effective_ready; /* takes requests, by the last member_update */
	uint64_t incarnation, sequence;
	uint64_t last_heartbeat_us; /* before the first heartbeat, the time of creation */
	uint64_t revision, lists_version, roster; /* from the last heartbeat */
	struct cs_report_load *loads;
	unsigned n_loads;
};

struct server {
	RB_ENTRY(server) entry;
	char name[CS_NAME_MAX];
	char service[CS_NAME_MAX];
	char zone[CS_NAME_MAX];
	char addr[CS_ADDR_MAX];
	uint16_t port;
	bool list_leaving;
	bool polled;
	enum cs_server_state state;
	unsigned slots, in_flight, service_us;
	uint64_t reported_us;
	bool in_list; /* temporary flag of list_apply_servers */
};

struct member_exception {
	char instance[CS_NAME_MAX];
	enum cs_member_state state;
	bool ready;
};

/* Load of one service in a zone; service is cs_wire_name_hash of the name. */
struct row_load {
	uint32_t service;
	unsigned capacity, in_flight, waiting, foreign, service_us;
	bool out_of_target;
};

/* Moving averages of a load, in requests and us. */
struct load_average {
	uint32_t service;
	double in_flight, waiting, foreign, service_us;
};

/* State of a zone as published by its relay. */
struct zone_row {
	RB_ENTRY(zone_row) entry;
	char zone[CS_NAME_MAX];
	uint32_t zone_hash;
	TAILQ_HEAD(, member) members;
	unsigned n_members; /* listed */
	enum cs_member_state reachability; /* alive, suspect or unreachable, by the age of the row */
	char origin[CS_NAME_MAX]; /* instance that published the row */
	struct cs_wire_stamp stamp; /* incarnation 0: no row received yet */
	uint32_t content_hash; /* hash of loads, exceptions and revision */
	uint32_t fingerprint; /* hash of origin, incarnation and content_hash */
	uint32_t sender_zone_hash; /* zone_hash of the zone whose relay last sent the row */
	uint64_t published_us; /* converted to the local clock; 0: never received */
	uint64_t revision;
	uint64_t requested_us; /* last request for the full row */
	/* Values of row_clock at the last change of any field and of the content. */
	uint64_t updated_clock, content_clock;
	struct row_load *loads;
	struct member_exception *exceptions;
	unsigned n_loads, n_exceptions;
	bool urgent; /* forward the full row immediately */
};

/* Link to a zone that this relay sends digests to. */
struct edge {
	struct zone_row *to;
	uint64_t sent_clock; /* row_clock at the last digest */
};

/* Entry of a list of instances or servers. */
struct list_entry {
	char id[CS_NAME_MAX];
	char zone[CS_NAME_MAX];
	char addr[CS_ADDR_MAX];
	uint16_t port, lookup_port, proxy_port, bus_port, admin_port;
	bool leaving;
};

/* Instances or servers of one service, from the store or a peer. */
struct service_list {
	LIST_ENTRY(service_list) next;
	char service[CS_NAME_MAX];
	uint64_t version;
	struct list_entry *entries; /* sorted by id */
	unsigned n;
};

/* The lookup or proxy daemon of this instance, by its reports. */
struct daemon {
	uint64_t started_ms; /* wall-clock time of the process start */
	uint64_t restarted_us; /* first report after a restart; 0: no restart seen */
	uint64_t last_report_us; /* 0: none */
	bool ready, stopping;
	uint64_t roster, revision;
	struct cs_report_load *loads;
	unsigned n_loads;
};

RB_HEAD(member_tree, member);
RB_HEAD(server_tree, server);
RB_HEAD(zone_tree, zone_row);

struct core {
	struct core_opts opts;
	struct core_peer *peers;
	struct cs_rng rng;
	struct cs_config *cfg;
	uint64_t cfg_hash;
	struct member_tree members;
	struct server_tree servers;
	struct zone_tree zones;
	LIST_HEAD(, service_list) lists;
	struct daemon daemons[2]; /* indexed by enum cs_link_kind */
	struct member *self;
	struct core_outgoing_queue sends;
	struct core_stats stats;
	struct cs_wire_buf scratch;
	uint64_t sequence; /* sequence number of the last message sent */
	/* Sequence of the view, and its value at the last change of each part. */
	uint64_t view_seq, config_seq, members_seq, servers_seq, loads_seq;
	uint64_t heartbeat_due_us, config_pull_us, list_pull_us, rows_pull_us;
	uint64_t requested_revision;
	/* Dissemination of zone rows. */
	struct zone_row *own_row;
	struct load_average *averages; /* moving averages of the loads of the own zone */
	struct row_load *loads; /* current loads of the own zone; the row holds the published ones */
	unsigned n_loads, n_averages;
	struct edge edges[CORE_DIRECT_ZONES_MAX];
	struct edge standby; /* from the second relay of the zone to the first */
	uint64_t row_clock; /* logical clock, counts row changes */
	uint64_t zone_sent_clock; /* row_clock at the last digest relayed to the own zone */
	/* Last publication of the own row, and last change of its content. */
	uint64_t published_us, content_us;
	/* Last relayed digest received or sent, and last one sent. */
	uint64_t relayed_us, zone_sent_us;
	/* Time of the last probe of a random zone, and of the last digests to other zones. */
	uint64_t probe_us, edges_us;
	/* Last update of the loads and of the members of other zones in the view. */
	uint64_t loads_view_us, remote_members_view_us;
	uint64_t averages_us; /* last update of averages */
	bool loads_pending, remote_members_pending; /* changed since the last view update */
	/* Stamp and sender of the last relayed digest accepted. */
	struct cs_wire_stamp relayed_stamp;
	char relayed_sender[CS_NAME_MAX];
	unsigned rank; /* of this instance among the members of its zone; see members_order */
	bool heartbeat_pending; /* send heartbeats on the next tick */
	bool digest_pending; /* send digests on the next tick */
	bool leaving, stale;
	bool store_ok; /* the store responds to this instance */
	bool zone_store_ok; /* the store responds to some watcher of the zone */
};

/* Trees of members, servers and zones. */
struct member *member_find(struct core *c, const char *name);
struct member *member_get_or_create(struct core *c, const char *name, const char *zone,
				    uint64_t now_us);
void member_free(struct core *c, struct member *m);
struct server *server_find(struct core *c, const char *name);
struct server *server_get_or_create(struct core *c, const char *name);
void server_free(struct core *c, struct server *s);
struct zone_row *zone_find_by_hash(struct core *c, uint32_t hash);
struct zone_row *zone_get_or_create(struct core *c, const char *zone);
void zone_free(struct core *c, struct zone_row *z);
struct member *member_next(struct member *m);
struct member *member_first(struct core *c);
struct server *server_first(struct core *c);
struct server *server_next(struct server *s);
struct zone_row *zone_first(struct core *c);
struct zone_row *zone_next(struct zone_row *z);

#define FOREACH_OWN_ZONE_MEMBER(m, c) TAILQ_FOREACH((m), &(c)->own_row->members, zone_entry)
#define FOREACH_ZONE_MEMBER(m, z) TAILQ_FOREACH((m), &(z)->members, zone_entry)

/* Outgoing messages. */
void core_enqueue(struct core *c, const struct core_endpoint *to, const struct cs_wire_msg *m);
void core_enqueue_to_member(struct core *c, const struct member *m, const struct cs_wire_msg *msg);

/* Members. */
void members_tick(struct core *c, uint64_t now_us);
/* Recomputes the state of one member. */
void member_update(struct core *c, struct member *m, uint64_t now_us);
/* Recomputes the states of a zone's members; frees dead ones, in the own zone after a delay. */
void zone_update(struct core *c, struct zone_row *z, uint64_t now_us);
void members_handle_heartbeat(struct core *c, const struct core_endpoint *from,
			      const struct cs_wire_heartbeat *h, uint64_t now_us);
void members_send_heartbeat(struct core *c, const struct member *to);
void members_send_heartbeats(struct core *c, uint64_t now_us);
/* True if the member is alive or suspect. */
bool member_usable(const struct member *m);
/*
 * Stores up to max relays of a zone, chosen by rendezvous hashing, highest weight first. If another
 * zone has no live member, suspect and unreachable ones are chosen.
 */
unsigned members_relays(struct core *c, const struct zone_row *zone, struct member **out,
			unsigned max);
/* Stores up to max live members of the own zone, ordered by rank. */
unsigned members_order(struct core *c, struct member **out, unsigned max);

/* Row of the own zone. */
void own_row_update(struct core *c, bool publish, uint64_t now_us);
/* Hash of origin, incarnation and content_hash. */
uint32_t row_fingerprint(const struct zone_row *z);
/* Minimum time between two changes of the published loads; grows with the number of zones. */
uint64_t row_publish_interval_us(const struct core *c);

/* Conversion of rows to and from digests. */
struct digest_builder;
struct digest_builder *digest_builder_create(struct core *c);
void digest_builder_destroy(struct digest_builder *b);
void digest_builder_add(struct digest_builder *b, const struct zone_row *z, bool full,
			uint64_t now_us);
unsigned digest_builder_count(const struct digest_builder *b);
void digest_builder_finish(struct core *c, const struct digest_builder *b, struct cs_wire_msg *m);
/* Applies a received row; false if the full row has to be requested. */
bool row_apply(struct core *c, const struct cs_wire_zone_row *w, uint32_t sender_zone_hash,
	       uint64_t now_us);

/* Dissemination of digests. */
void digest_tick(struct core *c, uint64_t now_us);
void digest_handle(struct core *c, const struct core_endpoint *from, const struct cs_wire_msg *m,
		   uint64_t now_us);
void digest_handle_get(struct core *c, const struct core_endpoint *from,
		       const struct cs_wire_digest_get *g, uint64_t now_us);
/* Sends all rows in full to a member of the own zone. */
void digest_send_all(struct core *c, const struct core_endpoint *to, uint64_t now_us);

/* Lists. */
void lists_handle_doc(struct core *c, const struct core_endpoint *from,
		      const struct cs_wire_list_doc *doc, uint64_t now_us);
void lists_handle_get(struct core *c, const struct core_endpoint *from,
		      const struct cs_wire_list_get *g);
uint64_t lists_version(const struct core *c);
void service_list_free(struct service_list *l);

/* Configuration. */
void config_pull_if_newer(struct core *c, const struct core_endpoint *from, uint64_t revision,
			  uint64_t now_us);

/* View. */
void view_members_changed(struct core *c);
void view_servers_changed(struct core *c);
/* For members of other zones; rate-limited by view_tick. */
void view_remote_members_changed(struct core *c);
void view_loads_changed(struct core *c);
void view_tick(struct core *c, uint64_t now_us);

#endif
