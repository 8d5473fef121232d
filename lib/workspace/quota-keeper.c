/*
 * The keeper's side of quotas: loans of rights and grants of tokens. A loan ends at a time that is
 * certain to be no later than the lender's own, whenever its message arrived: it counts from the
 * keeper's clock in the reply that the lender repeats, plus the time for which the lender held it.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "workspace/quota-int.h"

/* A loan ends earlier here than at its lender by this, for clocks that run at different speeds. */
#define LOAN_MARGIN_US (20 * CS_US_PER_MS)
/*
 * Rights are divided among more instances than are known, by this factor: an instance that is cut
 * off or slow may not know of the newest ones, which count themselves.
 */
#define FLEET_MARGIN (1 + 1.0 / 32)
/* Workspaces that nobody asked for hold what accrued in this time when rights are returned. */
#define UNTOUCHED_KEEP_S 0.2
/* room_ms of a keeper without rights. */
#define NO_RIGHTS_ROOM_MS 200
/* Instances that asked, or lent, are remembered for this time: longer than a loan lasts. */
#define LOAN_MEMORY_US (2 * CS_US_PER_S)
#define LOANS_MAX 512

static bool loan_covers(const struct loan *l, unsigned slot)
{
	return l->slots >> slot & 1;
}

/* Adds the tokens that the rights of a workspace accrued since they were counted last. */
static void entry_accrue(const struct cs_quota *q, struct entry *e, const struct cs_workspace *ws)
{
	unsigned slot = quota_slot(e->id);
	struct pace p = quota_pace(q, ws);

	e->tokens += p.per_s * (q->integral[slot] - e->seen);
	e->seen = q->integral[slot];
	e->tokens = fmin(e->tokens, p.per_s * q->held[slot] * p.keep_s);
}

/* After rights were returned no workspace keeps more tokens than those that are left allow. */
static void trim(struct cs_quota *q)
{
	const struct cs_workspace *ws;
	struct entry *e;
	double most;
	unsigned i;

	TAILQ_FOREACH(e, &q->list, list) {
		ws = q->table != NULL ? cs_workspace_by_id(q->table, e->id) : NULL;
		if (ws != NULL)
			entry_accrue(q, e, ws);
		else
			e->tokens = 0;
	}
	for (i = 0; i < CS_QUOTA_SLOTS; i++) {
		most = q->held[i] * UNTOUCHED_KEEP_S;
		q->base[i] = fmax(q->base[i], q->integral[i] - most);
	}
}

static void loan_end(struct cs_quota *q, struct loan *l)
{
	l->ended = true;
	q->counts.loans--;
}

void keeper_sweep(struct cs_quota *q, uint64_t now_us)
{
	struct loan *l, *next;

	TAILQ_FOREACH_SAFE(l, &q->loans, list, next) {
		if (!l->ended || now_us - l->heard_us < LOAN_MEMORY_US)
			continue;
		TAILQ_REMOVE(&q->loans, l, list);
		q->n_loans--;
		free(l);
	}
}

void keeper_advance(struct cs_quota *q, uint64_t now_us)
{
	struct loan *l;
	bool returned = false;
	uint64_t end;
	unsigned i;

	if (now_us <= q->advanced_us)
		return;
	memset(q->held, 0, sizeof(q->held));
	TAILQ_FOREACH(l, &q->loans, list) {
		if (l->ended)
			continue;
		end = l->until_us < now_us ? l->until_us : now_us;
		for (i = 0; i < CS_QUOTA_SLOTS; i++) {
			if (!loan_covers(l, i))
				continue;
			if (end > q->advanced_us)
				q->integral[i] +=
					l->fraction * (double)(end - q->advanced_us) / CS_US_PER_S;
			if (l->until_us > now_us)
				q->held[i] += l->fraction;
		}
		if (l->until_us > now_us)
			continue;
		returned = true;
		loan_end(q, l);
	}
	q->advanced_us = now_us;
	if (returned)
		trim(q);
}

void keeper_free(struct cs_quota *q)
{
	struct loan *l, *next;

	TAILQ_FOREACH_SAFE(l, &q->loans, list, next)
		free(l);
}

void keeper_forget(struct cs_quota *q, const struct entry *e)
{
	const struct cs_workspace *ws = q->table != NULL ? cs_workspace_by_id(q->table, e->id)
							 : NULL;
	unsigned slot = quota_slot(e->id);
	double held_s = ws != NULL && ws->rate_per_s > 0 ? e->tokens / quota_pace(q, ws).per_s : 0;

	/* What has accrued since the tokens were counted is accrued again from there. */
	q->base[slot] = fmax(q->base[slot], e->seen - held_s);
}

static struct loan *find_loan(const struct cs_quota *q, const struct cs_quota_ask *ask)
{
	struct loan *l;

	TAILQ_FOREACH(l, &q->loans, list)
		if (l->boot == ask->boot && strcmp(l->name, ask->from) == 0)
			return l;
	return NULL;
}

/* Ends a loan now. */
static void loan_return(struct cs_quota *q, struct loan *l)
{
	unsigned i;

	for (i = 0; i < CS_QUOTA_SLOTS; i++)
		if (loan_covers(l, i))
			q->held[i] = fmax(0, q->held[i] - l->fraction);
	loan_end(q, l);
	trim(q);
}

/* Creates the record of an instance that asks, which has lent nothing; NULL if there are too many. */
static struct loan *loan_create(struct cs_quota *q, const struct cs_quota_ask *ask)
{
	struct loan *l;

	if (q->n_loans >= LOANS_MAX)
		return NULL;
	l = cs_xcalloc(1, sizeof(*l));
	cs_copy(l->name, sizeof(l->name), ask->from);
	l->boot = ask->boot;
	l->ended = true;
	TAILQ_INSERT_TAIL(&q->loans, l, list);
	q->n_loans++;
	return l;
}

static void loan_begin(struct cs_quota *q, struct loan *l, unsigned slots, double fraction,
		       uint64_t until_us)
{
	unsigned i;

	l->ended = false;
	l->slots = slots;
	l->fraction = fraction;
	l->until_us = until_us;
	q->counts.loans++;
	for (i = 0; i < CS_QUOTA_SLOTS; i++)
		if (loan_covers(l, i))
			q->held[i] += l->fraction;
}

/*
 * Time at which the loan in a question ends; 0 if it lends nothing or the age of the message is not
 * known, as it does not repeat a time of this process.
 */
static uint64_t loan_end_us(const struct cs_quota *q, const struct cs_quota_ask *ask,
			    uint64_t now_us)
{
	uint64_t until = ask->echo_us + ask->held_us + CS_QUOTA_LOAN_US - LOAN_MARGIN_US;

	if (ask->lent_slots == 0 || ask->fleet == 0 || ask->echo_us == 0 ||
	    ask->echo_boot != q->boot)
		return 0;
	return until > now_us && until <= now_us + CS_QUOTA_LOAN_US ? until : 0;
}

/*
 * Applies the loan in a question. The sender's latest word counts: a question that was overtaken by
 * a later one must not bring back rights which that one took away.
 */
static void handle_loan(struct cs_quota *q, const struct cs_quota_ask *ask, uint64_t now_us)
{
	double fraction = ask->fleet > 0 ? 1 / (ask->fleet * FLEET_MARGIN) : 0;
	uint64_t until = loan_end_us(q, ask, now_us);
	struct loan *l = find_loan(q, ask);

	if (l == NULL)
		l = loan_create(q, ask);
	if (l == NULL || ask->seq <= l->seq)
		return;
	l->seq = ask->seq;
	l->heard_us = now_us;
	if (until > 0 && !l->ended && l->slots == ask->lent_slots &&
	    fabs(l->fraction - fraction) < 1e-12) {
		if (until > l->until_us)
			l->until_us = until;
		return;
	}
	if (!l->ended)
		loan_return(q, l);
	if (until > 0)
		loan_begin(q, l, ask->lent_slots, fraction, until);
}

static void grant(struct cs_quota *q, const struct cs_quota_row *want, struct cs_quota_row *out,
		  uint64_t now_us)
{
	const struct cs_workspace *ws = q->table != NULL ? cs_workspace_by_id(q->table, want->id)
							 : NULL;
	double per_s, missing;
	struct entry *e;

	*out = (struct cs_quota_row){.id = want->id, .room_ms = NO_RIGHTS_ROOM_MS};
	if (ws == NULL || ws->rate_per_s <= 0)
		return;
	e = quota_entry(q, want->id, now_us);
	entry_accrue(q, e, ws);
	out->tokens = (unsigned)fmin(floor(e->tokens), want->tokens);
	e->tokens -= out->tokens;
	q->counts.granted += out->tokens;
	per_s = quota_pace(q, ws).per_s * q->held[quota_slot(e->id)];
	missing = 1 - e->tokens;
	if (per_s > 0)
		out->room_ms = missing > 0 ? (unsigned)fmin(missing / per_s * 1000, 60000) : 0;
}

void cs_quota_handle_ask(struct cs_quota *q, const struct cs_quota_ask *ask, uint64_t now_us,
			 struct cs_quota_reply *out)
{
	unsigned i;

	keeper_advance(q, now_us);
	handle_loan(q, ask, now_us);
	*out = (struct cs_quota_reply){.boot = q->boot,
				       .to_boot = ask->boot,
				       .seq = ask->seq,
				       .asked_us = ask->sent_us,
				       .now_us = now_us,
				       .n_rows = ask->n_rows};
	cs_copy(out->from, sizeof(out->from), q->instance);
	cs_copy(out->to, sizeof(out->to), ask->from);
	for (i = 0; i < ask->n_rows; i++)
		grant(q, &ask->rows[i], &out->rows[i], now_us);
}
