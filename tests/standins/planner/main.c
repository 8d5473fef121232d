/*
 * standin-planner: draws a fault schedule from a seed. The same seed and topology give the same
 * schedule. Output, sorted by time, one action a line:
 *   AT_MS begin|end ID KIND TARGET ZONE EXCUSES
 * EXCUSES names the rules of the checker that a fault may explain (cap, stop, config), or "-".
 * Faults of one target never overlap; faults that would make the cap or the planned stop
 * undecidable stay out of the drained zone and of the zone that is being replaced.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/base.h"

#define FAULTS_MAX 64
#define LIST_MAX 64
#define WORD 48
#define SETTLE_MS 1500 /* between two faults of one target */

enum target_kind { T_INSTANCE, T_ZONE, T_SERVER, T_STORE, T_REPORTS };

struct kind {
	const char *name;
	enum target_kind target;
	unsigned min_ms, max_ms;
	const char *excuses;
};

/* Every kind appears at least once while there is room; the rest is drawn. */
static const struct kind kinds[] = {
	{"kill-proxyd", T_INSTANCE, 800, 2500, "cap,stop,config"},
	{"kill-agentd", T_INSTANCE, 800, 2500, "config"},
	{"kill-lookupd", T_INSTANCE, 800, 2500, "config"},
	{"stop-proxyd", T_INSTANCE, 1000, 3000, "cap,stop,config"},
	{"stop-agentd", T_INSTANCE, 1000, 4000, "config"},
	{"stop-lookupd", T_INSTANCE, 1000, 3000, "config"},
	{"kill-instance", T_INSTANCE, 1500, 3000, "cap,stop,config"},
	{"cut-zone", T_ZONE, 1000, 3000, "cap,stop,config"},
	{"hole-zone", T_ZONE, 1000, 3000, "cap,stop,config"},
	{"hole-store", T_ZONE, 1500, 4000, "config"},
	{"store-refuse", T_STORE, 1500, 4000, "config"},
	{"store-hang", T_STORE, 1500, 3000, "config"},
	{"store-slow", T_STORE, 2000, 4000, "config"},
	{"store-lose", T_STORE, 1000, 2000, "-"},
	{"store-stale", T_STORE, 1500, 3000, "config"},
	{"reports-missing", T_REPORTS, 2000, 5000, "-"},
	{"reports-false", T_REPORTS, 2000, 5000, "-"},
	{"server-slow", T_SERVER, 2000, 4000, "cap"},
	{"server-down", T_SERVER, 1000, 3000, "cap,stop"},
	{"server-refuse", T_SERVER, 1000, 3000, "cap"},
	{"server-cold", T_SERVER, 1000, 2000, "cap"},
	{"server-truncate", T_SERVER, 1000, 3000, "cap,stop"},
	{"server-late", T_SERVER, 1000, 3000, "cap"},
	{"server-leave", T_SERVER, 5000, 7000, "cap"},
};
#define KINDS (sizeof(kinds) / sizeof(kinds[0]))

struct name {
	char name[WORD], zone[WORD];
};

struct list {
	struct name item[LIST_MAX];
	unsigned n;
};

struct fault {
	unsigned from_ms, to_ms;
	const struct kind *kind;
	const char *name, *target, *zone, *excuses;
};

static struct cs_setting settings[] = {
	{.name = "seed",
	 .kind = CS_SET_INT,
	 .def = "1",
	 .min = 0,
	 .max = INT32_MAX,
	 .unit = "",
	 .help = "seed of the schedule"},
	{.name = "faults",
	 .kind = CS_SET_INT,
	 .def = "20",
	 .min = 1,
	 .max = FAULTS_MAX - 8,
	 .unit = "",
	 .help = "faults besides operators, drain and replacement"},
	{.name = "duration-ms",
	 .kind = CS_SET_INT,
	 .def = "40000",
	 .min = 20000,
	 .max = 600000,
	 .unit = "ms",
	 .help = "length of the schedule"},
	{.name = "instances", .def = "", .unit = "", .help = "NAME:ZONE, comma-separated"},
	{.name = "servers", .def = "", .unit = "", .help = "NAME:ZONE, comma-separated"},
	{.name = NULL},
};

static struct cs_rng rng;
static struct fault faults[FAULTS_MAX];
static unsigned n_faults, duration_ms;
static struct list instances, servers, zones;
static const char *drained, *replaced;
static unsigned drain_from, drain_to, replace_from, replace_to;

static void read_list(const char *text, struct list *l)
{
	char *copy = cs_xstrdup(text), *save = NULL, *word, *colon;

	for (word = strtok_r(copy, ",", &save); word != NULL && l->n < LIST_MAX;
	     word = strtok_r(NULL, ",", &save)) {
		colon = strchr(word, ':');
		if (colon != NULL)
			*colon++ = '\0';
		cs_copy(l->item[l->n].name, WORD, word);
		cs_copy(l->item[l->n].zone, WORD, colon ? colon : "");
		l->n++;
	}
	free(copy);
}

static void read_zones(void)
{
	unsigned i, j;

	for (i = 0; i < instances.n; i++) {
		for (j = 0; j < zones.n; j++)
			if (strcmp(zones.item[j].name, instances.item[i].zone) == 0)
				break;
		if (j < zones.n || zones.n == LIST_MAX)
			continue;
		cs_copy(zones.item[zones.n].name, WORD, instances.item[i].zone);
		cs_copy(zones.item[zones.n].zone, WORD, instances.item[i].zone);
		zones.n++;
	}
}

static unsigned between(unsigned min, unsigned max)
{
	return min + cs_rng_below(&rng, max - min + 1);
}

static void draw_target(struct fault *f)
{
	static const struct name store = {"store", "-"}, reports = {"all", "-"};
	const struct name *n = &store;

	switch (f->kind->target) {
	case T_INSTANCE:
		n = &instances.item[cs_rng_below(&rng, instances.n)];
		break;
	case T_ZONE:
		n = &zones.item[cs_rng_below(&rng, zones.n)];
		break;
	case T_SERVER:
		n = &servers.item[cs_rng_below(&rng, servers.n)];
		break;
	case T_REPORTS:
		n = &reports;
		break;
	case T_STORE:
		break;
	}
	f->target = n->name;
	f->zone = n->zone;
}

static bool overlaps(unsigned from, unsigned to, unsigned from2, unsigned to2)
{
	return from < to2 && from2 < to;
}

/* Whether a fault may be put into the schedule beside those already in it. */
static bool fits(const struct fault *f)
{
	bool weighs_on_cap = strstr(f->excuses, "cap") != NULL;
	bool on_instance = f->kind->target == T_INSTANCE || f->kind->target == T_ZONE;
	const struct fault *g;
	unsigned i;

	if (weighs_on_cap && strcmp(f->zone, drained) == 0 &&
	    overlaps(f->from_ms, f->to_ms + SETTLE_MS, drain_from, drain_to))
		return false;
	if ((on_instance || weighs_on_cap) && strcmp(f->zone, replaced) == 0 &&
	    overlaps(f->from_ms, f->to_ms + SETTLE_MS, replace_from, replace_to))
		return false;
	/* The drain has to be stated before its deadline becomes infeasible. */
	if ((f->kind->target == T_STORE || strcmp(f->name, "hole-store") == 0) &&
	    overlaps(f->from_ms, f->to_ms, drain_from - 500, drain_from + 2000))
		return false;
	for (i = 0; i < n_faults; i++) {
		g = &faults[i];
		if (strcmp(g->target, f->target) == 0 && g->kind->target == f->kind->target &&
		    overlaps(f->from_ms, f->to_ms + SETTLE_MS, g->from_ms, g->to_ms + SETTLE_MS))
			return false;
	}
	return true;
}

/* Tries some places for a fault of a kind. */
static void add_fault(const struct kind *k)
{
	struct fault f = {.kind = k, .name = k->name, .excuses = k->excuses};
	unsigned tries;

	for (tries = 0; tries < 200; tries++) {
		draw_target(&f);
		f.from_ms = between(2000, duration_ms - 8000);
		f.to_ms = f.from_ms + between(k->min_ms, k->max_ms);
		if (!fits(&f))
			continue;
		faults[n_faults++] = f;
		return;
	}
}

static void add_event(const char *name, const char *target, unsigned from, unsigned to)
{
	static const struct kind event = {"event", T_REPORTS, 0, 0, "-"};

	faults[n_faults++] = (struct fault){.kind = &event,
					    .from_ms = from,
					    .to_ms = to,
					    .name = name,
					    .target = target,
					    .zone = target,
					    .excuses = "-"};
}

struct action {
	unsigned at_ms, index;
	bool end;
};

static int action_cmp(const void *a, const void *b)
{
	const struct action *x = a, *y = b;

	if (x->at_ms != y->at_ms)
		return x->at_ms < y->at_ms ? -1 : 1;
	return (int)x->index - (int)y->index;
}

static void print_schedule(void)
{
	struct action actions[2 * FAULTS_MAX] = {{0}};
	const struct fault *f;
	unsigned n = 0, i;

	for (i = 0; i < n_faults; i++) {
		actions[n++] = (struct action){faults[i].from_ms, i, false};
		actions[n++] = (struct action){faults[i].to_ms, i, true};
	}
	qsort(actions, n, sizeof(actions[0]), action_cmp);
	for (i = 0; i < n; i++) {
		f = &faults[actions[i].index];
		printf("%u %s f%u %s %s %s %s\n", actions[i].at_ms,
		       actions[i].end ? "end" : "begin", actions[i].index, f->name, f->target,
		       f->zone, f->excuses);
	}
}

int main(int argc, char **argv)
{
	unsigned i, wanted, at;
	struct cs_msg msg;

	if (cs_settings_load(settings, "Fault schedules for tests", &argc, &argv, &msg) !=
	    CS_SETTINGS_OK) {
		fprintf(stderr, "standin-planner: %s\n", msg.text);
		return 2;
	}
	cs_rng_seed(&rng, (uint64_t)cs_setting_int(settings, "seed"));
	duration_ms = (unsigned)cs_setting_int(settings, "duration-ms");
	read_list(cs_setting_text(settings, "instances"), &instances);
	read_list(cs_setting_text(settings, "servers"), &servers);
	read_zones();
	if (zones.n < 2 || servers.n == 0) {
		fprintf(stderr, "standin-planner: needs two zones and a server\n");
		return 2;
	}
	i = cs_rng_below(&rng, zones.n);
	drained = zones.item[i].name;
	replaced = zones.item[(i + 1 + cs_rng_below(&rng, zones.n - 1)) % zones.n].name;
	drain_from = between(6000, 9000);
	drain_to = duration_ms - 2000;
	replace_from = between(4000, duration_ms / 2);
	replace_to = replace_from + 16000;
	add_event("drain", drained, drain_from, drain_to);
	add_event("replace", replaced, replace_from, replace_to);
	for (i = 0; i < 3; i++) {
		at = between(3000, duration_ms - 8000);
		add_event("operators", "-", at, at + 1000);
	}
	wanted = n_faults + (unsigned)cs_setting_int(settings, "faults");
	at = cs_rng_below(&rng, KINDS);
	for (i = 0; n_faults < wanted && i < 4 * wanted; i++)
		add_fault(&kinds[i < KINDS ? (at + i) % KINDS : cs_rng_below(&rng, KINDS)]);
	print_schedule();
	cs_settings_free(settings);
	return 0;
}
