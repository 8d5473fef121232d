/*
 * The spender's and lender's side of quotas. Load: workspaces that send up to several times their
 * rate at instances of all zones, from fractions of a request per second at an instance to
 * hundreds. What an instance expects to need is asked for ahead, so that few requests wait.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "workspace/quota-int.h"

/*
 * Time for which a granted token may be spent: a round and the way there and back. The same at all
 * instances, as keepers count with it.
 */
#define SPEND_S 0.3
/* Least time for which a keeper saves up tokens. */
#define KEEP_MIN_S 0.3
/*
 * A keeper saves up this part of the burst. Saving up less lets tokens accrue faster, so that
 * requests which go on get more; saving up more serves more of those that come at once.
 */
#define KEEP_BURST_FRACTION 0.3
/* A keeper of each zone can save up this many tokens, if the limit allows; it grants whole ones. */
#define KEEP_TOKENS 2.0
/* Tokens are asked for ahead for a round; with more, others miss those that expire unspent. */
#define AHEAD_S 0.2
/* Below this number of expected requests none is asked for ahead. */
#define AHEAD_MIN 1.0
/* Weight of a round in the rate of requests. */
#define RATE_WEIGHT 0.4
/* A keeper that has not replied for this time gets no rights. */
#define REPLY_TIMEOUT_US (450 * CS_US_PER_MS)
/* A question counts as lost after this time. */
#define ASK_TIMEOUT_US (100 * CS_US_PER_MS)
/* Other zones asked for a workspace before its requests are refused. */
#define ZONES_TRIED_MAX 5
/*
 * Requests over the quota are refused until a keeper has a token again by its own word, within
 * these bounds, before keepers are asked again.
 */
#define DENIED_MIN_US (50 * CS_US_PER_MS)
#define DENIED_MAX_US (150 * CS_US_PER_MS)
/* A workspace that was not used for this time is forgotten. */
#define ENTRY_IDLE_US (30 * CS_US_PER_S)
/* An instance that was not asked for this time is forgotten. */
#define LINK_IDLE_US (10 * CS_US_PER_S)

static int entry_cmp(const struct entry *a, const struct entry *b)
{
	return a->id < b->id ? -1 : a->id > b->id;
}
CS_RB_GENERATE(entries, entry, by_id, entry_cmp)

struct cs_quota *cs_quota_create(const char *instance, uint64_t boot,
				 const struct cs_quota_bounds *bounds, uint64_t now_us)
{
	struct cs_quota *q = cs_xcalloc(1, sizeof(*q));

	cs_copy(q->instance, sizeof(q->instance), instance);
	q->boot = boot;
	q->created_us = q->advanced_us = now_us;
	q->bounds = *bounds;
	RB_INIT(&q->entries);
	TAILQ_INIT(&q->list);
	TAILQ_INIT(&q->loans);
	TAILQ_INIT(&q->links);
	return q;
}

static void entry_free(struct cs_quota *q, struct entry *e)
{
	q->n_in_phase[e->phase]--;
	RB_REMOVE(entries, &q->entries, e);
	TAILQ_REMOVE(&q->list, e, list);
	free(e);
}

static void link_free(struct cs_quota *q, struct keeper_link *l)
{
	TAILQ_REMOVE(&q->links, l, list);
	free(l);
}

void cs_quota_destroy(struct cs_quota *q)
{
	struct keeper_link *l, *next_link;
	struct entry *e, *next;

	if (q == NULL)
		return;
	TAILQ_FOREACH_SAFE(e, &q->list, list, next)
		free(e);
	TAILQ_FOREACH_SAFE(l, &q->links, list, next_link)
		free(l);
	keeper_free(q);
	free(q);
}

void cs_quota_set_bounds(struct cs_quota *q, const struct cs_quota_bounds *bounds)
{
	q->bounds = *bounds;
}

void cs_quota_set_table(struct cs_quota *q, const struct cs_workspace_table *t)
{
	q->table = t;
}

void cs_quota_set_fleet(struct cs_quota *q, unsigned instances)
{
	q->fleet = instances;
}

void cs_quota_set_keepers(struct cs_quota *q, const struct cs_quota_zone *own)
{
	const char *name;
	unsigned i, k;

	for (i = 0; i < CS_QUOTA_SLOTS; i++)
		for (k = 0; k < CS_QUOTA_CANDIDATES; k++) {
			name = own->keepers[i][k];
			cs_copy(q->wanted[i][k], sizeof(q->wanted[i][k]), name != NULL ? name : "");
		}
}

void cs_quota_set_zones(struct cs_quota *q, const struct cs_quota_zone *zones, unsigned n)
{
	unsigned i, k;

	q->n_zones = n < CS_QUOTA_ZONES_MAX ? n : CS_QUOTA_ZONES_MAX;
	for (i = 0; i < q->n_zones; i++)
		for (k = 0; k < CS_QUOTA_SLOTS; k++)
			cs_copy(q->zones[i][k], sizeof(q->zones[i][k]), zones[i].keepers[k][0]);
}

unsigned quota_slot(uint64_t id)
{
	return (unsigned)(id >> 32) % CS_QUOTA_SLOTS;
}

/*
 * Any choice of keep_s is safe: what is kept or granted at the start of a window, and what accrues
 * in it, are per_s * (keep_s + SPEND_S + window) together, which is the limit.
 */
struct pace quota_pace(const struct cs_quota *q, const struct cs_workspace *ws)
{
	const struct cs_quota_bounds *b = &q->bounds;
	double rate = ws->rate_per_s * (1 + b->overrun), rest_s = b->window_s + SPEND_S;
	double limit = (ws->rate_per_s * b->window_s + ws->burst) * (1 + b->overrun) + b->slack;
	double whole = KEEP_TOKENS * (q->n_zones + 1), most_s = limit / rate - rest_s;
	double keep_s = KEEP_BURST_FRACTION * ws->burst / ws->rate_per_s;

	if (limit > whole)
		keep_s = fmax(keep_s, whole * rest_s / (limit - whole));
	else
		keep_s = most_s;
	keep_s = fmax(fmin(keep_s, most_s), KEEP_MIN_S);
	return (struct pace){.per_s = limit / (rest_s + keep_s), .keep_s = keep_s};
}

struct entry *quota_entry(struct cs_quota *q, uint64_t id, uint64_t now_us)
{
	struct entry *e = RB_FIND(entries, &q->entries, &(struct entry){.id = id});

	if (e == NULL) {
		e = cs_xcalloc(1, sizeof(*e));
		e->id = id;
		e->seen = q->base[quota_slot(id)];
		q->n_in_phase[e->phase]++;
		RB_INSERT(entries, &q->entries, e);
		TAILQ_INSERT_TAIL(&q->list, e, list);
	}
	e->used_us = now_us;
	return e;
}

static void set_phase(struct cs_quota *q, struct entry *e, enum phase phase, uint64_t now_us)
{
	q->n_in_phase[e->phase]--;
	q->n_in_phase[phase]++;
	e->phase = phase;
	e->phase_us = now_us;
}

static double tokens_left(const struct entry *e, uint64_t now_us)
{
	double sum = 0;
	unsigned i;

	for (i = 0; i < 2; i++)
		if (e->lots[i].until_us > now_us)
			sum += e->lots[i].tokens;
	return sum;
}

static bool spend(struct entry *e, uint64_t now_us, uint64_t *until_us)
{
	unsigned i;

	for (i = 0; i < 2; i++) {
		if (e->lots[i].until_us <= now_us || e->lots[i].tokens < 1)
			continue;
		e->lots[i].tokens -= 1;
		*until_us = e->lots[i].until_us;
		return true;
	}
	return false;
}

static void lot_merge(struct lot *to, const struct lot *from, uint64_t now_us)
{
	if (to->until_us <= now_us || to->tokens < 1) {
		*to = *from;
		return;
	}
	to->tokens += from->tokens;
	if (from->until_us < to->until_us)
		to->until_us = from->until_us;
}

static void add_tokens(struct entry *e, double tokens, uint64_t until_us, uint64_t now_us)
{
	lot_merge(&e->lots[0], &e->lots[1], now_us);
	e->lots[1] = (struct lot){tokens, until_us};
}

static bool is_denied(const struct entry *e, uint64_t now_us)
{
	uint64_t room_us = e->room_ms * CS_US_PER_MS;

	if (room_us < DENIED_MIN_US)
		room_us = DENIED_MIN_US;
	if (room_us > DENIED_MAX_US)
		room_us = DENIED_MAX_US;
	return e->phase == PHASE_DENIED && now_us - e->phase_us < room_us;
}

static enum cs_quota_verdict decide(struct cs_quota *q, struct entry *e, uint64_t now_us,
				    uint64_t *until_us, unsigned *room_ms)
{
	if (spend(e, now_us, until_us)) {
		q->counts.allowed++;
		return CS_QUOTA_ALLOWED;
	}
	if (is_denied(e, now_us)) {
		q->counts.denied++;
		*room_ms = e->room_ms;
		return CS_QUOTA_DENIED;
	}
	if (e->phase == PHASE_IDLE || e->phase == PHASE_DENIED)
		set_phase(q, e, PHASE_ASK_ZONE, now_us);
	return CS_QUOTA_PENDING;
}

enum cs_quota_verdict cs_quota_take(struct cs_quota *q, const struct cs_workspace *ws,
				    uint64_t now_us, uint64_t *until_us, unsigned *room_ms)
{
	enum cs_quota_verdict v;
	struct entry *e;

	*until_us = 0;
	*room_ms = 0;
	if (ws->rate_per_s <= 0)
		return CS_QUOTA_ALLOWED;
	e = quota_entry(q, ws->id, now_us);
	e->arrivals++;
	v = decide(q, e, now_us, until_us, room_ms);
	if (v == CS_QUOTA_PENDING) {
		e->waiting++;
		q->counts.waiting++;
	}
	return v;
}

void cs_quota_leave(struct cs_quota *q, uint64_t id)
{
	struct entry *e = RB_FIND(entries, &q->entries, &(struct entry){.id = id});

	if (e == NULL || e->waiting == 0)
		return;
	e->waiting--;
	q->counts.waiting--;
}

enum cs_quota_verdict cs_quota_retry(struct cs_quota *q, const struct cs_workspace *ws,
				     uint64_t now_us, uint64_t *until_us, unsigned *room_ms)
{
	enum cs_quota_verdict v;

	*until_us = 0;
	*room_ms = 0;
	v = ws->rate_per_s <= 0
		    ? CS_QUOTA_ALLOWED
		    : decide(q, quota_entry(q, ws->id, now_us), now_us, until_us, room_ms);
	if (v != CS_QUOTA_PENDING)
		cs_quota_leave(q, ws->id);
	return v;
}

void cs_quota_put_back(struct cs_quota *q, uint64_t id, uint64_t until_us, uint64_t now_us)
{
	struct entry *e = RB_FIND(entries, &q->entries, &(struct entry){.id = id});
	struct lot lot = {1, until_us};

	if (e != NULL && until_us > now_us)
		lot_merge(&e->lots[0], &lot, now_us);
}

static struct keeper_link *find_link(struct cs_quota *q, const char *name)
{
	struct keeper_link *l;

	TAILQ_FOREACH(l, &q->links, list)
		if (strcmp(l->name, name) == 0)
			return l;
	return NULL;
}

static struct keeper_link *get_link(struct cs_quota *q, const char *name)
{
	struct keeper_link *l = find_link(q, name);

	if (l != NULL)
		return l;
	l = cs_xcalloc(1, sizeof(*l));
	cs_copy(l->name, sizeof(l->name), name);
	TAILQ_INSERT_TAIL(&q->links, l, list);
	return l;
}

/* True if the keeper replied lately, or was not asked before. */
static bool is_responsive(const struct keeper_link *l, uint64_t now_us)
{
	return l->asked_us == 0 || now_us - l->received_us < REPLY_TIMEOUT_US;
}

/*
 * Number of tokens that are missing for the requests that wait or are expected. Of keepers of this
 * zone, which have the most, more are asked for than are expected on average.
 */
static unsigned missing_tokens(const struct entry *e, enum phase phase, uint64_t now_us)
{
	double expected = e->rate * AHEAD_S, need = e->waiting;

	if (expected >= AHEAD_MIN)
		need += expected;
	if (expected >= AHEAD_MIN && phase == PHASE_ASK_ZONE)
		need += sqrt(expected);
	need -= tokens_left(e, now_us);
	return need > 0 ? (unsigned)ceil(need) : 0;
}

/*
 * Asks other zones next, as many at once as there are tokens missing, or gives up if enough of them
 * were asked.
 */
static void try_others(struct cs_quota *q, struct entry *e, uint64_t now_us)
{
	unsigned most = q->n_zones < ZONES_TRIED_MAX ? q->n_zones : ZONES_TRIED_MAX;
	unsigned missing = missing_tokens(e, PHASE_ASK_OTHERS, now_us);

	if (e->zones_tried >= most) {
		set_phase(q, e, PHASE_DENIED, now_us);
		return;
	}
	e->parallel = missing < most - e->zones_tried ? missing : most - e->zones_tried;
	if (e->parallel == 0)
		e->parallel = 1;
	e->to_ask = e->parallel;
	e->outstanding = 0;
	set_phase(q, e, PHASE_ASK_OTHERS, now_us);
}

/* A question that was not replied to in time counts as one that brought nothing. */
static void check_timeouts(struct cs_quota *q, struct entry *e, uint64_t now_us)
{
	if (e->phase == PHASE_DENIED && !is_denied(e, now_us))
		set_phase(q, e, PHASE_IDLE, now_us);
	if (now_us - e->phase_us < ASK_TIMEOUT_US)
		return;
	if (e->phase == PHASE_ZONE_ASKED)
		e->zones_tried = 0;
	if (e->phase == PHASE_ZONE_ASKED || e->phase == PHASE_OTHERS_ASKED)
		try_others(q, e, now_us);
}

static void entry_round(struct cs_quota *q, struct entry *e, double elapsed_s, uint64_t now_us)
{
	const struct cs_workspace *ws = cs_workspace_by_id(q->table, e->id);

	e->rate += RATE_WEIGHT * (e->arrivals / elapsed_s - e->rate);
	e->arrivals = 0;
	if (e->phase == PHASE_IDLE && ws != NULL && ws->rate_per_s > 0 &&
	    missing_tokens(e, PHASE_ASK_ZONE, now_us) > 0)
		set_phase(q, e, PHASE_ASK_ZONE, now_us);
}

/* Begins a round: all keepers of the zone are asked, for what is expected. */
static void round_begin(struct cs_quota *q, uint64_t now_us)
{
	double elapsed_s = (double)(now_us - q->round_us) / CS_US_PER_S;
	struct keeper_link *l, *next_link;
	struct entry *e, *next;

	q->round_us = now_us;
	memset(q->due, true, sizeof(q->due));
	q->zone_offset++;
	keeper_sweep(q, now_us);
	TAILQ_FOREACH_SAFE(e, &q->list, list, next) {
		if (now_us - e->used_us > ENTRY_IDLE_US && e->waiting == 0) {
			keeper_forget(q, e);
			entry_free(q, e);
		} else {
			entry_round(q, e, elapsed_s, now_us);
		}
	}
	TAILQ_FOREACH_SAFE(l, &q->links, list, next_link)
		if (now_us - l->asked_us > LINK_IDLE_US)
			link_free(q, l);
}

/* The keeper of a slot in this zone that replies; this instance itself if there is none. */
static const char *choose_keeper(struct cs_quota *q, unsigned slot, uint64_t now_us)
{
	const struct keeper_link *l;
	unsigned k;

	for (k = 0; k < CS_QUOTA_CANDIDATES && q->wanted[slot][k][0] != '\0'; k++) {
		l = find_link(q, q->wanted[slot][k]);
		if (l == NULL || is_responsive(l, now_us))
			return q->wanted[slot][k];
	}
	return q->instance;
}

/* Takes the chosen keepers for those to lend to, where rights are back from the former ones. */
static void update_lent(struct cs_quota *q, const char *const keepers[], uint64_t now_us)
{
	unsigned i;

	for (i = 0; i < CS_QUOTA_SLOTS; i++) {
		if (strcmp(q->lent[i].keeper, keepers[i]) == 0 || q->lent[i].until_us > now_us)
			continue;
		q->lent[i] = (struct lent){.until_us = 0};
		cs_copy(q->lent[i].keeper, sizeof(q->lent[i].keeper), keepers[i]);
	}
}

/* Begins a question: what is common to all of them. */
static struct keeper_link *ask_begin(struct cs_quota *q, const char *to, uint64_t now_us,
				     struct cs_quota_ask *out)
{
	struct keeper_link *l = get_link(q, to);

	*out = (struct cs_quota_ask){
		.boot = q->boot,
		.seq = ++q->seq,
		.sent_us = now_us,
		.echo_us = l->echo_us,
		.echo_boot = l->echo_boot,
		.held_us = l->echo_us > 0 ? now_us - l->received_us : 0,
		.fleet = q->fleet,
	};
	cs_copy(out->from, sizeof(out->from), q->instance);
	cs_copy(out->to, sizeof(out->to), to);
	/* Before the first reply, the time since the first question counts. */
	if (l->asked_us == 0)
		l->received_us = now_us;
	l->asked_us = now_us;
	return l;
}

/*
 * Lends the rights of the slots that are meant for the asked keeper with a question, and gives back
 * those of the others. There is one loan of an instance at a keeper, which each question replaces.
 */
static void ask_lend(struct cs_quota *q, const char *const keepers[], const struct keeper_link *l,
		     struct cs_quota_ask *ask)
{
	bool able = q->fleet > 0 && l->echo_us > 0 && ask->held_us < REPLY_TIMEOUT_US &&
		    ask->sent_us - q->created_us >= CS_QUOTA_LOAN_US;
	struct lent *lent;
	unsigned i;

	for (i = 0; i < CS_QUOTA_SLOTS; i++) {
		lent = &q->lent[i];
		if (strcmp(lent->keeper, ask->to) != 0)
			continue;
		if (able && strcmp(keepers[i], ask->to) == 0) {
			lent->until_us = ask->sent_us + CS_QUOTA_LOAN_US;
			lent->return_seq = 0;
			ask->lent_slots |= 1U << i;
		} else if (lent->until_us > ask->sent_us && lent->return_seq == 0) {
			lent->return_seq = ask->seq;
		}
	}
}

/* Adds the workspaces of a phase whose slot the mask has. */
static void ask_add_rows(struct cs_quota *q, struct cs_quota_ask *ask, enum phase from,
			 enum phase to, unsigned slots)
{
	const struct cs_workspace *ws;
	struct entry *e;
	unsigned n;

	if (q->n_in_phase[from] == 0)
		return;
	TAILQ_FOREACH(e, &q->list, list) {
		if (e->phase != from || !(slots >> quota_slot(e->id) & 1))
			continue;
		if (ask->n_rows == CS_QUOTA_ROWS_MAX)
			return;
		ws = cs_workspace_by_id(q->table, e->id);
		n = ws != NULL && ws->rate_per_s > 0 ? missing_tokens(e, from, ask->sent_us) : 0;
		if (n == 0) {
			set_phase(q, e, PHASE_IDLE, ask->sent_us);
			continue;
		}
		if (from == PHASE_ASK_OTHERS) {
			n = (n + e->parallel - 1) / e->parallel;
			e->zones_tried++;
			e->outstanding++;
			e->to_ask--;
		}
		ask->rows[ask->n_rows++] = (struct cs_quota_row){.id = e->id, .tokens = n};
		if (from != PHASE_ASK_OTHERS || e->to_ask == 0)
			set_phase(q, e, to, ask->sent_us);
	}
}

/* First workspace of a phase whose slot the mask has, or NULL. */
static const struct entry *first_in_phase(const struct cs_quota *q, enum phase phase,
					  unsigned slots)
{
	const struct entry *e;

	if (q->n_in_phase[phase] == 0)
		return NULL;
	TAILQ_FOREACH(e, &q->list, list)
		if (e->phase == phase && (slots >> quota_slot(e->id) & 1))
			return e;
	return NULL;
}

/* Asks a former keeper to give back rights that others are to get. */
static bool next_return(struct cs_quota *q, const char *const keepers[], uint64_t now_us,
			struct cs_quota_ask *out)
{
	struct lent *lent;
	unsigned i;

	for (i = 0; i < CS_QUOTA_SLOTS; i++) {
		lent = &q->lent[i];
		if (lent->until_us <= now_us || lent->return_seq != 0 ||
		    strcmp(lent->keeper, keepers[i]) == 0)
			continue;
		ask_lend(q, keepers, ask_begin(q, lent->keeper, now_us, out), out);
		return true;
	}
	return false;
}

/* Asks a keeper of the zone in its turn, or for a workspace that has too few tokens. */
static bool next_zone_ask(struct cs_quota *q, const char *const keepers[], uint64_t now_us,
			  struct cs_quota_ask *out)
{
	unsigned i, k, slots = 0;

	for (i = 0; i < CS_QUOTA_SLOTS; i++)
		if (q->due[i] || first_in_phase(q, PHASE_ASK_ZONE, 1U << i) != NULL)
			break;
	if (i == CS_QUOTA_SLOTS)
		return false;
	for (k = 0; k < CS_QUOTA_SLOTS; k++) {
		if (strcmp(keepers[k], keepers[i]) != 0)
			continue;
		slots |= 1U << k;
		q->due[k] = false;
	}
	ask_lend(q, keepers, ask_begin(q, keepers[i], now_us, out), out);
	ask_add_rows(q, out, PHASE_ASK_ZONE, PHASE_ZONE_ASKED, slots);
	return true;
}

/* Asks a keeper that does not reply, so that it is noticed when it does again. */
static bool next_silent_ask(struct cs_quota *q, uint64_t now_us, struct cs_quota_ask *out)
{
	const struct keeper_link *l;
	unsigned i;

	for (i = 0; i < CS_QUOTA_SLOTS; i++) {
		l = find_link(q, q->wanted[i][0]);
		if (l == NULL || is_responsive(l, now_us) ||
		    now_us - l->asked_us < CS_QUOTA_ROUND_US)
			continue;
		ask_begin(q, q->wanted[i][0], now_us, out);
		return true;
	}
	return false;
}

/* Asks a keeper of another zone for the workspaces of one slot: the nearest first, then in turn. */
static bool next_other_ask(struct cs_quota *q, uint64_t now_us, struct cs_quota_ask *out)
{
	const struct entry *e = first_in_phase(q, PHASE_ASK_OTHERS, UINT32_MAX);
	unsigned slot, zone;

	if (e == NULL || q->n_zones == 0)
		return false;
	slot = quota_slot(e->id);
	zone = e->zones_tried == 0 ? 0 : (q->zone_offset + e->zones_tried) % q->n_zones;
	ask_begin(q, q->zones[zone][slot], now_us, out);
	ask_add_rows(q, out, PHASE_ASK_OTHERS, PHASE_OTHERS_ASKED, 1U << slot);
	return true;
}

void cs_quota_ask_also(struct cs_quota *q, const char *name)
{
	cs_copy(q->also, sizeof(q->also), name);
}

/* The question of cs_quota_ask_also. */
static bool next_also_ask(struct cs_quota *q, const char *const keepers[], uint64_t now_us,
			  struct cs_quota_ask *out)
{
	char name[CS_QUOTA_NAME_MAX];

	if (q->also[0] == '\0')
		return false;
	cs_copy(name, sizeof(name), q->also);
	q->also[0] = '\0';
	ask_lend(q, keepers, ask_begin(q, name, now_us, out), out);
	return true;
}

bool cs_quota_next_ask(struct cs_quota *q, uint64_t now_us, struct cs_quota_ask *out)
{
	const char *keepers[CS_QUOTA_SLOTS];
	struct entry *e;
	unsigned i;

	if (q->table == NULL)
		return false;
	keeper_advance(q, now_us);
	if (now_us - q->round_us >= CS_QUOTA_ROUND_US)
		round_begin(q, now_us);
	TAILQ_FOREACH(e, &q->list, list)
		check_timeouts(q, e, now_us);
	for (i = 0; i < CS_QUOTA_SLOTS; i++)
		keepers[i] = choose_keeper(q, i, now_us);
	update_lent(q, keepers, now_us);
	return next_return(q, keepers, now_us, out) || next_zone_ask(q, keepers, now_us, out) ||
	       next_silent_ask(q, now_us, out) || next_also_ask(q, keepers, now_us, out) ||
	       next_other_ask(q, now_us, out);
}

/* Applies a row of a reply; what is still missing is asked for elsewhere. */
static void apply_grant(struct cs_quota *q, const struct cs_quota_row *row, uint64_t asked_us,
			uint64_t now_us)
{
	const struct cs_workspace *ws = q->table != NULL ? cs_workspace_by_id(q->table, row->id)
							 : NULL;
	struct entry *e = RB_FIND(entries, &q->entries, &(struct entry){.id = row->id});
	uint64_t until;

	if (ws == NULL || e == NULL || ws->rate_per_s <= 0)
		return;
	until = asked_us + (uint64_t)(SPEND_S * CS_US_PER_S);
	if (row->tokens > 0 && until > now_us)
		add_tokens(e, row->tokens, until, now_us);
	if (e->phase == PHASE_ZONE_ASKED || row->room_ms < e->room_ms)
		e->room_ms = row->room_ms;
	if (e->phase == PHASE_OTHERS_ASKED && e->outstanding > 0)
		e->outstanding--;
	if (missing_tokens(e, PHASE_ASK_OTHERS, now_us) == 0) {
		set_phase(q, e, PHASE_IDLE, now_us);
	} else if (e->phase == PHASE_ZONE_ASKED) {
		e->zones_tried = 0;
		try_others(q, e, now_us);
	} else if (e->phase == PHASE_OTHERS_ASKED && e->outstanding == 0) {
		try_others(q, e, now_us);
	}
}

bool cs_quota_handle_reply(struct cs_quota *q, const struct cs_quota_reply *reply, uint64_t now_us)
{
	struct keeper_link *l = find_link(q, reply->from);
	unsigned i;

	if (l == NULL || reply->to_boot != q->boot || reply->asked_us > now_us ||
	    reply->seq > q->seq)
		return false;
	if (reply->seq <= l->seq_received)
		return false;
	l->seq_received = reply->seq;
	l->echo_us = reply->now_us;
	l->echo_boot = reply->boot;
	l->received_us = now_us;
	for (i = 0; i < CS_QUOTA_SLOTS; i++)
		if (q->lent[i].return_seq != 0 && reply->seq >= q->lent[i].return_seq &&
		    strcmp(q->lent[i].keeper, reply->from) == 0)
			q->lent[i].until_us = q->lent[i].return_seq = 0;
	for (i = 0; i < reply->n_rows; i++)
		apply_grant(q, &reply->rows[i], reply->asked_us, now_us);
	return true;
}

void cs_quota_counts(const struct cs_quota *q, struct cs_quota_counts *out)
{
	*out = q->counts;
}
