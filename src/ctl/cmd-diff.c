/* diff FILE: differences between a file and the document in the store. */
#include <stdlib.h>
#include <string.h>

#include "src/ctl/ctl.h"

struct diff {
	json_t *rows; /* array of {path, before, after} */
};

static void compare(struct diff *d, const char *path, const json_t *before, const json_t *after);

static void add_row(struct diff *d, const char *path, const json_t *before, const json_t *after)
{
	json_t *x = before != NULL ? json_deep_copy(before) : json_null();
	json_t *y = after != NULL ? json_deep_copy(after) : json_null();

	json_array_append_new(d->rows,
			      json_pack("{s:s, s:o, s:o}", "path", path, "before", x, "after", y));
}

static void compare_objects(struct diff *d, const char *path, const json_t *before,
			    const json_t *after)
{
	const char *key;
	json_t *value;
	char *sub;

	json_object_foreach((json_t *)before, key, value) {
		sub = cs_xasprintf("%s%s%s", path, *path ? "." : "", key);
		compare(d, sub, value, json_object_get(after, key));
		free(sub);
	}
	json_object_foreach((json_t *)after, key, value) {
		if (json_object_get(before, key) != NULL)
			continue;
		sub = cs_xasprintf("%s%s%s", path, *path ? "." : "", key);
		compare(d, sub, NULL, value);
		free(sub);
	}
}

/* Name that identifies an entry of a list: the value of "name", else of "id". */
static const char *entry_name(const json_t *entry, const char **key)
{
	*key = "name";
	if (json_object_get(entry, "name") == NULL)
		*key = "id";
	return json_string_value(json_object_get(entry, *key));
}

static void compare_lists(struct diff *d, const char *path, const json_t *before,
			  const json_t *after)
{
	const char *key, *name;
	json_t *entry;
	char *sub;
	size_t i;

	json_array_foreach(before, i, entry) {
		name = entry_name(entry, &key);
		sub = cs_xasprintf("%s[%s]", path, name);
		compare(d, sub, entry, ctl_json_find(after, key, name));
		free(sub);
	}
	json_array_foreach(after, i, entry) {
		name = entry_name(entry, &key);
		if (ctl_json_find(before, key, name) != NULL)
			continue;
		sub = cs_xasprintf("%s[%s]", path, name);
		compare(d, sub, NULL, entry);
		free(sub);
	}
}

static bool is_object_list(const json_t *v)
{
	return json_is_array(v) && json_is_object(json_array_get(v, 0));
}

static void compare(struct diff *d, const char *path, const json_t *before, const json_t *after)
{
	if (before != NULL && after != NULL && json_equal(before, after))
		return;
	if (json_is_object(before) && json_is_object(after))
		compare_objects(d, path, before, after);
	else if (is_object_list(before) && json_is_array(after))
		compare_lists(d, path, before, after);
	else
		add_row(d, path, before, after);
}

static void print_rows(const struct diff *d)
{
	json_t *row;
	size_t i;

	json_array_foreach(d->rows, i, row) {
		json_t *x = json_object_get(row, "before"), *y = json_object_get(row, "after");
		size_t flags = JSON_ENCODE_ANY | JSON_COMPACT | JSON_REAL_PRECISION(15);
		char *before = json_dumps(x, flags), *after = json_dumps(y, flags);
		const char *path = json_string_value(json_object_get(row, "path"));

		if (json_is_null(x))
			printf("+ %s: %s\n", path, after);
		else if (json_is_null(y))
			printf("- %s: %s\n", path, before);
		else
			printf("~ %s: %s -> %s\n", path, before, after);
		free(before);
		free(after);
	}
	if (json_array_size(d->rows) == 0)
		puts("no difference");
}

static int run(struct ctl *ctl, int argc, char **argv)
{
	struct diff d = {.rows = json_array()};
	struct cs_config *cfg = NULL;
	struct ctl_doc doc = {0};
	json_t *file = NULL;
	GError *err = NULL;
	struct cs_msg msg;
	char *text = NULL;
	int rc;
	gsize len;

	rc = ctl_doc_load(ctl, &doc);
	if (rc != CTL_OK)
		goto out;
	rc = CTL_FAILURE;
	if (!g_file_get_contents(strcmp(argv[0], "-") ? argv[0] : "/dev/stdin", &text, &len,
				 &err)) {
		ctl_error(ctl, "%s", err->message);
		g_error_free(err);
		goto out;
	}
	cfg = cs_config_parse(text, len, &msg);
	if (cfg == NULL) {
		ctl_error(ctl, "%s: %s", argv[0], msg.text);
		rc = CTL_REJECTED;
		goto out;
	}
	file = json_loadb(text, len, 0, NULL);
	json_object_del(file, "changes");
	json_object_del(doc.json, "changes");
	compare(&d, "", doc.json, file);
	if (ctl->json)
		ctl_print_json(json_incref(d.rows));
	else
		print_rows(&d);
	rc = CTL_OK;
out:
	cs_config_unref(cfg);
	json_decref(file);
	json_decref(d.rows);
	g_free(text);
	ctl_doc_free(&doc);
	return rc;
}

const struct cmd cmd_diff = {
	.name = "diff",
	.args = "FILE",
	.summary = "Check a file and show how it differs from the configuration",
	.examples = "  cassiactl diff config.json\n  cassiactl diff config.json --json",
	.min_args = 1,
	.max_args = 1,
	.run = run,
};
