/* Encoding of messages between instances (src/node/wire.c): round trips and malformed datagrams. */
#include <glib.h>
#include <math.h>
#include <string.h>

#include "src/node/wire.h"

static struct cs_steer_report report;
static struct wire_changes changes;
static struct wire_message msg;

static void fill_report(bool digest)
{
	memset(&report, 0, sizeof(report));
	cs_copy(report.name, sizeof(report.name), "lom-brescia-1");
	report.boot = 1789507142034ULL;
	report.seq = 7;
	report.ready = report.store_fresh = report.keys_stale = true;
	report.store_revision = 99;
	report.n_services = 1;
	report.services[0] = (struct cs_report_service){
		.service = 5, .busy_slots = 2.5F, .shares = {0.25F, 0.75F}, .n_shares = 2};
	report.n_rows = 2;
	report.rows[0] = (struct cs_report_row){1, 2, 100, 30};
	report.rows[1] = (struct cs_report_row){0xffffffffU, 0xffff, 250, 990};
	report.is_digest = digest;
	report.root_index = digest;
	report.n_ready = digest ? 3 : 0;
	report.ready_members[2] = digest ? 42 : 0;
	report.n_limits = 1;
	report.limits[0] = (struct cs_report_limit){7, 0xfffffffdU, 3.25F, 420};
	report.n_cold = 1;
	report.cold[0] = (struct cs_report_cold){0xfffffffcU, 0xfffffffaU, 70000};
	report.n_home_flows = 1;
	report.home_flows[0] = (struct cs_report_home_flow){0xfffffffbU, 3, 1.5F};
	report.n_leaving_servers = 1;
	report.leaving_servers[0] = (struct cs_report_leaving){0xfffffffeU, 9};
}

/* Guards against fields that are lost or swapped in a round trip. */
static void test_report_round_trip(void)
{
	msgpack_sbuffer buf;
	int digest;

	msgpack_sbuffer_init(&buf);
	for (digest = 0; digest < 2; digest++) {
		fill_report(digest);
		wire_pack_report(&buf, &report);
		g_assert_true(wire_unpack(buf.data, buf.size, &msg));
		g_assert_cmpint(msg.kind, ==, digest ? WIRE_DIGEST : WIRE_REPORT);
		g_assert_cmpmem(&msg.u.report, sizeof(report), &report, sizeof(report));
	}
	msgpack_sbuffer_destroy(&buf);
}

/* Fills a digest with the most rows of each kind, of usual size. */
static void fill_largest_digest(void)
{
	unsigned i;

	fill_report(true);
	memset(report.name, 'n', sizeof(report.name) - 1);
	for (i = 0; i < CS_DIGEST_READY_MAX; i++)
		report.ready_members[i] = UINT32_MAX - i;
	report.n_ready = CS_DIGEST_READY_MAX;
	for (i = 0; i < CS_REPORT_ROWS_MAX; i++)
		report.rows[i] = (struct cs_report_row){UINT32_MAX - i, 200, 150, 800};
	report.n_rows = CS_REPORT_ROWS_MAX;
	for (i = 0; i < CS_REPORT_SERVICES_MAX; i++)
		report.services[i] = (struct cs_report_service){.service = UINT32_MAX - i,
								.n_shares = CS_REGIONS_MAX};
	report.n_services = CS_REPORT_SERVICES_MAX;
	for (i = 0; i < CS_REPORT_LEAVING_MAX; i++)
		report.leaving_servers[i] = (struct cs_report_leaving){UINT32_MAX - i, UINT32_MAX};
	report.n_leaving_servers = CS_REPORT_LEAVING_MAX;
	for (i = 0; i < CS_REPORT_LIMITS_MAX; i++)
		report.limits[i] = (struct cs_report_limit){UINT32_MAX - i, UINT32_MAX, 9.5F, 400};
	report.n_limits = CS_REPORT_LIMITS_MAX;
	for (i = 0; i < CS_REPORT_HOME_FLOWS_MAX; i++)
		report.home_flows[i] = (struct cs_report_home_flow){UINT32_MAX, i, 1.5F};
	report.n_home_flows = CS_REPORT_HOME_FLOWS_MAX;
	for (i = 0; i < CS_REPORT_COLD_MAX; i++)
		report.cold[i] = (struct cs_report_cold){UINT32_MAX - i, UINT32_MAX, 3000};
	report.n_cold = CS_REPORT_COLD_MAX;
}

/*
 * Guards against a digest that is not sent at all, so that its whole zone counts as silent, since
 * it does not fit into a datagram.
 */
static void test_largest_digest_fits(void)
{
	msgpack_sbuffer buf;

	msgpack_sbuffer_init(&buf);
	fill_largest_digest();
	wire_pack_report(&buf, &report);
	g_test_message("bytes=%zu", buf.size);
	g_assert_cmpuint(buf.size, <=, WIRE_DATAGRAM_MAX);
	g_assert_true(wire_unpack(buf.data, buf.size, &msg));
	g_assert_cmpuint(msg.u.report.n_ready, ==, CS_DIGEST_READY_MAX);
	g_assert_cmpuint(msg.u.report.n_leaving_servers, ==, CS_REPORT_LEAVING_MAX);
	g_assert_cmpuint(msg.u.report.n_cold, ==, CS_REPORT_COLD_MAX);
	g_assert_cmpuint(msg.u.report.n_rows, >, CS_REPORT_ROWS_MAX / 2);
	msgpack_sbuffer_destroy(&buf);
}

/* Guards against losing the reports of a later version, which appends elements and adds kinds. */
static void test_later_version(void)
{
	static const unsigned char kind[] = {0x92, 0x03, 0x07};
	msgpack_sbuffer buf, later;

	msgpack_sbuffer_init(&buf);
	msgpack_sbuffer_init(&later);
	fill_report(false);
	wire_pack_report(&buf, &report);
	/* The head of an array of 15 elements becomes one of 16, and a string follows. */
	g_assert_cmphex((unsigned char)buf.data[0], ==, 0x9f);
	msgpack_sbuffer_write(&later, "\xdc\0\x10", 3);
	msgpack_sbuffer_write(&later, buf.data + 1, buf.size - 1);
	msgpack_sbuffer_write(&later, "\xa3new", 4);
	g_assert_true(wire_unpack(later.data, later.size, &msg));
	g_assert_cmpmem(&msg.u.report, sizeof(report), &report, sizeof(report));
	g_assert_false(wire_unpack((const char *)kind, sizeof(kind), &msg));
	msgpack_sbuffer_destroy(&buf);
	msgpack_sbuffer_destroy(&later);
}

static struct cs_quota_ask ask;
static struct cs_quota_reply reply;

static void fill_quota(void)
{
	ask = (struct cs_quota_ask){.from = "a-1",
				    .to = "b-2",
				    .boot = 1789507142034ULL,
				    .seq = 9,
				    .sent_us = 5000000,
				    .echo_us = 7000000,
				    .echo_boot = 3,
				    .held_us = 150000,
				    .lent_slots = 3,
				    .fleet = 1700,
				    .rows = {{UINT64_MAX, 12, 0}, {1, 1, 0}},
				    .n_rows = 2};
	reply = (struct cs_quota_reply){.from = "b-2",
					.to = "a-1",
					.boot = 3,
					.to_boot = 1789507142034ULL,
					.seq = 9,
					.asked_us = 5000000,
					.now_us = 7200000,
					.version = 12,
					.age_us = UINT64_MAX,
					.rows = {{UINT64_MAX, 11, 0}, {1, 0, 350}},
					.n_rows = 2};
}

/* Guards against loans and grants that are lost or swapped, and cut-off messages that are read. */
static void test_quota_round_trip(void)
{
	msgpack_sbuffer buf;
	size_t len;

	msgpack_sbuffer_init(&buf);
	fill_quota();
	wire_pack_ask(&buf, &ask);
	g_assert_true(wire_unpack(buf.data, buf.size, &msg));
	g_assert_cmpint(msg.kind, ==, WIRE_QUOTA_ASK);
	g_assert_cmpmem(&msg.u.ask, sizeof(ask), &ask, sizeof(ask));
	wire_pack_reply(&buf, &reply);
	g_assert_true(wire_unpack(buf.data, buf.size, &msg));
	g_assert_cmpint(msg.kind, ==, WIRE_QUOTA_REPLY);
	g_assert_cmpmem(&msg.u.reply, sizeof(reply), &reply, sizeof(reply));
	for (len = 0; len < buf.size; len++)
		g_assert_false(wire_unpack(buf.data, len, &msg));
	ask.n_rows = CS_QUOTA_ROWS_MAX;
	wire_pack_ask(&buf, &ask);
	g_assert_cmpuint(buf.size, <=, WIRE_DATAGRAM_MAX);
	g_assert_true(wire_unpack(buf.data, buf.size, &msg));
	msgpack_sbuffer_destroy(&buf);
}

/* Guards against sums over all instances that one report makes useless. */
static void test_numbers_are_checked(void)
{
	static const float bad[] = {NAN, INFINITY, -INFINITY, -1.0F};
	msgpack_sbuffer buf;
	unsigned i;

	msgpack_sbuffer_init(&buf);
	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		fill_report(false);
		report.services[0].busy_slots = bad[i];
		wire_pack_report(&buf, &report);
		g_assert_false(wire_unpack(buf.data, buf.size, &msg));
	}
	msgpack_sbuffer_destroy(&buf);
}

/* Guards against truncated or misplaced values of changes, and removals decoded as values. */
static void test_changes_round_trip(void)
{
	msgpack_sbuffer buf;

	memset(&changes, 0, sizeof(changes));
	cs_copy(changes.name, sizeof(changes.name), "i1");
	changes.from = 10;
	changes.to = 12;
	changes.removal_grace_ms = 1500;
	changes.root_index = 1;
	changes.n = 3;
	cs_copy(changes.change[2].key, sizeof(changes.change[2].key), "op/config");
	changes.change[2].revision = 12;
	changes.change[2].omitted = true;
	cs_copy(changes.change[0].key, sizeof(changes.change[0].key), "servers/x");
	changes.change[0].revision = 11;
	changes.change[0].value = "{\"a\":1}";
	changes.change[0].len = 7;
	cs_copy(changes.change[1].key, sizeof(changes.change[1].key), "servers/y");
	changes.change[1].revision = 12;
	msgpack_sbuffer_init(&buf);
	wire_pack_changes(&buf, &changes);
	g_assert_true(wire_unpack(buf.data, buf.size, &msg));
	g_assert_cmpint(msg.kind, ==, WIRE_CHANGES);
	g_assert_cmpuint(msg.u.changes.n, ==, 3);
	g_assert_false(msg.u.changes.change[1].omitted);
	g_assert_true(msg.u.changes.change[2].omitted);
	g_assert_null(msg.u.changes.change[2].value);
	g_assert_cmpuint(msg.u.changes.removal_grace_ms, ==, 1500);
	g_assert_cmpuint(msg.u.changes.root_index, ==, 1);
	g_assert_cmpmem(msg.u.changes.change[0].value, msg.u.changes.change[0].len, "{\"a\":1}", 7);
	g_assert_null(msg.u.changes.change[1].value);
	msgpack_sbuffer_destroy(&buf);
}

/* Guards against accepting trailing bytes, or an array length that the datagram does not hold. */
static void test_refuses_wrong_length(void)
{
	static const char huge_array[] = "\x9a\x02\x01\xdd\x7f\xff\xff\xff";
	msgpack_sbuffer buf;

	msgpack_sbuffer_init(&buf);
	fill_report(false);
	wire_pack_report(&buf, &report);
	msgpack_sbuffer_write(&buf, "\xc0", 1);
	g_assert_true(wire_unpack(buf.data, buf.size - 1, &msg));
	g_assert_false(wire_unpack(buf.data, buf.size, &msg));
	g_assert_false(wire_unpack(huge_array, sizeof(huge_array) - 1, &msg));
	msgpack_sbuffer_destroy(&buf);
}

/* Guards against out-of-bounds reads and crashes on truncated or corrupted datagrams. */
static void test_survives_corruption(void)
{
	msgpack_sbuffer buf;
	struct cs_rng rng;
	char copy[WIRE_DATAGRAM_MAX];
	size_t i, n;
	int round;

	msgpack_sbuffer_init(&buf);
	fill_report(true);
	wire_pack_report(&buf, &report);
	g_assert_cmpuint(buf.size, <=, sizeof(copy));
	for (i = 0; i < buf.size; i++)
		g_assert_false(wire_unpack(buf.data, i, &msg));
	cs_rng_seed(&rng, 11);
	for (round = 0; round < 20000; round++) {
		memcpy(copy, buf.data, buf.size);
		for (n = 1 + cs_rng_below(&rng, 4); n > 0; n--)
			copy[cs_rng_below(&rng, (uint32_t)buf.size)] = (char)cs_rng_next(&rng);
		wire_unpack(copy, buf.size, &msg);
	}
	msgpack_sbuffer_destroy(&buf);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/node/wire/numbers-are-checked", test_numbers_are_checked);
	g_test_add_func("/wire/quota-round-trip", test_quota_round_trip);
	g_test_add_func("/node/wire/later-version", test_later_version);
	g_test_add_func("/node/wire/largest-digest", test_largest_digest_fits);
	g_test_add_func("/node/wire/report-round-trip", test_report_round_trip);
	g_test_add_func("/node/wire/changes-round-trip", test_changes_round_trip);
	g_test_add_func("/node/wire/refuses-wrong-length", test_refuses_wrong_length);
	g_test_add_func("/node/wire/survives-corruption", test_survives_corruption);
	return g_test_run();
}
