/*
 * Propagation of the store's changes in a simulated large fleet (lib/steer/feed.c, fanout.c): the
 * roots of a zone watch the store, the others follow them.
 */
#include <string.h>

#include "tests/unit/steer-fleet.h"

#define INSTANCES 77
/*
 * Least time on any site until a draining server must get no requests, and the time that a request
 * takes to arrive: a tenth of a second of an exhausted quota, and the delay between regions.
 */
#define DRAIN_US MS(2000)
#define SEND_US MS(150)
/* Calls in 10 s: those of two roots in each zone, and a few more at each change. */
#define CALLS_MAX 300
/* Time in which an instance receives a document of 1 MB over a link of 10 Mbit/s. */
#define DOCUMENT_TRANSFER_US MS(1100)
/* Interval of the calls for entries while it does, as in src/node/store-sync.c. */
#define ENTRIES_INTERVAL_US MS(150)

/* Revisions of an era of the store, and the time in which all instances follow a new one. */
#define ERA_REVISIONS 1000000000000000ULL
#define RESTORED_US MS(3000)

/* An instance's call to the store. */
struct call {
	bool pending;
	bool lost; /* made or pending while the instance was cut off from the store */
	struct cs_feed_step step;
	uint64_t made_us;
	uint64_t ends_us; /* when the instance has received the response; 0: it has not begun */
	uint64_t until; /* revision of that response */
	uint64_t entries_us; /* when the next call for entries ends */
};

static struct call calls[FLEET_MAX];
static bool cut[FLEET_MAX];
static uint64_t next_poll_us[FLEET_MAX];
static uint64_t revision; /* of the store */
static uint64_t document_revision; /* of the last document */
static uint64_t store_delay_us; /* of its responses */
static unsigned n_calls;

static void create_with_store(void)
{
	unsigned i;

	fleet_create(INSTANCES, 60, 2);
	loss_pct = 5;
	memset(calls, 0, sizeof(calls));
	memset(cut, 0, sizeof(cut));
	memset(next_poll_us, 0, sizeof(next_poll_us));
	revision = 10;
	document_revision = 0;
	store_delay_us = MS(4);
	n_calls = 0;
	for (i = 0; i < n_fleet; i++) {
		fleet[i].has_feed = true;
		cs_feed_init(&fleet[i].feed, i + 1, now);
	}
}

/*
 * Sends changes to the other instances of the zone, as src/node/gossip.c does. Documents are named
 * without their value.
 */
static void relay(unsigned from, bool entries_only, uint64_t after, uint64_t until)
{
	unsigned i;

	for (i = 0; i < n_fleet; i++) {
		if (i == from || fleet[i].dead || zone_index(i) != zone_index(from) ||
		    cs_rng_below(&rng, 100) < loss_pct)
			continue;
		if (entries_only)
			cs_feed_apply_entries(&fleet[i].feed, after, until);
		else
			cs_feed_apply_relayed(&fleet[i].feed, after, until, now);
	}
}

/* Time in which an instance receives a response with the changes after a revision. */
static uint64_t response_us(uint64_t after)
{
	return document_revision > after ? DOCUMENT_TRANSFER_US : 0;
}

/* Reads the changes of entries beside a response that takes long, and relays them. */
static void entries_progress(unsigned i)
{
	struct call *c = &calls[i];
	struct cs_feed *f = &fleet[i].feed;
	uint64_t after = f->revision;

	if (now < c->entries_us)
		return;
	c->entries_us = now + ENTRIES_INTERVAL_US;
	cs_feed_contact(f, now);
	if (!cs_feed_apply_entries(f, after, revision))
		return;
	if (!f->following)
		relay(i, true, after, revision);
}

/* Ends the call of an instance if its response has arrived, or if it has timed out. */
static void call_progress(unsigned i)
{
	struct call *c = &calls[i];
	struct cs_feed *f = &fleet[i].feed;
	bool read = c->step.kind == CS_FEED_READ, changed = revision > c->step.after;

	c->lost = c->lost || cut[i];
	if (c->lost) {
		if (now - c->made_us < c->step.timeout_ms * CS_US_PER_MS)
			return;
		c->pending = false;
		cs_feed_call_failed(f, now);
		return;
	}
	if (now - c->made_us < store_delay_us ||
	    (!read && !changed &&
	     now - c->made_us < c->step.wait_ms * CS_US_PER_MS + store_delay_us))
		return;
	if (c->ends_us == 0) {
		c->ends_us = now + response_us(read ? 0 : c->step.after);
		c->until = revision;
		c->entries_us = now + ENTRIES_INTERVAL_US;
	}
	if (now < c->ends_us) {
		if (!read)
			entries_progress(i);
		return;
	}
	c->pending = false;
	if (!read && c->step.after / ERA_REVISIONS != c->until / ERA_REVISIONS) {
		cs_feed_restored(f, now);
		cs_feed_history_lost(f, now);
		return;
	}
	if (read) {
		cs_feed_page_read(f, c->until, false, now);
		return;
	}
	changed = c->until > c->step.after;
	cs_feed_watch_completed(f, c->until, changed, now);
	if (changed)
		relay(i, false, c->step.after, c->until);
}

/* Makes the next call of an instance if it is due, as src/node/store-sync.c does. */
static void call_next(unsigned i)
{
	struct cs_steer *s = fleet[i].steer;
	struct call *c = &calls[i];

	if (now < next_poll_us[i])
		return;
	cs_feed_set_role(&fleet[i].feed,
			 cs_steer_rank(s) < CS_ROOTS_PER_ZONE ? CS_FEED_ROOT : CS_FEED_FOLLOWER,
			 cs_steer_watched_revision(s, now), now);
	*c = (struct call){.made_us = now};
	cs_feed_next(&fleet[i].feed, now, &c->step);
	if (c->step.kind == CS_FEED_PAUSE) {
		next_poll_us[i] = c->step.until_us;
		return;
	}
	c->pending = true;
	n_calls++;
}

static void run(uint64_t duration_us)
{
	uint64_t until = now + duration_us;
	unsigned i;

	while (now < until) {
		fleet_step();
		for (i = 0; i < n_fleet; i++) {
			if (fleet[i].dead)
				continue;
			if (calls[i].pending)
				call_progress(i);
			if (!calls[i].pending)
				call_next(i);
		}
	}
}

static unsigned count_behind(void)
{
	unsigned i, n = 0;

	for (i = 0; i < n_fleet; i++)
		n += !fleet[i].dead && !cut[i] && fleet[i].feed.revision < revision;
	return n;
}

/* Runs until all instances that reach the store have its changes; returns the time it takes. */
static uint64_t time_to_apply(void)
{
	uint64_t start = now;

	while (count_behind() > 0 && now < start + MS(10000))
		run(STEP_US);
	return now - start;
}

/*
 * Guards against servers that get requests after their entry says that they drain: both roots of a
 * zone have lost the store, or have died, just before the entry changes, and the other instances of
 * the zone, which reach the store, wait for them.
 */
static void test_change_applied_without_roots(gconstpointer arg)
{
	bool dead = *(const bool *)arg;
	uint64_t offset, took, worst = 0;
	unsigned i;

	for (offset = 0; offset < MS(1600); offset += MS(100)) {
		create_with_store();
		run(MS(4000));
		revision++;
		run(MS(100) + offset);
		for (i = 0; i < n_fleet; i++) {
			if (cs_steer_rank(fleet[i].steer) >= CS_ROOTS_PER_ZONE)
				continue;
			cut[i] = !dead;
			fleet[i].dead = dead;
		}
		revision++;
		took = time_to_apply();
		worst = took > worst ? took : worst;
		fleet_destroy();
	}
	g_test_message("all instances have the change after %u ms at worst",
		       (unsigned)(worst / CS_US_PER_MS));
	g_assert_cmpuint(worst, <=, DRAIN_US - SEND_US);
}

/*
 * Guards against servers that get requests long after their entry says that they drain because a
 * document is on the way: entries change twice a second while two documents follow each other.
 */
static void test_document_does_not_delay_entries(void)
{
	uint64_t written_us[64], worst = 0, known;
	unsigned i, j, k, n = 0, first;

	create_with_store();
	run(MS(4000));
	first = (unsigned)revision + 1;
	for (k = 0; k < 24; k++) {
		revision++;
		if (k == 4 || k == 11)
			document_revision = revision;
		written_us[n++] = now;
		for (i = 0; i < MS(500) / STEP_US; i++) {
			run(STEP_US);
			known = revision;
			for (j = 0; j < n_fleet; j++)
				if (cs_feed_entries_revision(&fleet[j].feed) < known)
					known = cs_feed_entries_revision(&fleet[j].feed);
			if (known + 1 < first + n && now - written_us[known + 1 - first] > worst)
				worst = now - written_us[known + 1 - first];
		}
	}
	fleet_destroy();
	g_test_message("an entry is known to all instances after %u ms at worst",
		       (unsigned)(worst / CS_US_PER_MS));
	g_assert_cmpuint(worst, <=, DRAIN_US - SEND_US);
}

/*
 * Guards against followers that call the store although the roots of their zone watch it, also if
 * it is slow and changes now and then.
 */
static void test_few_calls_while_roots_watch(void)
{
	static const unsigned delays_ms[] = {4, 200, 300};
	unsigned i, k;

	for (i = 0; i < G_N_ELEMENTS(delays_ms); i++) {
		create_with_store();
		run(MS(4000));
		store_delay_us = MS(delays_ms[i]);
		run(MS(4000));
		n_calls = 0;
		for (k = 0; k < 5; k++) {
			revision++;
			run(MS(2000));
		}
		g_test_message("%u calls in 10 s, the store responds after %u ms", n_calls,
			       delays_ms[i]);
		g_assert_cmpuint(n_calls, <=, CALLS_MAX);
		fleet_destroy();
	}
}

/*
 * Guards against instances that go on with what a restored store has lost: the roots of each zone
 * notice it at their next call, the others by their reports.
 */
static void test_restored(void)
{
	uint64_t took;
	unsigned i;

	create_with_store();
	run(MS(4000));
	revision += 20;
	run(MS(2000));
	g_assert_cmpuint(count_behind(), ==, 0);
	n_calls = 0;
	revision = ERA_REVISIONS + 15;
	took = time_to_apply();
	g_test_message("all instances follow after %u ms and %u calls",
		       (unsigned)(took / CS_US_PER_MS), n_calls);
	g_assert_cmpuint(took, <=, RESTORED_US);
	g_assert_cmpuint(n_calls, <=, CALLS_MAX);
	/* Entries that are missing in the copy may be written again. */
	for (i = 0; i < n_fleet; i++)
		g_assert_false(cs_feed_is_stable(&fleet[i].feed, now));
	revision++;
	took = time_to_apply();
	g_assert_cmpuint(took, <=, DRAIN_US - SEND_US);
	fleet_destroy();
}

int main(int argc, char **argv)
{
	static const bool cut_off = false, dead = true;

	g_test_init(&argc, &argv, NULL);
	g_test_add_data_func("/steer/follow/roots-without-store", &cut_off,
			     test_change_applied_without_roots);
	g_test_add_data_func("/steer/follow/roots-dead", &dead, test_change_applied_without_roots);
	g_test_add_func("/steer/follow/document-does-not-delay-entries",
			test_document_does_not_delay_entries);
	g_test_add_func("/steer/follow/few-calls", test_few_calls_while_roots_watch);
	g_test_add_func("/steer/follow/restored", test_restored);
	return g_test_run();
}
