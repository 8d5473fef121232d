/* Creation, the current document and the start of a request. */
#include <stdlib.h>
#include <string.h>

#include "steer/steer-int.h"

/* Deadline of a request if neither the client nor the route sets one. */
#define DEFAULT_DEADLINE_US (10 * CS_US_PER_S)
/* Above the priorities of all routes. */
#define ROUTE_PRIORITIES 1001

static const char *const reason_names[] = {"no_server", "overload", "deadline", "budget",
					   "attempts"};

const char *cs_steer_reason_name(enum cs_steer_reason r)
{
	return reason_names[r];
}

/* Index of a region, which is added if it is new. */
static unsigned region_add(struct cs_steer *s, const char *name)
{
	unsigned i;

	for (i = 0; i < s->n_regions; i++)
		if (strcmp(s->regions[i], name) == 0)
			return i;
	if (s->n_regions == CS_REGIONS_MAX)
		return CS_REGIONS_MAX - 1;
	cs_copy(s->regions[s->n_regions], CS_NAME_MAX, name);
	return s->n_regions++;
}

struct cs_steer *cs_steer_create(const struct cs_steer_opts *opts, uint64_t now_us)
{
	struct cs_steer *s = cs_xcalloc(1, sizeof(*s));
	unsigned i;
	int own;

	s->opts = *opts;
	s->opts.zones = NULL;
	for (i = 0; i < opts->n_zones && i < CS_ZONES_MAX; i++) {
		s->zones[i] = opts->zones[i];
		s->zone_region[i] = region_add(s, opts->zones[i].region);
		s->n_zones++;
	}
	own = steer_zone(s, opts->zone);
	s->zone = own >= 0 ? (unsigned)own : 0;
	s->region = s->n_zones > 0 ? s->zone_region[s->zone] : 0;
	s->name_hash = (uint32_t)cs_hash_str(opts->instance, 0);
	TAILQ_INIT(&s->services);
	TAILQ_INIT(&s->members);
	TAILQ_INIT(&s->limited);
	RB_INIT(&s->ids);
	RB_INIT(&s->by_id_hash);
	cs_rng_seed(&s->rng, opts->seed);
	s->created_us = s->tick_us = now_us;
	s->max_members_seen = 1;
	s->verify_until_us = UINT64_MAX;
	return s;
}

void cs_steer_destroy(struct cs_steer *s)
{
	struct cs_steer_service *svc;
	struct cs_backend *b;
	unsigned i;

	if (s == NULL)
		return;
	while ((svc = TAILQ_FIRST(&s->services)) != NULL) {
		while ((b = TAILQ_FIRST(&svc->backends)) != NULL) {
			TAILQ_REMOVE(&svc->backends, b, entry);
			free(b);
		}
		TAILQ_REMOVE(&s->services, svc, entry);
		cs_fair_destroy(svc->fair);
		free(svc);
	}
	members_free(s);
	for (i = 0; i < CS_ZONES_MAX; i++)
		free(s->digests[i]);
	cs_document_destroy(s->doc);
	free(s->routes);
	free(s);
}

void cs_steer_set_bounds(struct cs_steer *s, const struct cs_steer_bounds *bounds)
{
	s->opts.bounds = *bounds;
}

void cs_steer_set_leaving(struct cs_steer *s, uint64_t now_us)
{
	s->leaving = true;
	s->leaving_us = now_us;
}

/* Service time of a route, which a route of the same name in a later document takes over. */
struct known_time {
	const char *route;
	double service_time_us;
};

static int known_time_cmp(const void *a, const void *b)
{
	const struct known_time *x = a, *y = b;

	return strcmp(x->route, y->route);
}

/*
 * Returns the service times of the current document's routes, sorted by name; the caller frees
 * them. Routes without a measured service time are omitted.
 */
static struct known_time *known_times(const struct cs_steer *s, unsigned *n)
{
	unsigned i, n_routes = s->doc != NULL ? s->doc->n_routes : 0;
	struct known_time *times = cs_xcalloc(n_routes, sizeof(*times));

	*n = 0;
	for (i = 0; i < n_routes; i++)
		if (s->routes[i].service_time_us > 0)
			times[(*n)++] = (struct known_time){s->doc->routes[i].name,
							    s->routes[i].service_time_us};
	qsort(times, *n, sizeof(*times), known_time_cmp);
	return times;
}

/* Creates the state of a document's routes, with the service times that are known. */
static struct route_state *route_states_create(const struct cs_steer *s,
					       const struct cs_document *doc)
{
	struct route_state *routes = cs_xcalloc(doc->n_routes, sizeof(*routes));
	unsigned i, n;
	struct known_time *times = known_times(s, &n), *found;

	for (i = 0; i < doc->n_routes; i++) {
		found = bsearch(&(struct known_time){.route = doc->routes[i].name}, times, n,
				sizeof(*times), known_time_cmp);
		if (found != NULL)
			routes[i].service_time_us = found->service_time_us;
	}
	free(times);
	return routes;
}

bool cs_steer_set_document(struct cs_steer *s, struct cs_document *doc, uint64_t now_us)
{
	struct route_state *routes;
	unsigned i;

	if (s->doc != NULL && doc->version <= s->doc->version) {
		cs_document_destroy(doc);
		return false;
	}
	routes = route_states_create(s, doc);
	cs_document_destroy(s->doc);
	free(s->routes);
	s->doc = doc;
	s->routes = routes;
	for (i = 0; i < doc->n_services; i++)
		steer_service(s, doc->services[i].name);
	return true;
}

const struct cs_document *cs_steer_current_document(const struct cs_steer *s)
{
	return s->doc;
}

/*
 * Chooses the part of a traffic split that is furthest behind its weight. A deficit counter, unlike
 * a random choice, keeps each part within one request of its weight at every instance.
 */
static unsigned choose_split_part(struct route_state *st, const struct cs_route *r)
{
	double sum = 0;
	unsigned i, best = 0;

	if (r->n_parts <= 1)
		return 0;
	for (i = 0; i < r->n_parts; i++)
		sum += r->parts[i].weight;
	for (i = 0; i < r->n_parts; i++) {
		st->deficit[i] += r->parts[i].weight / sum;
		if (st->deficit[i] > st->deficit[best])
			best = i;
	}
	st->deficit[best] -= 1;
	return best;
}

/* Bit mask of the region of that name; 0 if this deployment does not have it. */
static uint64_t region_mask(const struct cs_steer *s, const char *name)
{
	unsigned k;

	for (k = 0; k < s->n_regions; k++)
		if (strcmp(name, s->regions[k]) == 0)
			return 1ULL << k;
	return 0;
}

/* Bit mask of the regions that may serve the route; all if it has no home regions. */
static uint64_t home_mask(const struct cs_steer *s, const struct cs_route *r)
{
	uint64_t mask = 0;
	unsigned i;

	if (r->n_home_regions == 0)
		return UINT64_MAX;
	for (i = 0; i < r->n_home_regions; i++)
		mask |= region_mask(s, r->home_regions[i]);
	return mask;
}

double steer_service_time(const struct cs_steer *s, const struct cs_steer_request *req)
{
	const struct cs_steer_service *svc;

	if (s->doc != NULL && req->version == s->doc->version &&
	    s->routes[req->route].service_time_us > 0)
		return s->routes[req->route].service_time_us;
	svc = steer_find_service(s, req->service);
	return svc != NULL ? svc->service_time_us : INITIAL_SERVICE_TIME_US;
}

void cs_steer_request_init(struct cs_steer *s, struct cs_steer_request *req,
			   const struct cs_route *route, unsigned budget_ms, uint64_t now_us)
{
	ptrdiff_t i = route - s->doc->routes;
	struct route_state *st = &s->routes[i];
	struct cs_steer_service *svc;
	unsigned ms = budget_ms;

	req->arrived_us = now_us;
	if (route->timeout_ms > 0 && (ms == 0 || route->timeout_ms < ms))
		ms = route->timeout_ms;
	req->deadline_us = now_us + (ms > 0 ? ms * CS_US_PER_MS : DEFAULT_DEADLINE_US);
	cs_copy(req->service, sizeof(req->service),
		route->parts[choose_split_part(st, route)].service);
	req->priority = route->priority;
	req->target_ms = route->target_ms;
	req->max_attempts = route->max_attempts;
	req->sticky = route->sticky;
	req->home_mask = home_mask(s, route);
	req->route = (unsigned)i;
	req->version = s->doc->version;
	req->region = -1;
	svc = steer_service(s, req->service);
	svc->arrivals++;
	window_add(&svc->requests, now_us);
	if (req->sticky && req->object != 0)
		objects_add(&svc->objects, req->object ^ cs_hash_str(route->name, 0), now_us);
}

void cs_steer_request_set_workspace(struct cs_steer *s, struct cs_steer_request *req,
				    const struct cs_workspace *ws, uint64_t now_us)
{
	struct cs_steer_service *svc = steer_service(s, req->service);
	uint64_t mask = ws->n_homes > 0 ? 0 : UINT64_MAX;
	unsigned i;

	for (i = 0; i < ws->n_homes; i++)
		mask |= region_mask(s, ws->homes[i]);
	req->home_mask &= mask;
	req->priority += ws->priority * ROUTE_PRIORITIES;
	req->workspace = ws->id;
	if (svc->fair == NULL)
		svc->fair = cs_fair_create();
	cs_fair_arrived(svc->fair, ws->id, now_us);
}

void cs_steer_tick(struct cs_steer *s, uint64_t now_us)
{
	uint64_t elapsed = now_us - s->tick_us;
	struct cs_steer_service *svc;

	if (elapsed == 0)
		return;
	s->tick_us = now_us;
	servers_sweep(s, now_us);
	server_limits_sweep(s, now_us);
	members_sweep(s, now_us);
	verify_tick(s, now_us);
	digests_sum(s, now_us);
	servers_capacity(s, now_us);
	TAILQ_FOREACH(svc, &s->services, entry)
		regions_plan(s, svc, elapsed, now_us);
}
