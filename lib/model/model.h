/*
 * model: the parsed configuration document, and the view of the deployment that an agent sends to
 * its local daemons. An index into an array of a configuration is valid for that configuration
 * only: another revision may order its entries differently.
 */
#ifndef CS_MODEL_H
#define CS_MODEL_H

#include "base/base.h"

#define CS_NAME_MAX 48
#define CS_ADDR_MAX 46 /* INET6_ADDRSTRLEN */
#define CS_CONFIG_MAX (1024 * 1024) /* bytes; the store accepts no larger value */
#define CS_CONFIG_CHANGES 64 /* change log entries that a document may hold */

/* CIDR block of client addresses; IPv4 in the IPv4-mapped IPv6 form. */
struct cs_block {
	uint8_t addr[16];
	uint8_t len; /* prefix length in bits, of the 128-bit form */
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
	unsigned slots; /* concurrent requests that one server handles */
	unsigned connections; /* connections that one server accepts */
	double headroom_pct; /* highest headroom_pct of the service's classes */
};

struct cs_class {
	char name[CS_NAME_MAX];
	unsigned service;
	bool idempotent;
	bool bulk; /* has large bodies; isolated from small requests */
	unsigned latency_target_ms;
	double percentile; /* share of requests that must meet latency_target_ms, 50..99.99 */
	double availability_pct;
	double headroom_pct;
	uint64_t max_body; /* limit of a request body in bytes */
	unsigned timeout_ms;
	unsigned priority; /* 0..9; under overload higher numbers are shed first */
};

enum cs_drain_kind { CS_DRAIN_ZONE, CS_DRAIN_REGION };

struct cs_drain {
	char id[CS_NAME_MAX];
	enum cs_drain_kind kind;
	unsigned target; /* index of a zone or region, according to kind */
	int64_t start_ms; /* wall clock */
	int64_t deadline_ms; /* wall clock */
};

/* Entry of the document's change log. */
struct cs_change {
	char id[CS_NAME_MAX];
	uint64_t revision; /* created by the change */
	int64_t at_ms; /* wall clock of the writer; informational only */
	char by[CS_NAME_MAX];
	char text[160];
};

struct cs_network {
	unsigned zone_delay_us; /* one-way, between zones of one region */
	unsigned region_delay_us; /* one-way, between regions */
	unsigned link_mbit_s;
};

/* Limits of traffic shifts between zones. */
struct cs_shift {
	double cap_pct_s; /* largest share of a zone's traffic that moves per second */
	unsigned lookup_ttl_ms; /* time to live of a lookup response */
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
	uint32_t *block_parents; /* cs_blocks_find_parents of blocks; NULL if there are none */
	unsigned n_regions, n_zones, n_services, n_classes, n_drains, n_changes, n_blocks;
	unsigned refs;
	char *text; /* canonical JSON as written to the store */
	size_t text_len;
};

/*
 * Parses and validates a whole document. Returns a configuration with one reference, or NULL with a
 * message that names the key, its value and the allowed values.
 */
struct cs_config *cs_config_parse(const char *text, size_t len, struct cs_msg *msg);
struct cs_config *cs_config_ref(struct cs_config *cfg);
void cs_config_unref(struct cs_config *cfg);
/* Index of the entry with this name, or -1. */
int cs_config_zone(const struct cs_config *cfg, const char *name);
int cs_config_region(const struct cs_config *cfg, const char *name);
int cs_config_service(const struct cs_config *cfg, const char *name);
int cs_config_class(const struct cs_config *cfg, const char *name);
/* Change log entry with this id, or NULL. */
const struct cs_change *cs_config_change(const struct cs_config *cfg, const char *id);
/* Zone of a client address by longest-prefix match, or -1 if no block contains it. */
int cs_config_zone_of_addr(const struct cs_config *cfg, const uint8_t addr[16]);
/* Parses an address into the 128-bit form (IPv4 as ::ffff:a.b.c.d); false if malformed. */
bool cs_addr_parse(const char *text, uint8_t addr[16]);
/*
 * Parses a prefix such as 10.1.0.0/16 or 2001:db8::/32; a bare address is a block of that address
 * alone. False if it is malformed or has bits set beyond the prefix length.
 */
bool cs_block_parse(const char *text, struct cs_block *b);
#define CS_BLOCK_MAX (CS_ADDR_MAX + 4) /* bytes of a formatted block */
void cs_block_format(const struct cs_block *b, char out[CS_BLOCK_MAX]);
/* Compares two blocks for qsort: by address, then by prefix length. */
int cs_block_cmp(const void *a, const void *b);
/*
 * Longest-prefix match in a table sorted by cs_block_cmp: index of the longest block that contains
 * the address, or -1. parents is the result of cs_blocks_find_parents, with which one binary search
 * suffices, or NULL.
 */
int cs_blocks_match(const struct cs_block *blocks, const uint32_t *parents, unsigned n,
		    const uint8_t addr[16]);
/*
 * For each block of a sorted table: index + 1 of the longest other block that contains it, or 0.
 * The caller frees the result.
 */
uint32_t *cs_blocks_find_parents(const struct cs_block *blocks, unsigned n);
/* Parses a UTC time such as 2026-12-06T20:00:00Z to ms since the epoch; false if malformed. */
bool cs_time_parse(const char *text, int64_t *ms);
#define CS_TIME_MAX 32
void cs_time_format(int64_t ms, char out[CS_TIME_MAX]);

/*
 * Schema of the configuration document, from which cassiactl also prints the reference
 * documentation and messages suggest the correct spelling of a key.
 */
enum cs_config_key_kind {
	CS_KEY_NAME, /* 1-47 of [A-Za-z0-9._-] */
	CS_KEY_TEXT, /* at most max bytes */
	CS_KEY_TIME,
	CS_KEY_BOOL,
	CS_KEY_INT,
	CS_KEY_REAL,
	CS_KEY_LIST, /* list of objects, min to max entries */
	CS_KEY_STRINGS, /* list of strings, min to max entries */
	CS_KEY_OBJECT
};
struct cs_config_key {
	const char *name;
	enum cs_config_key_kind kind;
	bool required;
	double min, max;
	double def; /* default of an optional number or boolean */
	const char *unit;
	const char *help;
};
/* Keys of one kind of object; path is "" for the document itself, or such as "classes[]". */
struct cs_config_section {
	const char *path;
	const struct cs_config_key *keys;
	unsigned n;
};
const struct cs_config_section *cs_config_sections(unsigned *n);
/* Configured one-way delay between two zones in us; 0 for the same zone. */
unsigned cs_config_delay_us(const struct cs_config *cfg, unsigned from, unsigned to);

/* State of an instance as the local agent sees it. */
enum cs_member_state {
	CS_MEMBER_ALIVE,
	CS_MEMBER_SUSPECT,
	CS_MEMBER_UNREACHABLE,
	CS_MEMBER_LEAVING,
	CS_MEMBER_DEAD
};
const char *cs_member_state_name(enum cs_member_state st);

/* An instance of the deployment. */
struct cs_member {
	char name[CS_NAME_MAX];
	char zone[CS_NAME_MAX];
	char addr[CS_ADDR_MAX];
	uint16_t lookup_port, proxy_port, bus_port, admin_port;
	enum cs_member_state state;
	bool listed; /* present in the platform's instance list */
	bool ready; /* its proxy accepts requests */
	uint64_t incarnation; /* boot id of its agent; 0 before its first message */
	uint64_t revision; /* configuration revision active on it; 0 if unknown */
	uint64_t silent_us; /* time since its last message when the view was made */
	uint64_t roster; /* cs_policy_roster of its proxy; 0 if unknown or in another zone */
};

enum cs_server_state { CS_SERVER_READY, CS_SERVER_STARTING, CS_SERVER_DRAINING, CS_SERVER_DOWN };
const char *cs_server_state_name(enum cs_server_state st);
/* State with this name, or -1. */
int cs_server_state_parse(const char *name);

/* A backend server: its entry in the platform's list and its last health report. */
struct cs_server {
	char name[CS_NAME_MAX];
	char service[CS_NAME_MAX];
	char zone[CS_NAME_MAX];
	char addr[CS_ADDR_MAX];
	uint16_t port;
	enum cs_server_state state;
	unsigned slots; /* reported concurrency limit; 0 if unknown */
	unsigned reported_in_flight;
	unsigned reported_service_us;
	uint64_t reported_age_us; /* age of the report when the view was made */
};

/* Load of one service in one zone, as published by the zone's agents. */
struct cs_zone_load {
	char zone[CS_NAME_MAX];
	char service[CS_NAME_MAX];
	uint64_t version; /* increases with each change by the zone */
	unsigned capacity; /* slots of usable servers */
	unsigned in_flight; /* requests at the zone's servers */
	unsigned waiting; /* requests queued in the zone's proxies */
	unsigned foreign; /* requests in flight for clients of other zones */
	unsigned service_us; /* mean service time */
	bool out_of_target; /* recently missed its latency or headroom target */
	uint64_t age_us; /* age of these figures when the view was made */
};

/* Slots of a server that one instance of a zone lends to another for a limited time. */
struct cs_loan {
	char server[CS_NAME_MAX];
	char lender[CS_NAME_MAX];
	char borrower[CS_NAME_MAX];
	unsigned slots;
	uint64_t remaining_us; /* remaining time when the view was made */
};

/* Complete snapshot of the deployment, sent by an agent to its daemons; replaced as a whole. */
struct cs_view {
	uint64_t incarnation; /* incarnation of the agent */
	uint64_t sequence; /* increases with each change */
	struct cs_config *cfg; /* NULL until the agent has one */
	struct cs_member *members;
	struct cs_server *servers;
	struct cs_zone_load *loads;
	struct cs_loan *loans;
	unsigned n_members, n_servers, n_loads, n_loans;
	bool store_ok; /* the store responded recently */
};

struct cs_view *cs_view_create(void);
void cs_view_destroy(struct cs_view *v);
/* Copies the arrays and takes a reference to the same configuration. */
struct cs_view *cs_view_copy(const struct cs_view *v);

#endif
