/* Names, addresses, loads and the document of the deployment. */
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "tests/standins/zones/zones.h"

#define REGIONS 27
#define BLOCKS_OF_ZONE 20
#define SLOTS 80
#define RENDEZVOUS_SEED 11 /* as src/agentd/core-members.c */
#define WAVE_S 60.0 /* period of the slow change of the load */

void world_zone(unsigned zone, char *out, size_t size)
{
	snprintf(out, size, "zone-%02u", zone);
}

void world_name(unsigned zone, unsigned member, char *out, size_t size)
{
	snprintf(out, size, "zone-%02u-%u", zone, member);
}

void world_addr(const struct world *w, unsigned zone, unsigned member, char *out, size_t size)
{
	snprintf(out, size, "%s.%u.%u", w->net, zone, member);
}

unsigned world_members(const struct world *w, unsigned zone)
{
	return zone == 0 ? w->own_members : w->other_members;
}

void world_order(unsigned zone, unsigned members, unsigned *out)
{
	uint64_t weights[MEMBERS_MAX], weight;
	char name[CS_NAME_MAX];
	unsigned m, i;

	for (m = 1; m <= members; m++) {
		world_name(zone, m, name, sizeof(name));
		weight = cs_hash_str(name, RENDEZVOUS_SEED);
		for (i = m - 1; i > 0 && weights[i - 1] < weight; i--) {
			weights[i] = weights[i - 1];
			out[i] = out[i - 1];
		}
		weights[i] = weight;
		out[i] = m;
	}
}

/* A slow wave by zone and the scatter of a random number of requests. */
void world_loads(struct world *w, unsigned zone, struct cs_report_load *rows)
{
	double wave, mean;
	unsigned i;

	for (i = 0; i < w->services; i++) {
		wave = sin((double)cs_mono_us() / (WAVE_S * 1e6) * 2 * 3.14159265 + zone);
		mean = SLOTS * SERVERS_OF_SERVICE * 0.6 * (1 + 0.3 * wave) / world_members(w, zone);
		snprintf(rows[i].service, sizeof(rows[i].service), "service-%u", i);
		rows[i].capacity = SLOTS * SERVERS_OF_SERVICE / world_members(w, zone);
		rows[i].in_flight =
			(unsigned)(mean + sqrt(mean) * (2 * cs_rng_unit(&w->rng) - 1) * 1.7 + 0.5);
		rows[i].foreign = rows[i].in_flight / 10;
		rows[i].service_us = 40000 + cs_rng_below(&w->rng, 4000);
	}
}

static json_t *zones_json(const struct world *w)
{
	json_t *rows = json_array(), *blocks;
	char name[CS_NAME_MAX], region[CS_NAME_MAX], block[64];
	unsigned z, i;

	for (z = 0; z < w->zones; z++) {
		world_zone(z, name, sizeof(name));
		snprintf(region, sizeof(region), "region-%02u", z % REGIONS);
		blocks = json_array();
		for (i = 0; i < BLOCKS_OF_ZONE; i++) {
			snprintf(block, sizeof(block), "10.%u.%u.0/24", z, i);
			json_array_append_new(blocks, json_string(block));
		}
		json_array_append_new(rows, json_pack("{s:s,s:s,s:o}", "name", name, "region",
						      region, "clients", blocks));
	}
	return rows;
}

static json_t *classes_json(const struct world *w)
{
	json_t *rows = json_array();
	char name[CS_NAME_MAX], service[CS_NAME_MAX];
	unsigned i;

	for (i = 0; i < 2 * w->services; i++) {
		snprintf(name, sizeof(name), "class-%u", i);
		snprintf(service, sizeof(service), "service-%u", i / 2);
		json_array_append_new(
			rows, json_pack("{s:s,s:s,s:b,s:b,s:i,s:i,s:f,s:i,s:i,s:i,s:i}", "name",
					name, "service", service, "idempotent", 1, "bulk", 0,
					"latency_target_ms", 400, "percentile", 99,
					"availability_pct", 99.9, "headroom_pct", 20, "max_body_kb",
					64, "timeout_ms", 3000, "priority", 1));
	}
	return rows;
}

char *world_document(const struct world *w, unsigned revision)
{
	json_t *regions = json_array(), *services = json_array(), *doc;
	char name[CS_NAME_MAX], *text;
	unsigned i;

	for (i = 0; i < REGIONS && i < w->zones; i++) {
		snprintf(name, sizeof(name), "region-%02u", i);
		json_array_append_new(regions, json_pack("{s:s}", "name", name));
	}
	for (i = 0; i < w->services; i++) {
		snprintf(name, sizeof(name), "service-%u", i);
		json_array_append_new(services, json_pack("{s:s,s:i,s:i}", "name", name, "slots",
							  SLOTS, "connections", 400));
	}
	snprintf(name, sizeof(name), "c-%u", revision);
	doc = json_pack("{s:i,s:s,s:i,s:[{s:s,s:i,s:s,s:s,s:s}],s:{s:i,s:i,s:i},s:o,s:o,s:o,s:o,"
			"s:{s:i,s:i},s:[]}",
			"format", 1, "deployment", "future", "revision", (int)revision, "changes",
			"id", name, "revision", (int)revision, "at", "2026-12-04T09:00:00Z", "by",
			"bench", "text", "change", "network", "zone_delay_ms", 1, "region_delay_ms",
			20, "link_mbit_s", 4000, "regions", regions, "zones", zones_json(w),
			"services", services, "classes", classes_json(w), "shift", "cap_pct_s", 5,
			"lookup_ttl_ms", 2000, "drains");
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	return text;
}
