/* Requests by workspace, as metrics with a bounded number of series. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "workspace/workspace.h"

struct usage {
	RB_ENTRY(usage) by_id;
	uint64_t id;
	char name[CS_WORKSPACE_NAME_MAX];
	uint64_t count[CS_USAGE_KINDS], total;
};
RB_HEAD(usages, usage);

struct cs_usage {
	struct usages usages;
	uint64_t sum[CS_USAGE_KINDS];
};

static const char *const kind_names[] = {"answered", "late", "refused", "over_quota"};

static int usage_cmp(const struct usage *a, const struct usage *b)
{
	return a->id < b->id ? -1 : a->id > b->id;
}
CS_RB_GENERATE(usages, usage, by_id, usage_cmp)

struct cs_usage *cs_usage_create(void)
{
	struct cs_usage *u = cs_xcalloc(1, sizeof(*u));

	RB_INIT(&u->usages);
	return u;
}

void cs_usage_destroy(struct cs_usage *u)
{
	struct usage *e, *next;

	if (u == NULL)
		return;
	for (e = RB_MIN(usages, &u->usages); e != NULL; e = next) {
		next = RB_NEXT(usages, &u->usages, e);
		RB_REMOVE(usages, &u->usages, e);
		free(e);
	}
	free(u);
}

void cs_usage_count(struct cs_usage *u, uint64_t id, const char *name, enum cs_usage_kind kind)
{
	struct usage *e = RB_FIND(usages, &u->usages, &(struct usage){.id = id});

	if (e == NULL) {
		e = cs_xcalloc(1, sizeof(*e));
		e->id = id;
		cs_copy(e->name, sizeof(e->name), name);
		RB_INSERT(usages, &u->usages, e);
	}
	e->count[kind]++;
	e->total++;
	u->sum[kind]++;
}

/* Stores the workspaces with the most requests, at most CS_USAGE_TOP, and returns their number. */
static unsigned find_top(const struct cs_usage *u, const struct usage *top[])
{
	struct usage *e;
	unsigned n = 0, i;

	RB_FOREACH(e, usages, (struct usages *)(uintptr_t)&u->usages) {
		for (i = n; i > 0 && top[i - 1]->total < e->total; i--)
			if (i < CS_USAGE_TOP)
				top[i] = top[i - 1];
		if (i < CS_USAGE_TOP)
			top[i] = e;
		n += n < CS_USAGE_TOP;
	}
	return n;
}

/* Writes a name as a label value: quotes and backslashes are replaced. */
static void print_row(FILE *f, const char *kind, const char *name, uint64_t value)
{
	fprintf(f, "cassia_node_workspace_requests_total{kind=\"%s\",workspace=\"", kind);
	for (; *name != '\0'; name++)
		fputc(*name == '"' || *name == '\\' ? '_' : *name, f);
	fprintf(f, "\"} %llu\n", (unsigned long long)value);
}

char *cs_usage_metrics(const struct cs_usage *u)
{
	const struct usage *top[CS_USAGE_TOP];
	unsigned i, k, n = find_top(u, top);
	uint64_t rest;
	char *text = NULL;
	size_t size;
	FILE *f = open_memstream(&text, &size);

	if (f == NULL)
		return cs_xstrdup("");
	fprintf(f, "# HELP cassia_node_workspace_requests_total Requests of the workspaces with "
		   "the most, and of all others\n"
		   "# TYPE cassia_node_workspace_requests_total counter\n");
	for (k = 0; k < CS_USAGE_KINDS; k++) {
		rest = u->sum[k];
		for (i = 0; i < n; i++) {
			print_row(f, kind_names[k], top[i]->name, top[i]->count[k]);
			rest -= top[i]->count[k];
		}
		print_row(f, kind_names[k], "", rest);
	}
	fclose(f);
	return text;
}
