/*
 * Zones and services by name, and small calculations that the other files share. It calls none of
 * them.
 */
#include <string.h>

#include "steer/steer-int.h"

unsigned rotation_next(unsigned *position, unsigned n, unsigned max)
{
	unsigned first = n > max ? *position % n : 0;

	*position = first + max;
	return first;
}

void steer_update_average(double *v, double sample, double weight)
{
	*v += (sample - *v) * weight;
}

int steer_zone(const struct cs_steer *s, const char *name)
{
	unsigned i;

	for (i = 0; i < s->n_zones; i++)
		if (strcmp(s->zones[i].name, name) == 0)
			return (int)i;
	return -1;
}

struct cs_steer_service *steer_find_service(const struct cs_steer *s, const char *name)
{
	struct cs_steer_service *svc;

	TAILQ_FOREACH(svc, &s->services, entry)
		if (strcmp(svc->name, name) == 0)
			return svc;
	return NULL;
}

struct cs_steer_service *steer_service(struct cs_steer *s, const char *name)
{
	struct cs_steer_service *svc = steer_find_service(s, name);

	if (svc != NULL)
		return svc;
	svc = cs_xcalloc(1, sizeof(*svc));
	cs_copy(svc->name, sizeof(svc->name), name);
	svc->name_hash = (uint32_t)cs_hash_str(name, 0);
	svc->service_time_us = INITIAL_SERVICE_TIME_US;
	svc->region_split.share[s->region] = 1;
	svc->objects.clear_bits = OBJECT_BITS;
	TAILQ_INIT(&svc->backends);
	TAILQ_INIT(&svc->waiting);
	TAILQ_INSERT_TAIL(&s->services, svc, entry);
	return svc;
}
