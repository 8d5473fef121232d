/* Contents of the store of the users' platform, for the commands that show them. */
#ifndef CS_CTL_PLATFORM_H
#define CS_CTL_PLATFORM_H

#include "platform/platform.h"
#include "src/ctl/ctl.h"

/* All entries of the store. */
struct ctl_platform {
	struct cs_document *doc; /* NULL: absent or invalid */
	uint64_t revision; /* of the store */
	struct cs_server_entry *servers; /* sorted by zone, service, id */
	unsigned n_servers, n_invalid; /* server entries that are valid, and those that are not */
	struct platform_instance *instances; /* sorted by zone, name */
	unsigned n_instances;
	char **evacuated; /* zone names */
	unsigned n_evacuated;
};

/* Reads all keys. Prints any error and returns an exit code. */
int ctl_platform_load(struct ctl *ctl, struct ctl_platform *p);
void ctl_platform_free(struct ctl_platform *p);
bool ctl_platform_evacuated(const struct ctl_platform *p, const char *zone);

/* Variants of the commands for --platform; return an exit code. */
int ctl_platform_status(struct ctl *ctl);
/* service, zone and state are filters; NULL matches all. */
int ctl_platform_servers(struct ctl *ctl, const char *service, const char *zone, const char *state);

#endif
