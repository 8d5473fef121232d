/* How long ago the document in force was known to be the newest one. */
#include "workspace/workspace.h"

void cs_freshness_confirm(struct cs_freshness *f, uint64_t confirmed_us)
{
	if (confirmed_us > f->confirmed_us)
		f->confirmed_us = confirmed_us;
}

void cs_freshness_hear(struct cs_freshness *f, uint64_t asked_us, uint64_t age_us,
		       uint64_t neighbour_version, uint64_t own_version)
{
	if (neighbour_version <= own_version && age_us < asked_us)
		cs_freshness_confirm(f, asked_us - age_us);
}

uint64_t cs_freshness_age_us(const struct cs_freshness *f, uint64_t now_us)
{
	if (f->confirmed_us == 0)
		return UINT64_MAX;
	return now_us > f->confirmed_us ? now_us - f->confirmed_us : 0;
}

bool cs_freshness_is_valid(const struct cs_freshness *f, uint64_t now_us)
{
	return f->max_age_us == 0 || cs_freshness_age_us(f, now_us) <= f->max_age_us;
}
