/* Mirrors the store: reads all keys once, then watches them and applies each change. */
#include <stdlib.h>
#include <string.h>

#include "src/node/node.h"
#include "src/node/wire.h"

/*
 * While a large response is being received, the servers' entries are watched by calls of their own:
 * the time that a call waits for changes, its timeout, and the pause before the next one.
 */
#define ENTRIES_WAIT_MS 100
#define ENTRIES_TIMEOUT_MS 1000
#define ENTRIES_PAUSE_US (50 * CS_US_PER_MS)
/* Responses of the store that take longer to arrive are logged. */
#define SLOW_RESPONSE_US (200 * CS_US_PER_MS)

struct store_sync {
	struct node *node;
	struct cs_feed state;
	struct platform_call *call;
	uint64_t call_us; /* when it was made, by cs_boottime_us */
	uint64_t read_us; /* the same for the first page of the full read in progress */
	/* Time up to which the changes of the store are known; 0: it was not read yet. */
	uint64_t known_us;
	struct cs_timer call_timer;
	/* Watch of the servers' entries while a large response to call is being received. */
	bool entries_ahead; /* such a response is being received */
	struct platform_call *entries_call;
	uint64_t entries_after; /* revision that it began at */
	struct cs_timer entries_timer;
	char last_key[256]; /* last key of the last page read */
	/* Zones whose evacuation key was found since the current full read began. */
	bool evacuated_seen[CS_ZONES_MAX];
	uint64_t era; /* of the store, when it last responded */
	bool era_known;
	struct cs_timer restored_timer; /* active until lost writes were repeated */
	bool unreachable_logged;
	enum cs_feed_role role_logged;
	bool following_logged;
	uint64_t relayed_grace_us; /* grace period of the relayed changes being applied; 0: none */
};

static void on_call_timer(struct cs_timer *t, void *arg);
static void on_page(const struct platform_response *resp, void *arg);
static void on_watch(const struct platform_response *resp, void *arg);
static void on_large_response(void *arg);
static void on_entries_timer(struct cs_timer *t, void *arg);
static void on_restored_timer(struct cs_timer *t, void *arg);
static void on_entries(const struct platform_response *resp, void *arg);

struct store_sync *store_sync_create(struct node *n)
{
	struct store_sync *ss = cs_xcalloc(1, sizeof(*ss));

	ss->node = n;
	cs_feed_init(&ss->state, cs_random_u64(), cs_mono_us());
	cs_timer_init(&ss->call_timer, on_call_timer, ss);
	cs_timer_init(&ss->entries_timer, on_entries_timer, ss);
	cs_timer_init(&ss->restored_timer, on_restored_timer, ss);
	cs_timer_start(n->timers, &ss->call_timer, 0);
	return ss;
}

void store_sync_destroy(struct store_sync *ss)
{
	if (ss == NULL)
		return;
	platform_cancel(ss->call);
	platform_cancel(ss->entries_call);
	cs_timer_stop(&ss->call_timer);
	cs_timer_stop(&ss->entries_timer);
	cs_timer_stop(&ss->restored_timer);
	free(ss);
}

bool store_sync_is_loaded(const struct store_sync *ss)
{
	return ss->state.known;
}

uint64_t store_sync_revision(const struct store_sync *ss)
{
	return ss->state.revision;
}

void store_sync_confirm_document(struct store_sync *ss)
{
	if (ss->known_us > 0 && document_load_is_current(ss->node->document_load))
		workspaces_confirm(ss->node, ss->known_us);
}

/* All changes up to a time are known. */
static void known_until(struct store_sync *ss, uint64_t known_us)
{
	ss->known_us = known_us;
	store_sync_confirm_document(ss);
}

bool store_sync_is_fresh(const struct store_sync *ss)
{
	return cs_feed_is_fresh(&ss->state, cs_mono_us());
}

bool store_sync_is_stable(const struct store_sync *ss)
{
	return cs_feed_is_stable(&ss->state, cs_mono_us());
}

bool store_sync_is_unreachable(const struct store_sync *ss)
{
	return cs_feed_is_unavailable(&ss->state);
}

/* In a small fleet each instance watches the store itself: nearly all would be roots anyway. */
static enum cs_feed_role sync_role(const struct cs_steer *s)
{
	if (!cs_steer_is_large_fleet(s))
		return CS_FEED_STANDALONE;
	return cs_steer_rank(s) < CS_ROOTS_PER_ZONE ? CS_FEED_ROOT : CS_FEED_FOLLOWER;
}

/* Logs when the instance begins or ceases to watch the store for its zone, or to rely on others. */
static void log_role_transition(struct store_sync *ss)
{
	static const char *const names[] = {"standalone", "root", "follower"};
	const struct cs_feed *f = &ss->state;

	if (f->role == ss->role_logged && f->following == ss->following_logged)
		return;
	ss->role_logged = f->role;
	ss->following_logged = f->following;
	cs_event(ss->node->events, CS_EVENT_IMPORTANT, "store.role",
		 "role=%s following=%d revision=%llu", names[f->role], f->following,
		 (unsigned long long)f->revision);
}

/* Makes the next call if it is due. */
static void on_call_timer(struct cs_timer *t, void *arg)
{
	struct store_sync *ss = arg;
	struct node *n = ss->node;
	struct cs_feed_step step;
	uint64_t now = cs_mono_us();

	if (ss->call != NULL)
		return;
	cs_feed_set_role(&ss->state, sync_role(n->steer), cs_steer_watched_revision(n->steer, now),
			 now);
	log_role_transition(ss);
	cs_feed_next(&ss->state, now, &step);
	ss->call_us = cs_boottime_us();
	switch (step.kind) {
	case CS_FEED_PAUSE:
		cs_timer_start(n->timers, &ss->call_timer, step.until_us - now);
		break;
	case CS_FEED_READ:
		if (step.first) {
			ss->read_us = ss->call_us;
			ss->last_key[0] = '\0';
			memset(ss->evacuated_seen, 0, sizeof(ss->evacuated_seen));
			cs_steer_full_read_begin(n->steer);
		}
		ss->call = platform_range(n->store, PLATFORM_ALL_KEYS, ss->last_key,
					  step.timeout_ms, on_page, ss);
		break;
	case CS_FEED_WATCH:
		if (ss->state.following)
			cs_event(n->events, CS_EVENT_IMPORTANT, "store.catch_up",
				 "revision=%llu behind_ms=%llu", (unsigned long long)step.after,
				 (unsigned long long)(now - ss->state.behind_since_us) /
					 CS_US_PER_MS);
		ss->call = platform_watch(n->store, PLATFORM_ALL_KEYS, step.after, step.wait_ms,
					  step.timeout_ms, on_large_response, on_watch, ss);
		break;
	}
}

/* Logs when the store becomes unreachable or reachable again, once per transition. */
static void log_store_transition(struct store_sync *ss, const struct platform_response *resp)
{
	struct node *n = ss->node;
	bool unreachable = cs_feed_is_unavailable(&ss->state);

	if (unreachable)
		(*n->stats.store_failures)++;
	if (unreachable == ss->unreachable_logged)
		return;
	ss->unreachable_logged = unreachable;
	cs_event(n->events, CS_EVENT_IMPORTANT, unreachable ? "store.lost" : "store.regained",
		 "status=%s message=\"%s\" revision=%llu", platform_status_name(resp->status),
		 resp->message, (unsigned long long)ss->state.revision);
}

/* Logs a response that took long to arrive, during which no other change arrives. */
static void log_slow_response(struct store_sync *ss, const struct platform_response *resp)
{
	if (resp->receive_us < SLOW_RESPONSE_US)
		return;
	cs_event(ss->node->events, CS_EVENT_IMPORTANT, "store.slow_response",
		 "status=%s bytes=%zu items=%u receive_ms=%llu revision=%llu",
		 platform_status_name(resp->status), resp->bytes, resp->n_items,
		 (unsigned long long)(resp->receive_us / CS_US_PER_MS),
		 (unsigned long long)resp->revision);
}

static void call_failed(struct store_sync *ss, const struct platform_response *resp)
{
	cs_feed_call_failed(&ss->state, cs_mono_us());
	log_store_transition(ss, resp);
}

/*
 * How long a server stays usable after its entry has disappeared. An entry may have expired only
 * because the server could not renew its lease while the store was unreachable; the server then
 * registers again. An instance with uninterrupted access to the store would have seen that: if
 * there is one, the server is gone and the grace period is 0.
 */
static uint64_t current_grace_us(const struct store_sync *ss, uint64_t now)
{
	if (ss->relayed_grace_us > 0)
		return ss->relayed_grace_us;
	return cs_steer_store_stable(ss->node->steer, now) ? 0 : cs_feed_grace_us(&ss->state, now);
}

static void apply_server(struct store_sync *ss, const char *id, const struct platform_item *it,
			 uint64_t now)
{
	struct node *n = ss->node;
	struct cs_server_entry e;
	struct cs_msg msg;
	uint64_t retention;

	if (it->value == NULL) {
		retention = current_grace_us(ss, now);
		cs_event(n->events, CS_EVENT_IMPORTANT, "server.gone",
			 "server=%s revision=%llu keep_ms=%llu", id,
			 (unsigned long long)it->revision,
			 (unsigned long long)(retention / CS_US_PER_MS));
		cs_steer_remove_server(n->steer, id, retention, now);
		return;
	}
	if (!platform_server_parse(id, it->value, it->len, &e, &msg)) {
		(*n->stats.refused_entries)++;
		cs_event(n->events, CS_EVENT_IMPORTANT, "server.refused", "server=%s why=\"%s\"",
			 id, msg.text);
		cs_steer_remove_server(n->steer, id, 0, now);
		return;
	}
	cs_event(n->events, CS_EVENT_IMPORTANT, "server.entry",
		 "server=%s service=%s zone=%s address=%s:%u slots=%u draining=%d cold_ms=%u "
		 "started=%lld sequence=%lld revision=%llu",
		 id, e.service, e.zone, e.addr, e.port, e.slots, e.draining, e.cold_ms,
		 (long long)e.started_ms, (long long)e.sequence, (unsigned long long)it->revision);
	if (!cs_steer_update_server(n->steer, &e, now))
		cs_event(n->events, CS_EVENT_IMPORTANT, "server.old_entry",
			 "server=%s revision=%llu", id, (unsigned long long)it->revision);
}

static void apply_evacuation(struct store_sync *ss, const char *zone, bool on, uint64_t now)
{
	struct node *n = ss->node;
	unsigned i;

	for (i = 0; i < n->settings.n_zones; i++)
		if (strcmp(n->settings.zones[i].name, zone) == 0)
			ss->evacuated_seen[i] = on;
	cs_event(n->events, CS_EVENT_IMPORTANT, on ? "zone.evacuated" : "zone.taken_back",
		 "zone=%s", zone);
	cs_steer_set_evacuated(n->steer, zone, on, now);
}

static void apply_own_key(struct node *n, const struct platform_item *it)
{
	struct platform_instance in;

	if (it->value == NULL)
		registration_key_changed(n->registration, NULL, it->revision);
	else if (platform_instance_parse(it->value, it->len, &in))
		registration_key_changed(n->registration, &in, it->revision);
}

static void apply_instance(struct store_sync *ss, const char *name, const struct platform_item *it,
			   uint64_t now)
{
	struct node *n = ss->node;
	struct platform_instance in;

	if (strcmp(name, n->settings.instance) == 0) {
		apply_own_key(n, it);
		return;
	}
	if (it->value == NULL) {
		cs_event(n->events, CS_EVENT_IMPORTANT, "instance.unlisted", "name=%s", name);
		cs_steer_unlist_member(n->steer, name, now);
		gossip_unlist_peer(n->gossip, name);
		return;
	}
	if (!platform_instance_parse(it->value, it->len, &in) ||
	    strcmp(in.member.name, name) != 0) {
		(*n->stats.refused_entries)++;
		cs_event(n->events, CS_EVENT_IMPORTANT, "instance.refused", "name=%s", name);
		return;
	}
	cs_event(n->events, CS_EVENT_IMPORTANT, "instance.listed", "name=%s zone=%s boot=%llu",
		 name, in.member.zone, (unsigned long long)in.member.boot);
	cs_steer_update_member(n->steer, &in.member, now);
	gossip_update_peer(n->gossip, name, in.member.zone, &in.reports);
}

static void apply_item(struct store_sync *ss, const struct platform_item *it, uint64_t now)
{
	const char *name;

	switch (platform_key_parse(it->key, &name)) {
	case PLATFORM_KEY_DOCUMENT:
		if (it->value != NULL)
			document_load_start(ss->node->document_load, it);
		break;
	case PLATFORM_KEY_SERVER:
		apply_server(ss, name, it, now);
		break;
	case PLATFORM_KEY_EVACUATION:
		apply_evacuation(ss, name, it->value != NULL, now);
		break;
	case PLATFORM_KEY_INSTANCE:
		apply_instance(ss, name, it, now);
		break;
	case PLATFORM_KEY_OTHER:
		break;
	}
}

/* Revisions that were known before changes arrived: those up to them have been applied. */
struct known {
	uint64_t revision; /* of all keys */
	uint64_t entries_revision; /* of servers' entries */
};

static struct known what_is_known(const struct store_sync *ss)
{
	return (struct known){ss->state.revision, cs_feed_entries_revision(&ss->state)};
}

/* Applies a change unless it has arrived before, by another call or relayed. */
static void apply_change(struct store_sync *ss, const struct platform_item *it,
			 const struct known *known, uint64_t now)
{
	const char *name;
	bool entry = platform_key_parse(it->key, &name) == PLATFORM_KEY_SERVER;

	if (it->revision > (entry ? known->entries_revision : known->revision))
		apply_item(ss, it, now);
}

/* A zone without an evacuation key is not evacuated (any more). */
static void end_evacuations(struct store_sync *ss, uint64_t now)
{
	struct node *n = ss->node;
	unsigned i;

	for (i = 0; i < n->settings.n_zones; i++)
		if (!ss->evacuated_seen[i])
			cs_steer_set_evacuated(n->steer, n->settings.zones[i].name, false, now);
}

/* The operators have repeated by now what the store had lost. */
static void on_restored_timer(struct cs_timer *t, void *arg)
{
	struct store_sync *ss = arg;

	if (!ss->state.reading)
		end_evacuations(ss, cs_mono_us());
}

/*
 * Begins to read everything again if the store was restored from a copy since its last response:
 * the changes since then are not those after the known revision. Returns true in that case.
 */
static bool check_era(struct store_sync *ss, const struct platform_response *resp, uint64_t now)
{
	struct node *n = ss->node;
	uint64_t era = platform_store_era(n->store);
	bool restored = ss->era_known && era != ss->era;

	if (resp->status != PLATFORM_OK && resp->status != PLATFORM_HISTORY_LOST)
		return false;
	ss->era = era;
	ss->era_known = true;
	cs_steer_set_first_revision(n->steer, era * PLATFORM_ERA_REVISIONS);
	if (!restored)
		return false;
	cs_event(n->events, CS_EVENT_IMPORTANT, "store.restored", "era=%llu revision=%llu",
		 (unsigned long long)era, (unsigned long long)ss->state.revision);
	cs_feed_restored(&ss->state, now);
	cs_steer_store_restored(n->steer);
	registration_repeat(n->registration);
	cs_timer_start(n->timers, &ss->restored_timer, CS_FEED_REWRITE_US);
	return true;
}

static void finish_full_read(struct store_sync *ss, uint64_t now)
{
	struct node *n = ss->node;

	if (!cs_timer_active(&ss->restored_timer))
		end_evacuations(ss, now);
	cs_steer_full_read_end(n->steer, current_grace_us(ss, now), now);
	known_until(ss, ss->read_us);
	cs_event(n->events, CS_EVENT_IMPORTANT, "store.read", "revision=%llu servers=%u",
		 (unsigned long long)ss->state.revision, cs_steer_count_servers(n->steer));
}

static void on_page(const struct platform_response *resp, void *arg)
{
	struct store_sync *ss = arg;
	struct node *n = ss->node;
	uint64_t now = cs_mono_us();
	unsigned i;

	ss->call = NULL;
	log_slow_response(ss, resp);
	if (resp->status != PLATFORM_OK) {
		call_failed(ss, resp);
	} else if (!check_era(ss, resp, now)) {
		for (i = 0; i < resp->n_items; i++)
			apply_item(ss, &resp->items[i], now);
		if (resp->n_items > 0)
			cs_copy(ss->last_key, sizeof(ss->last_key),
				resp->items[resp->n_items - 1].key);
		if (cs_feed_page_read(&ss->state, resp->revision, resp->more, now))
			finish_full_read(ss, now);
		log_store_transition(ss, resp);
	}
	cs_timer_start(n->timers, &ss->call_timer, 0);
}

void store_sync_apply_relayed(struct store_sync *ss, const struct wire_changes *c)
{
	struct known known = what_is_known(ss);
	uint64_t now = cs_mono_us();
	struct platform_item it;
	unsigned i;

	if (!(c->entries_only ? cs_feed_apply_entries(&ss->state, c->from, c->to)
			      : cs_feed_apply_relayed(&ss->state, c->from, c->to, now)))
		return;
	ss->relayed_grace_us = c->removal_grace_ms * CS_US_PER_MS;
	for (i = 0; i < c->n; i++) {
		it = (struct platform_item){.key = c->change[i].key,
					    .value = (char *)(uintptr_t)c->change[i].value,
					    .len = c->change[i].len,
					    .revision = c->change[i].revision};
		if (!c->change[i].omitted)
			apply_change(ss, &it, &known, now);
		else if (it.revision > known.revision)
			document_load_fetch(ss->node->document_load, it.revision);
	}
	ss->relayed_grace_us = 0;
}

static void on_watch(const struct platform_response *resp, void *arg)
{
	struct store_sync *ss = arg;
	struct node *n = ss->node;
	struct known known = what_is_known(ss);
	uint64_t now = cs_mono_us();
	unsigned i;

	ss->call = NULL;
	ss->entries_ahead = false;
	log_slow_response(ss, resp);
	check_era(ss, resp, now);
	switch (resp->status) {
	case PLATFORM_OK:
		cs_feed_watch_completed(&ss->state, resp->revision, resp->n_items, now);
		for (i = 0; i < resp->n_items; i++)
			apply_change(ss, &resp->items[i], &known, now);
		if (!ss->state.reading)
			known_until(ss, ss->call_us);
		if (resp->n_items > 0 && cs_steer_is_large_fleet(n->steer) && !ss->state.following)
			gossip_send_changes(n->gossip, resp, false, known.revision,
					    (unsigned)(current_grace_us(ss, now) / CS_US_PER_MS));
		log_store_transition(ss, resp);
		break;
	case PLATFORM_HISTORY_LOST:
		cs_feed_history_lost(&ss->state, now);
		cs_event(n->events, CS_EVENT_IMPORTANT, "store.history_lost", "revision=%llu",
			 (unsigned long long)ss->state.revision);
		break;
	default:
		call_failed(ss, resp);
		break;
	}
	cs_timer_start(n->timers, &ss->call_timer, 0);
}

/* Called from within the transfer, so that the call is made in the next iteration of the loop. */
static void on_large_response(void *arg)
{
	struct store_sync *ss = arg;

	ss->entries_ahead = true;
	if (ss->entries_call == NULL)
		cs_timer_start(ss->node->timers, &ss->entries_timer, 0);
}

static void on_entries_timer(struct cs_timer *t, void *arg)
{
	struct store_sync *ss = arg;

	if (!ss->entries_ahead)
		return;
	ss->entries_after = ss->state.revision;
	ss->entries_call = platform_watch(ss->node->store, PLATFORM_SERVER_KEYS, ss->entries_after,
					  ENTRIES_WAIT_MS, ENTRIES_WAIT_MS + ENTRIES_TIMEOUT_MS,
					  NULL, on_entries, ss);
}

/* Applies and relays changes of entries that arrived ahead of the response to the other call. */
static void apply_entries(struct store_sync *ss, const struct platform_response *resp, uint64_t now)
{
	struct known known = what_is_known(ss);
	struct node *n = ss->node;
	unsigned i;

	cs_feed_contact(&ss->state, now);
	if (!cs_feed_apply_entries(&ss->state, ss->entries_after, resp->revision))
		return;
	for (i = 0; i < resp->n_items; i++)
		apply_change(ss, &resp->items[i], &known, now);
	if (resp->n_items > 0 && cs_steer_is_large_fleet(n->steer) && !ss->state.following)
		gossip_send_changes(n->gossip, resp, true, ss->entries_after,
				    (unsigned)(current_grace_us(ss, now) / CS_US_PER_MS));
}

static void on_entries(const struct platform_response *resp, void *arg)
{
	struct store_sync *ss = arg;

	ss->entries_call = NULL;
	if (resp->status == PLATFORM_OK)
		apply_entries(ss, resp, cs_mono_us());
	if (ss->entries_ahead)
		cs_timer_start(ss->node->timers, &ss->entries_timer, ENTRIES_PAUSE_US);
}
