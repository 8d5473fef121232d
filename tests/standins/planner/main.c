/*
 * standin-planner: generates a random fault schedule. The same seed and topology give the same
 * schedule. The output has one line for each action, sorted by time:
 *   AT_MS begin|end ID KIND TARGET ZONE EXCUSES
 * EXCUSES lists the checker rules whose violation the fault may explain (cap, stop, config), or is
 * "-". Faults of one target never overlap. A fault that excuses the cap rule is not placed in the
 * drained zone during the drain or in the replaced zone during the replacement, because the checker
 * could not decide the cap and stop rules there. Faults of the replaced zone and of its instances
 * are not placed during the replacement either.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/base.h"

#define FAULTS_MAX 64
#define TARGETS_MAX 64
#define NAME_SIZE 48
#define SETTLE_MS 1500 /* minimum time between two faults of one target */
#define PLACEMENT_TRIES 200

enum target_kind { TARGET_INSTANCE, TARGET_ZONE, TARGET_SERVER, TARGET_STORE, TARGET_REPORTS };

struct fault_kind {
	const char *name;
	enum target_kind target;
	unsigned min_ms, max_ms;
	const char *excuses;
};

/* main() tries to place each kind once, then kinds chosen at random. */
static const struct fault_kind fault_kinds[] = {
	{"kill-proxyd", TARGET_INSTANCE, 800, 2500, "cap,stop,config"},
	{"kill-agentd", TARGET_INSTANCE, 800, 2500, "config"},
	{"kill-lookupd", TARGET_INSTANCE, 800, 2500, "config"},
	{"stop-proxyd", TARGET_INSTANCE, 1000, 3000, "cap,stop,config"},
	{"stop-agentd", TARGET_INSTANCE, 1000, 4000, "config"},
	{"stop-lookupd", TARGET_INSTANCE, 1000, 3000, "config"},
	{"kill-instance", TARGET_INSTANCE, 1500, 3000, "cap,stop,config"},
	{"cut-zone", TARGET_ZONE, 1000, 3000, "cap,stop,config"},
	{"hole-zone", TARGET_ZONE, 1000, 3000, "cap,stop,config"},
	{"hole-store", TARGET_ZONE, 1500, 4000, "config"},
	{"store-refuse", TARGET_STORE, 1500, 4000, "config"},
	{"store-hang", TARGET_STORE, 1500, 3000, "config"},
	{"store-slow", TARGET_STORE, 2000, 4000, "config"},
	{"store-lose", TARGET_STORE, 1000, 2000, "-"},
	{"store-stale", TARGET_STORE, 1500, 3000, "config"},
	{"reports-missing", TARGET_REPORTS, 2000, 5000, "-"},
	{"reports-false", TARGET_REPORTS, 2000, 5000, "-"},
	{"server-slow", TARGET_SERVER, 2000, 4000, "cap"},
	{"server-down", TARGET_SERVER, 1000, 3000, "cap,stop"},
	{"server-refuse", TARGET_SERVER, 1000, 3000, "cap"},
	{"server-cold", TARGET_SERVER, 1000, 2000, "cap"},
	{"server-truncate", TARGET_SERVER, 1000, 3000, "cap,stop"},
	{"server-late", TARGET_SERVER, 1000, 3000, "cap"},
	{"server-leave", TARGET_SERVER, 5000, 7000, "cap"},
};
#define N_FAULT_KINDS (sizeof(fault_kinds) / sizeof(fault_kinds[0]))

struct target {
	char name[NAME_SIZE], zone[NAME_SIZE];
};

struct target_list {
	struct target targets[TARGETS_MAX];
	unsigned n;
};

struct fault {
	unsigned from_ms, to_ms;
	const struct fault_kind *kind;
	const char *name, *target, *zone, *excuses;
};

static struct cs_setting settings[] = {
	{.name = "seed",
	 .kind = CS_SET_INT,
	 .def = "1",
	 .min = 0,
	 .max = INT32_MAX,
	 .unit = "",
	 .help = "seed of the random schedule"},
	{.name = "faults",
	 .kind = CS_SET_INT,
	 .def = "20",
	 .min = 1,
	 .max = FAULTS_MAX - 8,
	 .unit = "",
	 .help = "number of faults, without operator actions, drain and replacement"},
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
static struct target_list instances, servers, zones;
static const char *drained_zone, *replaced_zone;
static unsigned drain_from_ms, drain_to_ms, replace_from_ms, replace_to_ms;

static void parse_targets(const char *text, struct target_list *l)
{
	char *copy = cs_xstrdup(text), *save = NULL, *entry, *colon;

	for (entry = strtok_r(copy, ",", &save); entry != NULL && l->n < TARGETS_MAX;
	     entry = strtok_r(NULL, ",", &save)) {
		colon = strchr(entry, ':');
		if (colon != NULL)
			*colon++ = '\0';
		cs_copy(l->targets[l->n].name, NAME_SIZE, entry);
		cs_copy(l->targets[l->n].zone, NAME_SIZE, colon ? colon : "");
		l->n++;
	}
	free(copy);
}

static void collect_zones(void)
{
	unsigned i, j;

	for (i = 0; i < instances.n; i++) {
		for (j = 0; j < zones.n; j++)
			if (strcmp(zones.targets[j].name, instances.targets[i].zone) == 0)
				break;
		if (j < zones.n || zones.n == TARGETS_MAX)
			continue;
		cs_copy(zones.targets[zones.n].name, NAME_SIZE, instances.targets[i].zone);
		cs_copy(zones.targets[zones.n].zone, NAME_SIZE, instances.targets[i].zone);
		zones.n++;
	}
}

static unsigned random_between(unsigned min, unsigned max)
{
	return min + cs_rng_below(&rng, max - min + 1);
}

static void choose_target(struct fault *f)
{
	static const struct target store = {"store", "-"}, reports = {"all", "-"};
	const struct target *t = &store;

	switch (f->kind->target) {
	case TARGET_INSTANCE:
		t = &instances.targets[cs_rng_below(&rng, instances.n)];
		break;
	case TARGET_ZONE:
		t = &zones.targets[cs_rng_below(&rng, zones.n)];
		break;
	case TARGET_SERVER:
		t = &servers.targets[cs_rng_below(&rng, servers.n)];
		break;
	case TARGET_REPORTS:
		t = &reports;
		break;
	case TARGET_STORE:
		break;
	}
	f->target = t->name;
	f->zone = t->zone;
}

static bool overlaps(unsigned from, unsigned to, unsigned from2, unsigned to2)
{
	return from < to2 && from2 < to;
}

/* Whether a fault is compatible with the events and faults already in the schedule. */
static bool fault_allowed(const struct fault *f)
{
	bool affects_cap = strstr(f->excuses, "cap") != NULL;
	bool affects_instance = f->kind->target == TARGET_INSTANCE ||
				f->kind->target == TARGET_ZONE;
	const struct fault *g;
	unsigned i;

	if (affects_cap && strcmp(f->zone, drained_zone) == 0 &&
	    overlaps(f->from_ms, f->to_ms + SETTLE_MS, drain_from_ms, drain_to_ms))
		return false;
	if ((affects_instance || affects_cap) && strcmp(f->zone, replaced_zone) == 0 &&
	    overlaps(f->from_ms, f->to_ms + SETTLE_MS, replace_from_ms, replace_to_ms))
		return false;
	/* The drain must be stored early enough to be completed by its deadline. */
	if ((f->kind->target == TARGET_STORE || strcmp(f->name, "hole-store") == 0) &&
	    overlaps(f->from_ms, f->to_ms, drain_from_ms - 500, drain_from_ms + 2000))
		return false;
	for (i = 0; i < n_faults; i++) {
		g = &faults[i];
		if (strcmp(g->target, f->target) == 0 && g->kind->target == f->kind->target &&
		    overlaps(f->from_ms, f->to_ms + SETTLE_MS, g->from_ms, g->to_ms + SETTLE_MS))
			return false;
	}
	return true;
}

/* Adds a fault of a kind at a random target and time; none if no compatible one is found. */
static void add_fault(const struct fault_kind *k)
{
	struct fault f = {.kind = k, .name = k->name, .excuses = k->excuses};
	unsigned tries;

	for (tries = 0; tries < PLACEMENT_TRIES; tries++) {
		choose_target(&f);
		f.from_ms = random_between(2000, duration_ms - 8000);
		f.to_ms = f.from_ms + random_between(k->min_ms, k->max_ms);
		if (!fault_allowed(&f))
			continue;
		faults[n_faults++] = f;
		return;
	}
}

static void add_event(const char *name, const char *target, unsigned from, unsigned to)
{
	static const struct fault_kind event = {"event", TARGET_REPORTS, 0, 0, "-"};

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
	unsigned i, n_wanted, start;
	struct cs_msg msg;

	if (cs_settings_load(settings, "Random fault schedules for tests", &argc, &argv, &msg) !=
	    CS_SETTINGS_OK) {
		fprintf(stderr, "standin-planner: %s\n", msg.text);
		return 2;
	}
	cs_rng_seed(&rng, (uint64_t)cs_setting_int(settings, "seed"));
	duration_ms = (unsigned)cs_setting_int(settings, "duration-ms");
	parse_targets(cs_setting_text(settings, "instances"), &instances);
	parse_targets(cs_setting_text(settings, "servers"), &servers);
	collect_zones();
	if (zones.n < 2 || servers.n == 0) {
		fprintf(stderr,
			"standin-planner: the topology needs at least two zones and one server\n");
		return 2;
	}
	i = cs_rng_below(&rng, zones.n);
	drained_zone = zones.targets[i].name;
	replaced_zone = zones.targets[(i + 1 + cs_rng_below(&rng, zones.n - 1)) % zones.n].name;
	drain_from_ms = random_between(6000, 9000);
	drain_to_ms = duration_ms - 2000;
	replace_from_ms = random_between(4000, duration_ms / 2);
	replace_to_ms = replace_from_ms + 16000;
	add_event("drain", drained_zone, drain_from_ms, drain_to_ms);
	add_event("replace", replaced_zone, replace_from_ms, replace_to_ms);
	for (i = 0; i < 3; i++) {
		start = random_between(3000, duration_ms - 8000);
		add_event("operators", "-", start, start + 1000);
	}
	n_wanted = n_faults + (unsigned)cs_setting_int(settings, "faults");
	start = cs_rng_below(&rng, N_FAULT_KINDS);
	for (i = 0; n_faults < n_wanted && i < 4 * n_wanted; i++)
		add_fault(&fault_kinds[i < N_FAULT_KINDS ? (start + i) % N_FAULT_KINDS
							 : cs_rng_below(&rng, N_FAULT_KINDS)]);
	print_schedule();
	cs_settings_free(settings);
	return 0;
}
