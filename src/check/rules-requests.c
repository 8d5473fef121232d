/* Promises about single requests: whole answers, true refusals, at most one run. */
#include <string.h>

#include "src/check/check.h"

#define FOREACH_OP(c, op, i)                                                                       \
	for ((i) = 0; (i) < (c)->ops->len && ((op) = (c)->ops->pdata[i]); (i)++)

/* Runs of an operation, without refusals. */
static unsigned count_runs(const struct op *op)
{
	const struct run *r;
	unsigned n = 0;

	for (r = op->runs; r != NULL; r = r->next)
		n += !r->refused;
	return n;
}

/* Whether a run could have produced the whole answer that the caller has. */
static const struct run *answering_run(const struct op *op)
{
	const struct run *r;

	for (r = op->runs; r != NULL; r = r->next)
		if (strcmp(r->outcome, "done") == 0 && r->start_us <= op->end_us)
			return r;
	return NULL;
}

/* Promise 3: the whole answer to the caller's own request, of a server that had the whole body. */
void rule_answers(struct check *c)
{
	const struct run *r;
	const struct op *op;
	guint i;

	FOREACH_OP(c, op, i)
	{
		if (op->lines > 1)
			check_violation(c, "answers", op, "a request id has more than one answer");
		if (op->verdict == V_BAD) {
			check_violation(c, "answers", op,
					"an answer was passed on as whole but its body is %s",
					op->body);
			continue;
		}
		if (op->verdict != V_OK)
			continue;
		r = answering_run(op);
		if (r == NULL)
			check_violation(c, "answers", op, "an answer without a finished run");
		else if (r->body_len != op->upload_len ||
			 (op->upload_len > 0 && strcmp(r->digest, op->digest) != 0))
			check_violation(c, "answers", op, "a server ran with another body");
	}
}

/* Promise 4: a refusal that says "not run" is true. */
void rule_not_run(struct check *c)
{
	const struct op *op;
	guint i;

	FOREACH_OP(c, op, i)
	if ((op->verdict == V_REFUSED || strcmp(op->ran, "no") == 0) && count_runs(op) > 0)
		check_violation(c, "not-run", op, "reported as not run, but a server ran it");
}

/* Promise 5: a non-idempotent request runs at most once. */
void rule_once(struct check *c)
{
	const struct op *op;
	unsigned n;
	guint i;

	FOREACH_OP(c, op, i)
	{
		if (op->idempotent)
			continue;
		n = count_runs(op);
		if (n > 1)
			check_violation(c, "once", op, "a non-idempotent request ran %u times", n);
	}
}

/* Whether the operation's last connection was refused by the instance, so that nobody had it. */
static bool reached_nobody(const struct check *c, const struct op *op)
{
	const struct fact *f;
	char name[96];
	guint i;

	snprintf(name, sizeof(name), "%s:%u", op->caller, op->port);
	for (i = 0; i < c->facts->len; i++) {
		f = check_fact(c, i);
		if (f->kind == FACT_REFUSED && strcmp(f->name, name) == 0 &&
		    f->from_us >= op->planned_us && f->from_us <= op->end_us + CS_US_PER_S)
			return true;
	}
	return false;
}

/*
 * Promise 7: a planned stop cuts no request. Requests that were at the stopping instance and ended
 * without an answer count, unless a fault in the zone can explain it or the connection was refused.
 * A 502 is an answer about a server or another instance, which may be in any zone, so a fault there
 * can explain it too.
 */
void rule_stop(struct check *c)
{
	const struct fact *f;
	const struct op *op;
	guint i, j;

	for (j = 0; j < c->facts->len; j++) {
		f = check_fact(c, j);
		if (f->kind != FACT_STOP)
			continue;
		FOREACH_OP(c, op, i)
		{
			if (op->verdict != V_UNKNOWN || op->status == 504 ||
			    strcmp(op->entry, f->name) != 0 || op->end_us < f->from_us ||
			    op->sent_us > f->to_us ||
			    check_excused(c, "stop", op->status == 502 ? NULL : f->zone,
					  op->sent_us, op->end_us) ||
			    reached_nobody(c, op))
				continue;
			check_violation(c, "stop", op, "cut by the planned stop of %s", f->name);
		}
	}
}
