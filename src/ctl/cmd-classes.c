/* classes: the classes of requests in the configuration. */
#include <stdlib.h>

#include "src/ctl/ctl.h"

static int run(struct ctl *ctl, int argc, char **argv)
{
	struct ctl_table *t;
	struct ctl_doc doc;
	int rc = ctl_doc_load(ctl, &doc);
	unsigned i;

	if (rc != CTL_OK)
		return rc;
	if (ctl->json) {
		ctl_print_json(json_incref(json_object_get(doc.json, "classes")));
		ctl_doc_free(&doc);
		return CTL_OK;
	}
	t = ctl_table_create(
		"CLASS|SERVICE|TARGET|ANSWERED|HEADROOM|TIMEOUT|BODY|PRIORITY|IDEMPOTENT|BULK");
	for (i = 0; i < doc.cfg->n_classes; i++) {
		const struct cs_class *c = &doc.cfg->classes[i];

		ctl_table_add(t, "%s", c->name);
		ctl_table_add(t, "%s", doc.cfg->services[c->service].name);
		ctl_table_add(t, "%g%% in %u ms", c->percentile, c->latency_target_ms);
		ctl_table_add(t, "%g%%", c->availability_pct);
		ctl_table_add(t, "%g%%", c->headroom_pct);
		ctl_table_add(t, "%u ms", c->timeout_ms);
		ctl_table_add(t, "%lu KiB", (unsigned long)(c->max_body / 1024));
		ctl_table_add(t, "%u", c->priority);
		ctl_table_add(t, "%s", c->idempotent ? "yes" : "no");
		ctl_table_add(t, "%s", c->bulk ? "yes" : "no");
	}
	ctl_table_print(t);
	ctl_doc_free(&doc);
	return CTL_OK;
}

const struct cmd cmd_classes = {
	.name = "classes",
	.args = "",
	.summary = "Show the classes of work as configured",
	.examples = "  cassiactl classes\n  cassiactl class set bookings latency_target_ms=350",
	.run = run,
};
