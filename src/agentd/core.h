/*
 * core: the agent's protocol state without I/O. Events and a clock go in; messages to send and the
 * view for the daemons come out. It owns the accepted configuration, the lists, the states of the
 * members, the zone rows and the rules by which they change, so that tests can run many cores
 * against each other in any order of events.
 */
#ifndef CS_AGENTD_CORE_H
#define CS_AGENTD_CORE_H

#include "bus/bus.h"
#include "model/model.h"
#include "wire/wire.h"

/* All in us. */
#define CORE_TICK_US (100 * CS_US_PER_MS)
#define CORE_HEARTBEAT_US CS_US_PER_S
#define CORE_SUSPECT_US (2 * CS_US_PER_S)
#define CORE_UNREACHABLE_US (3 * CS_US_PER_S)
/* A process that starts with its clock set back has a lower incarnation; it is taken again then. */
#define CORE_INCARNATION_HOLD_US (10 * CS_US_PER_S)
#define CORE_FORGET_US (60 * CS_US_PER_S) /* an unlisted silent member */
#define CORE_REPORT_LIMIT_US (750 * CS_US_PER_MS) /* a daemon is dead after three missed reports */
/* Rows of other zones pass several relays on their way. */
#define CORE_ZONE_SUSPECT_US (2500 * CS_US_PER_MS)
#define CORE_STANDBY_US                                                                            \
	(1500 * CS_US_PER_MS) /* silence of the first relay before the second acts */
#define CORE_EDGES 4 /* zones that a relay sends to; all others are reached through them */
#define CORE_DIRECT 5 /* up to this many other zones, it sends to all of them */
#define CORE_ZONE_FANOUT 2 /* members that one member passes relayed digests on to */
#define CORE_RELAYS 2 /* relays and watchers of a zone */

/* Where a message came from: a peer of the listener, or the far end of an own connection. */
struct core_origin {
	bool incoming; /* by the listener; id is set */
	struct cs_bus_id id;
	char addr[CS_ADDR_MAX]; /* own connection */
	uint16_t port;
};

/* A message to send. */
struct core_send {
	TAILQ_ENTRY(core_send) entry;
	struct core_origin to;
	enum cs_wire_type type;
	struct cs_wire_buf buf;
};
TAILQ_HEAD(core_sends, core_send);

struct core_peer {
	char addr[CS_ADDR_MAX];
	uint16_t port;
};

struct core_opts {
	char instance[CS_NAME_MAX];
	char zone[CS_NAME_MAX];
	char addr[CS_ADDR_MAX];
	uint16_t bus_port;
	uint64_t incarnation; /* wall-clock ms at start */
	uint64_t seed;
	const struct core_peer *peers; /* from the settings, tried while no member is known */
	unsigned n_peers;
};

enum core_accept {
	CORE_ACCEPTED,
	CORE_SAME,
	CORE_OLDER, /* lower revision: refused */
	CORE_DIFFERS, /* equal revision, other content: refused */
	CORE_BAD /* does not pass the checks */
};
const char *core_accept_name(enum core_accept a);

/* Counters for metrics. */
struct core_stats {
	uint64_t accepted, older, differs, bad; /* documents */
	uint64_t stale; /* messages behind the incarnation or sequence held */
	uint64_t sends[CS_WIRE_TYPES], send_bytes[CS_WIRE_TYPES];
};

struct core;
struct core *core_create(const struct core_opts *opts, uint64_t now_us);
void core_destroy(struct core *c);

/* Events. */
enum core_accept core_config(struct core *c, const char *text, size_t len, uint64_t now_us,
			     struct cs_msg *msg);
/* A list from the store; service is "cassia" for the own instances. Always a whole list. */
void core_list_read(struct core *c, const struct cs_wire_list_doc *doc, uint64_t now_us);
void core_store_state(struct core *c, bool ok);
void core_message(struct core *c, const struct core_origin *from, const struct cs_wire_msg *m,
		  uint64_t now_us);
/* False if the daemon's process start is older than one already seen. */
bool core_report(struct core *c, const struct cs_wire_report *r, uint64_t now_us);
/* Answer of a server's health endpoint; state DOWN if there was none. */
void core_server(struct core *c, const char *name, enum cs_server_state st, unsigned slots,
		 unsigned in_flight, unsigned service_us, uint64_t now_us);
/* Every CORE_TICK_US. */
void core_tick(struct core *c, uint64_t now_us);
/* The process did not run for a while: nothing heard before counts as silence of the others. */
void core_resume(struct core *c, uint64_t now_us);
/* Planned stop: announced at once. */
void core_leave(struct core *c, uint64_t now_us);

/* Results. */
struct core_send *core_next_send(struct core *c);
void core_send_free(struct core_send *s);
bool core_is_watcher(const struct core *c);
struct cs_config *core_current(const struct core *c);
bool core_ready(const struct core *c);
bool core_stale(const struct core *c); /* after core_resume until something was heard */
uint64_t core_sequence(const struct core *c); /* of the view */
/* Messages for a daemon that holds the view given: false if it has all. */
bool core_snapshot(struct core *c, const struct cs_wire_stamp *held, uint64_t now_us,
		   struct cs_wire_buf *out);
/* The whole view; the caller destroys it. */
struct cs_view *core_view(struct core *c, uint64_t now_us);
const struct core_stats *core_stats(const struct core *c);
/* Servers of the own zone, for polling. */
unsigned core_n_servers(const struct core *c);

struct core_server;
typedef void (*core_server_cb)(const char *name, const char *addr, uint16_t port, void *arg);
void core_each_server(struct core *c, core_server_cb cb, void *arg);

#endif
