/* Sizes of the messages between the processes of the system, with names of typical length. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "wire/wire.h"

#define SERVICES 4
#define ZONES 96
#define MEMBERS 1700

static void print_size(const char *name, const struct cs_wire_msg *m)
{
	struct cs_wire_buf b = {0};

	cs_wire_pack(&b, m);
	printf("wire_%s_bytes %zu bytes\n", name, b.len);
	cs_wire_buf_free(&b);
}

static void fill_loads(struct cs_report_load *loads)
{
	unsigned i;

	for (i = 0; i < SERVICES; i++) {
		snprintf(loads[i].service, sizeof(loads[i].service), "service-%u", i);
		loads[i].capacity = 240;
		loads[i].in_flight = 140;
		loads[i].foreign = 14;
		loads[i].service_us = 41000;
	}
}

static void print_heartbeat_size(void)
{
	struct cs_report_load loads[SERVICES];
	struct cs_wire_msg m = {.type = CS_WIRE_HEARTBEAT};

	memset(loads, 0, sizeof(loads));
	fill_loads(loads);
	m.u.heartbeat = (struct cs_wire_heartbeat){.instance = "lom-brescia-1",
						   .zone = "lom-brescia",
						   .stamp = {1764837000000ULL, 70000},
						   .revision = 1200,
						   .config_hash = UINT64_MAX,
						   .lists_version = 70000,
						   .ready = true,
						   .roster = UINT64_MAX,
						   .loads = loads,
						   .n_loads = SERVICES};
	print_size("heartbeat", &m);
}

static void print_digest_size(const char *name, unsigned rows, bool brief)
{
	struct cs_wire_zone_load loads[SERVICES];
	struct cs_wire_zone_row z[ZONES];
	struct cs_wire_msg m = {.type = CS_WIRE_DIGEST};
	unsigned i;

	for (i = 0; i < SERVICES; i++)
		loads[i] = (struct cs_wire_zone_load){.service = UINT32_MAX,
						      .capacity = 240,
						      .in_flight = 140,
						      .foreign = 14,
						      .service_us = 41000};
	for (i = 0; i < rows; i++)
		z[i] = (struct cs_wire_zone_row){.zone = "lom-brescia",
						 .origin = "lom-brescia-1",
						 .stamp = {1764837000000ULL, 70000},
						 .revision = 1200,
						 .loads = loads,
						 .n_loads = SERVICES,
						 .zone_hash = UINT32_MAX,
						 .fingerprint = UINT32_MAX,
						 .content_hash = UINT32_MAX,
						 .age_ms = 300,
						 .brief = brief};
	m.u.digest = (struct cs_wire_digest){.instance = "lom-brescia-1",
					     .stamp = {1764837000000ULL, 70000},
					     .revision = 1200,
					     .zones = z,
					     .n_zones = rows};
	print_size(name, &m);
}

static void print_list_size(const char *name, unsigned n, uint64_t base)
{
	struct cs_wire_entry *e = cs_xcalloc(n, sizeof(*e));
	struct cs_wire_msg m = {.type = CS_WIRE_LIST_DOC};
	unsigned i;

	for (i = 0; i < n; i++)
		e[i] = (struct cs_wire_entry){.id = "lom-brescia-1",
					      .zone = "lom-brescia",
					      .addr = "127.100.100.1",
					      .port = 7001,
					      .lookup_port = 7010,
					      .proxy_port = 7020,
					      .bus_port = 7001,
					      .admin_port = 7003};
	m.u.list_doc = (struct cs_wire_list_doc){
		.service = "cassia", .version = 70000, .base = base, .entries = e, .n_entries = n};
	print_size(name, &m);
	free(e);
}

static void print_snapshot_size(const char *name, bool members, bool loads)
{
	struct cs_wire_msg m = {.type = CS_WIRE_SNAPSHOT};
	struct cs_view *v = cs_view_create();
	unsigned i;

	v->incarnation = 1764837000000ULL;
	v->sequence = 70000;
	v->n_members = MEMBERS;
	v->members = cs_xcalloc(MEMBERS, sizeof(*v->members));
	for (i = 0; i < MEMBERS; i++) {
		cs_copy(v->members[i].name, CS_NAME_MAX, "lom-brescia-1");
		cs_copy(v->members[i].zone, CS_NAME_MAX, "lom-brescia");
		cs_copy(v->members[i].addr, CS_ADDR_MAX, "127.100.100.1");
		v->members[i].lookup_port = v->members[i].proxy_port = 7010;
		v->members[i].bus_port = v->members[i].admin_port = 7001;
		v->members[i].revision = 1200;
		v->members[i].silent_us = 500000;
	}
	v->n_loads = ZONES * SERVICES;
	v->loads = cs_xcalloc(v->n_loads, sizeof(*v->loads));
	for (i = 0; i < v->n_loads; i++) {
		cs_copy(v->loads[i].zone, CS_NAME_MAX, "lom-brescia");
		cs_copy(v->loads[i].service, CS_NAME_MAX, "service-1");
		v->loads[i].capacity = 240;
		v->loads[i].in_flight = 140;
		v->loads[i].service_us = 41000;
		v->loads[i].age_us = 300000;
	}
	m.u.snapshot.view = v;
	m.u.snapshot.has_members = members;
	m.u.snapshot.has_loads = loads;
	print_size(name, &m);
	cs_view_destroy(v);
}

int main(void)
{
	struct cs_wire_msg request = {.type = CS_WIRE_CONFIG_GET};

	print_heartbeat_size();
	print_digest_size("digest_empty", 0, true);
	print_digest_size("digest_brief_row", 1, true);
	print_digest_size("digest_whole_row", 1, false);
	print_digest_size("digest_brief_96", ZONES, true);
	print_digest_size("digest_whole_96", ZONES, false);
	request.u.config_get.instance = "lom-brescia-1";
	request.u.config_get.revision = 1200;
	print_size("config_get", &request);
	print_list_size("list_whole_1700", MEMBERS, 0);
	print_list_size("list_change", 1, 69999);
	print_snapshot_size("snapshot_members_1700", true, false);
	print_snapshot_size("snapshot_loads_384", false, true);
	return 0;
}
