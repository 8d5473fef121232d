/* servers --platform: the entries that servers registered in the store. */
#include <string.h>

#include "src/ctl/platform.h"

static const char *state_name(const struct cs_server_entry *e)
{
	return e->draining ? "draining" : "ready";
}

static bool matches_filter(const struct cs_server_entry *e, const char *service, const char *zone,
			   const char *state)
{
	return (service == NULL || strcmp(service, e->service) == 0) &&
	       (zone == NULL || strcmp(zone, e->zone) == 0) &&
	       (state == NULL || strcmp(state, state_name(e)) == 0);
}

static void add_row(struct ctl_table *t, json_t *list, const struct ctl_platform *p,
		    const struct cs_server_entry *e)
{
	bool evacuated = ctl_platform_evacuated(p, e->zone);

	json_array_append_new(list, json_pack("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i, s:b}",
					      "server", e->id, "zone", e->zone, "service",
					      e->service, "address", e->addr, "port", (int)e->port,
					      "state", state_name(e), "slots", (int)e->slots,
					      "cold_ms", (int)e->cold_ms, "evacuated", evacuated));
	ctl_table_add(t, "%s", e->id);
	ctl_table_add(t, "%s", e->zone);
	ctl_table_add(t, "%s", e->service);
	ctl_table_add(t, "%s:%u", e->addr, e->port);
	ctl_table_add(t, "%s%s", state_name(e), evacuated ? ", evacuated" : "");
	ctl_table_add(t, "%u", e->slots);
	ctl_table_add(t, "%u ms", e->cold_ms);
}

int ctl_platform_servers(struct ctl *ctl, const char *service, const char *zone, const char *state)
{
	struct ctl_platform p;
	struct ctl_table *t;
	json_t *list;
	unsigned i;
	int rc = ctl_platform_load(ctl, &p);

	if (rc != CTL_OK)
		goto out;
	t = ctl_table_create("SERVER|ZONE|SERVICE|ADDRESS|STATE|SLOTS|COLD FOR");
	list = json_array();
	for (i = 0; i < p.n_servers; i++)
		if (matches_filter(&p.servers[i], service, zone, state))
			add_row(t, list, &p, &p.servers[i]);
	if (ctl->json)
		ctl_print_json(json_incref(list));
	ctl_table_finish(t, !ctl->json);
	json_decref(list);
	if (p.n_invalid > 0 && !ctl->json)
		printf("%u entries name no server that could be used\n", p.n_invalid);
out:
	ctl_platform_free(&p);
	return rc;
}
