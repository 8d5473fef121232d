/* Tests of the agent's core: member states, order of messages, zone rows, lists, view parts. */
#include "core-net.h"

/* Starts nodes: per zone a, b, c the numbers given, all with the list and a first document. */
static void start(struct net *net, unsigned a, unsigned b, unsigned c)
{
	const char *zones[] = {"a", "b", "c"};
	unsigned counts[] = {a, b, c}, z, k, i;

	net_begin(net, 1);
	for (z = 0; z < 3; z++)
		for (k = 1; k <= counts[z]; k++)
			net_add(net, zones[z], k);
	for (i = 0; i < net->n; i++)
		net_list(net, i, 5, 0);
	net_config(net, 0, 1, "first");
	net_run(net, 3000);
}

/* Ticks until a node sees another in a state. */
static unsigned ticks_to_state(struct net *net, unsigned i, unsigned of, enum cs_member_state st)
{
	unsigned n;

	for (n = 0; n < 100 && net_state(net, i, of) != st; n++)
		net_run(net, CORE_TICK_US / CS_US_PER_MS);
	return n;
}

/* Guards against wrong times of suspect and unreachable, and against a wrong way back. */
static void test_states(void)
{
	struct net net;
	unsigned n;

	start(&net, 3, 0, 0);
	g_assert_cmpint(net_state(&net, 0, 1), ==, CS_MEMBER_ALIVE);
	net.nodes[1].cut = true;
	/* The last heartbeat was up to a period before the cut. */
	n = ticks_to_state(&net, 0, 1, CS_MEMBER_SUSPECT);
	g_assert_cmpuint(n, >=, 10);
	g_assert_cmpuint(n, <=, 20);
	g_assert_cmpuint(ticks_to_state(&net, 0, 1, CS_MEMBER_UNREACHABLE), ==, 10);
	net_list(&net, 0, 6, 2);
	net_run(&net, 250);
	g_assert_cmpint(net_state(&net, 0, 1), ==, CS_MEMBER_DEAD);
	net.nodes[1].cut = false;
	net_list(&net, 0, 7, 0);
	net_run(&net, 2000);
	g_assert_cmpint(net_state(&net, 0, 1), ==, CS_MEMBER_ALIVE);
	net_end(&net);
}

/* Guards against a planned stop that peers learn of only by its silence. */
static void test_leave(void)
{
	struct net net;

	start(&net, 2, 1, 0);
	core_leave(net.nodes[1].core, net.now_us);
	net_collect(&net, 1);
	net_settle(&net);
	g_assert_cmpint(net_state(&net, 0, 1), ==, CS_MEMBER_LEAVING);
	net_run(&net, 1000);
	g_assert_cmpint(net_state(&net, 2, 1), ==, CS_MEMBER_LEAVING);
	net_end(&net);
}

/* Guards against readiness, roster or load of a proxy that do not reach the zone and the others. */
static void test_ready(void)
{
	struct cs_member m = {0};
	struct cs_view *v;
	struct net net;
	unsigned i;

	start(&net, 2, 1, 0);
	/* Loads are moving means. */
	for (i = 0; i < 32; i++) {
		net_report(&net, 1, true, 20);
		net_run(&net, 200);
	}
	g_assert_true(net_member(&net, 0, 1, &m));
	g_assert_true(m.ready);
	g_assert_cmpuint(m.roster, ==, 42);
	g_assert_true(net_member(&net, 2, 1, &m));
	g_assert_true(m.ready);
	g_assert_true(net_member(&net, 2, 0, &m));
	g_assert_false(m.ready);
	v = core_view(net.nodes[2].core, net.now_us);
	for (i = 0; i < v->n_loads && strcmp(v->loads[i].zone, "a") != 0; i++)
		;
	g_assert_cmpuint(i, <, v->n_loads);
	g_assert_cmpuint(v->loads[i].in_flight, >=, 18);
	g_assert_cmpuint(v->loads[i].in_flight, <=, 20);
	cs_view_destroy(v);
	/* The proxy dies: its agent notices the missing reports and says so. */
	net_run(&net, 1000);
	g_assert_true(net_member(&net, 0, 1, &m));
	g_assert_false(m.ready);
	net_end(&net);
}

/* In-flight requests of zone a as a node sees them. */
static unsigned seen_in_flight(struct net *net, unsigned node)
{
	struct cs_view *v = core_view(net->nodes[node].core, net->now_us);
	unsigned i, n = 0;

	for (i = 0; i < v->n_loads; i++)
		if (strcmp(v->loads[i].zone, "a") == 0)
			n += v->loads[i].in_flight;
	cs_view_destroy(v);
	return n;
}

/* Reports a load four times over a second, as a proxy does. */
static void report_for_a_second(struct net *net, unsigned in_flight)
{
	unsigned i;

	for (i = 0; i < 4; i++) {
		net_report(net, 0, true, in_flight);
		net_run(net, 250);
	}
}

/* Guards against a drained zone that reports its last request as running forever. */
static void test_load_to_zero(void)
{
	struct net net;

	start(&net, 1, 1, 0);
	report_for_a_second(&net, 20);
	report_for_a_second(&net, 1);
	g_assert_cmpuint(seen_in_flight(&net, 1), ==, 1);
	report_for_a_second(&net, 0);
	report_for_a_second(&net, 0);
	g_assert_cmpuint(seen_in_flight(&net, 1), ==, 0);
	g_assert_cmpuint(seen_in_flight(&net, 0), ==, 0);
	net_end(&net);
}

static void give_heartbeat(struct net *net, unsigned to, const char *instance, uint64_t incarnation,
			   uint64_t sequence, bool leaving)
{
	struct cs_wire_msg m = {.type = CS_WIRE_HEARTBEAT};
	struct core_endpoint origin = {.port = 7001};

	cs_copy(origin.addr, sizeof(origin.addr), "10.0.0.2");
	m.u.heartbeat.instance = instance;
	m.u.heartbeat.zone = "a";
	m.u.heartbeat.stamp.incarnation = incarnation;
	m.u.heartbeat.stamp.sequence = sequence;
	m.u.heartbeat.leaving = leaving;
	core_handle_message(net->nodes[to].core, &origin, &m, net->now_us);
	net_collect(net, to);
}

/* Guards against late heartbeats of an earlier process or of earlier in this one. */
static void test_order(void)
{
	struct net net;
	struct cs_member m = {0};

	start(&net, 2, 0, 0);
	net.nodes[1].cut = true;
	give_heartbeat(&net, 0, "a-2", 9000000, 5, false);
	give_heartbeat(&net, 0, "a-2", 9000000, 4, true);
	give_heartbeat(&net, 0, "a-2", 8999999, 50, true);
	core_tick(net.nodes[0].core, net.now_us);
	g_assert_cmpint(net_state(&net, 0, 1), ==, CS_MEMBER_ALIVE);
	g_assert_cmpuint(core_stats(net.nodes[0].core)->stale, >=, 2);
	/* After a long silence a process whose clock was set back is taken. */
	net_run(&net, 11000);
	give_heartbeat(&net, 0, "a-2", 7, 1, false);
	g_assert_true(net_member(&net, 0, 1, &m));
	g_assert_cmpint(m.state, ==, CS_MEMBER_ALIVE);
	g_assert_cmpuint(m.incarnation, ==, 7);
	net_end(&net);
}

/* Guards against documents that replace a newer one, an equal one, or that are malformed. */
static void test_revision(void)
{
	struct net net;
	struct cs_msg msg;

	start(&net, 2, 1, 0);
	g_assert_cmpint(net_config(&net, 0, 7, "new"), ==, CORE_CONFIG_ACCEPTED);
	g_assert_cmpint(net_config(&net, 0, 6, "old"), ==, CORE_CONFIG_OLDER);
	g_assert_cmpint(net_config(&net, 0, 7, "new"), ==, CORE_CONFIG_UNCHANGED);
	g_assert_cmpint(net_config(&net, 0, 7, "other"), ==, CORE_CONFIG_CONFLICT);
	g_assert_cmpint(core_set_config(net.nodes[0].core, "{}", 2, net.now_us, &msg), ==,
			CORE_CONFIG_INVALID);
	g_assert_cmpuint(net_revision(&net, 0), ==, 7);
	/* Heartbeat, pull and document take no tick within the zone and between zones. */
	net_settle(&net);
	g_assert_cmpuint(net_revision(&net, 1), ==, 7);
	g_assert_cmpuint(net_revision(&net, 2), ==, 7);
	net_end(&net);
}

/* Guards against an instance that starts without a store and learns nothing from its peers. */
static void test_boot(void)
{
	struct core_peer peer = {.addr = "10.0.0.1", .port = 7001};
	struct core_opts opts = {.instance = "a-3",
				 .zone = "a",
				 .addr = "10.0.0.4",
				 .bus_port = 7001,
				 .incarnation = 1,
				 .peers = &peer,
				 .n_peers = 1};
	struct cs_member m = {0};
	struct net net;
	unsigned i;

	start(&net, 2, 1, 0);
	i = net_add(&net, "a", 3);
	core_destroy(net.nodes[i].core);
	net.nodes[i].core = core_create(&opts, net.now_us);
	g_assert_false(core_is_ready(net.nodes[i].core));
	net_run(&net, 500);
	g_assert_true(core_is_ready(net.nodes[i].core));
	g_assert_cmpuint(net_revision(&net, i), ==, 1);
	net_run(&net, 1500);
	g_assert_true(net_member(&net, i, 1, &m));
	g_assert_true(m.listed);
	g_assert_cmpint(m.state, ==, CS_MEMBER_ALIVE);
	/* A peer of another zone serves as well. */
	peer = (struct core_peer){.addr = "10.0.0.3", .port = 7001};
	core_destroy(net.nodes[i].core);
	opts.incarnation = 9000000;
	net.nodes[i].core = core_create(&opts, net.now_us);
	net_run(&net, 500);
	g_assert_cmpuint(net_revision(&net, i), ==, 1);
	net_end(&net);
}

static unsigned watchers(struct net *net, const char *zone)
{
	unsigned i, n = 0;

	for (i = 0; i < net->n; i++)
		n += strcmp(net->nodes[i].zone, zone) == 0 && net->nodes[i].core != NULL &&
		     core_is_watcher(net->nodes[i].core);
	return n;
}

/* Guards against more or fewer than two watchers a zone, also after one of them died. */
static void test_watchers(void)
{
	struct net net;
	unsigned i;

	start(&net, 6, 1, 0);
	g_assert_cmpuint(watchers(&net, "a"), ==, 2);
	g_assert_cmpuint(watchers(&net, "b"), ==, 1);
	for (i = 0; !core_is_watcher(net.nodes[i].core); i++)
		;
	core_destroy(net.nodes[i].core);
	net.nodes[i].core = NULL;
	net_run(&net, 4000);
	g_assert_cmpuint(watchers(&net, "a"), ==, 2);
	net_end(&net);
}

/* Guards against a zone that looks dead while its first relay is replaced by the second. */
static void test_relay_dies(void)
{
	struct net net;
	unsigned i, k, t;

	start(&net, 4, 1, 0);
	for (i = 0; i < 4; i++) {
		if (!core_is_watcher(net.nodes[i].core))
			continue;
		core_destroy(net.nodes[i].core);
		net.nodes[i].core = NULL;
		break;
	}
	for (t = 0; t < 40; t++) {
		net_run(&net, 250);
		for (k = 0; k < 4; k++)
			if (k != i)
				g_assert_cmpint(net_state(&net, 4, k), !=, CS_MEMBER_UNREACHABLE);
	}
	g_assert_cmpint(net_state(&net, 4, i), ==, CS_MEMBER_UNREACHABLE);
	net_end(&net);
}

/* Guards against a lost region that stays in the view as alive, and one that never comes back. */
static void test_zone_cut(void)
{
	struct net net;
	unsigned i;

	start(&net, 2, 2, 2);
	g_assert_cmpint(net_state(&net, 0, 3), ==, CS_MEMBER_ALIVE);
	net.nodes[2].cut = net.nodes[3].cut = true;
	net_run(&net, 4500);
	for (i = 2; i < 4; i++) {
		g_assert_cmpint(net_state(&net, 0, i), ==, CS_MEMBER_UNREACHABLE);
		g_assert_cmpint(net_state(&net, 5, i), ==, CS_MEMBER_UNREACHABLE);
	}
	net_config(&net, 0, 9, "during the cut");
	net_run(&net, 1000);
	g_assert_cmpuint(net_revision(&net, 2), ==, 1);
	net.nodes[2].cut = net.nodes[3].cut = false;
	net_run(&net, 5000);
	g_assert_cmpint(net_state(&net, 0, 3), ==, CS_MEMBER_ALIVE);
	g_assert_cmpuint(net_revision(&net, 2), ==, 9);
	g_assert_cmpuint(net_revision(&net, 3), ==, 9);
	net_end(&net);
}

/* Guards against list changes that do not reach those who do not read the store. */
static void test_lists(void)
{
	struct cs_member m = {0};
	struct net net;
	unsigned i, added;

	start(&net, 5, 1, 0);
	added = net.n;
	g_snprintf(net.nodes[added].name, CS_NAME_MAX, "b-9");
	cs_copy(net.nodes[added].zone, CS_NAME_MAX, "b");
	cs_copy(net.nodes[added].addr, CS_ADDR_MAX, "10.0.0.99");
	net.n++;
	for (i = 0; i < 5; i++)
		if (core_is_watcher(net.nodes[i].core))
			net_list(&net, i, 8, 1ULL << 5);
	net_settle(&net);
	for (i = 0; i < 5; i++) {
		g_assert_true(net_member(&net, i, added, &m));
		g_assert_true(m.listed);
		g_assert_false(net_member(&net, i, 5, &m));
	}
	/* Same content under a later index changes nothing but the version. */
	net_list(&net, 0, 9, 1ULL << 5);
	net_settle(&net);
	g_assert_true(net_member(&net, 1, added, &m));
	net_end(&net);
}

/* Guards against snapshots that lack a changed part or repeat an unchanged one. */
static void test_snapshot(void)
{
	struct cs_wire_stamp held = {0};
	struct cs_wire_buf b = {0};
	struct cs_wire_msg *m;
	struct cs_msg msg;
	struct net net;

	start(&net, 2, 0, 0);
	g_assert_true(core_snapshot(net.nodes[0].core, &held, net.now_us, &b));
	m = cs_wire_parse(b.data, b.len, &msg);
	g_assert_nonnull(m);
	g_assert_true(m->u.snapshot.has_config && m->u.snapshot.has_members);
	held.incarnation = m->u.snapshot.view->incarnation;
	held.sequence = m->u.snapshot.view->sequence;
	cs_wire_free(m);
	g_assert_false(core_snapshot(net.nodes[0].core, &held, net.now_us, &b));
	net_config(&net, 0, 4, "next");
	g_assert_true(core_snapshot(net.nodes[0].core, &held, net.now_us, &b));
	m = cs_wire_parse(b.data, b.len, &msg);
	g_assert_true(m->u.snapshot.has_config);
	g_assert_false(m->u.snapshot.has_servers);
	g_assert_cmpuint(m->u.snapshot.base, ==, held.sequence);
	cs_wire_free(m);
	cs_wire_buf_free(&b);
	net_end(&net);
}

/* Guards against a frozen process that declares everyone else dead when it goes on. */
static void test_resume(void)
{
	struct net net;

	start(&net, 3, 0, 0);
	net.now_us += 20 * CS_US_PER_S;
	core_resume(net.nodes[0].core, net.now_us);
	g_assert_true(core_is_stale(net.nodes[0].core));
	core_tick(net.nodes[0].core, net.now_us);
	g_assert_cmpint(net_state(&net, 0, 1), ==, CS_MEMBER_ALIVE);
	net_collect(&net, 0);
	net_run(&net, 1500);
	g_assert_false(core_is_stale(net.nodes[0].core));
	g_assert_cmpint(net_state(&net, 1, 0), ==, CS_MEMBER_ALIVE);
	net_end(&net);
}

/* Guards against reports of a daemon process that was already replaced. */
static void test_replaced_daemon(void)
{
	struct cs_wire_report r = {.started_ms = 10,
				   .body = {.kind = CS_LINK_PROXY, .ready = true}};
	struct net net;

	start(&net, 1, 0, 0);
	g_assert_true(core_handle_report(net.nodes[0].core, &r, net.now_us));
	r.started_ms = 9;
	g_assert_false(core_handle_report(net.nodes[0].core, &r, net.now_us));
	net_end(&net);
}

/* Reports of a proxy process by its start, for a while. */
static void report_as(struct net *net, uint64_t started, unsigned seconds)
{
	struct cs_wire_report r = {.started_ms = started,
				   .body = {.kind = CS_LINK_PROXY, .ready = true}};
	unsigned i;

	r.body.roster = 42;
	for (i = 0; i < 4 * seconds; i++) {
		core_handle_report(net->nodes[0].core, &r, net->now_us);
		net_collect(net, 0);
		net_run(net, 250);
	}
}

/* Guards against an agreement on slots while requests of a killed proxy may still run. */
static void test_replaced_roster(void)
{
	struct cs_member m = {0};
	struct net net;

	start(&net, 2, 0, 0);
	report_as(&net, 10, 2);
	g_assert_true(net_member(&net, 1, 0, &m));
	g_assert_cmpuint(m.roster, ==, 42);
	report_as(&net, 20, 1);
	g_assert_true(net_member(&net, 1, 0, &m));
	g_assert_cmpuint(m.roster, ==, 0);
	report_as(&net, 20, 60);
	g_assert_true(net_member(&net, 1, 0, &m));
	g_assert_cmpuint(m.roster, ==, 42);
	net_end(&net);
}

/* Guards against a proxy's word that a server drains being lost until the next health poll. */
static void test_server_seen(void)
{
	struct cs_report_server sv = {.server = "s-1", .state = CS_SERVER_DRAINING};
	struct cs_wire_report r = {.started_ms = 10, .body = {.servers = &sv, .n_servers = 1}};
	struct cs_wire_entry e = {.id = "s-1", .zone = "a", .addr = "10.0.0.50", .port = 80};
	struct cs_wire_list_doc doc = {
		.service = "orders", .version = 3, .entries = &e, .n_entries = 1};
	struct cs_view *v;
	struct net net;

	start(&net, 1, 0, 0);
	core_set_list(net.nodes[0].core, &doc, net.now_us);
	core_update_server(net.nodes[0].core, "s-1", CS_SERVER_READY, 6, 0, 1000, net.now_us);
	core_handle_report(net.nodes[0].core, &r, net.now_us);
	v = core_view(net.nodes[0].core, net.now_us);
	g_assert_cmpuint(v->n_servers, ==, 1);
	g_assert_cmpint(v->servers[0].state, ==, CS_SERVER_DRAINING);
	cs_view_destroy(v);
	net_end(&net);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	cs_log_open("test-core", CS_ERR);
	g_test_add_func("/core/states", test_states);
	g_test_add_func("/core/leave", test_leave);
	g_test_add_func("/core/ready", test_ready);
	g_test_add_func("/core/load-to-zero", test_load_to_zero);
	g_test_add_func("/core/order", test_order);
	g_test_add_func("/core/revision", test_revision);
	g_test_add_func("/core/boot", test_boot);
	g_test_add_func("/core/watchers", test_watchers);
	g_test_add_func("/core/relay-dies", test_relay_dies);
	g_test_add_func("/core/zone-cut", test_zone_cut);
	g_test_add_func("/core/lists", test_lists);
	g_test_add_func("/core/snapshot", test_snapshot);
	g_test_add_func("/core/resume", test_resume);
	g_test_add_func("/core/replaced-daemon", test_replaced_daemon);
	g_test_add_func("/core/replaced-roster", test_replaced_roster);
	g_test_add_func("/core/server-seen", test_server_seen);
	return g_test_run();
}
