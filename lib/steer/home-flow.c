/*
 * Requests that go from one region to another because their route has home regions. The plan of the
 * regions does not know them: they go there however much room there is. Instances measure and
 * report them, so that the limits of servers can be split by them too. Without home regions nothing
 * is reported.
 */
#include <string.h>

#include "steer/steer-int.h"

/* Flows below this number of busy slots are not reported. */
#define FLOW_MIN_SLOTS 0.01

void home_flow_count(struct cs_steer_service *svc, unsigned region)
{
	svc->home_arrivals[region]++;
}

void home_flow_update_rate(struct cs_steer_service *svc, uint64_t elapsed_us, double weight)
{
	unsigned i;
	double rate;

	for (i = 0; i < CS_REGIONS_MAX; i++) {
		if (svc->home_arrivals[i] == 0 && svc->home_rate[i] <= 0)
			continue;
		rate = svc->home_arrivals[i] * (double)CS_US_PER_S / (double)elapsed_us;
		steer_update_average(&svc->home_rate[i], rate, weight);
		svc->home_arrivals[i] = 0;
	}
}

static double own_flow(const struct cs_steer_service *svc, unsigned region)
{
	return svc->home_rate[region] * svc->service_time_us / CS_US_PER_S;
}

double home_flow(const struct cs_steer *s, const struct cs_steer_service *svc, unsigned from,
		 unsigned to)
{
	return svc->home_demand[from][to] + (from == s->region ? own_flow(svc, to) : 0);
}

static void flow_add(struct cs_steer_report *r, uint32_t service, unsigned region, float busy_slots)
{
	unsigned i;

	for (i = 0; i < r->n_home_flows; i++)
		if (r->home_flows[i].service == service && r->home_flows[i].region == region)
			break;
	if (i == CS_REPORT_HOME_FLOWS_MAX)
		return;
	if (i == r->n_home_flows) {
		r->n_home_flows++;
		r->home_flows[i] = (struct cs_report_home_flow){service, region, 0};
	}
	r->home_flows[i].busy_slots += busy_slots;
}

void home_flows_report(struct cs_steer *s, struct cs_steer_report *r)
{
	struct cs_steer_service *svc;
	unsigned i;

	r->n_home_flows = 0;
	TAILQ_FOREACH(svc, &s->services, entry)
		for (i = 0; i < s->n_regions; i++) {
			svc->home_reported[i] = (float)own_flow(svc, i);
			if (svc->home_reported[i] < (float)FLOW_MIN_SLOTS)
				svc->home_reported[i] = 0;
			else
				flow_add(r, svc->name_hash, i, svc->home_reported[i]);
		}
}

void home_flows_merge(struct cs_steer_report *to, const struct cs_steer_report *from)
{
	unsigned i;

	for (i = 0; i < from->n_home_flows; i++)
		flow_add(to, from->home_flows[i].service, from->home_flows[i].region,
			 from->home_flows[i].busy_slots);
}

void home_flows_reset(struct cs_steer_service *svc)
{
	memset(svc->home_demand, 0, sizeof(svc->home_demand));
}

void home_flows_sum(struct cs_steer *s, const struct cs_steer_report *r, bool includes_own,
		    unsigned region)
{
	const struct cs_report_home_flow *f;
	struct cs_steer_service *svc;
	double others;
	unsigned i;

	for (i = 0; i < r->n_home_flows; i++) {
		f = &r->home_flows[i];
		TAILQ_FOREACH(svc, &s->services, entry) {
			if (svc->name_hash != f->service || f->region >= s->n_regions)
				continue;
			others = f->busy_slots - (includes_own ? svc->home_reported[f->region] : 0);
			if (others > 0)
				svc->home_demand[region][f->region] += others;
		}
	}
}
