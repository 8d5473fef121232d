/*
 * Workspaces: checks the key of each request, how old the knowledge of keys is, and the quotas.
 * Requests that wait for a token are in a list here; questions to keepers of tokens, and their
 * replies, which also tell the age of a neighbour's knowledge, go through gossip.c.
 */
#include <stdlib.h>
#include <string.h>

#include "src/node/node.h"

/* Keys are honoured for this much less than the bound, for the granularity of clocks and timers. */
#define REVOKE_MARGIN_MS 250
/* Interval at which the questions to keepers are looked after. */
#define ASK_INTERVAL_US (50 * CS_US_PER_MS)
/* The same while requests wait for a token. */
#define ASK_WAITING_INTERVAL_US (10 * CS_US_PER_MS)
/* Interval at which the quotas are told of changes of the fleet. */
#define FLEET_INTERVAL_US (100 * CS_US_PER_MS)
/* Rights to quotas are lent only while the instance knew its fleet within this time. */
#define FLEET_MAX_AGE_US (5 * CS_US_PER_S)
/*
 * An instance whose knowledge of keys is older asks one that watches the store; the keepers of its
 * zone, which others ask, pass on what it said.
 */
#define ASK_WATCHER_AGE_US (600 * CS_US_PER_MS)
/* Retry-After of refusals by another instance's knowledge or settings. */
#define RETRY_ELSEWHERE_MS 1000
/* Retry-After of requests over their quota, as a part of the time that the client has left. */
#define RETRY_FRACTION_MIN 0.1
#define RETRY_FRACTION_MAX 0.32
#define RETRY_MIN_MS 50
/* Time that a client without a deadline is taken to have. */
#define RETRY_LEFT_DEFAULT_MS 1000

struct workspaces {
	struct node *node;
	struct cs_freshness fresh;
	struct cs_quota *quota;
	struct cs_usage *usage;
	struct cs_timer ask_timer;
	TAILQ_HEAD(, request) waiting; /* for a token */
	bool stale_logged;
	uint64_t watcher_asked_us, fleet_us;
	struct cs_rng rng;
};

static void on_ask_timer(struct cs_timer *t, void *arg);
static void decide_waiting(struct workspaces *w);

struct workspaces *workspaces_create(struct node *n)
{
	struct workspaces *w = cs_xcalloc(1, sizeof(*w));

	w->node = n;
	w->quota = cs_quota_create(n->settings.instance, n->boot, &n->settings.quota,
				   cs_boottime_us());
	w->usage = cs_usage_create();
	TAILQ_INIT(&w->waiting);
	cs_rng_seed(&w->rng, cs_random_u64());
	cs_timer_init(&w->ask_timer, on_ask_timer, w);
	return w;
}

void workspaces_destroy(struct workspaces *w)
{
	if (w == NULL)
		return;
	cs_timer_stop(&w->ask_timer);
	cs_quota_destroy(w->quota);
	cs_usage_destroy(w->usage);
	free(w);
}

/* Workspaces of the document in force, or NULL. */
static const struct cs_workspace_table *current_table(const struct node *n)
{
	const struct cs_document *doc = cs_steer_current_document(n->steer);

	return doc != NULL ? doc->workspaces : NULL;
}

void workspaces_settings_changed(struct node *n)
{
	unsigned ms = n->settings.revoke_ms;
	unsigned margin = ms > 2 * REVOKE_MARGIN_MS ? REVOKE_MARGIN_MS : ms / 2;

	n->workspaces->fresh.max_age_us = (ms - margin) * CS_US_PER_MS;
	cs_quota_set_bounds(n->workspaces->quota, &n->settings.quota);
}

void workspaces_document_changed(struct node *n)
{
	struct workspaces *w = n->workspaces;
	const struct cs_workspace_table *t = current_table(n);

	cs_quota_set_table(w->quota, t);
	workspaces_settings_changed(n);
	if (t == NULL) {
		cs_timer_stop(&w->ask_timer);
		decide_waiting(w);
	} else if (!cs_timer_active(&w->ask_timer)) {
		cs_timer_start(n->timers, &w->ask_timer, 0);
	}
}

void workspaces_confirm(struct node *n, uint64_t confirmed_us)
{
	cs_freshness_confirm(&n->workspaces->fresh, confirmed_us);
}

bool workspaces_keys_stale(const struct node *n)
{
	return current_table(n) != NULL &&
	       !cs_freshness_is_valid(&n->workspaces->fresh, cs_boottime_us());
}

uint64_t workspaces_key_age_ms(const struct node *n)
{
	return cs_freshness_age_us(&n->workspaces->fresh, cs_boottime_us()) / CS_US_PER_MS;
}

void workspaces_counts(const struct node *n, struct cs_quota_counts *out)
{
	cs_quota_counts(n->workspaces->quota, out);
}

void workspaces_count(const struct request *req, enum cs_usage_kind kind)
{
	if (req->workspace != 0)
		cs_usage_count(req->node->workspaces->usage, req->workspace, req->workspace_name,
			       kind);
}

char *workspaces_metrics(const struct node *n)
{
	return current_table(n) != NULL ? cs_usage_metrics(n->workspaces->usage) : NULL;
}

/* Logs when requests with a key begin to be refused, or are served again. */
static void log_stale_transition(struct workspaces *w)
{
	bool stale = workspaces_keys_stale(w->node);

	if (stale == w->stale_logged)
		return;
	w->stale_logged = stale;
	cs_event(w->node->events, CS_EVENT_IMPORTANT, stale ? "keys.stale" : "keys.fresh",
		 "age_ms=%llu", (unsigned long long)workspaces_key_age_ms(w->node));
}

/* Result of the first look at a request's headers. */
static const char *find_key(struct request *req, const struct key_scan *scan, const char **reason)
{
	const char *key = cs_call_header(req->call, PLATFORM_H_KEY);

	if (scan->keys > 1)
		*reason = "key_ambiguous";
	else if (key == NULL || *key == '\0')
		*reason = "key_missing";
	else
		return key;
	return NULL;
}

bool workspaces_identify(struct request *req, const struct cs_route *r, const struct key_scan *scan,
			 const struct cs_workspace **out)
{
	struct node *n = req->node;
	const struct cs_workspace_table *t = current_table(n);
	const char *key, *reason = "key_unknown";

	*out = NULL;
	if (t == NULL || r->is_public)
		return true;
	key = find_key(req, scan, &reason);
	if (key == NULL) {
		frontend_reject(req, 401, reason, 0);
		return false;
	}
	if (workspaces_keys_stale(n)) {
		frontend_reject(req, 503, "keys_out_of_date", RETRY_ELSEWHERE_MS);
		return false;
	}
	*out = cs_workspace_by_key(t, key);
	if (*out == NULL && !cs_workspace_has_unknown(t)) {
		frontend_reject(req, 401, reason, 0);
		return false;
	}
	if (*out == NULL || (*out)->unreadable) {
		frontend_reject(req, 503, "workspace_unreadable", RETRY_ELSEWHERE_MS);
		return false;
	}
	req->workspace = (*out)->id;
	cs_copy(req->workspace_name, sizeof(req->workspace_name), (*out)->name);
	req->key_version = cs_steer_current_document(n->steer)->version;
	return true;
}

/* Retry-After of a request over its quota: when there is room, spread over the client's time. */
static unsigned quota_retry_ms(struct workspaces *w, unsigned left_ms, unsigned room_ms)
{
	double left = left_ms > 0 ? left_ms : RETRY_LEFT_DEFAULT_MS;
	double min = RETRY_FRACTION_MIN * left, max = RETRY_FRACTION_MAX * left;

	if (room_ms > min)
		min = room_ms < max ? room_ms : max;
	return (unsigned)(min + (max - min) * cs_rng_unit(&w->rng)) + RETRY_MIN_MS;
}

bool workspaces_take_token(struct request *req, const struct cs_workspace *ws, unsigned budget_ms)
{
	struct workspaces *w = req->node->workspaces;
	uint64_t now = cs_boottime_us();
	unsigned room_ms;

	switch (cs_quota_take(w->quota, ws, now, &req->token_until_us, &room_ms)) {
	case CS_QUOTA_ALLOWED:
		req->token = req->token_until_us > 0 ? TOKEN_HELD : TOKEN_NONE;
		return true;
	case CS_QUOTA_PENDING:
		req->token = TOKEN_PENDING;
		req->token_since_us = now;
		TAILQ_INSERT_TAIL(&w->waiting, req, token_entry);
		cs_timer_start(req->node->timers, &w->ask_timer, 0);
		return true;
	case CS_QUOTA_DENIED:
		break;
	}
	(*req->node->stats.over_quota)++;
	workspaces_count(req, CS_USAGE_OVER_QUOTA);
	frontend_reject(req, 429, "quota", quota_retry_ms(w, budget_ms, room_ms));
	return false;
}

/* Takes a request out of the list of those that wait for a token. */
static void end_wait(struct workspaces *w, struct request *req)
{
	TAILQ_REMOVE(&w->waiting, req, token_entry);
	req->token = TOKEN_NONE;
}

void workspaces_release(struct request *req, bool unused)
{
	struct workspaces *w = req->node->workspaces;

	switch (req->token) {
	case TOKEN_NONE:
		return;
	case TOKEN_PENDING:
		cs_quota_leave(w->quota, req->workspace);
		end_wait(w, req);
		return;
	case TOKEN_HELD:
		if (unused)
			cs_quota_put_back(w->quota, req->workspace, req->token_until_us,
					  cs_boottime_us());
		req->token = TOKEN_NONE;
		return;
	}
}

static unsigned left_ms(const struct request *req)
{
	uint64_t now = cs_mono_us(), until = req->steer_state.deadline_us;

	return until > now ? (unsigned)((until - now) / CS_US_PER_MS) : 0;
}

/*
 * Decides on a request that waits for a token; its workspace may have left the document. False if
 * it goes on waiting.
 */
static bool decide_request(struct workspaces *w, struct request *req, uint64_t now)
{
	const struct cs_workspace_table *t = current_table(w->node);
	const struct cs_workspace *ws = t != NULL ? cs_workspace_by_id(t, req->workspace) : NULL;
	enum cs_quota_verdict v = CS_QUOTA_ALLOWED;
	unsigned room_ms = 0;

	if (ws != NULL)
		v = cs_quota_retry(w->quota, ws, now, &req->token_until_us, &room_ms);
	else
		cs_quota_leave(w->quota, req->workspace);
	if (v == CS_QUOTA_PENDING && now - req->token_since_us < CS_QUOTA_WAIT_US)
		return false;
	if (v == CS_QUOTA_PENDING)
		cs_quota_leave(w->quota, req->workspace);
	end_wait(w, req);
	if (v == CS_QUOTA_ALLOWED) {
		if (ws != NULL && req->token_until_us > 0)
			req->token = TOKEN_HELD;
		request_token_decided(req);
		return true;
	}
	(*w->node->stats.over_quota)++;
	workspaces_count(req, CS_USAGE_OVER_QUOTA);
	request_fail(req, 429, "quota", quota_retry_ms(w, left_ms(req), room_ms));
	return true;
}

/* Begins anew after each decision: the response may end other requests of the connection. */
static void decide_waiting(struct workspaces *w)
{
	struct request *req;
	uint64_t now = cs_boottime_us();

	do
		TAILQ_FOREACH(req, &w->waiting, token_entry)
			if (decide_request(w, req, now))
				break;
	while (req != NULL);
}

bool workspaces_check(struct request *req)
{
	struct node *n = req->node;
	const struct cs_document *doc = cs_steer_current_document(n->steer);
	const struct cs_workspace *ws;

	if (req->workspace == 0 || doc->workspaces == NULL)
		return true;
	if (workspaces_keys_stale(n))
		return false;
	if (doc->version == req->key_version)
		return true;
	ws = cs_workspace_by_key(doc->workspaces, cs_call_header(req->call, PLATFORM_H_KEY));
	if (ws == NULL || ws->id != req->workspace)
		return false;
	req->key_version = doc->version;
	return true;
}

void workspaces_refuse(struct request *req)
{
	if (workspaces_keys_stale(req->node))
		request_fail(req, 503, "keys_out_of_date", RETRY_ELSEWHERE_MS);
	else
		request_fail(req, 401, "key_unknown", 0);
}

/* Tells the quotas which instances there are, now and then. */
static void update_fleet(struct workspaces *w)
{
	static struct cs_quota_zone others[CS_QUOTA_ZONES_MAX];
	struct node *n = w->node;
	struct cs_quota_zone own;
	uint64_t now = cs_boottime_us(), age_us = cs_freshness_age_us(&w->fresh, now);
	bool known = store_sync_is_loaded(n->store_sync) && age_us < FLEET_MAX_AGE_US;
	unsigned zones;

	if (now - w->fleet_us < FLEET_INTERVAL_US)
		return;
	w->fleet_us = now;
	zones = cs_steer_quota_keepers(n->steer, cs_mono_us(), &own, others, CS_QUOTA_ZONES_MAX);
	cs_quota_set_fleet(w->quota, known ? cs_steer_fleet_size(n->steer) : 0);
	cs_quota_set_keepers(w->quota, &own);
	cs_quota_set_zones(w->quota, others, zones);
}

/* Asks an instance that watches the store if what is known of keys is old. */
static void ask_watcher(struct workspaces *w)
{
	uint64_t now = cs_boottime_us();
	const char *name;

	if (w->fresh.max_age_us == 0 || cs_freshness_age_us(&w->fresh, now) < ASK_WATCHER_AGE_US ||
	    now - w->watcher_asked_us < CS_QUOTA_ROUND_US)
		return;
	name = cs_steer_store_watcher(w->node->steer, cs_mono_us());
	if (name == NULL)
		return;
	w->watcher_asked_us = now;
	cs_quota_ask_also(w->quota, name);
}

static void answer(struct workspaces *w, const struct cs_quota_ask *ask,
		   struct cs_quota_reply *reply)
{
	const struct cs_document *doc = cs_steer_current_document(w->node->steer);
	uint64_t now = cs_boottime_us();

	cs_quota_handle_ask(w->quota, ask, now, reply);
	reply->version = doc != NULL ? doc->version : UINT64_MAX;
	reply->age_us = cs_freshness_age_us(&w->fresh, now);
}

/* Sends the questions that are due; one to this instance itself is answered at once. */
static void send_asks(struct workspaces *w)
{
	static struct cs_quota_ask ask;
	static struct cs_quota_reply reply;
	struct node *n = w->node;

	while (cs_quota_next_ask(w->quota, cs_boottime_us(), &ask)) {
		if (strcmp(ask.to, n->settings.instance) != 0) {
			gossip_send_ask(n->gossip, &ask);
			continue;
		}
		answer(w, &ask, &reply);
		cs_quota_handle_reply(w->quota, &reply, cs_boottime_us());
	}
}

static void on_ask_timer(struct cs_timer *t, void *arg)
{
	struct workspaces *w = arg;

	log_stale_transition(w);
	update_fleet(w);
	ask_watcher(w);
	send_asks(w);
	decide_waiting(w);
	cs_timer_start(w->node->timers, t,
		       TAILQ_EMPTY(&w->waiting) ? ASK_INTERVAL_US : ASK_WAITING_INTERVAL_US);
}

void workspaces_handle_ask(struct node *n, const struct cs_quota_ask *ask)
{
	static struct cs_quota_reply reply;

	if (strcmp(ask->to, n->settings.instance) != 0)
		return;
	answer(n->workspaces, ask, &reply);
	gossip_send_reply(n->gossip, &reply);
}

void workspaces_handle_reply(struct node *n, const struct cs_quota_reply *reply)
{
	const struct cs_document *doc = cs_steer_current_document(n->steer);
	struct workspaces *w = n->workspaces;

	if (strcmp(reply->to, n->settings.instance) != 0 ||
	    !cs_quota_handle_reply(w->quota, reply, cs_boottime_us()))
		return;
	if (doc != NULL)
		cs_freshness_hear(&w->fresh, reply->asked_us, reply->age_us, reply->version,
				  doc->version);
	if (TAILQ_EMPTY(&w->waiting))
		return;
	send_asks(w);
	decide_waiting(w);
}
