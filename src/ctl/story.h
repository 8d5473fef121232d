/*
 * story: what became of one request, from the structured logs of cassia-node instances: its own
 * lines in order, what was known of the servers and the store before, and the cause.
 */
#ifndef CTL_STORY_H
#define CTL_STORY_H

#include "src/ctl/ctl.h"

/* Prints the story of a request id; files ends with NULL, "-" is standard input. */
int story_tell(struct ctl *ctl, const char *id, char **files);

#endif
