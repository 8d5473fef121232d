/* locate CLASS ADDRESS: the instances that a lookup returns to a client, and why. */
#include <stdlib.h>
#include <string.h>

#include "src/ctl/fleet.h"

/* Largest number of instances of each zone to query, one after the other, until one responds. */
#define ROUNDS_MAX 3

static char *opt_from;

static const GOptionEntry options[] = {
	{"from", 0, 0, G_OPTION_ARG_STRING, &opt_from, "Ask this instance only", "NAME"},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static void print_response(const json_t *doc)
{
	const char *zone = json_string_value(json_object_get(doc, "caller_zone"));
	const char *block = json_string_value(json_object_get(doc, "block"));
	struct ctl_table *t;
	json_t *e;
	size_t i;

	if (zone != NULL)
		printf("caller is nearest to zone %s by block %s", zone, block ? block : "-");
	else
		printf("no block holds the caller's address");
	printf("; revision %lld, kept for %lld ms, told by %s\n",
	       (long long)json_integer_value(json_object_get(doc, "revision")),
	       (long long)json_integer_value(json_object_get(doc, "ttl_ms")),
	       json_string_value(json_object_get(doc, "told_by")));
	if (json_array_size(json_object_get(doc, "entries")) == 0) {
		puts("no entry instance is usable");
		return;
	}
	t = ctl_table_create("ORDER|INSTANCE|ZONE|ADDRESS|STATE|REASON");
	json_array_foreach(json_object_get(doc, "entries"), i, e) {
		const char *reason = json_string_value(json_object_get(e, "reason"));

		ctl_table_add(t, "%zu", i + 1);
		ctl_table_add(t, "%s", json_string_value(json_object_get(e, "instance")));
		ctl_table_add(t, "%s", json_string_value(json_object_get(e, "zone")));
		ctl_table_add(t, "%s:%lld", json_string_value(json_object_get(e, "address")),
			      (long long)json_integer_value(json_object_get(e, "port")));
		ctl_table_add(t, "%s", json_string_value(json_object_get(e, "state")));
		ctl_table_add(t, "%s", reason ? reason : "");
	}
	ctl_table_print(t);
}

/* Prints the message of an error response, or its whole body if it has none. */
static void print_error(struct ctl *ctl, const struct ctl_fetch *f)
{
	json_t *doc = json_loads(f->body, 0, NULL);
	const char *text = json_string_value(json_object_get(doc, "message"));

	ctl_error(ctl, "%s", text != NULL ? text : f->body);
	json_decref(doc);
}

/* Prints a response and returns the exit code; -1 if it is neither a result nor an error. */
static int handle_response(struct ctl *ctl, const struct ctl_fetch *f)
{
	json_t *doc;
	int rc;

	if (f->status == 400 || f->status == 404) {
		print_error(ctl, f);
		return CTL_FAILURE;
	}
	if (f->status != 200)
		return -1;
	doc = json_loads(f->body, 0, NULL);
	rc = json_array_size(json_object_get(doc, "entries")) > 0 ? CTL_OK : CTL_FAILURE;
	if (ctl->json)
		ctl_print_json(json_incref(doc));
	else
		print_response(doc);
	json_decref(doc);
	return rc;
}

/* True for the instances of a round: the round-th of each zone, or the one given by --from. */
static bool in_round(const struct ctl_fleet *fleet, unsigned i, unsigned round)
{
	unsigned before = 0;

	if (opt_from != NULL)
		return round == 0 && strcmp(opt_from, fleet->list[i].name) == 0;
	while (before < i && strcmp(fleet->list[i - before - 1].zone, fleet->list[i].zone) == 0)
		before++;
	return before == round;
}

/* Queries the instances of a round in parallel; -1 if none responds. */
static int query_round(struct ctl *ctl, const struct ctl_fleet *fleet, unsigned round,
		       const char *path)
{
	struct ctl_fetch *f = cs_xcalloc(fleet->n, sizeof(*f));
	unsigned i, n = 0;
	int rc = -1;

	for (i = 0; i < fleet->n; i++) {
		if (in_round(fleet, i, round))
			f[n++].url = ctl_url(&fleet->list[i], fleet->list[i].lookup_port, path);
	}
	ctl_fetch_all(ctl, f, n);
	for (i = 0; i < n && rc < 0; i++)
		rc = handle_response(ctl, &f[i]);
	ctl_fetch_free(f, n);
	return rc;
}

static int run(struct ctl *ctl, int argc, char **argv)
{
	char *class = g_uri_escape_string(argv[0], NULL, FALSE);
	char *addr = g_uri_escape_string(argv[1], NULL, FALSE);
	char *path = cs_xasprintf("/v1/locate?class=%s&addr=%s", class, addr);
	struct ctl_fleet fleet;
	int rc, result = -1;
	unsigned round;

	rc = ctl_fleet_load(ctl, 0, &fleet);
	for (round = 0; rc == CTL_OK && result < 0 && round < ROUNDS_MAX; round++)
		result = query_round(ctl, &fleet, round, path);
	if (rc == CTL_OK && result < 0) {
		ctl_error(ctl, "no response from a lookup daemon%s%s", opt_from ? " at " : "",
			  opt_from ? opt_from : "");
		rc = CTL_FAILURE;
	} else if (rc == CTL_OK) {
		rc = result;
	}
	ctl_fleet_free(&fleet);
	g_free(class);
	g_free(addr);
	free(path);
	return rc;
}

const struct cmd cmd_locate = {
	.name = "locate",
	.args = "CLASS ADDRESS",
	.summary = "Show which entry instances a caller is told to use, and why",
	.examples = "  cassiactl locate bookings 10.1.7.20\n"
		    "  cassiactl locate bookings 10.1.7.20 --from ven-padova-1",
	.options = options,
	.min_args = 2,
	.max_args = 2,
	.run = run,
};
