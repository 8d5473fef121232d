/* Shared by the core's files only. */
#ifndef CS_AGENTD_CORE_INT_H
#define CS_AGENTD_CORE_INT_H

#include "core.h"

#define CORE_SELF_LIST "cassia"

/* One of our instances: what the list says, what it says itself, what its zone's relay says. */
struct zone_row;

struct member {
	RB_ENTRY(member) entry;
	char name[CS_NAME_MAX];
	char zone[CS_NAME_MAX];
	char addr[CS_ADDR_MAX];
	uint16_t lookup_port, proxy_port, bus_port, admin_port;
	struct zone_row *row; /* of its zone; rows stay until the core ends */
	bool here; /* of the own zone */
	bool listed;
	bool list_leaving;
	bool ready, leaving, store_ok; /* own zone: from its heartbeat */
	bool excepted; /* other zones: named by its zone's row */
	enum cs_member_state except_state;
	bool except_ready;
	enum cs_member_state state; /* as last computed */
	bool shown_ready; /* as last shown */
	uint64_t incarnation, sequence;
	uint64_t heard_us; /* last message; at first the time it became known */
	uint64_t revision, lists, roster;
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
	bool seen; /* while a list is taken over */
};

/* One row of loads and exceptions for a zone. */
struct zone_row {
	RB_ENTRY(zone_row) entry;
	char zone[CS_NAME_MAX];
	char origin[CS_NAME_MAX];
	struct cs_wire_stamp stamp;
	uint64_t content;
	uint64_t heard_us; /* when the origin made it, by the own clock */
	uint64_t revision;
	struct cs_zone_load *loads;
	struct cs_report_load *sent; /* own zone: loads as last sent */
	struct member_exception *exceptions;
	unsigned n_loads, n_exceptions, n_sent;
	uint64_t sent_us; /* own zone: last sent, last sent whole */
	uint64_t sent_full_us;
	bool fresh_out; /* to pass on to other zones */
	bool fresh_in; /* to pass on to the own zone */
	bool full; /* the content is new, too */
};

struct member_exception {
	char instance[CS_NAME_MAX];
	enum cs_member_state state;
	bool ready;
};

/* Entries of one list as taken from the store or a peer. */
struct list_entry {
	char id[CS_NAME_MAX];
	char zone[CS_NAME_MAX];
	char addr[CS_ADDR_MAX];
	uint16_t port, lookup_port, proxy_port, bus_port, admin_port;
	bool leaving;
};

struct list {
	LIST_ENTRY(list) next;
	char service[CS_NAME_MAX];
	uint64_t version;
	struct list_entry *entries; /* sorted by id */
	unsigned n;
};

struct daemon {
	uint64_t started;
	uint64_t heard_us; /* 0: never */
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
	LIST_HEAD(, list) lists;
	struct daemon daemons[2]; /* by enum cs_link_kind */
	struct member *self;
	struct core_sends sends;
	struct core_stats stats;
	struct cs_wire_buf scratch;
	uint64_t sequence; /* of own messages */
	uint64_t view_seq, config_seq, members_seq, servers_seq, loads_seq;
	uint64_t loads_shown_us;
	uint64_t heartbeat_due_us, digest_due_us, full_due_us, pull_us, list_pull_us, rows_pull_us;
	uint64_t asked_revision;
	unsigned rank; /* of this instance among the members of its zone */
	bool heartbeat_now; /* something on it changed */
	bool digest_now;
	bool loads_dirty;
	bool leaving, stale;
	bool store_ok; /* the own calls are answered */
	bool store_shown; /* here or at another watcher of the zone */
};

/* Trees. */
struct member *member_find(struct core *c, const char *name);
struct member *member_get(struct core *c, const char *name, const char *zone, uint64_t now_us);
void member_free(struct core *c, struct member *m);
struct server *server_find(struct core *c, const char *name);
struct server *server_get(struct core *c, const char *name);
void server_free(struct core *c, struct server *s);
struct zone_row *zone_find(struct core *c, const char *zone);
struct zone_row *zone_get(struct core *c, const char *zone);
void zone_free(struct core *c, struct zone_row *z);
struct member *member_next(struct member *m);
struct member *member_first(struct core *c);
struct server *server_first(struct core *c);
struct server *server_next(struct server *s);
struct zone_row *zone_first(struct core *c);
struct zone_row *zone_next(struct zone_row *z);

/* Sending. */
void core_post(struct core *c, const struct core_origin *to, const struct cs_wire_msg *m);
void core_post_member(struct core *c, const struct member *m, const struct cs_wire_msg *msg);

/* Members. */
void members_tick(struct core *c, uint64_t now_us);
/* Recomputes the state of one member. */
void member_update(struct core *c, struct member *m, uint64_t now_us);
void members_heartbeat(struct core *c, const struct core_origin *from,
		       const struct cs_wire_heartbeat *h, uint64_t now_us);
void members_send_heartbeats(struct core *c, uint64_t now_us);
/* True if the member counts for the choice of relays. */
bool member_usable(const struct member *m);
/* Fills up to max relays of a zone by rendezvous hashing, best first. */
unsigned members_relays(struct core *c, const char *zone, struct member **out, unsigned max);

/* Digests. */
void digest_tick(struct core *c, uint64_t now_us);
void digest_take(struct core *c, const struct core_origin *from, const struct cs_wire_digest *d,
		 uint64_t now_us);
/* Answers a LIST_GET that asks for the zone rows; false if it asks for lists. */
bool digest_get(struct core *c, const struct core_origin *from, const struct cs_wire_list_get *g,
		uint64_t now_us);
void digest_full_to(struct core *c, const struct core_origin *to, uint64_t now_us);

/* Lists. */
void lists_doc(struct core *c, const struct core_origin *from, const struct cs_wire_list_doc *doc,
	       uint64_t now_us);
void lists_get(struct core *c, const struct core_origin *from, const struct cs_wire_list_get *g);
uint64_t lists_version(const struct core *c);
void list_free(struct list *l);

/* Configuration. */
void config_seen(struct core *c, const struct core_origin *from, uint64_t revision,
		 uint64_t now_us);

/* View. */
void view_members_changed(struct core *c);
void view_servers_changed(struct core *c);
void view_loads_changed(struct core *c);

#endif
