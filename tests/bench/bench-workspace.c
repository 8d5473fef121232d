/*
 * Cost of workspaces: 100,000 of them with a key each in a document, and the choice among 100
 * waiting requests. Prints NAME VALUE UNIT lines.
 */
#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include "workspace/workspace.h"

#define WORKSPACES 100000
#define LOOKUPS 1000000
#define WAITING 100
#define DECISIONS 2000

static char names[WORKSPACES][24];

static void bench_table(void)
{
	uint64_t begin = cs_mono_us(), took;
	struct cs_workspace_table *t = cs_workspace_table_create();
	size_t before = mallinfo2().uordblks, found = 0;
	unsigned i;

	for (i = 0; i < WORKSPACES; i++) {
		snprintf(names[i], sizeof(names[i]), "workspace-%u", i);
		cs_workspace_add_key(t, cs_workspace_add(t, names[i]), names[i]);
	}
	took = cs_mono_us() - begin;
	printf("workspace_load_ms %.1f ms\n", (double)took / 1000);
	printf("workspace_memory %.1f MB\n", (double)(mallinfo2().uordblks - before) / 1048576 +
						     (double)mallinfo2().hblkhd / 1048576);
	begin = cs_mono_us();
	for (i = 0; i < LOOKUPS; i++)
		found += cs_workspace_by_key(t, names[i % WORKSPACES]) != NULL;
	took = cs_mono_us() - begin;
	printf("workspace_lookup_ns %.0f ns\n", found == LOOKUPS ? took * 1000.0 / LOOKUPS : -1);
	cs_workspace_table_destroy(t);
}

/* All workspaces sent a request lately; the best of those that wait is searched for. */
static void bench_fair(void)
{
	struct cs_fair *f = cs_fair_create();
	uint64_t now = CS_US_PER_S, begin, took;
	unsigned i, k, over = 0;

	for (i = 0; i < WORKSPACES; i++)
		cs_fair_arrived(f, i + 1, now);
	begin = cs_mono_us();
	for (i = 0; i < DECISIONS; i++) {
		now += CS_US_PER_MS;
		for (k = 0; k < WAITING; k++)
			over += cs_fair_is_over(f, (i * WAITING + k) % WORKSPACES + 1, now);
		cs_fair_sent(f, i % WORKSPACES + 1, now);
	}
	took = cs_mono_us() - begin;
	printf("workspace_decision_us %.1f us\n", (double)took / DECISIONS);
	printf("workspace_decision_over %u count\n", over);
	cs_fair_destroy(f);
}

int main(void)
{
	bench_table();
	bench_fair();
	return 0;
}
