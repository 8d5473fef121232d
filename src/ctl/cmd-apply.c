/* apply FILE: replaces the document, unless it has changed since the revision in the file. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "src/ctl/change.h"

static char *opt_text;

static const GOptionEntry options[] = {
	{"text", 0, 0, G_OPTION_ARG_STRING, &opt_text, "Reason for the history", "TEXT"},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

struct apply {
	const char *path;
	json_t *json;
	struct cs_config *cfg;
};

/* True if both documents are equal except for revision and changes. */
static bool same_content(const json_t *a, const json_t *b)
{
	json_t *x = json_deep_copy(a), *y = json_deep_copy(b);
	bool same;

	json_object_del(x, "revision");
	json_object_del(x, "changes");
	json_object_del(y, "revision");
	json_object_del(y, "changes");
	same = json_equal(x, y);
	json_decref(x);
	json_decref(y);
	return same;
}

static bool edit(struct ctl *ctl, json_t *doc, const struct cs_config *cfg, void *arg,
		 struct ctl_change *change, struct cs_msg *reason)
{
	struct apply *a = arg;
	json_t *changes;

	if (cfg != NULL && same_content(doc, a->json)) {
		change->no_change = true;
		return true;
	}
	if (cfg != NULL && a->cfg->revision < cfg->revision) {
		change->conflict = true;
		change->base_revision = a->cfg->revision;
		return true;
	}
	if (cfg != NULL && a->cfg->revision > cfg->revision) {
		cs_msg_set(reason,
			   "%s: revision: %" PRIu64 " is not allowed; allowed: the document's "
			   "revision %" PRIu64 " (cassiactl show prints it)",
			   a->path, a->cfg->revision, cfg->revision);
		return false;
	}
	changes = json_incref(json_object_get(cfg != NULL ? doc : a->json, "changes"));
	json_object_clear(doc);
	json_object_update(doc, a->json);
	json_object_del(doc, "changes");
	if (changes != NULL)
		json_object_set_new(doc, "changes", json_deep_copy(changes));
	json_decref(changes);
	return true;
}

static bool read_file(struct ctl *ctl, const char *path, char **text, size_t *len)
{
	GError *err = NULL;

	if (g_file_get_contents(strcmp(path, "-") == 0 ? "/dev/stdin" : path, text, len, &err))
		return true;
	ctl_error(ctl, "%s", err->message);
	g_error_free(err);
	return false;
}

static int run(struct ctl *ctl, int argc, char **argv)
{
	struct apply a = {.path = argv[0]};
	struct ctl_change change = {.edit = edit, .may_create = true, .arg = &a};
	char *text = NULL;
	struct cs_msg msg;
	size_t len;
	int rc = CTL_FAILURE;

	if (!read_file(ctl, a.path, &text, &len))
		return CTL_FAILURE;
	a.cfg = cs_config_parse(text, len, &msg);
	if (a.cfg == NULL) {
		if (ctl->json)
			ctl_print_json(
				json_pack("{s:s, s:s}", "result", "rejected", "reason", msg.text));
		else
			fprintf(stderr, "cassiactl: rejected: %s: %s\n", a.path, msg.text);
		rc = CTL_REJECTED;
		goto out;
	}
	a.json = json_loadb(text, len, 0, NULL);
	cs_copy(change.text, sizeof(change.text), opt_text != NULL ? opt_text : "apply");
	rc = ctl_change_run(ctl, &change);
out:
	json_decref(a.json);
	cs_config_unref(a.cfg);
	g_free(text);
	return rc;
}

const struct cmd cmd_apply = {
	.name = "apply",
	.args = "FILE",
	.summary = "Replace the configuration by a file that was taken from the present revision",
	.examples = "  cassiactl show > config.json; edit it; cassiactl diff config.json\n"
		    "  cassiactl apply config.json --text 'raise headroom for the weekend'\n"
		    "  cassiactl apply - < config.json",
	.options = options,
	.min_args = 1,
	.max_args = 1,
	.run = run,
};
