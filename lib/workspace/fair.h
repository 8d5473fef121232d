/*
 * Fair shares of a service's slots among workspaces that compete for them. Load: more requests than
 * slots, and a workspace that sends many times its usual. docs/design/workspace-fairness.md.
 */
#ifndef CS_WORKSPACE_FAIR_H
#define CS_WORKSPACE_FAIR_H

#include "base/base.h"

/* State for one service at one instance. */
struct cs_fair;
struct cs_fair *cs_fair_create(void);
void cs_fair_destroy(struct cs_fair *f);
/* A request of a workspace arrived. */
void cs_fair_arrived(struct cs_fair *f, uint64_t id, uint64_t now_us);
/* A request of it was sent to a server. */
void cs_fair_sent(struct cs_fair *f, uint64_t id, uint64_t now_us);
/* True if the workspace lately got clearly more than its fair share of what all got. */
bool cs_fair_is_over(struct cs_fair *f, uint64_t id, uint64_t now_us);
/*
 * What the workspace lately got, in eighths of its fair share, at most CS_FAIR_LEVEL_MAX; 0 if that
 * is little or it competes with none. Requests of a lower level go first.
 */
#define CS_FAIR_LEVEL_MAX 16
unsigned cs_fair_level(struct cs_fair *f, uint64_t id, uint64_t now_us);
/* Number of workspaces with a state. */
unsigned cs_fair_count(const struct cs_fair *f);

#endif
