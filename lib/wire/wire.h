/*
 * wire: messages between the system's own processes, as msgpack arrays. The first element is the
 * protocol version, the second the type; unknown trailing elements are ignored, so that a newer
 * sender can add fields. Parsing checks types, lengths and counts; a message that fails is dropped
 * whole.
 */
#ifndef CS_WIRE_H
#define CS_WIRE_H

#include "link/link.h"
#include "model/model.h"

#define CS_WIRE_VERSION 1
#define CS_WIRE_TYPES 12 /* one above the highest type */
#define CS_WIRE_ROWS_MAX 65536 /* rows of one array */

enum cs_wire_type {
	CS_WIRE_HEARTBEAT = 1,
	CS_WIRE_DIGEST = 2,
	CS_WIRE_CONFIG_GET = 3,
	CS_WIRE_CONFIG_DOC = 4,
	CS_WIRE_REPORT = 5,
	CS_WIRE_SNAPSHOT = 6,
	CS_WIRE_LIST_GET = 7,
	CS_WIRE_LIST_DOC = 8,
	CS_WIRE_LOAN_ASK = 9,
	CS_WIRE_LOAN_GRANT = 10,
	CS_WIRE_DIGEST_GET = 11
};

/* Orders messages of one sender: incarnation first, then sequence. */
struct cs_wire_stamp {
	uint64_t incarnation; /* wall-clock ms at the start of the sender */
	uint64_t sequence;
};

/* What an agent says of itself, once a second and at a change. */
struct cs_wire_heartbeat {
	const char *instance;
	const char *zone;
	struct cs_wire_stamp stamp;
	uint64_t revision; /* configuration in force; 0: none */
	uint64_t config_hash; /* of the document's text */
	uint64_t lists; /* version of the lists held; see cs_wire_list */
	bool ready; /* its proxy takes requests */
	bool leaving; /* planned stop has begun */
	bool store_ok; /* a watcher whose store answers */
	uint64_t roster; /* of its proxy; see cs_policy_roster */
	const struct cs_report_load *loads;
	unsigned n_loads;
};

/* Load of one service in a zone row. */
struct cs_wire_zone_load {
	uint32_t service; /* cs_wire_key of the name */
	unsigned capacity, in_flight, waiting, foreign, service_us;
	bool out_of_target;
};

/* A member of a zone that is not plainly alive and ready. */
struct cs_wire_exception {
	const char *instance;
	enum cs_member_state state;
	bool ready;
};

/*
 * One zone in a digest. A brief row only shows that the zone is there: key, mark, sequence and age.
 * The mark stands for origin, incarnation and content; who does not hold a row with this mark asks
 * for the whole row.
 */
struct cs_wire_zone {
	const char *zone;
	const char *origin; /* relay that made the row */
	struct cs_wire_stamp stamp; /* of the row, by its origin */
	uint64_t revision; /* lowest in the zone */
	const struct cs_wire_zone_load *loads;
	const struct cs_wire_exception *exceptions;
	unsigned n_loads;
	unsigned n_exceptions;
	uint32_t key; /* cs_wire_key of the zone's name; brief */
	uint32_t mark; /* brief */
	uint32_t content; /* hash of loads and exceptions */
	unsigned age_ms; /* since the origin made it */
	bool urgent; /* passed on whole */
	bool brief;
};

struct cs_wire_digest {
	const char *instance; /* who made the digest */
	struct cs_wire_stamp stamp;
	uint64_t revision;
	bool relayed; /* by a relay to its own zone; the next two are for this case */
	unsigned fresh_ms; /* no row that is absent is older than this */
	uint32_t marks; /* all marks that the relay holds, by exclusive or */
	const struct cs_wire_zone *zones;
	unsigned n_zones;
};

/* Asks for whole rows of zones by their keys; none: all. */
struct cs_wire_digest_get {
	const char *instance;
	const uint32_t *keys;
	unsigned n_keys;
};

/* Short stand-in for a name in rows that are sent often. */
uint32_t cs_wire_key(const char *name);

struct cs_wire_config_get {
	const char *instance;
	uint64_t revision; /* held by the asker */
};

struct cs_wire_config_doc {
	uint64_t revision;
	const char *text;
	size_t len;
};

/* One entry of the platform's lists, kept by agents and passed on in the zone. */
struct cs_wire_entry {
	const char *id;
	const char *zone;
	const char *addr;
	uint16_t port; /* servers */
	uint16_t lookup_port, proxy_port, bus_port, admin_port; /* own instances */
	bool leaving;
};

struct cs_wire_list_get {
	const char *instance;
	const char *service; /* empty: all */
	uint64_t version; /* held by the asker */
};

/* A list at a version, as a whole (base 0) or as a change of the list at version base. */
struct cs_wire_list_doc {
	const char *service;
	uint64_t version; /* the store's index */
	uint64_t base;
	const struct cs_wire_entry *entries;
	unsigned n_entries;
	const char *const *removed;
	unsigned n_removed;
};

struct cs_wire_report {
	struct cs_wire_stamp held; /* snapshot held: the agent's incarnation and sequence */
	uint64_t started; /* process start, wall-clock ms */
	struct cs_report body;
};

/*
 * A view in parts. A part that is absent did not change since the view of sequence base; base 0 is
 * a whole view. The configuration counts as changed when its text is present.
 */
struct cs_wire_snapshot {
	uint64_t base;
	bool has_config, has_members, has_servers, has_loads, has_loans;
	struct cs_view *view; /* owned by the message after parsing */
};

struct cs_wire_loan {
	const char *instance; /* sender */
	const char *server;
	unsigned slots;
	unsigned duration_ms;
	uint64_t id; /* of the ask */
};

/* A parsed message; strings and arrays belong to it. */
struct cs_wire_msg {
	enum cs_wire_type type;
	union {
		struct cs_wire_heartbeat heartbeat;
		struct cs_wire_digest digest;
		struct cs_wire_digest_get digest_get;
		struct cs_wire_config_get config_get;
		struct cs_wire_config_doc config_doc;
		struct cs_wire_list_get list_get;
		struct cs_wire_list_doc list_doc;
		struct cs_wire_report report;
		struct cs_wire_snapshot snapshot;
		struct cs_wire_loan loan;
	} u;
	struct cs_wire_arena *arena;
};

/* Packed bytes; free with cs_wire_buf_free. */
struct cs_wire_buf {
	char *data;
	size_t len;
	size_t size;
};
void cs_wire_buf_free(struct cs_wire_buf *b);

/* True if the bytes are one whole msgpack object whose counts fit its size; for any message. */
bool cs_wire_is_whole(const uint8_t *p, size_t len);

/* Packs a message by its type; the buffer is emptied first. */
void cs_wire_pack(struct cs_wire_buf *b, const struct cs_wire_msg *m);
/* NULL and a message if the bytes are no whole message of a known type. */
struct cs_wire_msg *cs_wire_parse(const void *data, size_t len, struct cs_msg *msg);
void cs_wire_free(struct cs_wire_msg *m);
const char *cs_wire_type_name(enum cs_wire_type type);

#endif
