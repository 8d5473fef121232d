/* show: prints the configuration document. */
#include <inttypes.h>
#include <stdlib.h>

#include "src/ctl/ctl.h"

static int run(struct ctl *ctl, int argc, char **argv)
{
	struct ctl_doc doc;
	int rc = ctl_doc_load(ctl, &doc);
	char *text;

	if (rc != CTL_OK)
		return rc;
	text = json_dumps(doc.json,
			  (ctl->json ? JSON_COMPACT : JSON_INDENT(2)) | JSON_REAL_PRECISION(15));
	puts(text);
	free(text);
	ctl_doc_free(&doc);
	return CTL_OK;
}

const struct cmd cmd_show = {
	.name = "show",
	.args = "",
	.summary = "Print the configuration document",
	.examples = "  cassiactl show > config.json\n"
		    "  cassiactl show --instance 127.0.0.1:7003",
	.run = run,
};
