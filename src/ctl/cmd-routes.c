/* routes: the routes of the document in the store of the users' platform. */
#include <string.h>

#include "src/ctl/platform.h"

static char *opt_host;

static const GOptionEntry options[] = {
	{"host", 0, 0, G_OPTION_ARG_STRING, &opt_host, "Only routes of a host", "NAME"},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static const char *repeat_name(enum cs_repeat r)
{
	switch (r) {
	case CS_REPEAT_SAFE:
		return "may repeat";
	case CS_REPEAT_ONCE:
		return "once";
	case CS_REPEAT_UPLOAD:
		return "once, large body";
	case CS_REPEAT_DOWNLOAD:
		return "may repeat, large response";
	}
	return "";
}

/* Services of the traffic split with their shares in percent; free with g_free(). */
static char *split_text(const struct cs_route *r)
{
	GString *s = g_string_new("");
	double sum = 0;
	unsigned i;

	for (i = 0; i < r->n_parts; i++)
		sum += r->parts[i].weight;
	for (i = 0; i < r->n_parts; i++) {
		g_string_append_printf(s, "%s%s", i > 0 ? ", " : "", r->parts[i].service);
		if (r->n_parts > 1)
			g_string_append_printf(s, " %.0f%%", 100 * r->parts[i].weight / sum);
	}
	return g_string_free(s, FALSE);
}

static char *homes_text(const struct cs_route *r)
{
	GString *s = g_string_new(r->n_home_regions > 0 ? "" : "any");
	unsigned i;

	for (i = 0; i < r->n_home_regions; i++)
		g_string_append_printf(s, "%s%s", i > 0 ? ", " : "", r->home_regions[i]);
	return g_string_free(s, FALSE);
}

static void add_row(struct ctl_table *t, json_t *list, const struct cs_route *r)
{
	char *parts = split_text(r), *homes = homes_text(r);

	json_array_append_new(
		list,
		json_pack("{s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:i, s:s, s:b}", "route",
			  r->name, "host", r->host, "prefix", r->prefix, "services", parts,
			  "repeat", repeat_name(r->repeat), "priority", (int)r->priority,
			  "target_ms", (int)r->target_ms, "timeout_ms", (int)r->timeout_ms,
			  "attempts", (int)r->max_attempts, "homes", homes, "sticky", r->sticky));
	ctl_table_add(t, "%s", r->name);
	ctl_table_add(t, "%s%s", r->host, r->prefix);
	ctl_table_add(t, "%s", parts);
	ctl_table_add(t, "%s", repeat_name(r->repeat));
	ctl_table_add(t, "%u", r->priority);
	ctl_table_add(t, "%u ms", r->target_ms);
	ctl_table_add(t, "%u ms", r->timeout_ms);
	ctl_table_add(t, "%u", r->max_attempts);
	ctl_table_add(t, "%s", homes);
	g_free(parts);
	g_free(homes);
}

static int run(struct ctl *ctl, int argc, char **argv)
{
	struct ctl_platform p = {0};
	const struct cs_route *r;
	struct ctl_table *t;
	json_t *list;
	unsigned i;
	int rc = CTL_USAGE;

	if (ctl->platform == NULL) {
		ctl_error(ctl, "--platform or CASSIA_PLATFORM is required: routes are read from "
			       "the platform's store");
		goto out;
	}
	rc = ctl_platform_load(ctl, &p);
	if (rc != CTL_OK)
		goto out;
	t = ctl_table_create(
		"ROUTE|HOST AND PREFIX|SERVICES|RUNS|PRIORITY|TARGET|TIMEOUT|ATTEMPTS|HOMES");
	list = json_array();
	for (i = 0; p.doc != NULL && i < p.doc->n_routes; i++) {
		r = &p.doc->routes[i];
		if (opt_host == NULL || strcmp(opt_host, r->host) == 0)
			add_row(t, list, r);
	}
	if (ctl->json)
		ctl_print_json(json_incref(list));
	ctl_table_finish(t, !ctl->json);
	json_decref(list);
out:
	ctl_platform_free(&p);
	return rc;
}

const struct cmd cmd_routes = {
	.name = "routes",
	.args = "",
	.summary = "Show the routes of the document on the users' platform",
	.examples = "  cassiactl routes --platform 10.200.1.7:8142\n"
		    "  cassiactl routes --host ficu95.example --json",
	.options = options,
	.run = run,
};
