/* Tests of the agent's core: member states, message order, configuration, lists, snapshots. */
#include "core-net.h"

/* Starts a, b and c nodes in the zones of these names, with the list and a first document. */
static void start_net(struct net *net, unsigned a, unsigned b, unsigned c)
{
	const char *zones[] = {"a", "b", "c"};
	unsigned counts[] = {a, b, c}, z, k, i;

	net_init(net, 1);
	for (z = 0; z < 3; z++)
		for (k = 1; k <= counts[z]; k++)
			net_add_node(net, zones[z], k);
	for (i = 0; i < net->n; i++)
		net_set_list(net, i, 5, 0);
	net_set_config(net, 0, 1, "first");
	net_run(net, 3000);
}

/* Number of ticks until node i sees the given peer in a state; 100 if it never does. */
static unsigned count_ticks_to_state(struct net *net, unsigned i, unsigned peer,
				     enum cs_member_state st)
{
	unsigned n;

	for (n = 0; n < 100 && net_state(net, i, peer) != st; n++)
		net_run(net, CORE_TICK_US / CS_US_PER_MS);
	return n;
}

/*
 * Guards against wrong timeouts of the member states, and against a member that never returns to
 * alive.
 */
static void test_member_state_timeouts(void)
{
	struct net net;
	unsigned n;

	start_net(&net, 3, 0, 0);
	g_assert_cmpint(net_state(&net, 0, 1), ==, CS_MEMBER_ALIVE);
	net.nodes[1].partitioned = true;
	/* The last heartbeat was sent up to one period before the partition. */
	n = count_ticks_to_state(&net, 0, 1, CS_MEMBER_SUSPECT);
	g_assert_cmpuint(n, >=, 10);
	g_assert_cmpuint(n, <=, 20);
	g_assert_cmpuint(count_ticks_to_state(&net, 0, 1, CS_MEMBER_UNREACHABLE), ==, 10);
	net_set_list(&net, 0, 6, 2);
	net_run(&net, 250);
	g_assert_cmpint(net_state(&net, 0, 1), ==, CS_MEMBER_DEAD);
	net.nodes[1].partitioned = false;
	net_set_list(&net, 0, 7, 0);
	net_run(&net, 2000);
	g_assert_cmpint(net_state(&net, 0, 1), ==, CS_MEMBER_ALIVE);
	net_destroy(&net);
}

/* Guards against peers that learn of a planned stop only by missing heartbeats. */
static void test_leave_announced(void)
{
	struct net net;

	start_net(&net, 2, 1, 0);
	core_leave(net.nodes[1].core, net.now_us);
	net_collect(&net, 1);
	net_deliver_all(&net);
	g_assert_cmpint(net_state(&net, 0, 1), ==, CS_MEMBER_LEAVING);
	net_run(&net, 1000);
	g_assert_cmpint(net_state(&net, 2, 1), ==, CS_MEMBER_LEAVING);
	net_destroy(&net);
}

/*
 * Guards against a proxy's report of its readiness, load or roster (the set of instances that it
 * divides slots among) that does not reach the other nodes of its zone, and readiness or load that
 * does not reach other zones.
 */
static void test_proxy_report_reaches_all_zones(void)
{
	struct cs_member m = {0};
	struct cs_view *v;
	struct net net;
	unsigned i;

	start_net(&net, 2, 1, 0);
	/* Loads are moving averages: report until they converge. */
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
	/* No more reports, as after a crash of the proxy: its agent announces it as not ready. */
	net_run(&net, 1000);
	g_assert_true(net_member(&net, 0, 1, &m));
	g_assert_false(m.ready);
	net_destroy(&net);
}

/* Number of requests in flight in zone a, as a node sees it. */
static unsigned in_flight_in_zone_a(struct net *net, unsigned node)
{
	struct cs_view *v = core_view(net->nodes[node].core, net->now_us);
	unsigned i, n = 0;

	for (i = 0; i < v->n_loads; i++)
		if (strcmp(v->loads[i].zone, "a") == 0)
			n += v->loads[i].in_flight;
	cs_view_destroy(v);
	return n;
}

/* Reports a load every 250 ms for one second, as a proxy does. */
static void report_for_one_second(struct net *net, unsigned in_flight)
{
	unsigned i;

	for (i = 0; i < 4; i++) {
		net_report(net, 0, true, in_flight);
		net_run(net, 250);
	}
}

/*
 * Guards against a smoothed load that never returns to 0, so that the last request of a drained
 * zone would be shown as in flight forever.
 */
static void test_load_returns_to_zero(void)
{
	struct net net;

	start_net(&net, 1, 1, 0);
	report_for_one_second(&net, 20);
	report_for_one_second(&net, 1);
	g_assert_cmpuint(in_flight_in_zone_a(&net, 1), ==, 1);
	report_for_one_second(&net, 0);
	report_for_one_second(&net, 0);
	g_assert_cmpuint(in_flight_in_zone_a(&net, 1), ==, 0);
	g_assert_cmpuint(in_flight_in_zone_a(&net, 0), ==, 0);
	net_destroy(&net);
}

static void deliver_heartbeat(struct net *net, unsigned to, const char *instance,
			      uint64_t incarnation, uint64_t sequence, bool leaving)
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

/* Guards against applying late heartbeats of an earlier process or with an older sequence number. */
static void test_ignores_stale_heartbeats(void)
{
	struct net net;
	struct cs_member m = {0};

	start_net(&net, 2, 0, 0);
	net.nodes[1].partitioned = true;
	deliver_heartbeat(&net, 0, "a-2", 9000000, 5, false);
	deliver_heartbeat(&net, 0, "a-2", 9000000, 4, true);
	deliver_heartbeat(&net, 0, "a-2", 8999999, 50, true);
	core_tick(net.nodes[0].core, net.now_us);
	g_assert_cmpint(net_state(&net, 0, 1), ==, CS_MEMBER_ALIVE);
	g_assert_cmpuint(core_stats(net.nodes[0].core)->stale, >=, 2);
	/* After a long silence a lower incarnation is accepted: the clock may have been set back. */
	net_run(&net, 11000);
	deliver_heartbeat(&net, 0, "a-2", 7, 1, false);
	g_assert_true(net_member(&net, 0, 1, &m));
	g_assert_cmpint(m.state, ==, CS_MEMBER_ALIVE);
	g_assert_cmpuint(m.incarnation, ==, 7);
	net_destroy(&net);
}

/* Guards against accepting a document that is older, conflicting or malformed. */
static void test_config_revision_never_reverts(void)
{
	struct net net;
	struct cs_msg msg;

	start_net(&net, 2, 1, 0);
	g_assert_cmpint(net_set_config(&net, 0, 7, "new"), ==, CORE_CONFIG_ACCEPTED);
	g_assert_cmpint(net_set_config(&net, 0, 6, "old"), ==, CORE_CONFIG_OLDER);
	g_assert_cmpint(net_set_config(&net, 0, 7, "new"), ==, CORE_CONFIG_UNCHANGED);
	g_assert_cmpint(net_set_config(&net, 0, 7, "other"), ==, CORE_CONFIG_CONFLICT);
	g_assert_cmpint(core_set_config(net.nodes[0].core, "{}", 2, net.now_us, &msg), ==,
			CORE_CONFIG_INVALID);
	g_assert_cmpuint(net_revision(&net, 0), ==, 7);
	/*
	 * The heartbeat with the new revision, the request for the document and the document itself
	 * spread within and between zones without a tick.
	 */
	net_deliver_all(&net);
	g_assert_cmpuint(net_revision(&net, 1), ==, 7);
	g_assert_cmpuint(net_revision(&net, 2), ==, 7);
	net_destroy(&net);
}

/* Guards against an instance that starts without a store and gets no state from its peers. */
static void test_boots_from_peers(void)
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

	start_net(&net, 2, 1, 0);
	i = net_add_node(&net, "a", 3);
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
	/* An instance also receives the state on start if its only peer is in another zone. */
	peer = (struct core_peer){.addr = "10.0.0.3", .port = 7001};
	core_destroy(net.nodes[i].core);
	opts.incarnation = 9000000;
	net.nodes[i].core = core_create(&opts, net.now_us);
	net_run(&net, 500);
	g_assert_cmpuint(net_revision(&net, i), ==, 1);
	net_destroy(&net);
}

static unsigned count_watchers(struct net *net, const char *zone)
{
	unsigned i, n = 0;

	for (i = 0; i < net->n; i++)
		n += strcmp(net->nodes[i].zone, zone) == 0 && net->nodes[i].core != NULL &&
		     core_is_watcher(net->nodes[i].core);
	return n;
}

/*
 * Watchers are the nodes of a zone that read the store. Guards against more or fewer than two of
 * them in a zone that has enough nodes, also after one of them died.
 */
static void test_two_watchers_per_zone(void)
{
	struct net net;
	unsigned i;

	start_net(&net, 6, 1, 0);
	g_assert_cmpuint(count_watchers(&net, "a"), ==, 2);
	g_assert_cmpuint(count_watchers(&net, "b"), ==, 1);
	for (i = 0; !core_is_watcher(net.nodes[i].core); i++)
		;
	core_destroy(net.nodes[i].core);
	net.nodes[i].core = NULL;
	net_run(&net, 4000);
	g_assert_cmpuint(count_watchers(&net, "a"), ==, 2);
	net_destroy(&net);
}

/*
 * Two nodes of a zone, its relays and watchers, exchange digests with other zones. Guards against
 * the zone appearing unreachable from another zone after one of them died and until another node
 * has replaced it.
 */
static void test_relay_failure_keeps_zone_reachable(void)
{
	struct net net;
	unsigned i, k, t;

	start_net(&net, 4, 1, 0);
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
	net_destroy(&net);
}

/* Guards against a partitioned zone that stays alive in the view, or does not rejoin later. */
static void test_partitioned_zone_rejoins(void)
{
	struct net net;
	unsigned i;

	start_net(&net, 2, 2, 2);
	g_assert_cmpint(net_state(&net, 0, 3), ==, CS_MEMBER_ALIVE);
	net.nodes[2].partitioned = net.nodes[3].partitioned = true;
	net_run(&net, 4500);
	for (i = 2; i < 4; i++) {
		g_assert_cmpint(net_state(&net, 0, i), ==, CS_MEMBER_UNREACHABLE);
		g_assert_cmpint(net_state(&net, 5, i), ==, CS_MEMBER_UNREACHABLE);
	}
	net_set_config(&net, 0, 9, "during the cut");
	net_run(&net, 1000);
	g_assert_cmpuint(net_revision(&net, 2), ==, 1);
	net.nodes[2].partitioned = net.nodes[3].partitioned = false;
	net_run(&net, 5000);
	g_assert_cmpint(net_state(&net, 0, 3), ==, CS_MEMBER_ALIVE);
	g_assert_cmpuint(net_revision(&net, 2), ==, 9);
	g_assert_cmpuint(net_revision(&net, 3), ==, 9);
	net_destroy(&net);
}

/* Guards against list changes that do not reach nodes that do not read the store. */
static void test_list_reaches_nodes_without_store(void)
{
	struct cs_member m = {0};
	struct net net;
	unsigned i, added;

	start_net(&net, 5, 1, 0);
	added = net.n;
	g_snprintf(net.nodes[added].name, CS_NAME_MAX, "b-9");
	cs_copy(net.nodes[added].zone, CS_NAME_MAX, "b");
	cs_copy(net.nodes[added].addr, CS_ADDR_MAX, "10.0.0.99");
	net.n++;
	for (i = 0; i < 5; i++)
		if (core_is_watcher(net.nodes[i].core))
			net_set_list(&net, i, 8, 1ULL << 5);
	net_deliver_all(&net);
	for (i = 0; i < 5; i++) {
		g_assert_true(net_member(&net, i, added, &m));
		g_assert_true(m.listed);
		g_assert_false(net_member(&net, i, 5, &m));
	}
	/* The same content with a higher version changes nothing else. */
	net_set_list(&net, 0, 9, 1ULL << 5);
	net_deliver_all(&net);
	g_assert_true(net_member(&net, 1, added, &m));
	net_destroy(&net);
}

/* Guards against snapshots that lack a changed part or contain an unchanged one. */
static void test_snapshot_has_changed_parts_only(void)
{
	struct cs_wire_stamp held = {0};
	struct cs_wire_buf b = {0};
	struct cs_wire_msg *m;
	struct cs_msg msg;
	struct net net;

	start_net(&net, 2, 0, 0);
	g_assert_true(core_snapshot(net.nodes[0].core, &held, net.now_us, &b));
	m = cs_wire_parse(b.data, b.len, &msg);
	g_assert_nonnull(m);
	g_assert_true(m->u.snapshot.has_config && m->u.snapshot.has_members);
	held.incarnation = m->u.snapshot.view->incarnation;
	held.sequence = m->u.snapshot.view->sequence;
	cs_wire_free(m);
	g_assert_false(core_snapshot(net.nodes[0].core, &held, net.now_us, &b));
	net_set_config(&net, 0, 4, "next");
	g_assert_true(core_snapshot(net.nodes[0].core, &held, net.now_us, &b));
	m = cs_wire_parse(b.data, b.len, &msg);
	g_assert_true(m->u.snapshot.has_config);
	g_assert_false(m->u.snapshot.has_servers);
	g_assert_cmpuint(m->u.snapshot.base, ==, held.sequence);
	cs_wire_free(m);
	cs_wire_buf_free(&b);
	net_destroy(&net);
}

/* Guards against a process that declares its peers dead when it resumes after a suspension. */
static void test_resume_keeps_peers_alive(void)
{
	struct net net;

	start_net(&net, 3, 0, 0);
	net.now_us += 20 * CS_US_PER_S;
	core_resume(net.nodes[0].core, net.now_us);
	g_assert_true(core_is_stale(net.nodes[0].core));
	core_tick(net.nodes[0].core, net.now_us);
	g_assert_cmpint(net_state(&net, 0, 1), ==, CS_MEMBER_ALIVE);
	net_collect(&net, 0);
	net_run(&net, 1500);
	g_assert_false(core_is_stale(net.nodes[0].core));
	g_assert_cmpint(net_state(&net, 1, 0), ==, CS_MEMBER_ALIVE);
	net_destroy(&net);
}

/* Guards against accepting reports of a daemon process that was already replaced. */
static void test_refuses_report_of_replaced_daemon(void)
{
	struct cs_wire_report r = {.started_ms = 10,
				   .body = {.kind = CS_LINK_PROXY, .ready = true}};
	struct net net;

	start_net(&net, 1, 0, 0);
	g_assert_true(core_handle_report(net.nodes[0].core, &r, net.now_us));
	r.started_ms = 9;
	g_assert_false(core_handle_report(net.nodes[0].core, &r, net.now_us));
	net_destroy(&net);
}

/* Gives node 0 reports of the proxy process started at the given time, every 250 ms. */
static void report_as_process(struct net *net, uint64_t started, unsigned seconds)
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

/*
 * A node announces its proxy's roster, the set of instances that slots are divided among; when all
 * announce the same, each uses its share at once. Guards against announcing the roster of a
 * restarted proxy while requests of the killed process may still run.
 */
static void test_no_roster_after_proxy_restart(void)
{
	struct cs_member m = {0};
	struct net net;

	start_net(&net, 2, 0, 0);
	report_as_process(&net, 10, 2);
	g_assert_true(net_member(&net, 1, 0, &m));
	g_assert_cmpuint(m.roster, ==, 42);
	report_as_process(&net, 20, 1);
	g_assert_true(net_member(&net, 1, 0, &m));
	g_assert_cmpuint(m.roster, ==, 0);
	report_as_process(&net, 20, 60);
	g_assert_true(net_member(&net, 1, 0, &m));
	g_assert_cmpuint(m.roster, ==, 42);
	net_destroy(&net);
}

/*
 * Guards against listing a server as ready until the next health poll although a proxy has reported
 * that it is draining.
 */
static void test_reported_drain_applies_at_once(void)
{
	struct cs_report_server sv = {.server = "s-1", .state = CS_SERVER_DRAINING};
	struct cs_wire_report r = {.started_ms = 10, .body = {.servers = &sv, .n_servers = 1}};
	struct cs_wire_entry e = {.id = "s-1", .zone = "a", .addr = "10.0.0.50", .port = 80};
	struct cs_wire_list_doc doc = {
		.service = "orders", .version = 3, .entries = &e, .n_entries = 1};
	struct cs_view *v;
	struct net net;

	start_net(&net, 1, 0, 0);
	core_set_list(net.nodes[0].core, &doc, net.now_us);
	core_update_server(net.nodes[0].core, "s-1", CS_SERVER_READY, 6, 0, 1000, net.now_us);
	core_handle_report(net.nodes[0].core, &r, net.now_us);
	v = core_view(net.nodes[0].core, net.now_us);
	g_assert_cmpuint(v->n_servers, ==, 1);
	g_assert_cmpint(v->servers[0].state, ==, CS_SERVER_DRAINING);
	cs_view_destroy(v);
	net_destroy(&net);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	cs_log_open("test-core", CS_ERR);
	g_test_add_func("/core/member/state-timeouts", test_member_state_timeouts);
	g_test_add_func("/core/member/leave-announced", test_leave_announced);
	g_test_add_func("/core/proxy-report/reaches-all-zones",
			test_proxy_report_reaches_all_zones);
	g_test_add_func("/core/proxy-report/load-returns-to-zero", test_load_returns_to_zero);
	g_test_add_func("/core/member/ignores-stale-heartbeats", test_ignores_stale_heartbeats);
	g_test_add_func("/core/config/revision-never-reverts", test_config_revision_never_reverts);
	g_test_add_func("/core/boots-from-peers", test_boots_from_peers);
	g_test_add_func("/core/two-watchers-per-zone", test_two_watchers_per_zone);
	g_test_add_func("/core/zone/relay-failure-keeps-reachable",
			test_relay_failure_keeps_zone_reachable);
	g_test_add_func("/core/zone/partitioned-rejoins", test_partitioned_zone_rejoins);
	g_test_add_func("/core/list-reaches-nodes-without-store",
			test_list_reaches_nodes_without_store);
	g_test_add_func("/core/snapshot-has-changed-parts-only",
			test_snapshot_has_changed_parts_only);
	g_test_add_func("/core/member/resume-keeps-peers-alive", test_resume_keeps_peers_alive);
	g_test_add_func("/core/proxy-report/refuses-replaced-daemon",
			test_refuses_report_of_replaced_daemon);
	g_test_add_func("/core/proxy-report/no-roster-after-restart",
			test_no_roster_after_proxy_restart);
	g_test_add_func("/core/proxy-report/drain-applies-at-once",
			test_reported_drain_applies_at_once);
	return g_test_run();
}
