/* keys: all keys of the configuration document with type, unit, range and default. */
#include <stdlib.h>

#include "src/ctl/ctl.h"

static gboolean opt_markdown;

static const GOptionEntry options[] = {
	{"markdown", 0, 0, G_OPTION_ARG_NONE, &opt_markdown,
	 "Print tables for docs/configuration.md", NULL},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static const char *const kind_names[] = {"name",
					 "text",
					 "time",
					 "boolean",
					 "integer",
					 "number",
					 "list of objects",
					 "list of strings",
					 "object"};

static bool is_number(const struct cs_config_key *k)
{
	return k->kind == CS_KEY_INT || k->kind == CS_KEY_REAL;
}

/* Range or format of the allowed values. */
static void allowed_text(const struct cs_config_key *k, struct cs_msg *out)
{
	switch (k->kind) {
	case CS_KEY_NAME:
		cs_msg_set(out, "1 to %d of A-Z a-z 0-9 . _ -", CS_NAME_MAX - 1);
		break;
	case CS_KEY_TEXT:
		cs_msg_set(out, "at most %.0f", k->max);
		break;
	case CS_KEY_TIME:
		cs_msg_set(out, "UTC as 2026-12-06T20:00:00Z");
		break;
	case CS_KEY_BOOL:
		cs_msg_set(out, "true or false");
		break;
	case CS_KEY_INT:
	case CS_KEY_REAL:
		cs_msg_set(out, "%.15g to %.15g", k->min, k->max);
		break;
	case CS_KEY_LIST:
	case CS_KEY_STRINGS:
		cs_msg_set(out, "%.0f to %.0f entries", k->min, k->max);
		break;
	case CS_KEY_OBJECT:
		cs_msg_set(out, "-");
		break;
	}
}

static void default_text(const struct cs_config_key *k, struct cs_msg *out)
{
	if (k->required)
		cs_msg_set(out, "required");
	else if (k->kind == CS_KEY_BOOL)
		cs_msg_set(out, "%s", k->def != 0 ? "true" : "false");
	else if (is_number(k))
		cs_msg_set(out, "%.15g", k->def);
	else
		cs_msg_set(out, "absent");
}

static void print_markdown(const struct cs_config_section *s)
{
	struct cs_msg range, def;
	unsigned i;

	printf("### %s\n\n| key | kind | allowed | unit | default | meaning |\n"
	       "|---|---|---|---|---|---|\n",
	       s->path[0] ? s->path : "document");
	for (i = 0; i < s->n; i++) {
		const struct cs_config_key *k = &s->keys[i];

		allowed_text(k, &range);
		default_text(k, &def);
		printf("| `%s` | %s | %s | %s | %s | %s |\n", k->name, kind_names[k->kind],
		       range.text, k->unit, def.text, k->help);
	}
	puts("");
}

static void add_rows(struct ctl_table *t, json_t *list, const struct cs_config_section *s)
{
	struct cs_msg range, def;
	unsigned i;

	for (i = 0; i < s->n; i++) {
		const struct cs_config_key *k = &s->keys[i];

		allowed_text(k, &range);
		default_text(k, &def);
		json_array_append_new(list,
				      json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:s}", "section",
						s->path, "key", k->name, "kind",
						kind_names[k->kind], "allowed", range.text, "unit",
						k->unit, "default", def.text, "meaning", k->help));
		ctl_table_add(t, "%s%s%s", s->path, s->path[0] ? "." : "", k->name);
		ctl_table_add(t, "%s", kind_names[k->kind]);
		ctl_table_add(t, "%s%s%s", range.text, k->unit[0] ? " " : "", k->unit);
		ctl_table_add(t, "%s", def.text);
		ctl_table_add(t, "%s", k->help);
	}
}

static int run(struct ctl *ctl, int argc, char **argv)
{
	const struct cs_config_section *sections;
	struct ctl_table *t;
	json_t *list;
	unsigned n, i;

	sections = cs_config_sections(&n);
	if (opt_markdown) {
		for (i = 0; i < n; i++)
			print_markdown(&sections[i]);
		return CTL_OK;
	}
	t = ctl_table_create("KEY|KIND|ALLOWED|DEFAULT|MEANING");
	list = json_array();
	for (i = 0; i < n; i++)
		add_rows(t, list, &sections[i]);
	if (ctl->json)
		ctl_print_json(json_incref(list));
	ctl_table_finish(t, !ctl->json);
	json_decref(list);
	return CTL_OK;
}

const struct cmd cmd_keys = {
	.name = "keys",
	.args = "",
	.summary = "Show every key of the configuration with unit, range and default",
	.examples = "  cassiactl keys\n  cassiactl keys --json",
	.options = options,
	.run = run,
};
