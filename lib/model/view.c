/* Creation, copy and destruction of views; names of member and server states. */
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

static void *copy_array(const void *from, unsigned n, size_t size)
{
	void *to;

	if (n == 0)
		return NULL;
	to = cs_xcalloc(n, size);
	memcpy(to, from, n * size);
	return to;
}

struct cs_view *cs_view_copy(const struct cs_view *v)
{
	struct cs_view *c = cs_view_create();

	*c = *v;
	c->cfg = cs_config_ref(v->cfg);
	c->members = copy_array(v->members, v->n_members, sizeof(*v->members));
	c->servers = copy_array(v->servers, v->n_servers, sizeof(*v->servers));
	c->loads = copy_array(v->loads, v->n_loads, sizeof(*v->loads));
	c->loans = copy_array(v->loans, v->n_loans, sizeof(*v->loans));
	return c;
}
