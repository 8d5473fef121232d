/*
 * Tests of lib/wire: messages keep their content when packed and parsed; damaged ones are refused.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "wire/wire.h"

static struct cs_wire_msg *round_trip(const struct cs_wire_msg *m)
{
	struct cs_wire_buf b = {0};
	struct cs_wire_msg *out;
	struct cs_msg msg;

	cs_wire_pack(&b, m);
	out = cs_wire_parse(b.data, b.len, &msg);
	g_assert_nonnull(out);
	g_assert_cmpint(out->type, ==, m->type);
	cs_wire_buf_free(&b);
	return out;
}

static const struct cs_report_load load = {.service = "orders",
					   .capacity = 60,
					   .in_flight = 31,
					   .waiting = 4,
					   .foreign = 2,
					   .service_us = 41000,
					   .out_of_target = true};

static void assert_load_equal(const struct cs_report_load *a, const struct cs_report_load *b)
{
	g_assert_cmpstr(a->service, ==, b->service);
	g_assert_cmpuint(a->capacity, ==, b->capacity);
	g_assert_cmpuint(a->in_flight, ==, b->in_flight);
	g_assert_cmpuint(a->waiting, ==, b->waiting);
	g_assert_cmpuint(a->foreign, ==, b->foreign);
	g_assert_cmpuint(a->service_us, ==, b->service_us);
	g_assert_cmpint(a->out_of_target, ==, b->out_of_target);
}

static struct cs_wire_msg make_heartbeat(void)
{
	struct cs_wire_msg m = {.type = CS_WIRE_HEARTBEAT};

	m.u.heartbeat.instance = "a-1";
	m.u.heartbeat.zone = "a";
	m.u.heartbeat.stamp.incarnation = 1764837000000ULL;
	m.u.heartbeat.stamp.sequence = 7;
	m.u.heartbeat.revision = 12;
	m.u.heartbeat.config_hash = UINT64_MAX;
	m.u.heartbeat.lists_version = 99;
	m.u.heartbeat.ready = true;
	m.u.heartbeat.store_ok = true;
	m.u.heartbeat.roster = 0xfeedULL;
	m.u.heartbeat.loads = &load;
	m.u.heartbeat.n_loads = 1;
	return m;
}

/* Guards against heartbeat fields that are packed and parsed in different orders. */
static void test_heartbeat_round_trip(void)
{
	struct cs_wire_msg m = make_heartbeat(), *out = round_trip(&m);
	const struct cs_wire_heartbeat *h = &out->u.heartbeat;

	g_assert_cmpstr(h->instance, ==, "a-1");
	g_assert_cmpstr(h->zone, ==, "a");
	g_assert_cmpuint(h->stamp.incarnation, ==, 1764837000000ULL);
	g_assert_cmpuint(h->stamp.sequence, ==, 7);
	g_assert_cmpuint(h->revision, ==, 12);
	g_assert_cmpuint(h->config_hash, ==, UINT64_MAX);
	g_assert_cmpuint(h->lists_version, ==, 99);
	g_assert_true(h->ready && !h->leaving && h->store_ok);
	g_assert_cmpuint(h->roster, ==, 0xfeed);
	g_assert_cmpuint(h->n_loads, ==, 1);
	assert_load_equal(&h->loads[0], &load);
	cs_wire_free(out);
}

/*
 * Guards against fields of zone rows that are lost or swapped, among them the loads and the
 * exceptions (members that are not both alive and ready).
 */
static void test_digest_round_trip(void)
{
	struct cs_wire_zone_load l = {.service = 0xffffffff, .capacity = 8, .foreign = 3};
	struct cs_wire_exception e = {.instance = "b-2", .state = CS_MEMBER_UNREACHABLE};
	struct cs_wire_zone_row z[2] = {
		{.zone = "b",
		 .origin = "b-1",
		 .stamp = {5, 6},
		 .content_hash = 4,
		 .age_ms = 250,
		 .urgent = true,
		 .revision = 12,
		 .loads = &l,
		 .n_loads = 1,
		 .exceptions = &e,
		 .n_exceptions = 1},
		{.zone_hash = 17, .fingerprint = 18, .stamp = {0, 2}, .brief = true}};
	struct cs_wire_msg m = {.type = CS_WIRE_DIGEST}, *out;

	m.u.digest.instance = "b-1";
	m.u.digest.zones = z;
	m.u.digest.n_zones = 2;
	m.u.digest.revision = 12;
	m.u.digest.relayed = true;
	m.u.digest.omitted_age_max_ms = 20;
	m.u.digest.fingerprints_xor = 19;
	out = round_trip(&m);
	g_assert_cmpuint(out->u.digest.n_zones, ==, 2);
	g_assert_false(out->u.digest.zones[0].brief);
	g_assert_true(out->u.digest.zones[1].brief);
	g_assert_cmpuint(out->u.digest.zones[0].age_ms, ==, 250);
	g_assert_cmpuint(out->u.digest.zones[0].loads[0].foreign, ==, 3);
	g_assert_cmpstr(out->u.digest.zones[0].exceptions[0].instance, ==, "b-2");
	g_assert_cmpint(out->u.digest.zones[0].exceptions[0].state, ==, CS_MEMBER_UNREACHABLE);
	g_assert_cmpuint(out->u.digest.zones[0].loads[0].service, ==, 0xffffffff);
	g_assert_true(out->u.digest.zones[0].urgent);
	g_assert_cmpuint(out->u.digest.zones[1].stamp.sequence, ==, 2);
	g_assert_cmpuint(out->u.digest.zones[1].zone_hash, ==, 17);
	g_assert_cmpuint(out->u.digest.zones[1].fingerprint, ==, 18);
	g_assert_cmpuint(out->u.digest.fingerprints_xor, ==, 19);
	g_assert_cmpuint(out->u.digest.omitted_age_max_ms, ==, 20);
	g_assert_true(out->u.digest.relayed);
	cs_wire_free(out);
}

/* Guards against lists that lose entries, removals or the base version. */
static void test_list_round_trip(void)
{
	struct cs_wire_entry e = {.id = "a-1",
				  .zone = "a",
				  .addr = "127.0.0.1",
				  .port = 1,
				  .lookup_port = 2,
				  .proxy_port = 3,
				  .bus_port = 4,
				  .admin_port = 65535,
				  .leaving = true};
	const char *removed[] = {"a-7", "a-8"};
	struct cs_wire_msg m = {.type = CS_WIRE_LIST_DOC}, *out;

	m.u.list_doc.service = "cassia";
	m.u.list_doc.version = 9;
	m.u.list_doc.base = 8;
	m.u.list_doc.entries = &e;
	m.u.list_doc.n_entries = 1;
	m.u.list_doc.removed = removed;
	m.u.list_doc.n_removed = 2;
	out = round_trip(&m);
	g_assert_cmpuint(out->u.list_doc.base, ==, 8);
	g_assert_cmpuint(out->u.list_doc.entries[0].admin_port, ==, 65535);
	g_assert_true(out->u.list_doc.entries[0].leaving);
	g_assert_cmpuint(out->u.list_doc.n_removed, ==, 2);
	g_assert_cmpstr(out->u.list_doc.removed[1], ==, "a-8");
	cs_wire_free(out);
}

/* Guards against views that are changed by packing and parsing. */
static void test_snapshot_round_trip(void)
{
	struct cs_view *v = cs_view_create();
	struct cs_wire_msg m = {.type = CS_WIRE_SNAPSHOT}, *out;
	const struct cs_view *parsed;

	v->incarnation = 3;
	v->sequence = 9;
	v->store_ok = true;
	v->n_members = v->n_servers = v->n_loads = 1;
	v->members = cs_xcalloc(1, sizeof(*v->members));
	v->servers = cs_xcalloc(1, sizeof(*v->servers));
	v->loads = cs_xcalloc(1, sizeof(*v->loads));
	cs_copy(v->members[0].name, CS_NAME_MAX, "a-1");
	v->members[0].state = CS_MEMBER_LEAVING;
	v->members[0].roster = 77;
	v->members[0].silent_us = 5;
	cs_copy(v->servers[0].name, CS_NAME_MAX, "s-1");
	v->servers[0].state = CS_SERVER_DRAINING;
	v->servers[0].reported_age_us = UINT64_MAX;
	v->loads[0].capacity = 6;
	v->loads[0].age_us = 11;
	m.u.snapshot.view = v;
	m.u.snapshot.base = 4;
	m.u.snapshot.has_members = m.u.snapshot.has_servers = m.u.snapshot.has_loads = true;
	out = round_trip(&m);
	parsed = out->u.snapshot.view;
	g_assert_cmpuint(out->u.snapshot.base, ==, 4);
	g_assert_false(out->u.snapshot.has_config || out->u.snapshot.has_loans);
	g_assert_cmpstr(parsed->members[0].name, ==, "a-1");
	g_assert_cmpint(parsed->members[0].state, ==, CS_MEMBER_LEAVING);
	g_assert_cmpuint(parsed->members[0].roster, ==, 77);
	g_assert_cmpuint(parsed->members[0].silent_us, ==, 5);
	g_assert_cmpstr(parsed->servers[0].name, ==, "s-1");
	g_assert_cmpint(parsed->servers[0].state, ==, CS_SERVER_DRAINING);
	g_assert_cmpuint(parsed->servers[0].reported_age_us, ==, UINT64_MAX);
	g_assert_cmpuint(parsed->loads[0].capacity, ==, 6);
	g_assert_cmpuint(parsed->loads[0].age_us, ==, 11);
	g_assert_true(parsed->store_ok);
	cs_wire_free(out);
	cs_view_destroy(v);
}

/* Guards against reports that lose a server's state or the sequence of the applied snapshot. */
static void test_report_round_trip(void)
{
	struct cs_report_server server = {.server = "s-1", .state = CS_SERVER_DOWN};
	struct cs_report_load l = load;
	struct cs_wire_msg m = {.type = CS_WIRE_REPORT}, *out;
	struct cs_wire_report *r = &m.u.report;

	r->applied.sequence = 8;
	r->started_ms = 55;
	r->body.kind = CS_LINK_LOOKUP;
	r->body.stopping = true;
	r->body.roster = 1;
	r->body.loads = &l;
	r->body.n_loads = 1;
	r->body.servers = &server;
	r->body.n_servers = 1;
	out = round_trip(&m);
	g_assert_cmpuint(out->u.report.applied.sequence, ==, 8);
	g_assert_cmpuint(out->u.report.started_ms, ==, 55);
	g_assert_cmpint(out->u.report.body.kind, ==, CS_LINK_LOOKUP);
	g_assert_true(out->u.report.body.stopping);
	g_assert_cmpstr(out->u.report.body.servers[0].server, ==, "s-1");
	g_assert_cmpint(out->u.report.body.servers[0].state, ==, CS_SERVER_DOWN);
	cs_wire_free(out);
}

/*
 * Guards against a parser that refuses messages with additional elements, as a newer sender may
 * send.
 */
static void test_accepts_additional_elements(void)
{
	struct cs_wire_msg m = {.type = CS_WIRE_CONFIG_GET}, *out;
	struct cs_wire_buf b = {0};
	struct cs_msg msg;
	char extended[64];

	m.u.config_get.instance = "a-1";
	m.u.config_get.revision = 3;
	cs_wire_pack(&b, &m);
	memcpy(extended, b.data, b.len);
	extended[0] = (char)(extended[0] + 1); /* one more element in the outer array */
	extended[b.len] = 42;
	out = cs_wire_parse(extended, b.len + 1, &msg);
	g_assert_nonnull(out);
	g_assert_cmpuint(out->u.config_get.revision, ==, 3);
	cs_wire_free(out);
	cs_wire_buf_free(&b);
}

/*
 * Guards against crashes on truncated or corrupted messages, and against truncated ones that are
 * accepted.
 */
static void test_survives_damaged_messages(void)
{
	static const uint8_t huge_array[] = {0x93, 1, 3, 0xdd, 0xff, 0xff, 0xff, 0xff};
	struct cs_wire_msg m = make_heartbeat(), *out;
	struct cs_wire_buf b = {0};
	struct cs_rng rng;
	struct cs_msg msg;
	char copy[512];
	size_t i;

	cs_wire_pack(&b, &m);
	g_assert_cmpuint(b.len, <, sizeof(copy));
	for (i = 0; i < b.len; i++)
		g_assert_null(cs_wire_parse(b.data, i, &msg));
	cs_rng_seed(&rng, 1);
	for (i = 0; i < 20000; i++) {
		memcpy(copy, b.data, b.len);
		copy[cs_rng_below(&rng, (uint32_t)b.len)] ^= (char)(1 << cs_rng_below(&rng, 8));
		copy[cs_rng_below(&rng, (uint32_t)b.len)] = (char)cs_rng_next(&rng);
		out = cs_wire_parse(copy, b.len, &msg);
		cs_wire_free(out);
	}
	/* An array header that claims 2^32 - 1 elements. */
	g_assert_null(cs_wire_parse(huge_array, sizeof(huge_array), &msg));
	copy[0] = (char)0x92;
	copy[1] = CS_WIRE_VERSION + 1;
	copy[2] = CS_WIRE_HEARTBEAT;
	g_assert_null(cs_wire_parse(copy, 3, &msg));
	cs_wire_buf_free(&b);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/wire/heartbeat-round-trip", test_heartbeat_round_trip);
	g_test_add_func("/wire/digest-round-trip", test_digest_round_trip);
	g_test_add_func("/wire/list-round-trip", test_list_round_trip);
	g_test_add_func("/wire/snapshot-round-trip", test_snapshot_round_trip);
	g_test_add_func("/wire/report-round-trip", test_report_round_trip);
	g_test_add_func("/wire/accepts-additional-elements", test_accepts_additional_elements);
	g_test_add_func("/wire/survives-damaged-messages", test_survives_damaged_messages);
	return g_test_run();
}
