/*
 * Reloads the settings file on SIGHUP or when its mtime changes. The bounds and the
 * termination grace period take effect at once; all other settings need a restart.
 */
#include <signal.h>
#include <string.h>
#include <sys/stat.h>

#include "src/node/node.h"

#define CHECK_INTERVAL_US (1000 * CS_US_PER_MS)

static void on_settings_check(struct cs_timer *t, void *arg);

static uint64_t mtime_ns(const char *path)
{
	struct stat st;

	if (stat(path, &st) != 0)
		return 0;
	return (uint64_t)st.st_mtim.tv_sec * 1000000000ULL + (uint64_t)st.st_mtim.tv_nsec;
}

void reload_defer_signal(bool defer)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGHUP);
	sigprocmask(defer ? SIG_BLOCK : SIG_UNBLOCK, &set, NULL);
}

void reload_init(struct node *n)
{
	n->settings_mtime_ns = mtime_ns(n->settings_path);
	cs_timer_init(&n->settings_timer, on_settings_check, n);
	cs_timer_start_every(n->timers, &n->settings_timer, CHECK_INTERVAL_US);
}

void reload_now(struct node *n, const char *cause)
{
	static struct platform_settings loaded;
	struct cs_msg msg;

	n->settings_mtime_ns = mtime_ns(n->settings_path);
	if (!platform_settings_load(n->settings_path, &loaded, &msg)) {
		cs_event(n->events, CS_EVENT_IMPORTANT, "settings.refused", "cause=%s why=\"%s\"",
			 cause, msg.text);
		return;
	}
	n->settings.bounds = loaded.bounds;
	n->settings.termination_grace_ms = loaded.termination_grace_ms;
	n->settings.revoke_ms = loaded.revoke_ms;
	n->settings.quota = loaded.quota;
	cs_steer_set_bounds(n->steer, &loaded.bounds);
	workspaces_settings_changed(n);
	cs_event(n->events, CS_EVENT_IMPORTANT, "settings.reloaded",
		 "cause=%s retry_ratio=%.2f retry_extra=%u max_shift=%.2f", cause,
		 loaded.bounds.retry_ratio, loaded.bounds.retry_extra, loaded.bounds.max_shift);
}

static void on_settings_check(struct cs_timer *t, void *arg)
{
	struct node *n = arg;
	uint64_t mtime = mtime_ns(n->settings_path);

	if (mtime != 0 && mtime != n->settings_mtime_ns)
		reload_now(n, "file");
}
