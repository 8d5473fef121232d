/* Promise 8: an accepted configuration is in force everywhere within seconds and never reverts. */
#include <string.h>

#include "src/check/check.h"

#define IN_FORCE_US (4 * CS_US_PER_S)

/* Revisions of one process start only grow. */
static void check_growth(struct check *c)
{
	GHashTable *last = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	const struct fact *f, *before;
	char *key;
	guint i;

	for (i = 0; i < c->facts->len; i++) {
		f = check_fact(c, i);
		if (f->kind != FACT_SEEN)
			continue;
		key = g_strdup_printf("%s/%llu", f->name, (unsigned long long)f->boot);
		before = g_hash_table_lookup(last, key);
		if (before != NULL && f->revision < before->revision)
			check_violation(c, "config", NULL,
					"%s went back from revision %llu to %llu, %llu us later",
					f->name, (unsigned long long)before->revision,
					(unsigned long long)f->revision,
					(unsigned long long)(f->from_us - before->from_us));
		g_hash_table_insert(last, key, (gpointer)(uintptr_t)f);
	}
	g_hash_table_destroy(last);
}

/* What a process had in force after the bound has to hold the accepted revision. */
static void check_in_force(struct check *c, const struct fact *accepted)
{
	const struct fact *f;
	guint i;

	for (i = 0; i < c->facts->len; i++) {
		f = check_fact(c, i);
		if (f->kind != FACT_SEEN || f->revision >= accepted->revision ||
		    f->from_us <= accepted->from_us + IN_FORCE_US ||
		    check_excused(c, "config", f->zone, accepted->from_us, f->from_us))
			continue;
		check_violation(c, "config", NULL,
				"%s had revision %llu in force %llu us after %llu was accepted",
				f->name, (unsigned long long)f->revision,
				(unsigned long long)(f->from_us - accepted->from_us),
				(unsigned long long)accepted->revision);
		return;
	}
}

/* An accepted change is in the stored document, and its revision belongs to it alone. */
static void check_kept(struct check *c, guint at)
{
	const struct fact *accepted = check_fact(c, at), *f;
	bool final = false, kept = false;
	guint i;

	for (i = 0; i < c->facts->len; i++) {
		f = check_fact(c, i);
		if (f->kind == FACT_FINAL) {
			final = true;
			kept |= strcmp(f->name, accepted->name) == 0;
		}
		if (f->kind == FACT_ACCEPTED && i > at && f->revision == accepted->revision &&
		    strcmp(f->name, accepted->name) != 0)
			check_violation(c, "config", NULL,
					"changes %s and %s were both accepted as revision %llu",
					accepted->name, f->name, (unsigned long long)f->revision);
	}
	if (final && !kept)
		check_violation(c, "config", NULL,
				"change %s was accepted as revision %llu and is gone",
				accepted->name, (unsigned long long)accepted->revision);
}

void rule_config(struct check *c)
{
	guint i;

	check_growth(c);
	for (i = 0; i < c->facts->len; i++) {
		if (check_fact(c, i)->kind != FACT_ACCEPTED)
			continue;
		check_in_force(c, check_fact(c, i));
		check_kept(c, i);
	}
}
