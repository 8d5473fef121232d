/*
 * Changes of the settings file, by signal or found by its time of change. Limits take effect at
 * once; addresses and names are those of the start until the process is restarted.
 */
#include <string.h>
#include <sys/stat.h>

#include "src/node/node.h"

#define CHECK_US (1000 * CS_US_PER_MS)

static void on_check(struct cs_timer *t, void *arg);

static uint64_t mtime_ns(const char *path)
{
	struct stat st;

	if (stat(path, &st) != 0)
		return 0;
	return (uint64_t)st.st_mtim.tv_sec * 1000000000ULL + (uint64_t)st.st_mtim.tv_nsec;
}

void reload_watch(struct node *n)
{
	n->settings_mtime_ns = mtime_ns(n->settings_path);
	cs_timer_init(&n->settings_check, on_check, n);
	cs_timer_start_every(n->timers, &n->settings_check, CHECK_US);
}

void reload_now(struct node *n, const char *cause)
{
	static struct platform_settings fresh;
	struct cs_msg msg;

	n->settings_mtime_ns = mtime_ns(n->settings_path);
	if (!platform_settings_load(n->settings_path, &fresh, &msg)) {
		cs_event(n->events, CS_EVENT_KEEP, "settings.refused", "cause=%s why=\"%s\"", cause,
			 msg.text);
		return;
	}
	n->settings.bounds = fresh.bounds;
	n->settings.grace_ms = fresh.grace_ms;
	cs_steer_bounds(n->steer, &fresh.bounds);
	cs_event(n->events, CS_EVENT_KEEP, "settings.reloaded",
		 "cause=%s retry_ratio=%.2f retry_extra=%u max_shift=%.2f", cause,
		 fresh.bounds.retry_ratio, fresh.bounds.retry_extra, fresh.bounds.max_shift);
}

static void on_check(struct cs_timer *t, void *arg)
{
	struct node *n = arg;
	uint64_t mtime = mtime_ns(n->settings_path);

	if (mtime != 0 && mtime != n->settings_mtime_ns)
		reload_now(n, "file");
}
