/* Guarantees about configurations: in force everywhere soon after acceptance, never reverted. */
#include <string.h>

#include "src/check/check.h"

#define PROPAGATION_LIMIT_US (4 * CS_US_PER_S) /* from acceptance until in force everywhere */

/* The revision in force in a process never decreases until the process restarts (boot changes). */
static void check_revision_order(struct check *c)
{
	GHashTable *last = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	const struct fact *f, *previous;
	char *key;
	guint i;

	for (i = 0; i < c->facts->len; i++) {
		f = check_fact(c, i);
		if (f->kind != FACT_SEEN)
			continue;
		key = g_strdup_printf("%s/%llu", f->name, (unsigned long long)f->boot);
		previous = g_hash_table_lookup(last, key);
		if (previous != NULL && f->revision < previous->revision)
			check_violation(c, "config", NULL,
					"%s reverted from revision %llu to %llu, %llu us later",
					f->name, (unsigned long long)previous->revision,
					(unsigned long long)f->revision,
					(unsigned long long)(f->from_us - previous->from_us));
		g_hash_table_insert(last, key, (gpointer)(uintptr_t)f);
	}
	g_hash_table_destroy(last);
}

/* Once the propagation limit is over, every process has the accepted revision or a later one. */
static void check_in_force(struct check *c, const struct fact *accepted)
{
	const struct fact *f;
	guint i;

	for (i = 0; i < c->facts->len; i++) {
		f = check_fact(c, i);
		if (f->kind != FACT_SEEN || f->revision >= accepted->revision ||
		    f->from_us <= accepted->from_us + PROPAGATION_LIMIT_US ||
		    check_fault_explains(c, "config", f->zone, accepted->from_us, f->from_us))
			continue;
		check_violation(c, "config", NULL,
				"%s had revision %llu in force %llu us after %llu was accepted",
				f->name, (unsigned long long)f->revision,
				(unsigned long long)(f->from_us - accepted->from_us),
				(unsigned long long)accepted->revision);
		return;
	}
}

/* An accepted change is in the stored document, and no other change has its revision. */
static void check_stored(struct check *c, guint at)
{
	const struct fact *accepted = check_fact(c, at), *f;
	bool final = false, stored = false;
	guint i;

	for (i = 0; i < c->facts->len; i++) {
		f = check_fact(c, i);
		if (f->kind == FACT_FINAL) {
			final = true;
			stored |= strcmp(f->name, accepted->name) == 0;
		}
		if (f->kind == FACT_ACCEPTED && i > at && f->revision == accepted->revision &&
		    strcmp(f->name, accepted->name) != 0)
			check_violation(c, "config", NULL,
					"changes %s and %s were both accepted as revision %llu",
					accepted->name, f->name, (unsigned long long)f->revision);
	}
	if (final && !stored)
		check_violation(c, "config", NULL,
				"change %s was accepted as revision %llu but is not stored",
				accepted->name, (unsigned long long)accepted->revision);
}

void rule_config(struct check *c)
{
	guint i;

	check_revision_order(c);
	for (i = 0; i < c->facts->len; i++) {
		if (check_fact(c, i)->kind != FACT_ACCEPTED)
			continue;
		check_in_force(c, check_fact(c, i));
		check_stored(c, i);
	}
}
