/* The write cycle: read, edit, compare-and-swap, and resolve a lost answer by the change id. */
#ifndef CS_CTL_CHANGE_H
#define CS_CTL_CHANGE_H

#include "src/ctl/ctl.h"

struct ctl_change {
	char text[160]; /* for the history; may be set by edit */
	/*
	 * Edits the document. Returns false with a reason for a rejection. cfg is the document
	 * before the edit, NULL when it does not exist yet.
	 */
	bool (*edit)(struct ctl *ctl, json_t *doc, const struct cs_config *cfg, void *arg,
		     struct ctl_change *change, struct cs_msg *why);
	/* Checks the edited configuration; may be NULL. Returns false with a reason. */
	bool (*check)(struct ctl *ctl, const struct cs_config *cfg, void *arg, struct cs_msg *why);
	/*
	 * True if a racing change touched the object of this one, so that it must not be repeated
	 * on top. NULL: every racing change counts.
	 */
	bool (*touched)(const json_t *before, const json_t *after, void *arg);
	bool may_create; /* the document may be absent */
	bool no_change; /* set by edit: the document already is as wanted */
	bool conflict; /* set by edit: the change was made from an older document */
	uint64_t made_from; /* revision, for a conflict set by edit */
	void *arg;
};

/* Runs the cycle, prints the outcome, returns the exit code. */
int ctl_change_run(struct ctl *ctl, struct ctl_change *change);
/* Prints a conflict: the changes after a revision. */
int ctl_conflict(struct ctl *ctl, const struct cs_config *cfg, uint64_t after);

#endif
