/* drain cancel ZONE|REGION|DRAIN-ID: removes a drain. */
#include <stdlib.h>
#include <string.h>

#include "src/ctl/change.h"
#include "src/ctl/drain.h"

static bool edit(struct ctl *ctl, json_t *doc, const struct cs_config *cfg, void *arg,
		 struct ctl_change *change, struct cs_msg *reason)
{
	const char *target = arg;
	enum cs_drain_kind kind;
	unsigned index;
	size_t at;

	if (drain_find(doc, target, &at) != NULL) {
		json_array_remove(json_object_get(doc, "drains"), at);
		snprintf(change->text, sizeof(change->text), "cancel drain of %s", target);
		return true;
	}
	if (drain_target_find(cfg, target, &kind, &index, reason))
		cs_msg_set(reason, "%s is not drained", target);
	return false;
}

static bool object_changed(const json_t *before, const json_t *after, void *arg)
{
	return drain_changed(before, after, arg);
}

static int run(struct ctl *ctl, int argc, char **argv)
{
	struct ctl_change change = {.edit = edit, .object_changed = object_changed, .arg = argv[0]};

	return ctl_change_run(ctl, &change);
}

const struct cmd cmd_drain_cancel = {
	.name = "drain cancel",
	.args = "ZONE|REGION|DRAIN-ID",
	.summary = "Take a drain back; its traffic returns under the cap",
	.examples =
		"  cassiactl drain cancel lom-brescia\n  cassiactl drain cancel d-5f0c1be2d4a86f37",
	.min_args = 1,
	.max_args = 1,
	.run = run,
};
