#include <stdlib.h>
#include <string.h>

#include "tests/unit/steer-fleet.h"

#define REPORT_STEPS 3 /* steps between two reports of an instance */
#define TARGETS_MAX 128

const char *const zone_names[ZONES] = {"a1", "a2", "b1", "b2", "c1", "c2"};
struct instance fleet[FLEET_MAX];
unsigned n_fleet;
static unsigned n_servers;
static unsigned step; /* steps since fleet_create */
struct cs_rng rng;
unsigned loss_pct;
bool (*fleet_is_cut)(unsigned from, unsigned to);
unsigned server_zones = ZONES;
const char *home_region;
bool fleet_reads_store;
uint64_t now;
static struct cs_steer_report report;
static struct wire_message received;
unsigned in_flight[512]; /* requests in flight at each server */
unsigned sends[SENDS_STEPS_MAX][SENDS_SERVERS_MAX];
unsigned sends_of[FLEET_MAX];
unsigned sends_steps;

/* Creates the process of an instance, which knows the servers and instances in the store. */
static void instance_start(unsigned i)
{
	char id[16];
	unsigned k;

	fleet[i].boot++;
	fleet[i].seq = 0;
	fleet[i].steer = fixture_create(fleet[i].name, zone_names[i % ZONES], now);
	cs_steer_set_document(fleet[i].steer, fixture_document(1, home_region), now);
	if (fleet_reads_store)
		cs_steer_full_read_begin(fleet[i].steer);
	for (k = 0; k < n_servers; k++) {
		g_snprintf(id, sizeof(id), "s%u", k);
		fixture_add_server(fleet[i].steer, id, zone_names[k % server_zones], 0, now);
	}
	if (fleet_reads_store)
		cs_steer_full_read_end(fleet[i].steer, 0, now);
	for (k = 0; k < n_fleet; k++) {
		struct cs_steer_member m = {.boot = k == i ? fleet[i].boot : 1, .ready = true};

		g_snprintf(m.name, CS_NAME_MAX, "i%u", k);
		cs_copy(m.zone, sizeof(m.zone), zone_names[k % ZONES]);
		cs_steer_update_member(fleet[i].steer, &m, now);
	}
	cs_steer_tick(fleet[i].steer, now + STEP_US);
}

void fleet_create(unsigned n, unsigned servers, unsigned requests)
{
	struct cs_steer_decision d;
	unsigned i, k;

	memset(fleet, 0, sizeof(fleet));
	memset(in_flight, 0, sizeof(in_flight));
	cs_rng_seed(&rng, 7);
	n_fleet = n;
	n_servers = servers;
	step = 0;
	now = MS(10000);
	loss_pct = 0;
	fleet_is_cut = NULL;
	for (i = 0; i < n; i++) {
		g_snprintf(fleet[i].name, CS_NAME_MAX, "i%u", i);
		instance_start(i);
		for (k = 0; k < requests; k++) {
			fixture_init_request(fleet[i].steer, &fleet[i].requests[k], 0,
					     now + STEP_US);
			cs_steer_decide(fleet[i].steer, &fleet[i].requests[k], now + STEP_US, &d);
			g_assert_cmpint(d.verdict, ==, CS_STEER_SEND);
			in_flight[atoi(cs_backend_id(d.u.send.backend) + 1)]++;
		}
	}
}

void fleet_restart(unsigned i)
{
	cs_steer_destroy(fleet[i].steer);
	instance_start(i);
	fleet[i].dead = fleet[i].leaving = false;
	fleet[i].paused_until_us = 0;
}

bool fleet_is_running(unsigned i)
{
	return !fleet[i].dead && now >= fleet[i].paused_until_us;
}

void fleet_destroy(void)
{
	unsigned i;

	for (i = 0; i < n_fleet; i++)
		cs_steer_destroy(fleet[i].steer);
}

unsigned zone_index(unsigned i)
{
	return i % ZONES;
}

static void deliver(unsigned from, const char *name, const msgpack_sbuffer *buf);

static void send_all(unsigned from, const char *const targets[], unsigned n,
		     const msgpack_sbuffer *buf)
{
	unsigned i;

	for (i = 0; i < n; i++)
		deliver(from, targets[i], buf);
}

/* Delivers a datagram and forwards digests as src/node/gossip.c does. */
static void deliver(unsigned from, const char *name, const msgpack_sbuffer *buf)
{
	unsigned to = (unsigned)atoi(name + 1), n, root_index;
	const char *targets[CS_FORWARD_FANOUT];
	uint64_t seq;

	fleet[from].sent_bytes += buf->size;
	if (!fleet_is_running(to) || cs_rng_below(&rng, 100) < loss_pct)
		return;
	if (fleet_is_cut != NULL && fleet_is_cut(from, to))
		return;
	g_assert_true(wire_unpack(buf->data, buf->size, &received));
	if (received.kind == WIRE_REPORT) {
		cs_steer_handle_report(fleet[to].steer, &received.u.report, now);
		return;
	}
	if (!cs_steer_handle_digest(fleet[to].steer, &received.u.report, now))
		return;
	root_index = received.u.report.root_index;
	seq = received.u.report.seq;
	n = cs_steer_forward_targets(fleet[to].steer, root_index, seq,
				     zone_index(from) != zone_index(to), targets);
	send_all(to, targets, n, buf);
}

static void fill_report_header(struct instance *from, struct cs_steer_report *r)
{
	memset(r, 0, sizeof(*r));
	cs_copy(r->name, sizeof(r->name), from->name);
	r->boot = from->boot;
	r->seq = ++from->seq;
	r->ready = !from->leaving;
	r->leaving = from->leaving;
	r->store_fresh = from->store_fresh;
	if (!from->has_feed)
		return;
	r->store_fresh = cs_feed_is_fresh(&from->feed, now);
	r->store_revision = from->feed.revision;
}

static void pack_report(unsigned i, msgpack_sbuffer *buf)
{
	fill_report_header(&fleet[i], &report);
	cs_steer_build_report(fleet[i].steer, &report, now);
	wire_pack_report(buf, &report);
}

void fleet_send_urgent(unsigned i)
{
	const char *targets[TARGETS_MAX];
	msgpack_sbuffer buf;

	msgpack_sbuffer_init(&buf);
	pack_report(i, &buf);
	send_all(i, targets, cs_steer_urgent_targets(fleet[i].steer, targets, TARGETS_MAX), &buf);
	msgpack_sbuffer_destroy(&buf);
}

/* Instances that a report goes to: all of the zone if the sender leaves, as in src/node/gossip.c. */
static unsigned report_targets(unsigned i, const char *out[])
{
	unsigned k, n = 0;

	if (!fleet[i].leaving || !cs_steer_is_large_fleet(fleet[i].steer))
		return cs_steer_report_targets(fleet[i].steer, now, out, TARGETS_MAX);
	for (k = 0; k < n_fleet; k++)
		if (k != i && zone_index(k) == zone_index(i) && n < TARGETS_MAX)
			out[n++] = fleet[k].name;
	return n;
}

static void send_report(unsigned i)
{
	const char *targets[TARGETS_MAX];
	msgpack_sbuffer buf;
	unsigned n;

	msgpack_sbuffer_init(&buf);
	pack_report(i, &buf);
	n = report_targets(i, targets);
	send_all(i, targets, n, &buf);
	msgpack_sbuffer_destroy(&buf);
}

void fleet_send_reports(void)
{
	unsigned i;

	for (i = 0; i < n_fleet; i++)
		if (fleet_is_running(i))
			send_report(i);
}

void fleet_leave(unsigned i)
{
	fleet[i].leaving = true;
	cs_steer_set_leaving(fleet[i].steer, now);
	send_report(i);
}

static void send_digest(unsigned i, enum cs_digest_scope scope)
{
	unsigned root_index = cs_steer_rank(fleet[i].steer), n;
	const char *targets[TARGETS_MAX];
	msgpack_sbuffer buf;
	uint64_t seq;

	fleet[i].next_digest_us[scope] =
		now +
		cs_steer_digest_period_us(fleet[i].steer, scope, fleet[i].digest_bytes[scope]);
	if (root_index >= CS_ROOTS_PER_ZONE)
		return;
	msgpack_sbuffer_init(&buf);
	fill_report_header(&fleet[i], &report);
	seq = report.seq;
	report.root_index = root_index;
	cs_steer_build_digest(fleet[i].steer, &report, scope, now);
	wire_pack_report(&buf, &report);
	g_assert_cmpuint(buf.size, <=, WIRE_DATAGRAM_MAX);
	fleet[i].digest_bytes[scope] = buf.size;
	n = cs_steer_digest_targets(fleet[i].steer, root_index, scope, now, targets, TARGETS_MAX);
	send_all(i, targets, n, &buf);
	if (scope == CS_DIGEST_REGION) {
		n = cs_steer_forward_targets(fleet[i].steer, root_index, seq, true, targets);
		send_all(i, targets, n, &buf);
	}
	msgpack_sbuffer_destroy(&buf);
}

void fleet_step(void)
{
	unsigned i, scope;

	step++;
	for (i = 0; i < n_fleet; i++) {
		if (!fleet_is_running(i))
			continue;
		cs_steer_tick(fleet[i].steer, now);
		if ((step + i) % REPORT_STEPS == 0)
			send_report(i);
		for (scope = 0; scope < 2; scope++)
			if (now >= fleet[i].next_digest_us[scope])
				send_digest(i, (enum cs_digest_scope)scope);
	}
	now += STEP_US;
	sends_steps++;
}

void fleet_run(uint64_t duration_us)
{
	uint64_t until = now + duration_us;

	while (now < until)
		fleet_step();
}

void fleet_offer(unsigned i, unsigned n)
{
	struct cs_steer *steer = fleet[i].steer;
	struct cs_steer_request req;
	struct cs_steer_decision d;

	g_assert_cmpuint(sends_steps, <, SENDS_STEPS_MAX);
	while (n-- > 0) {
		fixture_init_request(steer, &req, 0, now);
		cs_steer_decide(steer, &req, now, &d);
		if (d.verdict != CS_STEER_SEND) {
			cs_steer_dequeue(steer, &req);
			continue;
		}
		sends[sends_steps][atoi(cs_backend_id(d.u.send.backend) + 1)]++;
		sends_of[i]++;
		cs_steer_attempt_ended(steer, &req, d.u.send.backend, CS_STEER_OK, MS(1), now);
	}
}

void fleet_clear_sends(void)
{
	memset(sends, 0, sizeof(sends));
	memset(sends_of, 0, sizeof(sends_of));
	sends_steps = 0;
}

unsigned fleet_most_in_one_second(unsigned server, unsigned from_step, unsigned to_step)
{
	unsigned most = 0, sum = 0, k;

	for (k = from_step; k < to_step; k++) {
		sum += sends[k][server];
		if (k >= from_step + STEPS_PER_S)
			sum -= sends[k - STEPS_PER_S][server];
		most = sum > most ? sum : most;
	}
	return most;
}
