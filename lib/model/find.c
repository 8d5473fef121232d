/* Lookups in a configuration: entries by name, and the delay between zones. */
#include <string.h>

#include "model/model-local.h"

/* Index of the entry with this name, or -1; each entry type begins with its name or id. */
static int find_by_name(const char *name, const void *entries, unsigned n, size_t size)
{
	unsigned i;

	for (i = 0; i < n; i++) {
		if (strcmp((const char *)entries + i * size, name) == 0)
			return (int)i;
	}
	return -1;
}

int cs_config_zone(const struct cs_config *cfg, const char *name)
{
	return find_by_name(name, cfg->zones, cfg->n_zones, sizeof(*cfg->zones));
}

int cs_config_region(const struct cs_config *cfg, const char *name)
{
	return find_by_name(name, cfg->regions, cfg->n_regions, sizeof(*cfg->regions));
}

int cs_config_service(const struct cs_config *cfg, const char *name)
{
	return find_by_name(name, cfg->services, cfg->n_services, sizeof(*cfg->services));
}

int cs_config_class(const struct cs_config *cfg, const char *name)
{
	return find_by_name(name, cfg->classes, cfg->n_classes, sizeof(*cfg->classes));
}

const struct cs_change *cs_config_change(const struct cs_config *cfg, const char *id)
{
	int i = find_by_name(id, cfg->changes, cfg->n_changes, sizeof(*cfg->changes));

	return i < 0 ? NULL : &cfg->changes[i];
}

unsigned cs_config_delay_us(const struct cs_config *cfg, unsigned from, unsigned to)
{
	if (from == to)
		return 0;
	if (cfg->zones[from].region == cfg->zones[to].region)
		return cfg->network.zone_delay_us;
	return cfg->network.region_delay_us;
}
