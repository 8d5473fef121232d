/* history: the last changes of the configuration, newest first. */
#include <inttypes.h>
#include <stdlib.h>

#include "src/ctl/ctl.h"

static json_t *to_json(const struct cs_config *cfg)
{
	json_t *list = json_array();
	char at[CS_TIME_MAX];
	unsigned i;

	for (i = cfg->n_changes; i-- > 0;) {
		const struct cs_change *c = &cfg->changes[i];

		cs_time_format(c->at_ms, at);
		json_array_append_new(list, json_pack("{s:I, s:s, s:s, s:s, s:s}", "revision",
						      (json_int_t)c->revision, "at", at, "by",
						      c->by, "text", c->text, "id", c->id));
	}
	return list;
}

static int run(struct ctl *ctl, int argc, char **argv)
{
	struct ctl_table *t;
	struct ctl_doc doc;
	int rc = ctl_doc_load(ctl, &doc);
	char at[CS_TIME_MAX];
	unsigned i;

	if (rc != CTL_OK)
		return rc;
	if (ctl->json) {
		ctl_print_json(to_json(doc.cfg));
		ctl_doc_free(&doc);
		return CTL_OK;
	}
	t = ctl_table_create("REVISION|AT|BY|CHANGE|TEXT");
	for (i = doc.cfg->n_changes; i-- > 0;) {
		const struct cs_change *c = &doc.cfg->changes[i];

		cs_time_format(c->at_ms, at);
		ctl_table_add(t, "%" PRIu64, c->revision);
		ctl_table_add(t, "%s", at);
		ctl_table_add(t, "%s", c->by);
		ctl_table_add(t, "%s", c->id);
		ctl_table_add(t, "%s", c->text);
	}
	ctl_table_print(t);
	ctl_doc_free(&doc);
	return CTL_OK;
}

const struct cmd cmd_history = {
	.name = "history",
	.args = "",
	.summary = "Print the last changes of the configuration, newest first",
	.examples = "  cassiactl history\n  cassiactl history --json",
	.run = run,
};
