/*
 * model: the configuration document and the view of the deployment that agents give to daemons.
 * Indexes into the arrays of a configuration stay valid for that configuration only.
 */
#ifndef CS_MODEL_H
#define CS_MODEL_H

#include "base/base.h"

#define CS_NAME_MAX 48
#define CS_ADDR_MAX 46
#define CS_CONFIG_MAX (1024 * 1024) /* bytes; the store's limit for one value */
#define CS_CONFIG_CHANGES 64 /* change ids kept in the document */

/* One client block: IPv4 (as mapped) or IPv6 prefix. */
struct cs_block {
	uint8_t addr[16];
	uint8_t len; /* prefix length in bits of the 128-bit form */
	uint16_t zone;
};

struct cs_region {
	char name[CS_NAME_MAX];
};

struct cs_zone {
	char name[CS_NAME_MAX];
	unsigned region;
};

struct cs_service {
	char name[CS_NAME_MAX];
	unsigned slots; /* concurrent requests of one server */
	unsigned connections; /* connections that one server takes */
	double headroom_pct; /* largest of the service's classes */
};

struct cs_class {
	char name[CS_NAME_MAX];
	unsigned service;
	bool idempotent;
	bool bulk; /* large bodies; kept apart from small requests */
	unsigned latency_target_ms;
	double percentile; /* 50..99.99 */
	double availability_pct;
	double headroom_pct;
	uint64_t max_body; /* bytes */
	unsigned timeout_ms;
	unsigned priority; /* 0..9; lower is kept longer */
};

enum cs_drain_kind { CS_DRAIN_ZONE, CS_DRAIN_REGION };

struct cs_drain {
	char id[CS_NAME_MAX];
	enum cs_drain_kind kind;
	unsigned target; /* zone or region index by kind */
	int64_t start_ms; /* wall clock */
	int64_t deadline_ms; /* wall clock */
};

struct cs_change {
	char id[CS_NAME_MAX];
	uint64_t revision;
	int64_t at_ms; /* wall clock of the writer, for people */
	char by[CS_NAME_MAX];
	char text[160];
};

struct cs_network {
	unsigned zone_delay_us; /* one way, between zones of a region */
	unsigned region_delay_us; /* one way, between regions */
	unsigned link_mbit_s;
};

struct cs_shift {
	double cap_pct_s; /* largest part of a zone's traffic moved in one second */
	unsigned lookup_ttl_ms; /* time to live of a lookup answer */
};

struct cs_config {
	uint64_t revision;
	char deployment[CS_NAME_MAX];
	struct cs_network network;
	struct cs_shift shift;
	struct cs_region *regions;
	struct cs_zone *zones;
	struct cs_service *services;
	struct cs_class *classes;
	struct cs_drain *drains;
	struct cs_change *changes; /* oldest first */
	struct cs_block *blocks; /* sorted by address, then length */
	uint32_t *
		block_up; /* index + 1 of the nearest block that holds this one, 0: none; or NULL */
	unsigned n_regions, n_zones, n_services, n_classes, n_drains, n_changes, n_blocks;
	unsigned refs;
	char *text; /* canonical JSON, as stored */
	size_t text_len;
};

/*
 * Parses and checks a whole document. On an error returns NULL and the message names the key, the
 * value and what is allowed. The result has one reference.
 */
struct cs_config *cs_config_parse(const char *text, size_t len, struct cs_msg *msg);
struct cs_config *cs_config_ref(struct cs_config *cfg);
void cs_config_unref(struct cs_config *cfg);
/* Index of a name, or -1. */
int cs_config_zone(const struct cs_config *cfg, const char *name);
int cs_config_region(const struct cs_config *cfg, const char *name);
int cs_config_service(const struct cs_config *cfg, const char *name);
int cs_config_class(const struct cs_config *cfg, const char *name);
const struct cs_change *cs_config_change(const struct cs_config *cfg, const char *id);
/* Zone of a caller's address by longest prefix, or -1 if no block holds it. */
int cs_config_locate(const struct cs_config *cfg, const uint8_t addr[16]);
/* Text address to the 128-bit form (IPv4 as ::ffff:a.b.c.d); false if malformed. */
bool cs_addr_parse(const char *text, uint8_t addr[16]);
/* Text prefix as 10.1.0.0/16 or 2001:db8::/32; a bare address is a block of one. False if
 * malformed. */
bool cs_block_parse(const char *text, struct cs_block *b);
/* Prefix as text. */
#define CS_BLOCK_MAX (CS_ADDR_MAX + 4)
void cs_block_format(const struct cs_block *b, char out[CS_BLOCK_MAX]);
/* Order of the block table: by address, then length. */
int cs_block_cmp(const void *a, const void *b);
/*
 * Index of the longest block of a sorted table that holds the address, or -1. With the links of
 * cs_blocks_link one binary search suffices; up may be NULL.
 */
int cs_blocks_locate(const struct cs_block *blocks, const uint32_t *up, unsigned n,
		     const uint8_t addr[16]);
/* For each block of a sorted table index + 1 of the nearest block that holds it; free() it. */
uint32_t *cs_blocks_link(const struct cs_block *blocks, unsigned n);
/* Wall-clock ms of a time as 2026-12-06T20:00:00Z; false if malformed. */
bool cs_time_parse(const char *text, int64_t *ms);
#define CS_TIME_MAX 32
void cs_time_format(int64_t ms, char out[CS_TIME_MAX]);

/* Keys of the configuration document: one table for checks, documentation and suggestions. */
enum cs_key_kind {
	CS_KEY_NAME, /* 1-47 of [A-Za-z0-9._-] */
	CS_KEY_TEXT, /* up to max bytes */
	CS_KEY_TIME,
	CS_KEY_BOOL,
	CS_KEY_INT,
	CS_KEY_REAL,
	CS_KEY_LIST, /* of objects; min to max entries */
	CS_KEY_STRINGS, /* list of strings; up to max entries */
	CS_KEY_OBJECT
};
struct cs_key {
	const char *name;
	enum cs_key_kind kind;
	bool required;
	double min, max;
	double def; /* numbers and booleans that are not required */
	const char *unit;
	const char *help;
};
/* One kind of object; path as "" for the document or "classes[]". */
struct cs_section {
	const char *path;
	const struct cs_key *keys;
	unsigned n;
};
const struct cs_section *cs_config_sections(unsigned *n);
/* One-way delay between two zones in us; 0 for the same zone. */
unsigned cs_config_delay_us(const struct cs_config *cfg, unsigned from, unsigned to);

/* State of one of our instances as the local agent sees it. */
enum cs_member_state {
	CS_MEMBER_ALIVE,
	CS_MEMBER_SUSPECT,
	CS_MEMBER_UNREACHABLE,
	CS_MEMBER_LEAVING,
	CS_MEMBER_DEAD
};
const char *cs_member_state_name(enum cs_member_state st);

struct cs_member {
	char name[CS_NAME_MAX];
	char zone[CS_NAME_MAX];
	char addr[CS_ADDR_MAX];
	uint16_t lookup_port, proxy_port, bus_port, admin_port;
	enum cs_member_state state;
	bool listed; /* named by the platform's list */
	bool ready; /* its proxy takes requests */
	uint64_t incarnation; /* boot id of its agent; 0 if never heard */
	uint64_t revision; /* configuration revision in force there; 0 if unknown */
	uint64_t silent_us; /* since the last message, at the time of the view */
	uint64_t roster; /* cs_policy_roster of its proxy; 0 if unknown or of another zone */
};

enum cs_server_state { CS_SERVER_READY, CS_SERVER_STARTING, CS_SERVER_DRAINING, CS_SERVER_DOWN };
const char *cs_server_state_name(enum cs_server_state st);
/* Index of a state name, or -1. */
int cs_server_state_parse(const char *name);

/* A backend server as listed and as its health endpoint last said. */
struct cs_server {
	char name[CS_NAME_MAX];
	char service[CS_NAME_MAX];
	char zone[CS_NAME_MAX];
	char addr[CS_ADDR_MAX];
	uint16_t port;
	enum cs_server_state state;
	unsigned slots; /* as reported; 0 if unknown */
	unsigned reported_in_flight; /* by its own report */
	unsigned reported_us; /* service time by its own report */
	uint64_t reported_age_us; /* at the time of the view */
};

/* Load of one service in one zone, from digests. */
struct cs_zone_load {
	char zone[CS_NAME_MAX];
	char service[CS_NAME_MAX];
	uint64_t version; /* grows with each change by the zone */
	unsigned capacity; /* slots of usable servers */
	unsigned in_flight; /* at the zone's servers */
	unsigned waiting; /* queued in the zone's proxies */
	unsigned foreign; /* in flight for callers of other zones */
	unsigned service_us; /* mean service time */
	bool out_of_target; /* latency or headroom target missed lately */
	uint64_t age_us; /* at the time of the view */
};

/* Slots of a server lent between two instances of one zone. */
struct cs_loan {
	char server[CS_NAME_MAX];
	char lender[CS_NAME_MAX];
	char borrower[CS_NAME_MAX];
	unsigned slots;
	uint64_t left_us; /* until it ends, at the time of the view */
};

/* What an agent tells its daemons; a whole picture, replaced as one. */
struct cs_view {
	uint64_t incarnation; /* of the agent */
	uint64_t sequence; /* grows with each change */
	struct cs_config *cfg; /* NULL until one is known */
	struct cs_member *members;
	struct cs_server *servers;
	struct cs_zone_load *loads;
	struct cs_loan *loans;
	unsigned n_members, n_servers, n_loads, n_loans;
	bool store_ok; /* the store answered lately */
};

struct cs_view *cs_view_create(void);
void cs_view_destroy(struct cs_view *v);
/* Copy with own arrays and a reference to the same configuration. */
struct cs_view *cs_view_copy(const struct cs_view *v);

#endif
