/* Names, addresses, loads and the configuration document of the simulated deployment. */
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "tests/standins/zones/zones.h"

#define REGIONS 27
#define BLOCKS_PER_ZONE 20
#define SLOTS 80
#define RENDEZVOUS_SEED 11 /* same as in src/agentd/core-members.c */
#define LOAD_PERIOD_S 60.0

void deployment_zone_name(unsigned zone, char *out, size_t size)
{
	snprintf(out, size, "zone-%02u", zone);
}

void deployment_member_name(unsigned zone, unsigned member, char *out, size_t size)
{
	snprintf(out, size, "zone-%02u-%u", zone, member);
}

void deployment_member_addr(const struct deployment *d, unsigned zone, unsigned member, char *out,
			    size_t size)
{
	snprintf(out, size, "%s.%u.%u", d->net, zone, member);
}

unsigned deployment_member_count(const struct deployment *d, unsigned zone)
{
	return zone == 0 ? d->own_members : d->other_members;
}

void deployment_rank_members(unsigned zone, unsigned members, unsigned *out)
{
	uint64_t weights[MEMBERS_MAX], weight;
	char name[CS_NAME_MAX];
	unsigned m, i;

	for (m = 1; m <= members; m++) {
		deployment_member_name(zone, m, name, sizeof(name));
		weight = cs_hash_str(name, RENDEZVOUS_SEED);
		for (i = m - 1; i > 0 && weights[i - 1] < weight; i--) {
			weights[i] = weights[i - 1];
			out[i] = out[i - 1];
		}
		weights[i] = weight;
		out[i] = m;
	}
}

/*
 * The load is a sine wave whose phase depends on the zone, plus random variation of the size that
 * independent requests would cause.
 */
void deployment_member_loads(struct deployment *d, unsigned zone, struct cs_report_load *rows)
{
	double wave, mean;
	unsigned i;

	for (i = 0; i < d->services; i++) {
		wave = sin((double)cs_mono_us() / (LOAD_PERIOD_S * 1e6) * 2 * 3.14159265 + zone);
		mean = SLOTS * SERVERS_PER_SERVICE * 0.6 * (1 + 0.3 * wave) /
		       deployment_member_count(d, zone);
		snprintf(rows[i].service, sizeof(rows[i].service), "service-%u", i);
		rows[i].capacity = SLOTS * SERVERS_PER_SERVICE / deployment_member_count(d, zone);
		rows[i].in_flight =
			(unsigned)(mean + sqrt(mean) * (2 * cs_rng_unit(&d->rng) - 1) * 1.7 + 0.5);
		rows[i].foreign = rows[i].in_flight / 10;
		rows[i].service_us = 40000 + cs_rng_below(&d->rng, 4000);
	}
}

static json_t *zones_json(const struct deployment *d)
{
	json_t *rows = json_array(), *blocks;
	char name[CS_NAME_MAX], region[CS_NAME_MAX], block[64];
	unsigned z, i;

	for (z = 0; z < d->zones; z++) {
		deployment_zone_name(z, name, sizeof(name));
		snprintf(region, sizeof(region), "region-%02u", z % REGIONS);
		blocks = json_array();
		for (i = 0; i < BLOCKS_PER_ZONE; i++) {
			snprintf(block, sizeof(block), "10.%u.%u.0/24", z, i);
			json_array_append_new(blocks, json_string(block));
		}
		json_array_append_new(rows, json_pack("{s:s,s:s,s:o}", "name", name, "region",
						      region, "clients", blocks));
	}
	return rows;
}

static json_t *classes_json(const struct deployment *d)
{
	json_t *rows = json_array();
	char name[CS_NAME_MAX], service[CS_NAME_MAX];
	unsigned i;

	for (i = 0; i < 2 * d->services; i++) {
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

char *deployment_document(const struct deployment *d, unsigned revision)
{
	json_t *regions = json_array(), *services = json_array(), *doc;
	char name[CS_NAME_MAX], *text;
	unsigned i;

	for (i = 0; i < REGIONS && i < d->zones; i++) {
		snprintf(name, sizeof(name), "region-%02u", i);
		json_array_append_new(regions, json_pack("{s:s}", "name", name));
	}
	for (i = 0; i < d->services; i++) {
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
			20, "link_mbit_s", 4000, "regions", regions, "zones", zones_json(d),
			"services", services, "classes", classes_json(d), "shift", "cap_pct_s", 5,
			"lookup_ttl_ms", 2000, "drains");
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	return text;
}
