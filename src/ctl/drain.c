/* Drains: target lookup, time parsing, progress. */
#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "src/ctl/drain.h"

#define WAIT_POLL_US (2 * CS_US_PER_S)

static const char *const phase_names[] = {"waiting", "ramping", "emptying", "done", "late"};

bool drain_target_find(const struct cs_config *cfg, const char *name, enum cs_drain_kind *kind,
		       unsigned *index, struct cs_msg *reason)
{
	int zone = cs_config_zone(cfg, name), region = cs_config_region(cfg, name);
	const char **names;
	struct cs_msg buf;
	unsigned i, n = 0;

	if (zone >= 0 || region >= 0) {
		*kind = zone >= 0 ? CS_DRAIN_ZONE : CS_DRAIN_REGION;
		*index = (unsigned)(zone >= 0 ? zone : region);
		return true;
	}
	names = cs_xcalloc(cfg->n_zones + cfg->n_regions, sizeof(*names));
	for (i = 0; i < cfg->n_zones; i++)
		names[n++] = cfg->zones[i].name;
	for (i = 0; i < cfg->n_regions; i++)
		names[n++] = cfg->regions[i].name;
	cs_msg_set(reason, "no zone or region \"%.60s\" in the configuration%s", name,
		   ctl_suggest(name, names, n, &buf));
	free(names);
	return false;
}

const char *drain_target_name(const struct cs_config *cfg, const struct cs_drain *d)
{
	return d->kind == CS_DRAIN_ZONE ? cfg->zones[d->target].name : cfg->regions[d->target].name;
}

bool drain_covers_zone(const struct cs_config *cfg, const struct cs_drain *d, unsigned zone)
{
	return d->kind == CS_DRAIN_ZONE ? d->target == zone : cfg->zones[zone].region == d->target;
}

json_t *drain_find(const json_t *doc, const char *target, size_t *index)
{
	static const char *const keys[] = {"zone", "region", "id"};
	json_t *list = json_object_get(doc, "drains"), *entry;
	const char *text;
	size_t i, k;

	json_array_foreach(list, i, entry) {
		for (k = 0; k < 3; k++) {
			text = json_string_value(json_object_get(entry, keys[k]));
			if (text == NULL || strcmp(text, target) != 0)
				continue;
			if (index != NULL)
				*index = i;
			return entry;
		}
	}
	return NULL;
}

bool drain_changed(const json_t *before, const json_t *after, const char *target)
{
	const json_t *x = drain_find(before, target, NULL), *y = drain_find(after, target, NULL);

	if (x == NULL || y == NULL)
		return x != y;
	return !json_equal(x, y);
}

bool drain_time_parse(const char *text, int64_t now_ms, int64_t *ms)
{
	static const char units[] = "smhd";
	static const int64_t factors[] = {1000, 60000, 3600000, 86400000};
	const char *unit;
	double n;
	char *end;

	if (text[0] != '+')
		return cs_time_parse(text, ms);
	n = g_ascii_strtod(text + 1, &end);
	unit = *end != '\0' ? strchr(units, *end) : NULL;
	if (end == text + 1 || unit == NULL || end[1] != '\0' || !(n > 0) || n > 1e6)
		return false;
	/* Times in the document are whole seconds; rounding up never shortens the given time. */
	*ms = now_ms + (int64_t)ceil(n * (double)factors[unit - units]);
	*ms = (*ms + 999) / 1000 * 1000;
	return true;
}

const char *drain_phase_name(enum drain_phase phase)
{
	return phase_names[phase];
}

void drain_progress_compute(const struct cs_config *cfg, const struct cs_drain *d,
			    const struct cs_view *v, int64_t now_ms, struct drain_progress *p)
{
	unsigned z, s;
	double remaining;

	memset(p, 0, sizeof(*p));
	p->measured = true;
	for (z = 0; z < cfg->n_zones; z++) {
		if (!drain_covers_zone(cfg, d, z))
			continue;
		remaining = cs_shift_remaining(cfg, z, now_ms);
		if (remaining > p->remaining)
			p->remaining = remaining;
		for (s = 0; s < cfg->n_services; s++) {
			const struct cs_zone_load *l =
				ctl_zone_load(v, cfg->zones[z].name, cfg->services[s].name);

			p->measured = p->measured && l != NULL;
			p->in_flight += l != NULL ? l->in_flight : 0;
			p->waiting += l != NULL ? l->waiting : 0;
		}
	}
	if (now_ms < d->start_ms)
		p->phase = DRAIN_WAITING;
	else if (now_ms < cs_shift_end_ms(cfg, d) && now_ms < d->deadline_ms)
		p->phase = DRAIN_RAMPING;
	else if (p->remaining <= 0 && p->in_flight + p->waiting == 0)
		p->phase = DRAIN_DONE;
	else
		p->phase = now_ms < d->deadline_ms ? DRAIN_EMPTYING : DRAIN_LATE;
}

static const struct cs_drain *find_drain(const struct cs_config *cfg, const char *target)
{
	unsigned i;

	for (i = 0; i < cfg->n_drains; i++) {
		if (strcmp(drain_target_name(cfg, &cfg->drains[i]), target) == 0 ||
		    strcmp(cfg->drains[i].id, target) == 0)
			return &cfg->drains[i];
	}
	return NULL;
}

static void print_progress(struct ctl *ctl, const struct cs_drain *d, const char *target,
			   const struct drain_progress *p, int64_t now_ms)
{
	int64_t left = (d->deadline_ms - now_ms) / 1000;

	if (ctl->json)
		ctl_print_json(json_pack("{s:s, s:s, s:f, s:i, s:i, s:b, s:I}", "target", target,
					 "phase", drain_phase_name(p->phase), "stay", p->remaining,
					 "in_flight", (int)p->in_flight, "waiting", (int)p->waiting,
					 "measured", p->measured, "left_s", (json_int_t)left));
	else
		printf("%s %s: %.0f%% stays, %u in flight, %u waiting, %" PRId64 " s left%s\n",
		       target, drain_phase_name(p->phase), 100 * p->remaining, p->in_flight,
		       p->waiting, left, p->measured ? "" : " (not all loads are known)");
	fflush(stdout);
}

/* Prints the progress of a drain once; returns -1 to continue waiting, else an exit code. */
static int poll_drain(struct ctl *ctl, const char *target, int64_t *deadline_ms)
{
	int64_t now = cs_wall_ms();
	struct ctl_fleet fleet = {0};
	struct drain_progress p;
	const struct cs_drain *d;
	struct ctl_doc doc;
	struct cs_view *v;
	int rc;

	rc = ctl_doc_load(ctl, &doc);
	if (rc == CTL_OK)
		rc = ctl_fleet_load(ctl, FLEET_AGENT | FLEET_ONE_PER_ZONE, &fleet);
	if (rc != CTL_OK) {
		/* A store outage does not end the wait; the drain continues without the store. */
		rc = rc == CTL_STORE && now < *deadline_ms ? -1 : rc;
		goto out;
	}
	d = find_drain(doc.cfg, target);
	if (d == NULL) {
		ctl_error(ctl, "the drain of %s was cancelled", target);
		rc = CTL_FAILURE;
		goto out;
	}
	*deadline_ms = d->deadline_ms;
	v = ctl_fleet_view(&fleet, doc.cfg);
	drain_progress_compute(doc.cfg, d, v, now, &p);
	print_progress(ctl, d, target, &p, now);
	cs_view_destroy(v);
	rc = -1;
	if (p.phase == DRAIN_DONE && p.measured)
		rc = CTL_OK;
	else if (now >= d->deadline_ms)
		rc = CTL_FAILURE;
out:
	ctl_fleet_free(&fleet);
	ctl_doc_free(&doc);
	return rc;
}

int drain_wait(struct ctl *ctl, const char *target)
{
	int64_t deadline_ms = 0;
	int rc;

	while ((rc = poll_drain(ctl, target, &deadline_ms)) < 0)
		ctl_sleep(ctl, WAIT_POLL_US);
	return rc;
}
