/* Tests of lib/bus and lib/link: delivery, authentication, limits, counters, merged snapshots. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "bus/bus.h"
#include "link/link.h"
#include "wire/wire.h"

#define ADDR "127.44.1.1"

struct fixture {
	struct ev_loop *loop;
	struct cs_timers *timers;
	struct cs_timer time_limit;
	struct cs_bus *bus;
	struct cs_sock *listener;
	unsigned received;
	size_t bytes;
	bool echo;
};

static void on_time_limit(struct cs_timer *t, void *arg)
{
	struct fixture *f = arg;

	ev_break(f->loop, EVBREAK_ALL);
}

static void on_message(struct cs_sock *s, const struct cs_bus_routing_id *from, const void *data,
		       size_t len, void *arg)
{
	struct fixture *f = arg;

	f->received++;
	f->bytes += len;
	if (from != NULL && f->echo)
		cs_sock_send(s, from, data, len);
	if (from == NULL)
		ev_break(f->loop, EVBREAK_ALL);
}

static void run_for(struct fixture *f, uint64_t ms)
{
	cs_timer_init(&f->time_limit, on_time_limit, f);
	cs_timer_start(f->timers, &f->time_limit, ms * CS_US_PER_MS);
	ev_run(f->loop, 0);
	cs_timer_stop(&f->time_limit);
}

static void setup(struct fixture *f, const char *pub, const char *sec)
{
	struct cs_msg msg;

	*f = (struct fixture){.loop = ev_loop_new(EVFLAG_AUTO), .echo = true};
	f->timers = cs_timers_create(f->loop);
	f->bus = cs_bus_create(f->loop, pub, sec, &msg);
	g_assert_nonnull(f->bus);
	f->listener = cs_sock_listen(f->bus, ADDR, 0, true, on_message, f, &msg);
	g_assert_nonnull(f->listener);
}

static void teardown(struct fixture *f)
{
	cs_bus_destroy(f->bus);
	cs_timers_destroy(f->timers);
	ev_loop_destroy(f->loop);
}

static struct cs_sock *connect_to(struct fixture *f, struct cs_bus *bus)
{
	struct cs_msg msg;
	struct cs_sock *s = cs_sock_connect(bus, ADDR, ADDR, cs_sock_port(f->listener), true,
					    on_message, f, &msg);

	g_assert_nonnull(s);
	return s;
}

/*
 * Guards against lost wake-ups of the edge-triggered ZeroMQ descriptor while many messages go both
 * ways.
 */
static void test_no_lost_wake_ups(void)
{
	struct fixture f;
	struct cs_sock *s;
	unsigned i, sent = 0;

	setup(&f, NULL, NULL);
	s = connect_to(&f, f.bus);
	run_for(&f, 100);
	for (i = 0; i < 500; i++) {
		sent += cs_sock_send(s, NULL, "0123456789", 10);
		if (i % 7 == 0)
			run_for(&f, 2);
	}
	run_for(&f, 50);
	for (i = 0; i < 100 && f.received < 2 * sent; i++)
		run_for(&f, 10);
	g_assert_cmpuint(sent, ==, 500);
	g_assert_cmpuint(f.received, ==, 1000);
	teardown(&f);
}

/* Guards against sends to an absent peer that block or queue without bound. */
static void test_drops_without_peer(void)
{
	struct fixture f;
	struct cs_sock *s;
	struct cs_msg msg;
	uint64_t started_us = cs_mono_us();
	struct cs_bus_routing_id nobody = {.len = 5, .data = {0, 1, 2, 3, 4}};
	unsigned i;

	setup(&f, NULL, NULL);
	s = cs_sock_connect(f.bus, ADDR, ADDR, 1, true, on_message, &f, &msg);
	for (i = 0; i < 3000; i++)
		g_assert_false(cs_sock_send(s, NULL, "x", 1));
	g_assert_false(cs_sock_send(f.listener, &nobody, "x", 1));
	g_assert_cmpuint(cs_bus_stats(f.bus)->dropped, ==, 3001);
	g_assert_cmpuint(cs_mono_us() - started_us, <, 2 * CS_US_PER_S);
	teardown(&f);
}

/*
 * Guards against messages above the size limit, or of several parts, that are delivered or not
 * counted.
 */
static void test_drops_and_counts_oversized(void)
{
	struct fixture f;
	struct cs_sock *s;
	size_t len = CS_BUS_MESSAGE_MAX + 1;
	char *oversized_data = cs_xcalloc(1, len);
	void *raw, *ctx = zmq_ctx_new();
	int zero = 0;
	char endpoint[64];

	setup(&f, NULL, NULL);
	s = connect_to(&f, f.bus);
	run_for(&f, 100);
	g_assert_false(cs_sock_send(s, NULL, oversized_data, len));
	raw = zmq_socket(ctx, ZMQ_DEALER);
	zmq_setsockopt(raw, ZMQ_LINGER, &zero, sizeof(zero));
	g_snprintf(endpoint, sizeof(endpoint), "tcp://%s:%u", ADDR, cs_sock_port(f.listener));
	zmq_connect(raw, endpoint);
	zmq_send(raw, oversized_data, len, 0);
	zmq_send(raw, "a", 1, ZMQ_SNDMORE);
	zmq_send(raw, "b", 1, 0);
	run_for(&f, 300);
	g_assert_cmpuint(f.received, ==, 0);
	g_assert_cmpuint(cs_bus_stats(f.bus)->oversized, ==, 1);
	g_assert_cmpuint(cs_bus_stats(f.bus)->malformed, ==, 1);
	zmq_close(raw);
	zmq_ctx_term(ctx);
	free(oversized_data);
	teardown(&f);
}

/* Guards against messages from senders without the deployment's key. */
static void test_refuses_other_keys(void)
{
	char pub[41], sec[41], other_pub[41], other_sec[41];
	struct cs_bus *other, *plain;
	struct fixture f;
	struct cs_sock *s;
	struct cs_msg msg;

	zmq_curve_keypair(pub, sec);
	zmq_curve_keypair(other_pub, other_sec);
	setup(&f, pub, sec);
	other = cs_bus_create(f.loop, other_pub, other_sec, &msg);
	plain = cs_bus_create(f.loop, NULL, NULL, &msg);
	s = connect_to(&f, other);
	run_for(&f, 300);
	cs_sock_send(s, NULL, "x", 1);
	s = connect_to(&f, plain);
	run_for(&f, 300);
	cs_sock_send(s, NULL, "x", 1);
	run_for(&f, 300);
	g_assert_cmpuint(f.received, ==, 0);
	s = connect_to(&f, f.bus);
	run_for(&f, 300);
	g_assert_true(cs_sock_send(s, NULL, "x", 1));
	run_for(&f, 300);
	g_assert_cmpuint(f.received, ==, 2);
	cs_bus_destroy(other);
	cs_bus_destroy(plain);
	teardown(&f);
}

/*
 * Guards against a client that knows the deployment's public key but uses another key pair: the
 * CURVE handshake alone would succeed, only the ZAP handler refuses it.
 */
static void test_refuses_other_client_key(void)
{
	char pub[41], sec[41], other_pub[41], other_sec[41], endpoint[64];
	void *raw, *ctx = zmq_ctx_new();
	struct fixture f;
	int zero = 0;

	zmq_curve_keypair(pub, sec);
	zmq_curve_keypair(other_pub, other_sec);
	setup(&f, pub, sec);
	raw = zmq_socket(ctx, ZMQ_DEALER);
	zmq_setsockopt(raw, ZMQ_LINGER, &zero, sizeof(zero));
	zmq_setsockopt(raw, ZMQ_CURVE_SERVERKEY, pub, 41);
	zmq_setsockopt(raw, ZMQ_CURVE_PUBLICKEY, other_pub, 41);
	zmq_setsockopt(raw, ZMQ_CURVE_SECRETKEY, other_sec, 41);
	g_snprintf(endpoint, sizeof(endpoint), "tcp://%s:%u", ADDR, cs_sock_port(f.listener));
	zmq_connect(raw, endpoint);
	zmq_send(raw, "x", 1, ZMQ_DONTWAIT);
	run_for(&f, 400);
	g_assert_cmpuint(f.received, ==, 0);
	g_assert_cmpuint(cs_bus_stats(f.bus)->denied, >, 0);
	zmq_close(raw);
	zmq_ctx_term(ctx);
	teardown(&f);
}

/* Guards against key pairs that are accepted although they are malformed or do not match. */
static void test_refuses_invalid_keys(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	char pub[41], sec[41], other_pub[41], other_sec[41];
	struct cs_msg msg;

	zmq_curve_keypair(pub, sec);
	zmq_curve_keypair(other_pub, other_sec);
	g_assert_null(cs_bus_create(loop, pub, "short", &msg));
	g_assert_null(cs_bus_create(loop, other_pub, sec, &msg));
	g_assert_nonnull(strstr(msg.text, "curve"));
	ev_loop_destroy(loop);
}

struct views {
	struct fixture f;
	unsigned updates, members, servers;
	uint64_t sequence;
	uint64_t reported; /* snapshot sequence that the link last reported as applied */
};

static void on_view(const struct cs_view *v, void *arg)
{
	struct views *w = arg;

	w->updates++;
	w->members = v->n_members;
	w->servers = v->n_servers;
	w->sequence = v->sequence;
}

static void send_view(struct views *w, const struct cs_bus_routing_id *to, uint64_t base,
		      uint64_t seq, unsigned members, unsigned servers)
{
	struct cs_wire_msg m = {.type = CS_WIRE_SNAPSHOT};
	struct cs_wire_buf b = {0};
	struct cs_view *v = cs_view_create();

	v->incarnation = 5;
	v->sequence = seq;
	v->members = cs_xcalloc(members, sizeof(*v->members));
	v->n_members = members;
	v->servers = cs_xcalloc(servers, sizeof(*v->servers));
	v->n_servers = servers;
	m.u.snapshot.base = base;
	m.u.snapshot.view = v;
	m.u.snapshot.has_members = members > 0;
	m.u.snapshot.has_servers = servers > 0;
	cs_wire_pack(&b, &m);
	cs_sock_send(w->f.listener, to, b.data, b.len);
	cs_wire_buf_free(&b);
	cs_view_destroy(v);
}

/*
 * Acts as the agent: responds to the first report with a full view, an incremental one, and an
 * incremental one whose base was never sent.
 */
static void on_report(struct cs_sock *s, const struct cs_bus_routing_id *from, const void *data,
		      size_t len, void *arg)
{
	struct views *w = arg;
	struct cs_msg msg;
	struct cs_wire_msg *m = cs_wire_parse(data, len, &msg);

	g_assert_nonnull(m);
	g_assert_cmpint(m->type, ==, CS_WIRE_REPORT);
	w->reported = m->u.report.applied.sequence;
	if (w->f.received++ == 0) {
		send_view(w, from, 0, 10, 3, 2);
		send_view(w, from, 10, 11, 4, 0);
		send_view(w, from, 12, 13, 9, 9);
	}
	cs_wire_free(m);
}

/* Guards against a link that merges an incremental view into a view other than its base. */
static void test_ignores_view_with_unknown_base(void)
{
	struct views w = {0};
	char endpoint[64];
	struct cs_link *l;
	struct cs_msg msg;

	setup(&w.f, NULL, NULL);
	cs_sock_close(w.f.listener);
	w.f.listener = cs_sock_listen(w.f.bus, ADDR, 0, false, on_report, &w, &msg);
	g_snprintf(endpoint, sizeof(endpoint), "tcp://%s:%u", ADDR, cs_sock_port(w.f.listener));
	l = cs_link_create(w.f.loop, w.f.timers, endpoint, ADDR, CS_LINK_PROXY, on_view, NULL, &w,
			   &msg);
	g_assert_nonnull(l);
	g_assert_cmpuint(cs_link_snapshot_age_us(l), ==, UINT64_MAX);
	run_for(&w.f, 1200);
	g_assert_cmpuint(w.updates, ==, 2);
	g_assert_cmpuint(w.members, ==, 4);
	g_assert_cmpuint(w.servers, ==, 2);
	g_assert_cmpuint(w.sequence, ==, 11);
	g_assert_cmpuint(w.reported, ==, 11);
	g_assert_cmpuint(cs_link_snapshot_age_us(l), <, 2 * CS_US_PER_S);
	cs_link_destroy(l);
	g_assert_null(cs_link_create(w.f.loop, w.f.timers, "udp://x", ADDR, CS_LINK_PROXY, on_view,
				     NULL, &w, &msg));
	teardown(&w.f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/bus/no-lost-wake-ups", test_no_lost_wake_ups);
	g_test_add_func("/bus/drops-without-peer", test_drops_without_peer);
	g_test_add_func("/bus/drops-and-counts-oversized", test_drops_and_counts_oversized);
	g_test_add_func("/bus/refuses-other-keys", test_refuses_other_keys);
	g_test_add_func("/bus/refuses-other-client-key", test_refuses_other_client_key);
	g_test_add_func("/bus/refuses-invalid-keys", test_refuses_invalid_keys);
	g_test_add_func("/link/ignores-view-with-unknown-base",
			test_ignores_view_with_unknown_base);
	return g_test_run();
}
