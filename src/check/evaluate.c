/* Applies the rules and prints violations. */
#include <inttypes.h>
#include <stdarg.h>
#include <string.h>

#include "src/check/check.h"

#define PRINTED_VIOLATIONS_MAX 40 /* further violations are only counted */
#define NEARBY_WINDOW_US (50 * CS_US_PER_MS) /* before and after an operation */
#define NEARBY_EVENTS_MAX 12

static const char *const outcome_names[] = {"ok", "refused", "failed", "unknown", "bad"};

static const struct {
	const char *name;
	void (*decide)(struct check *c);
} rules[] = {
	{"answers", rule_answers},   {"not-run", rule_not_run}, {"once", rule_once},
	{"overload", rule_overload}, {"leaving", rule_leaving}, {"cap", rule_cap},
	{"stop", rule_stop},	     {"config", rule_config},
};

static void print_run(FILE *out, const struct run *r, uint64_t base)
{
	fprintf(out,
		"    run at %s (%s) from %+" PRId64 " us to %+" PRId64 " us: %s, body %" PRIu64
		" bytes %s\n",
		r->server, r->zone, (int64_t)(r->start_us - base), (int64_t)(r->end_us - base),
		r->outcome, r->body_len, r->digest);
}

/* Prints faults, stops, drains and server state changes, relative to the planned send time. */
static void print_nearby_events(struct check *c, const struct op *op)
{
	uint64_t from = op->planned_us - NEARBY_WINDOW_US, to = op->end_us + NEARBY_WINDOW_US;
	const struct state_change *s;
	const struct fact *f;
	unsigned n = 0;
	guint i;

	for (i = 0; i < c->facts->len && n < NEARBY_EVENTS_MAX; i++) {
		f = check_fact(c, i);
		if ((f->kind != FACT_FAULT && f->kind != FACT_STOP && f->kind != FACT_DRAIN) ||
		    f->from_us > to || f->to_us < from)
			continue;
		n++;
		fprintf(c->out, "    near: %s %s %s from %+" PRId64 " us to %+" PRId64 " us\n",
			f->what, f->name, f->zone, (int64_t)(f->from_us - op->planned_us),
			(int64_t)(f->to_us - op->planned_us));
	}
	for (i = 0; i < c->states->len && n < NEARBY_EVENTS_MAX; i++) {
		s = &g_array_index(c->states, struct state_change, i);
		if (s->at_us < from || s->at_us > to)
			continue;
		n++;
		fprintf(c->out, "    near: server %s becomes %s at %+" PRId64 " us\n", s->server,
			s->state, (int64_t)(s->at_us - op->planned_us));
	}
}

static void print_op(struct check *c, const struct op *op)
{
	const struct run *r;

	fprintf(c->out,
		"    request %s class %s %s from %s planned 0 us, sent %+" PRId64
		" us, ended %+" PRId64 " us: %s, status %d, ran \"%s\", body %s, entry %s, "
		"instance %s, tries %u\n",
		op->id, op->class, op->idempotent ? "idempotent" : "non-idempotent", op->client,
		(int64_t)(op->sent_us - op->planned_us), (int64_t)(op->end_us - op->planned_us),
		outcome_names[op->outcome], op->status, op->ran, op->body, op->entry, op->instance,
		op->tries);
	for (r = op->runs; r != NULL; r = r->next)
		print_run(c->out, r, op->planned_us);
	print_nearby_events(c, op);
}

void check_violation(struct check *c, const char *rule, const struct op *op, const char *fmt, ...)
{
	char text[512];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	if (++c->violations > PRINTED_VIOLATIONS_MAX)
		return;
	fprintf(c->out, "violation %s: %s\n", rule, text);
	if (op != NULL)
		print_op(c, op);
}

unsigned check_evaluate(struct check *c)
{
	unsigned before, i;

	for (i = 0; i < G_N_ELEMENTS(rules); i++) {
		before = c->violations;
		rules[i].decide(c);
		fprintf(c->out, "rule %s: violations %u\n", rules[i].name, c->violations - before);
	}
	if (c->bad_lines > 0)
		check_violation(c, "input", NULL, "%u malformed lines", c->bad_lines);
	fprintf(c->out, "check: operations %u violations %u\n", c->ops->len, c->violations);
	return c->violations;
}
