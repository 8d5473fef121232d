/* Shared by the core's files only. */
#ifndef CS_AGENTD_CORE_INT_H
#define CS_AGENTD_CORE_INT_H

#include "core.h"

#define CORE_SELF_LIST "cassia"

/* One of our instances: what the list says, what it says itself, what its zone's relay says. */
struct zone_row;

struct member {
	RB_ENTRY(member) entry;
	TAILQ_ENTRY(member) zone_entry;
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

struct member_exception {
	char instance[CS_NAME_MAX];
	enum cs_member_state state;
	bool ready;
};

/* Load of one service in a zone; the service by the key of its name. */
struct row_load {
	uint32_t service;
	unsigned capacity, in_flight, waiting, foreign, service_us;
	bool out_of_target;
};

/* Moving means of a load, in requests and us. */
struct load_mean {
	uint32_t service;
	double in_flight, waiting, foreign, service_us;
};

/* What is known of a zone, as its relay said it. */
struct zone_row {
	RB_ENTRY(zone_row) entry;
	char zone[CS_NAME_MAX];
	uint32_t key;
	TAILQ_HEAD(, member) members;
	unsigned n_members; /* listed */
	enum cs_member_state phase; /* alive, suspect or unreachable by the row's age */
	char origin[CS_NAME_MAX];
	struct cs_wire_stamp stamp; /* incarnation 0: nothing known */
	uint32_t content, mark;
	uint32_t from; /* key of the zone whose relay gave the row last */
	uint64_t heard_us; /* when the origin made it, by the own clock */
	uint64_t revision;
	uint64_t asked_us; /* for the whole row */
	/* Values of the core's row clock at the last change of anything and of the content. */
	uint64_t touched, changed;
	struct row_load *loads;
	struct member_exception *exceptions;
	unsigned n_loads, n_exceptions;
	bool urgent; /* the content is passed on whole */
};

/* One zone that this relay sends to. */
struct edge {
	struct zone_row *to;
	uint64_t sent; /* row clock of the last digest */
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
	uint64_t replaced_us; /* when a new process was first heard after another; 0: never */
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
	uint64_t heartbeat_due_us, pull_us, list_pull_us, rows_pull_us;
	uint64_t asked_revision;
	/* Zone rows and their spreading. */
	struct zone_row *own; /* of the own zone */
	struct load_mean *means; /* of the own zone, smoothed */
	struct row_load *loads; /* of the own zone now; own->loads are as last published */
	unsigned n_loads, n_means;
	struct edge edges[CORE_DIRECT];
	struct edge standby; /* from the second relay to the first */
	uint64_t row_clock, zone_sent; /* zone_sent: row clock of the last relayed digest */
	uint64_t published_us, content_us, relayed_us, zone_sent_us, probe_us, edges_us;
	uint64_t loads_shown_us, others_shown_us, means_us;
	bool loads_pending, others_pending; /* changed, not yet in the view */
	struct cs_wire_stamp relayed; /* of the last relayed digest taken */
	char relayed_by[CS_NAME_MAX];
	unsigned rank; /* of this instance among the members of its zone */
	bool heartbeat_now; /* something on it changed */
	bool digest_now;
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
struct zone_row *zone_by_key(struct core *c, uint32_t key);
struct zone_row *zone_get(struct core *c, const char *zone);
void zone_free(struct core *c, struct zone_row *z);
struct member *member_next(struct member *m);
struct member *member_first(struct core *c);
struct server *server_first(struct core *c);
struct server *server_next(struct server *s);
struct zone_row *zone_first(struct core *c);
struct zone_row *zone_next(struct zone_row *z);

/* Members of the own zone, and of any. */
#define FOREACH_HERE(m, c) TAILQ_FOREACH((m), &(c)->own->members, zone_entry)
#define FOREACH_OF_ZONE(m, z) TAILQ_FOREACH((m), &(z)->members, zone_entry)

/* Sending. */
void core_post(struct core *c, const struct core_origin *to, const struct cs_wire_msg *m);
void core_post_member(struct core *c, const struct member *m, const struct cs_wire_msg *msg);

/* Members. */
void members_tick(struct core *c, uint64_t now_us);
/* Recomputes the state of one member. */
void member_update(struct core *c, struct member *m, uint64_t now_us);
/* Recomputes the states of a zone's members. */
void zone_update(struct core *c, struct zone_row *z, uint64_t now_us);
void members_heartbeat(struct core *c, const struct core_origin *from,
		       const struct cs_wire_heartbeat *h, uint64_t now_us);
void members_send_heartbeat(struct core *c, const struct member *to);
void members_send_heartbeats(struct core *c, uint64_t now_us);
/* True if the member counts for the choice of relays. */
bool member_usable(const struct member *m);
/* Fills up to max relays of a zone by rendezvous hashing, best first. */
unsigned members_relays(struct core *c, const struct zone_row *zone, struct member **out,
			unsigned max);
/* Live members of the own zone in the order of their ranks. */
unsigned members_order(struct core *c, struct member **out, unsigned max);

/* Own zone's row. */
void row_own_update(struct core *c, bool publish, uint64_t now_us);
uint32_t row_mark(const struct zone_row *z);
/* Time between two changes of a row's loads; longer with more zones. */
uint64_t row_interval(const struct core *c);

/* Rows to and from the wire. */
struct row_space;
struct row_space *space_create(struct core *c);
void space_free(struct row_space *sp);
void space_add(struct row_space *sp, const struct zone_row *z, bool whole, uint64_t now_us);
unsigned space_count(const struct row_space *sp);
void space_digest(struct core *c, const struct row_space *sp, struct cs_wire_msg *m);
/* Takes one row over; false if the whole row is needed. */
bool row_take(struct core *c, const struct cs_wire_zone *w, uint32_t from, uint64_t now_us);

/* Digests. */
void digest_tick(struct core *c, uint64_t now_us);
void digest_take(struct core *c, const struct core_origin *from, const struct cs_wire_msg *m,
		 uint64_t now_us);
void digest_get(struct core *c, const struct core_origin *from, const struct cs_wire_digest_get *g,
		uint64_t now_us);
/* All rows, whole, to a member of the own zone. */
void digest_greet(struct core *c, const struct core_origin *to, uint64_t now_us);

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
/* Members of other zones; shown by the next view_tick that is due. */
void view_others_changed(struct core *c);
void view_loads_changed(struct core *c);
void view_tick(struct core *c, uint64_t now_us);

#endif
