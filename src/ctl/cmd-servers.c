/* servers: backend servers as reported by the agents of their zones. */
#include <stdlib.h>
#include <string.h>

#include "src/ctl/fleet.h"
#include "src/ctl/platform.h"

static char *opt_service, *opt_zone, *opt_state;

static const GOptionEntry options[] = {
	{"service", 0, 0, G_OPTION_ARG_STRING, &opt_service, "Only servers of a service", "NAME"},
	{"zone", 0, 0, G_OPTION_ARG_STRING, &opt_zone, "Only servers of a zone", "NAME"},
	{"state", 0, 0, G_OPTION_ARG_STRING, &opt_state,
	 "Only servers in a state: ready, starting, draining or down", "STATE"},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static bool matches_filter(const struct cs_server *s)
{
	if (opt_service != NULL && strcmp(opt_service, s->service) != 0)
		return false;
	if (opt_zone != NULL && strcmp(opt_zone, s->zone) != 0)
		return false;
	return opt_state == NULL || strcmp(opt_state, cs_server_state_name(s->state)) == 0;
}

static int compare_servers(const void *a, const void *b)
{
	const struct cs_server *x = a, *y = b;
	int d = strcmp(x->zone, y->zone);

	if (d == 0)
		d = strcmp(x->service, y->service);
	return d != 0 ? d : strcmp(x->name, y->name);
}

static void print_all(struct ctl *ctl, const struct cs_view *v)
{
	struct ctl_table *t = ctl_table_create(
		"SERVER|ZONE|SERVICE|ADDRESS|STATE|SLOTS|IN FLIGHT|SERVICE TIME|AGE");
	json_t *list = json_array();
	char age[24];
	unsigned i;

	for (i = 0; i < v->n_servers; i++) {
		const struct cs_server *s = &v->servers[i];
		int64_t ms = s->reported_age_us == UINT64_MAX
				     ? -1
				     : (int64_t)(s->reported_age_us / CS_US_PER_MS);

		if (!matches_filter(s))
			continue;
		json_array_append_new(
			list, json_pack("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i, s:i, s:I}",
					"server", s->name, "zone", s->zone, "service", s->service,
					"address", s->addr, "port", (int)s->port, "state",
					cs_server_state_name(s->state), "slots", (int)s->slots,
					"in_flight", (int)s->reported_in_flight, "service_us",
					(int)s->reported_service_us, "age_ms", (json_int_t)ms));
		ctl_table_add(t, "%s", s->name);
		ctl_table_add(t, "%s", s->zone);
		ctl_table_add(t, "%s", s->service);
		ctl_table_add(t, "%s:%u", s->addr, s->port);
		ctl_table_add(t, "%s", cs_server_state_name(s->state));
		ctl_table_add(t, "%u", s->slots);
		ctl_table_add(t, "%u", s->reported_in_flight);
		ctl_table_add(t, "%.1f ms", s->reported_service_us / 1000.0);
		ctl_table_add(t, "%s", ctl_age_text(ms, age));
	}
	if (ctl->json)
		ctl_print_json(json_incref(list));
	ctl_table_finish(t, !ctl->json);
	json_decref(list);
}

static int run(struct ctl *ctl, int argc, char **argv)
{
	struct ctl_fleet fleet;
	struct cs_view *v;
	int rc;

	if (opt_state != NULL && cs_server_state_parse(opt_state) < 0) {
		ctl_error(ctl,
			  "--state: %s is not allowed; allowed: ready, starting, draining, down",
			  opt_state);
		return CTL_USAGE;
	}
	if (ctl->platform != NULL)
		return ctl_platform_servers(ctl, opt_service, opt_zone, opt_state);
	rc = ctl_fleet_load(ctl, FLEET_AGENT | FLEET_ONE_PER_ZONE, &fleet);
	if (rc == CTL_OK) {
		v = ctl_fleet_view(&fleet, NULL);
		if (v->n_servers > 0)
			qsort(v->servers, v->n_servers, sizeof(*v->servers), compare_servers);
		print_all(ctl, v);
		cs_view_destroy(v);
	}
	ctl_fleet_free(&fleet);
	return rc;
}

const struct cmd cmd_servers = {
	.name = "servers",
	.args = "",
	.summary = "Show backend servers as the agents of their zones see them",
	.examples = "  cassiactl servers --service ritiri\n"
		    "  cassiactl servers --zone lom-brescia --state draining\n"
		    "  cassiactl servers --platform 10.200.1.7:8142 --service ritiri",
	.options = options,
	.run = run,
};
