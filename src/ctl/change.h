/*
 * Changes to the configuration document: read, edit and compare-and-swap. If the response to the
 * write is lost, the change id in the stored document shows whether the write was applied.
 */
#ifndef CS_CTL_CHANGE_H
#define CS_CTL_CHANGE_H

#include "src/ctl/ctl.h"

struct ctl_change {
	char text[160]; /* description for the history; may be set by edit */
	/*
	 * Edits the document. Returns false and sets the reason to reject the change. cfg is the
	 * configuration before the edit, NULL if the document does not exist yet.
	 */
	bool (*edit)(struct ctl *ctl, json_t *doc, const struct cs_config *cfg, void *arg,
		     struct ctl_change *change, struct cs_msg *reason);
	/* Optional check of the edited configuration. Returns false and sets the reason to reject. */
	bool (*check)(struct ctl *ctl, const struct cs_config *cfg, void *arg,
		      struct cs_msg *reason);
	/*
	 * Returns true if a concurrent change modified the object that this change edits; the
	 * change is then reported as a conflict instead of being retried on the new document. NULL:
	 * any concurrent change is a conflict.
	 */
	bool (*object_changed)(const json_t *before, const json_t *after, void *arg);
	bool may_create; /* the document may be absent */
	bool no_change; /* set by edit: the document already has the requested content */
	bool conflict; /* set by edit: the change is based on an older revision */
	uint64_t base_revision; /* set by edit with conflict: the revision the change is based on */
	void *arg;
};

/* Applies the change, prints the outcome and returns the exit code. */
int ctl_change_run(struct ctl *ctl, struct ctl_change *change);
/* Prints a conflict with the changes made after a revision; returns CTL_CONFLICT. */
int ctl_print_conflict(struct ctl *ctl, const struct cs_config *cfg, uint64_t after);

#endif
