/* Guarantees about single requests: complete responses, correct refusals, at most one run. */
#include <string.h>

#include "src/check/check.h"

#define FOREACH_OP(c, op, i)                                                                       \
	for ((i) = 0; (i) < (c)->ops->len && ((op) = (c)->ops->pdata[i]); (i)++)

/* Counts the runs of an operation, without refusals. */
static unsigned count_runs(const struct op *op)
{
	const struct run *r;
	unsigned n = 0;

	for (r = op->runs; r != NULL; r = r->next)
		n += !r->refused;
	return n;
}

/* Returns a finished run that may have produced the client's response, or NULL. */
static const struct run *completed_run(const struct op *op)
{
	const struct run *r;

	for (r = op->runs; r != NULL; r = r->next)
		if (strcmp(r->outcome, "done") == 0 && r->start_us <= op->end_us)
			return r;
	return NULL;
}

/*
 * A successful response is complete, belongs to the client's own request and comes
 * from a server that received the whole request body.
 */
void rule_answers(struct check *c)
{
	const struct run *r;
	const struct op *op;
	guint i;

	FOREACH_OP(c, op, i)
	{
		if (op->history_lines > 1)
			check_violation(c, "answers", op, "request id has several history lines");
		if (op->outcome == OP_BAD) {
			check_violation(c, "answers", op,
					"response was passed on as complete but its body is %s",
					op->body);
			continue;
		}
		if (op->outcome != OP_OK)
			continue;
		r = completed_run(op);
		if (r == NULL)
			check_violation(c, "answers", op, "response without a finished run");
		else if (r->body_len != op->upload_len ||
			 (op->upload_len > 0 && strcmp(r->digest, op->digest) != 0))
			check_violation(c, "answers", op,
					"request body at the server differs from the caller's");
	}
}

/* A request that was reported as not run has run on no server. */
void rule_not_run(struct check *c)
{
	const struct op *op;
	guint i;

	FOREACH_OP(c, op, i)
	if ((op->outcome == OP_REFUSED || strcmp(op->ran, "no") == 0) && count_runs(op) > 0)
		check_violation(c, "not-run", op, "reported as not run, but a server ran it");
}

/* A non-idempotent request runs at most once. */
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

/*
 * Whether the instance refused the connection of the last attempt and thus never received the
 * request.
 */
static bool connection_refused(const struct check *c, const struct op *op)
{
	const struct fact *f;
	char name[96];
	guint i;

	snprintf(name, sizeof(name), "%s:%u", op->client, op->port);
	for (i = 0; i < c->facts->len; i++) {
		f = check_fact(c, i);
		if (f->kind == FACT_REFUSED && strcmp(f->name, name) == 0 &&
		    f->from_us >= op->planned_us && f->from_us <= op->end_us + CS_US_PER_S)
			return true;
	}
	return false;
}

/*
 * A planned stop interrupts no request. A violation is a request that was sent to the
 * stopping instance and whose outcome is unknown, unless a fault in the zone can explain it or the
 * connection was refused. A 504 is no violation. A 502 reports the failure of a server or of
 * another instance, which may be in any zone, so a fault in any zone can explain it.
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
			if (op->outcome != OP_UNKNOWN || op->status == 504 ||
			    strcmp(op->entry, f->name) != 0 || op->end_us < f->from_us ||
			    op->sent_us > f->to_us ||
			    check_fault_explains(c, "stop", op->status == 502 ? NULL : f->zone,
						 op->sent_us, op->end_us) ||
			    connection_refused(c, op))
				continue;
			check_violation(c, "stop", op, "interrupted by the planned stop of %s",
					f->name);
		}
	}
}
