/*
 * wire: protocol between the processes of this system. A message is a msgpack array: the protocol
 * version, the message type and the fields of the type. Additional elements at the end are ignored,
 * so that newer senders can add fields. Parsing checks types, lengths and counts, and rejects the
 * whole message if one of them is invalid.
 */
#ifndef CS_WIRE_H
#define CS_WIRE_H

#include "link/link.h"
#include "model/model.h"

#define CS_WIRE_VERSION 1
#define CS_WIRE_TYPE_COUNT 12 /* highest type + 1 */
#define CS_WIRE_ROWS_MAX 65536 /* limit of the elements of an array */

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

/* Order of the messages of a sender: by incarnation, then by sequence. */
struct cs_wire_stamp {
	uint64_t incarnation; /* wall-clock ms at the start of the sender */
	uint64_t sequence;
};

/* State of an agent's instance, sent once per second and when it changes. */
struct cs_wire_heartbeat {
	const char *instance;
	const char *zone;
	struct cs_wire_stamp stamp;
	uint64_t revision; /* of the configuration in use; 0: none */
	uint64_t config_hash; /* of the text of the configuration document */
	uint64_t lists_version; /* version of the instance and server lists; see cs_wire_list_doc */
	bool ready; /* its proxy accepts requests */
	bool leaving; /* planned stop has begun */
	bool store_ok; /* this agent watches the store, which responds */
	uint64_t roster; /* of its proxy; see cs_policy_roster */
	const struct cs_report_load *loads;
	unsigned n_loads;
};

/* Load of a service in the row of a zone. */
struct cs_wire_zone_load {
	uint32_t service; /* cs_wire_name_hash of its name */
	unsigned capacity, in_flight, waiting, foreign, service_us;
	bool out_of_target;
};

/* A member of a zone that is not both alive and ready. */
struct cs_wire_exception {
	const char *instance;
	enum cs_member_state state;
	bool ready;
};

/*
 * Row of a digest: the state of a zone. A brief row has only zone_hash, fingerprint, stamp.sequence
 * and age_ms. A receiver whose row has another fingerprint requests the full row.
 */
struct cs_wire_zone_row {
	const char *zone;
	const char *origin; /* relay that created the row */
	struct cs_wire_stamp stamp; /* set by the origin */
	uint64_t revision; /* lowest configuration revision in the zone */
	const struct cs_wire_zone_load *loads;
	const struct cs_wire_exception *exceptions;
	unsigned n_loads;
	unsigned n_exceptions;
	uint32_t zone_hash; /* brief rows: cs_wire_name_hash of the zone's name */
	uint32_t fingerprint; /* brief rows: hash of origin, incarnation and content_hash */
	uint32_t content_hash; /* hash of loads, exceptions and revision */
	unsigned age_ms; /* time since the origin created the row */
	bool urgent; /* relays forward the full row immediately */
	bool brief;
};

struct cs_wire_digest {
	const char *instance; /* name of the sender */
	struct cs_wire_stamp stamp;
	uint64_t revision;
	bool relayed; /* sent by a relay to its own zone; the next two fields are set only in this
			 case */
	unsigned omitted_age_max_ms; /* maximum age of the rows that the digest omits */
	uint32_t fingerprints_xor; /* XOR of the fingerprints of all rows of other zones */
	const struct cs_wire_zone_row *zones;
	unsigned n_zones;
};

/* Requests the full rows of the zones with these hashes, or of all zones if n_zone_hashes is 0. */
struct cs_wire_digest_get {
	const char *instance;
	const uint32_t *zone_hashes;
	unsigned n_zone_hashes;
};

/* Hash of a name, sent in its place to keep frequent messages small. */
uint32_t cs_wire_name_hash(const char *name);

struct cs_wire_config_get {
	const char *instance;
	uint64_t revision; /* revision that the sender has */
};

struct cs_wire_config_doc {
	uint64_t revision;
	const char *text;
	size_t len;
};

/* Entry of the platform's list of instances or servers, which agents send each other in a zone. */
struct cs_wire_entry {
	const char *id;
	const char *zone;
	const char *addr;
	uint16_t port; /* of a server */
	uint16_t lookup_port, proxy_port, bus_port, admin_port; /* of an instance */
	bool leaving;
};

struct cs_wire_list_get {
	const char *instance;
	const char *service; /* empty: all */
	uint64_t version; /* version that the sender has */
};

/* A version of a list: the full list if base is 0, otherwise the changes since version base. */
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
	struct cs_wire_stamp applied; /* last snapshot that the daemon applied */
	uint64_t started_ms; /* wall-clock ms at the start of the daemon */
	struct cs_report body;
};

/*
 * A view, or its changes since the view with sequence base. Parts whose flag is false are absent
 * and unchanged since then. If base is 0, the snapshot is a full view.
 */
struct cs_wire_snapshot {
	uint64_t base;
	bool has_config, has_members, has_servers, has_loads, has_loans;
	struct cs_view *view; /* owned by the message after parsing */
};

struct cs_wire_loan {
	const char *instance; /* name of the sender */
	const char *server;
	unsigned slots;
	unsigned duration_ms;
	uint64_t id; /* id of the loan request; a grant carries the id of its request */
};

/* Message. If it was parsed, it owns its strings and arrays. */
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

/* Buffer of a packed message; free it with cs_wire_buf_free. */
struct cs_wire_buf {
	char *data;
	size_t len;
	size_t size;
};
void cs_wire_buf_free(struct cs_wire_buf *b);

/* True if the bytes are exactly one complete msgpack object, whether or not it is a message. */
bool cs_wire_is_well_formed(const uint8_t *p, size_t len);

/* Packs a message, replacing the contents of the buffer. */
void cs_wire_pack(struct cs_wire_buf *b, const struct cs_wire_msg *m);
/* Returns NULL and sets msg if the bytes are not exactly one valid message of a known type. */
struct cs_wire_msg *cs_wire_parse(const void *data, size_t len, struct cs_msg *msg);
void cs_wire_free(struct cs_wire_msg *m);
const char *cs_wire_type_name(enum cs_wire_type type);

#endif
