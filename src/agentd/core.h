/*
 * core: the agent's protocol state machine. It does no I/O: the caller passes in events and the
 * current time and fetches the messages to send and the view for the daemons. It holds the active
 * configuration, the lists of instances and servers, the member states and the zone rows. A test
 * can therefore run many cores against each other with any order of events.
 */
#ifndef CS_AGENTD_CORE_H
#define CS_AGENTD_CORE_H

#include "bus/bus.h"
#include "model/model.h"
#include "wire/wire.h"

#define CORE_TICK_US (100 * CS_US_PER_MS)
#define CORE_HEARTBEAT_US CS_US_PER_S
#define CORE_SUSPECT_US (2 * CS_US_PER_S)
#define CORE_UNREACHABLE_US (3 * CS_US_PER_S)
/*
 * A process that restarts after its clock was set back has a lower incarnation. Its messages are
 * accepted once none of the previous incarnation has been received for this time.
 */
#define CORE_INCARNATION_HOLD_US (10 * CS_US_PER_S)
#define CORE_EXPIRE_US (60 * CS_US_PER_S) /* unlisted members are freed after this silence */
#define CORE_REPORT_TIMEOUT_US (750 * CS_US_PER_MS) /* three missed reports */
/* Longer than CORE_SUSPECT_US: rows of other zones pass through several relays. */
#define CORE_ZONE_SUSPECT_US (2500 * CS_US_PER_MS)
/* Silence of the first relay of a zone before the second takes over. */
#define CORE_FAILOVER_US (1500 * CS_US_PER_MS)
#define CORE_RING_EDGES 4 /* zones that a relay sends to; their relays forward to the rest */
#define CORE_DIRECT_ZONES_MAX 5 /* with at most this many other zones, a relay sends to all */
#define CORE_ZONE_FANOUT 2 /* members that a member forwards relayed digests to */
#define CORE_RELAYS 2 /* relays, and watchers of the store, per zone */

/* Remote end of a message: a client of the listener, or the target of an outgoing connection. */
struct core_endpoint {
	bool incoming; /* client of the listener, named by id; else addr and port are set */
	struct cs_bus_routing_id id;
	char addr[CS_ADDR_MAX];
	uint16_t port;
};

/* A queued message. */
struct core_outgoing {
	TAILQ_ENTRY(core_outgoing) entry;
	struct core_endpoint to;
	enum cs_wire_type type;
	struct cs_wire_buf buf;
};
TAILQ_HEAD(core_outgoing_queue, core_outgoing);

struct core_peer {
	char addr[CS_ADDR_MAX];
	uint16_t port;
};

struct core_opts {
	char instance[CS_NAME_MAX];
	char zone[CS_NAME_MAX];
	char addr[CS_ADDR_MAX];
	uint16_t bus_port;
	uint64_t incarnation; /* wall-clock time of the start, in ms */
	uint64_t seed;
	const struct core_peer *peers; /* bootstrap peers, contacted while no member is alive */
	unsigned n_peers;
};

enum core_config_result {
	CORE_CONFIG_ACCEPTED,
	CORE_CONFIG_UNCHANGED, /* already active */
	CORE_CONFIG_OLDER, /* lower revision: refused */
	CORE_CONFIG_CONFLICT, /* active revision with different content: refused */
	CORE_CONFIG_INVALID /* fails validation: refused */
};
const char *core_config_result_name(enum core_config_result result);

struct core_stats {
	uint64_t accepted, older, conflicts, invalid; /* configuration documents by result */
	uint64_t stale; /* heartbeats not newer than the last one of their sender */
	uint64_t sends[CS_WIRE_TYPE_COUNT], send_bytes[CS_WIRE_TYPE_COUNT];
};

struct core;
struct core *core_create(const struct core_opts *opts, uint64_t now_us);
void core_destroy(struct core *c);

/* Events. */
enum core_config_result core_set_config(struct core *c, const char *text, size_t len,
					uint64_t now_us, struct cs_msg *msg);
/* Applies a full list from the store; the service "cassia" lists the instances of this system. */
void core_set_list(struct core *c, const struct cs_wire_list_doc *doc, uint64_t now_us);
void core_set_store_ok(struct core *c, bool ok);
void core_handle_message(struct core *c, const struct core_endpoint *from,
			 const struct cs_wire_msg *m, uint64_t now_us);
/* False if the report is from a process that was already replaced by a newer one. */
bool core_handle_report(struct core *c, const struct cs_wire_report *r, uint64_t now_us);
/* Result of a health check; CS_SERVER_DOWN if the server does not respond. */
void core_update_server(struct core *c, const char *name, enum cs_server_state st, unsigned slots,
			unsigned in_flight, unsigned service_us, uint64_t now_us);
/* Call every CORE_TICK_US. */
void core_tick(struct core *c, uint64_t now_us);
/*
 * Call after the process was paused. The pause does not count as silence of other members, and the
 * state counts as stale until a peer sends a message or the store responds.
 */
void core_resume(struct core *c, uint64_t now_us);
/* Starts a graceful shutdown and announces it to the zone. */
void core_leave(struct core *c, uint64_t now_us);

/* Results. */
struct core_outgoing *core_next_outgoing(struct core *c);
void core_outgoing_free(struct core_outgoing *s);
bool core_is_watcher(const struct core *c);
struct cs_config *core_current_config(const struct core *c);
bool core_is_ready(const struct core *c);
/* True if no peer has sent a message and the store has not responded since core_resume. */
bool core_is_stale(const struct core *c);
/* Sequence number of the view; grows with each change. */
uint64_t core_view_sequence(const struct core *c);
/* Packs the changes since the view that a daemon holds; false if there are none. */
bool core_snapshot(struct core *c, const struct cs_wire_stamp *held, uint64_t now_us,
		   struct cs_wire_buf *out);
/* Full view; the caller destroys it. */
struct cs_view *core_view(struct core *c, uint64_t now_us);
const struct core_stats *core_stats(const struct core *c);
/* Number of backend servers in the own zone. */
unsigned core_n_servers(const struct core *c);

typedef void (*core_server_cb)(const char *name, const char *addr, uint16_t port, void *arg);
void core_for_each_server(struct core *c, core_server_cb cb, void *arg);

#endif
