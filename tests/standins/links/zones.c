/* Zones, source prefixes and the network conditions of each pair of zones. */
#include <stdlib.h>
#include <string.h>

#include "tests/standins/links/links.h"

struct source {
	LIST_ENTRY(source) entry;
	char prefix[46];
	unsigned zone;
};

static char names[ZONES_MAX][ZONE_NAME_SIZE];
static unsigned n_zones;
static struct zone_pair zone_pairs[ZONES_MAX][ZONES_MAX];
static LIST_HEAD(, source) sources = LIST_HEAD_INITIALIZER(sources);
static LIST_HEAD(, link) links = LIST_HEAD_INITIALIZER(links);

unsigned zone_index(const char *name)
{
	unsigned i;

	for (i = 0; i < n_zones; i++)
		if (strcmp(names[i], name) == 0)
			return i;
	if (n_zones == ZONES_MAX)
		return 0;
	cs_copy(names[n_zones], ZONE_NAME_SIZE, name);
	return n_zones++;
}

const char *zone_name(unsigned zone)
{
	return names[zone];
}

unsigned zone_of(const char *addr)
{
	const struct source *s;
	size_t best = 0, len;
	unsigned zone = 0;

	LIST_FOREACH(s, &sources, entry) {
		len = strlen(s->prefix);
		if (len <= best || strncmp(addr, s->prefix, len) != 0)
			continue;
		best = len;
		zone = s->zone;
	}
	return zone;
}

struct zone_pair *pair_get(unsigned from, unsigned to)
{
	return &zone_pairs[from][to];
}

uint64_t pair_due_us(struct zone_pair *p, uint64_t now, size_t len)
{
	struct link *l = p->link;

	if (l == NULL || l->bytes_per_us <= 0)
		return now + p->delay_us;
	if (l->idle_at_us < now)
		l->idle_at_us = now;
	l->idle_at_us += (uint64_t)((double)len / l->bytes_per_us);
	return l->idle_at_us + p->delay_us;
}

static struct link *link_get_or_create(const char *name)
{
	struct link *l;

	LIST_FOREACH(l, &links, entry)
		if (strcmp(l->name, name) == 0)
			return l;
	l = cs_xcalloc(1, sizeof(*l));
	cs_copy(l->name, sizeof(l->name), name);
	LIST_INSERT_HEAD(&links, l, entry);
	return l;
}

bool zones_load(json_t *doc, struct cs_msg *msg)
{
	const char *prefix, *zone, *from, *to, *name;
	double ms, mbit;
	struct source *s;
	struct zone_pair *p;
	json_t *row;
	size_t i;

	json_array_foreach(json_object_get(doc, "sources"), i, row) {
		if (json_unpack(row, "{s:s,s:s}", "prefix", &prefix, "zone", &zone) != 0) {
			cs_msg_set(msg, "sources[%zu]: missing or malformed field", i);
			return false;
		}
		s = cs_xcalloc(1, sizeof(*s));
		cs_copy(s->prefix, sizeof(s->prefix), prefix);
		s->zone = zone_index(zone);
		LIST_INSERT_HEAD(&sources, s, entry);
	}
	json_array_foreach(json_object_get(doc, "links"), i, row) {
		mbit = 0;
		name = "";
		if (json_unpack(row, "{s:s,s:s,s:F,s?F,s?s}", "from", &from, "to", &to, "ms", &ms,
				"mbit", &mbit, "link", &name) != 0) {
			cs_msg_set(msg, "links[%zu]: missing or malformed field", i);
			return false;
		}
		p = pair_get(zone_index(from), zone_index(to));
		p->delay_us = (uint64_t)(ms * (double)CS_US_PER_MS);
		if (*name == '\0')
			continue;
		p->link = link_get_or_create(name);
		p->link->bytes_per_us = mbit / 8;
	}
	return true;
}

static bool matches(const char *want, unsigned zone)
{
	return want == NULL || strcmp(want, "*") == 0 || strcmp(want, names[zone]) == 0;
}

static void pair_set(struct zone_pair *p, struct cs_http_req *req)
{
	const char *mode = cs_http_query_arg(req, "mode"), *ms = cs_http_query_arg(req, "ms"),
		   *mbit = cs_http_query_arg(req, "mbit"),
		   *copies = cs_http_query_arg(req, "copies");

	if (mode != NULL)
		p->mode = strcmp(mode, "cut") == 0    ? MODE_CUT
			  : strcmp(mode, "hole") == 0 ? MODE_BLACK_HOLE
						      : MODE_OK;
	if (ms != NULL)
		p->delay_us = (uint64_t)(strtod(ms, NULL) * (double)CS_US_PER_MS);
	if (copies != NULL)
		p->copies = strcmp(copies, "1") == 0;
	if (mbit != NULL && p->link != NULL)
		p->link->bytes_per_us = strtod(mbit, NULL) / 8;
}

unsigned pairs_set(struct cs_http_req *req)
{
	const char *from = cs_http_query_arg(req, "from"), *to = cs_http_query_arg(req, "to");
	bool both = cs_http_query_arg(req, "both") != NULL;
	unsigned i, j, n = 0;

	for (i = 0; i < n_zones; i++) {
		for (j = 0; j < n_zones; j++) {
			if (!(matches(from, i) && matches(to, j)) &&
			    !(both && matches(from, j) && matches(to, i)))
				continue;
			pair_set(&zone_pairs[i][j], req);
			n++;
		}
	}
	return n;
}
