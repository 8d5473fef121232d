/* zones: capacity, load and headroom of each zone and service. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "src/ctl/fleet.h"

static double headroom(const struct cs_zone_load *l)
{
	if (l->capacity == 0)
		return 0;
	return 100.0 * ((double)l->capacity - l->in_flight) / l->capacity;
}

static json_t *row_json(const struct cs_config *cfg, unsigned zone, unsigned service,
			const struct cs_zone_load *l, unsigned instances)
{
	const struct cs_zone *z = &cfg->zones[zone];
	const struct cs_service *s = &cfg->services[service];
	json_t *row = json_pack("{s:s, s:s, s:s, s:i, s:f, s:f}", "zone", z->name, "region",
				cfg->regions[z->region].name, "service", s->name, "instances",
				(int)instances, "stay", cs_shift_remaining(cfg, zone, cs_wall_ms()),
				"headroom_target_pct", s->headroom_pct);

	if (l == NULL)
		return row;
	json_object_set_new(row, "capacity", json_integer(l->capacity));
	json_object_set_new(row, "in_flight", json_integer(l->in_flight));
	json_object_set_new(row, "waiting", json_integer(l->waiting));
	json_object_set_new(row, "foreign", json_integer(l->foreign));
	json_object_set_new(row, "headroom_pct", json_real(headroom(l)));
	json_object_set_new(row, "out_of_target", json_boolean(l->out_of_target));
	json_object_set_new(row, "age_ms", json_integer((json_int_t)(l->age_us / CS_US_PER_MS)));
	return row;
}

static void add_row(struct ctl_table *t, const struct cs_config *cfg, unsigned zone,
		    unsigned service, const struct cs_zone_load *l, unsigned instances)
{
	const struct cs_zone *z = &cfg->zones[zone];
	const struct cs_service *s = &cfg->services[service];
	char age[24];
	unsigned i;

	ctl_table_add(t, "%s", z->name);
	ctl_table_add(t, "%s", cfg->regions[z->region].name);
	ctl_table_add(t, "%u", instances);
	ctl_table_add(t, "%.0f%%", 100 * cs_shift_remaining(cfg, zone, cs_wall_ms()));
	ctl_table_add(t, "%s", s->name);
	for (i = 0; l == NULL && i < 6; i++)
		ctl_table_add(t, "-");
	if (l == NULL)
		return;
	ctl_table_add(t, "%u", l->capacity);
	ctl_table_add(t, "%u", l->in_flight);
	ctl_table_add(t, "%u", l->foreign);
	ctl_table_add(t, "%u", l->waiting);
	if (l->capacity == 0)
		ctl_table_add(t, "no capacity");
	else
		ctl_table_add(t, "%.0f%% of %.0f%%%s", headroom(l), s->headroom_pct,
			      headroom(l) < s->headroom_pct ? " short" : "");
	ctl_table_add(t, "%s",
		      ctl_age_text(l->age_us == UINT64_MAX ? -1
							   : (int64_t)(l->age_us / CS_US_PER_MS),
				   age));
}

static void print_all(struct ctl *ctl, const struct cs_config *cfg, const struct ctl_fleet *fleet,
		      const struct cs_view *v)
{
	struct ctl_table *t = ctl_table_create("ZONE|REGION|INSTANCES|STAYS|SERVICE|CAPACITY|IN "
					       "FLIGHT|FOREIGN|WAITING|HEADROOM|AGE");
	json_t *list = json_array();
	unsigned z, s, i, n;

	for (z = 0; z < cfg->n_zones; z++) {
		for (i = 0, n = 0; i < fleet->n; i++)
			n += strcmp(fleet->list[i].zone, cfg->zones[z].name) == 0;
		for (s = 0; s < cfg->n_services; s++) {
			const struct cs_zone_load *l =
				ctl_zone_load(v, cfg->zones[z].name, cfg->services[s].name);

			json_array_append_new(list, row_json(cfg, z, s, l, n));
			add_row(t, cfg, z, s, l, n);
		}
	}
	if (ctl->json)
		ctl_print_json(json_incref(list));
	ctl_table_finish(t, !ctl->json);
	json_decref(list);
}

static int run(struct ctl *ctl, int argc, char **argv)
{
	struct ctl_fleet fleet = {0};
	struct ctl_doc doc = {0};
	struct cs_view *v;
	int rc;

	rc = ctl_doc_load(ctl, &doc);
	if (rc == CTL_OK)
		rc = ctl_fleet_load(ctl, FLEET_AGENT | FLEET_ONE_PER_ZONE, &fleet);
	if (rc == CTL_OK) {
		v = ctl_fleet_view(&fleet, doc.cfg);
		print_all(ctl, doc.cfg, &fleet, v);
		cs_view_destroy(v);
	}
	ctl_fleet_free(&fleet);
	ctl_doc_free(&doc);
	return rc;
}

const struct cmd cmd_zones = {
	.name = "zones",
	.args = "",
	.summary = "Show capacity, load and headroom of each zone and service",
	.examples = "  cassiactl zones\n  cassiactl zones --json",
	.run = run,
};
