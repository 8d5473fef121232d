/* explain CLASS|REQUEST-ID: the proxies' policy state for a class, or the outcome of a request. */
#include <stdlib.h>
#include <string.h>

#include "src/ctl/fleet.h"
#include "src/ctl/request-log.h"

static char *opt_from;
static char **opt_logs;

static const GOptionEntry options[] = {
	{"from", 0, 0, G_OPTION_ARG_STRING, &opt_from, "Ask this instance only", "NAME"},
	{"logs", 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &opt_logs,
	 "Tell a request's story from logs of cassia-node (- for standard input; may be repeated)",
	 "FILE"},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static long long int_value(const json_t *obj, const char *key)
{
	return (long long)json_integer_value(json_object_get(obj, key));
}

/* Prints an object: its scalars on one line, its lists as indented lines. */
static void print_object(const json_t *obj, int indent)
{
	const char *key;
	json_t *value, *row;
	size_t i;
	char *text;

	printf("%*s", indent, "");
	json_object_foreach((json_t *)obj, key, value) {
		if (json_is_array(value) || json_is_object(value))
			continue;
		text = json_dumps(value, JSON_ENCODE_ANY | JSON_REAL_PRECISION(4));
		printf("%s=%s ", key, text);
		free(text);
	}
	puts("");
	json_object_foreach((json_t *)obj, key, value) {
		if (!json_is_array(value) || json_array_size(value) == 0)
			continue;
		printf("%*s%s:\n", indent, "", key);
		json_array_foreach(value, i, row)
			print_object(row, indent + 2);
	}
}

static void print_class(const struct ctl_instance *in, const json_t *row)
{
	printf("%s (zone %s): requests=%lld ok=%lld in_target=%lld failed=%lld p50_us=%lld "
	       "p99_us=%lld\n",
	       in->name, in->zone, int_value(row, "requests"), int_value(row, "ok"),
	       int_value(row, "in_target"), int_value(row, "failed"), int_value(row, "p50_us"),
	       int_value(row, "p99_us"));
	if (json_is_object(json_object_get(row, "policy")))
		print_object(json_object_get(row, "policy"), 2);
}

static int explain_class(struct ctl *ctl, const char *class, struct ctl_fleet *fleet)
{
	json_t *list = json_array(), *row;
	unsigned i, n = 0;

	ctl_fleet_query(ctl, FLEET_PROXY, fleet);
	for (i = 0; i < fleet->n; i++) {
		const struct ctl_instance *in = &fleet->list[i];

		if (opt_from != NULL && strcmp(opt_from, in->name) != 0)
			continue;
		row = ctl_json_find(json_object_get(in->proxy, "classes"), "class", class);
		if (row == NULL)
			continue;
		n++;
		json_array_append_new(list, json_pack("{s:s, s:s, s:O}", "instance", in->name,
						      "zone", in->zone, "class", row));
		if (!ctl->json)
			print_class(in, row);
	}
	if (ctl->json)
		ctl_print_json(json_incref(list));
	else if (n == 0)
		ctl_error(ctl, "no proxy returned data for class %s", class);
	json_decref(list);
	return n > 0 ? CTL_OK : CTL_FAILURE;
}

/* Queries every proxy for the outcome of a request; outcomes are kept for 60 s. */
static int explain_request(struct ctl *ctl, const char *id, struct ctl_fleet *fleet)
{
	struct ctl_fetch *f = cs_xcalloc(fleet->n, sizeof(*f));
	char *esc = g_uri_escape_string(id, NULL, FALSE);
	char *path = cs_xasprintf("/_cassia/v1/request?id=%s", esc);
	json_t *list = json_array(), *doc;
	unsigned i, n = 0, unresponsive = 0;

	for (i = 0; i < fleet->n; i++) {
		f[i].url = ctl_url(&fleet->list[i], fleet->list[i].proxy_port, path);
		f[i].arg = &fleet->list[i];
	}
	ctl_fetch_all(ctl, f, fleet->n);
	for (i = 0; i < fleet->n; i++) {
		const struct ctl_instance *in = f[i].arg;

		unresponsive += f[i].status == 0;
		doc = f[i].status == 200 ? json_loads(f[i].body, 0, NULL) : NULL;
		if (!json_is_object(doc)) {
			json_decref(doc);
			continue;
		}
		n++;
		if (!ctl->json) {
			printf("%s (zone %s):\n", in->name, in->zone);
			print_object(doc, 2);
		}
		json_object_set_new(doc, "instance", json_string(in->name));
		json_array_append_new(list, doc);
	}
	if (ctl->json)
		ctl_print_json(json_incref(list));
	else if (n == 0)
		ctl_error(ctl,
			  "\"%s\" is not a class, and no proxy knows a request with this id "
			  "(outcomes are kept for 60 s; %u of %u proxies did not respond)",
			  id, unresponsive, fleet->n);
	json_decref(list);
	ctl_fetch_free(f, fleet->n);
	g_free(esc);
	free(path);
	return n > 0 ? CTL_OK : CTL_FAILURE;
}

static int run(struct ctl *ctl, int argc, char **argv)
{
	struct ctl_fleet fleet = {0};
	struct ctl_doc doc = {0};
	int rc;

	if (opt_logs != NULL)
		return request_log_explain(ctl, argv[0], opt_logs);
	rc = ctl_doc_load(ctl, &doc);
	if (rc == CTL_OK)
		rc = ctl_fleet_load(ctl, 0, &fleet);
	if (rc == CTL_OK && cs_config_class(doc.cfg, argv[0]) >= 0)
		rc = explain_class(ctl, argv[0], &fleet);
	else if (rc == CTL_OK)
		rc = explain_request(ctl, argv[0], &fleet);
	ctl_fleet_free(&fleet);
	ctl_doc_free(&doc);
	return rc;
}

const struct cmd cmd_explain = {
	.name = "explain",
	.args = "CLASS|REQUEST-ID",
	.summary = "Show why proxies decide as they do for a class, or the outcome of a request",
	.examples = "  cassiactl explain bookings\n"
		    "  cassiactl explain bookings --from lom-brescia-1 --json\n"
		    "  cassiactl explain 7f3c0a (the X-Request-Id of an answer)\n"
		    "  cassiactl explain 36d4aa0494c81ce9 --logs front-1.log --logs front-2.log",
	.options = options,
	.min_args = 1,
	.max_args = 1,
	.run = run,
};
