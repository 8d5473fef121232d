/* The view and the names of states. */
#include <stdlib.h>
#include <string.h>

#include "model/model-local.h"

static const char *const member_states[] = {"alive", "suspect", "unreachable", "leaving", "dead"};
static const char *const server_states[] = {"ready", "starting", "draining", "down"};

const char *cs_member_state_name(enum cs_member_state st)
{
	return (unsigned)st < 5 ? member_states[st] : "unknown";
}

const char *cs_server_state_name(enum cs_server_state st)
{
	return (unsigned)st < 4 ? server_states[st] : "unknown";
}

int cs_server_state_parse(const char *name)
{
	int i;

	for (i = 0; i < 4; i++) {
		if (strcmp(server_states[i], name) == 0)
			return i;
	}
	return -1;
}

struct cs_view *cs_view_create(void)
{
	return cs_xcalloc(1, sizeof(struct cs_view));
}

void cs_view_destroy(struct cs_view *v)
{
	if (v == NULL)
		return;
	cs_config_unref(v->cfg);
	free(v->members);
	free(v->servers);
	free(v->loads);
	free(v->loans);
	free(v);
}
