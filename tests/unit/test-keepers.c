/* Keepers of tokens for quotas (lib/steer/keepers.c), and workspaces in routing decisions. */
#include <string.h>

#include "tests/unit/steer-fixture.h"

/* The keeper of a slot in the own zone as seen by an instance of zone a1. */
static const char *keeper(struct cs_steer *s, unsigned slot, unsigned candidate, uint64_t now)
{
	static struct cs_quota_zone others[CS_QUOTA_ZONES_MAX];
	struct cs_quota_zone own;

	cs_steer_quota_keepers(s, now, &own, others, CS_QUOTA_ZONES_MAX);
	return own.keepers[slot][candidate];
}

/* Guards against instances of a zone that take different ones for its keepers. */
static void test_same_view(void)
{
	static const char *const names[] = {"i1", "i2", "i3", "i4", "i5"};
	struct cs_steer *s[5];
	unsigned i, k, slot;

	for (i = 0; i < 5; i++) {
		s[i] = fixture_create(names[i], "a1", 0);
		for (k = 0; k < 5; k++)
			if (k != i)
				fixture_add_member(s[i], names[k], "a1", MS(1));
	}
	for (i = 1; i < 5; i++)
		for (slot = 0; slot < CS_QUOTA_SLOTS; slot++)
			for (k = 0; k < CS_QUOTA_CANDIDATES; k++)
				g_assert_cmpstr(keeper(s[i], slot, k, MS(2)), ==,
						keeper(s[0], slot, k, MS(2)));
	for (i = 0; i < 5; i++)
		cs_steer_destroy(s[i]);
}

/* Guards against a keeper that is dead or leaves, and one slot's change that moves the other's. */
static void test_dead_keeper(void)
{
	struct cs_steer *s = fixture_create("i1", "a1", 0);
	char first[CS_NAME_MAX], second[CS_NAME_MAX];
	uint64_t now = MS(1);
	unsigned i;
	char name[8];

	for (i = 2; i < 9; i++) {
		g_snprintf(name, sizeof(name), "i%u", i);
		fixture_add_member(s, name, "a1", now);
	}
	cs_copy(first, sizeof(first), keeper(s, 0, 0, now));
	cs_copy(second, sizeof(second), keeper(s, 0, 1, now));
	/* All but the first candidate are heard again later. */
	now = MS(2500);
	for (i = 2; i < 9; i++) {
		g_snprintf(name, sizeof(name), "i%u", i);
		if (strcmp(name, first) != 0)
			fixture_add_member(s, name, "a1", now);
	}
	if (strcmp(first, "i1") != 0)
		g_assert_cmpstr(keeper(s, 0, 0, now), ==, second);
	cs_steer_set_leaving(s, now);
	for (i = 0; i < CS_QUOTA_SLOTS; i++)
		g_assert_cmpstr(keeper(s, i, 0, now), !=, "i1");
	cs_steer_destroy(s);
}

/* Guards against keepers of far zones that are asked before those of the own region. */
static void test_nearest_first(void)
{
	static struct cs_quota_zone others[CS_QUOTA_ZONES_MAX];
	struct cs_steer *s = fixture_create("i1", "b2", 0);
	struct cs_quota_zone own;

	fixture_add_member(s, "far", "c1", MS(1));
	fixture_add_member(s, "near", "b1", MS(1));
	g_assert_cmpuint(cs_steer_quota_keepers(s, MS(2), &own, others, CS_QUOTA_ZONES_MAX), ==, 2);
	g_assert_cmpstr(own.keepers[0][0], ==, "i1");
	g_assert_cmpstr(others[0].keepers[0][0], ==, "near");
	g_assert_cmpstr(others[1].keepers[1][0], ==, "far");
	g_assert_cmpuint(cs_steer_fleet_size(s), ==, 3);
	cs_steer_destroy(s);
}

/* Guards against a request that runs outside the homes of its workspace or of its route. */
static void test_homes(void)
{
	static char homes[2][CS_WORKSPACE_NAME_MAX] = {"ra", "rb"};
	struct cs_workspace ws = {
		.id = 7, .name = (char *)"w", .homes = homes, .n_homes = 2, .priority = 1};
	struct cs_steer *s = fixture_create("i1", "a1", 0);
	struct cs_steer_decision d;
	struct cs_steer_request req;
	unsigned i;

	cs_steer_set_document(s, fixture_document(1, "rb"), 0);
	fixture_add_server(s, "s-a", "a1", 0, 0);
	fixture_add_server(s, "s-b", "b1", 0, 0);
	fixture_add_server(s, "s-c", "c1", 0, 0);
	for (i = 0; i < 6; i++) {
		fixture_init_request(s, &req, 0, MS(10));
		cs_steer_request_set_workspace(s, &req, &ws, MS(10));
		cs_steer_decide(s, &req, MS(10), &d);
		g_assert_cmpint(d.verdict, ==, CS_STEER_SEND);
		g_assert_cmpstr(cs_backend_id(d.u.send.backend), ==, "s-b");
		cs_steer_attempt_ended(s, &req, d.u.send.backend, CS_STEER_OK, MS(5), MS(10));
	}
	/* Without a region that both allow, it is refused. */
	ws.n_homes = 1;
	fixture_init_request(s, &req, 0, MS(20));
	cs_steer_request_set_workspace(s, &req, &ws, MS(20));
	cs_steer_decide(s, &req, MS(20), &d);
	g_assert_cmpint(d.verdict, ==, CS_STEER_REFUSE);
	g_assert_cmpuint(req.priority, >, 1000);
	cs_steer_destroy(s);
}

/* Guards against clients that are directed to an instance which refuses their key. */
static void test_stale_is_not_offered(void)
{
	struct cs_steer_member self = {.name = "i1", .zone = "a1", .ready = true};
	struct cs_steer *s = fixture_create("i1", "a1", 0);
	char out[CS_CLIENT_ADDRESSES_MAX][CS_ADDR_MAX + 8];
	struct cs_steer_report r = {.name = "i2", .boot = 1, .seq = 100000, .ready = true};

	cs_copy(self.front, sizeof(self.front), "127.0.0.1:1");
	fixture_add_member(s, "i2", "a1", MS(1));
	g_assert_cmpuint(cs_steer_client_addresses(s, "a1", "ra", &self, MS(2), out, 64), ==, 2);
	self.keys_stale = r.keys_stale = true;
	cs_steer_handle_report(s, &r, MS(3));
	g_assert_cmpuint(cs_steer_client_addresses(s, "a1", "ra", &self, MS(4), out, 64), ==, 0);
	cs_steer_destroy(s);
}

/* Decides on a new request of a workspace. */
static enum cs_steer_verdict decide(struct cs_steer *s, struct cs_steer_request *req, uint64_t id,
				    uint64_t now, struct cs_steer_decision *out)
{
	struct cs_workspace ws = {.id = id, .name = (char *)"w"};

	memset(req, 0, sizeof(*req));
	fixture_init_request(s, req, 0, now);
	cs_steer_request_set_workspace(s, req, &ws, now);
	cs_steer_decide(s, req, now, out);
	return out->verdict;
}

/*
 * Guards against a workspace that fills a service's queue while another one got nothing of it: the
 * other goes first although it waits longer, and the full queue makes room for it.
 */
static void test_queue(void)
{
	static struct cs_steer_request running[32], hot[64], waits, late;
	struct cs_steer *s = fixture_create("i1", "a1", 0);
	struct cs_steer_decision d;
	struct cs_backend *server[32];
	unsigned i, queued = 0;
	uint64_t now = MS(10);

	cs_steer_set_document(s, fixture_document(1, NULL), 0);
	fixture_add_server(s, "s-a", "a1", 0, 0);
	fixture_add_server(s, "s-b", "a1", 0, 0);
	fixture_add_server(s, "s-c", "a1", 0, 0);
	fixture_run(s, &now, MS(200));
	/* The servers are filled by two workspaces in turn. */
	for (i = 0; i < 32 && decide(s, &running[i], 3 + i % 2, now, &d) == CS_STEER_SEND; i++)
		server[i] = d.u.send.backend;
	g_assert_cmpuint(i, >=, 8);
	g_assert_cmpuint(i, <, 32);
	cs_steer_dequeue(s, &running[i]);
	now += MS(120);
	g_assert_cmpint(decide(s, &waits, 2, now, &d), ==, CS_STEER_WAIT);
	for (i = 0; i < 64; i++)
		queued += decide(s, &hot[i], 3, now + 1 + i, &d) == CS_STEER_WAIT;
	g_assert_cmpuint(queued, <, 64);
	now += MS(1);
	g_assert_cmpint(decide(s, &late, 5, now, &d), ==, CS_STEER_WAIT);
	cs_steer_attempt_ended(s, &running[0], server[0], CS_STEER_OK, MS(50), now);
	g_assert_true(cs_steer_next_waiting(s, now, &d) == &late);
	g_assert_cmpint(d.verdict, ==, CS_STEER_SEND);
	cs_steer_attempt_ended(s, &running[1], server[1], CS_STEER_OK, MS(50), now);
	g_assert_true(cs_steer_next_waiting(s, now, &d) == &waits);
	g_assert_cmpint(d.verdict, ==, CS_STEER_SEND);
	cs_steer_destroy(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/keepers/same-view", test_same_view);
	g_test_add_func("/keepers/dead", test_dead_keeper);
	g_test_add_func("/keepers/nearest-first", test_nearest_first);
	g_test_add_func("/workspace/homes", test_homes);
	g_test_add_func("/workspace/queue", test_queue);
	g_test_add_func("/workspace/stale-not-offered", test_stale_is_not_offered);
	return g_test_run();
}
