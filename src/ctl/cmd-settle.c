/* settle CHANGE-ID: reports whether a change took effect after the response was lost. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "src/ctl/ctl.h"

/* Base revision in a change id; false if the id has none. */
static bool base_revision_of(const char *id, uint64_t *base)
{
	char *end;

	if (strncmp(id, "c-", 2) != 0 || !g_ascii_isdigit(id[2]))
		return false;
	*base = g_ascii_strtoull(id + 2, &end, 10);
	return *end == '-';
}

static int print_outcome(struct ctl *ctl, const char *result, const char *id, uint64_t revision,
			 const char *text, int rc)
{
	if (ctl->json)
		ctl_print_json(json_pack("{s:s, s:s, s:I, s:s}", "result", result, "change", id,
					 "revision", (json_int_t)revision, "text", text));
	else
		printf("%s: %s\n", result, text);
	return rc;
}

static int resolve(struct ctl *ctl, const struct cs_config *cfg, const char *id)
{
	const struct cs_change *c = cs_config_change(cfg, id);
	struct cs_msg text;
	uint64_t base;
	bool known = base_revision_of(id, &base);

	if (c != NULL) {
		cs_msg_set(&text, "took effect at revision %" PRIu64 " by %s: %s", c->revision,
			   c->by, c->text);
		return print_outcome(ctl, "accepted", id, c->revision, text.text, CTL_OK);
	}
	if (known && cfg->revision == base)
		return print_outcome(
			ctl, "unknown", id, cfg->revision,
			"it has not taken effect so far, but a late write still can; ask again in "
			"some seconds, or make the change again: at most one of both is accepted",
			CTL_UNKNOWN);
	if (cfg->n_changes == CS_CONFIG_CHANGES &&
	    (!known || cfg->changes[0].revision > base + 1)) {
		cs_msg_set(&text,
			   "the document keeps the last %d changes, back to revision %" PRIu64
			   ", and this one is not among them",
			   CS_CONFIG_CHANGES, cfg->changes[0].revision);
		return print_outcome(ctl, "unknown", id, cfg->revision, text.text, CTL_UNKNOWN);
	}
	if (known && cfg->revision > base) {
		cs_msg_set(
			&text,
			"it did not take effect and cannot any more: another change made revision "
			"%" PRIu64,
			base + 1);
		return print_outcome(ctl, "rejected", id, cfg->revision, text.text, CTL_REJECTED);
	}
	cs_msg_set(&text, "no change with this id; the document is at revision %" PRIu64,
		   cfg->revision);
	return print_outcome(ctl, "unknown", id, cfg->revision, text.text, CTL_UNKNOWN);
}

static int run(struct ctl *ctl, int argc, char **argv)
{
	struct ctl_doc doc;
	int rc = ctl_doc_load(ctl, &doc);

	if (rc != CTL_OK)
		return rc;
	rc = resolve(ctl, doc.cfg, argv[0]);
	ctl_doc_free(&doc);
	return rc;
}

const struct cmd cmd_settle = {
	.name = "settle",
	.args = "CHANGE-ID",
	.summary = "Say whether a change whose answer was lost took effect",
	.examples = "  cassiactl settle c-12-5f0c1be2d4a86f37\n"
		    "Exit codes: 0 it took effect, 3 it did not and cannot any more, 5 not known",
	.min_args = 1,
	.max_args = 1,
	.run = run,
};
