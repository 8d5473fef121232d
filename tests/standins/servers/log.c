/* Request log: one JSON line for each request and for each state change of a server. */
#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "tests/standins/servers/servers.h"

#define BUFFER_BYTES (1 << 20)
#define FLUSH_INTERVAL_US (200 * CS_US_PER_MS)

static FILE *log_file;
static struct cs_timer flush_timer;

static const char *const outcome_names[] = {"done",    "cancelled", "deadline",
					    "refused", "truncated", "open"};
static const char *const state_names[] = {"ready", "starting", "draining"};

static void on_flush(struct cs_timer *t, void *arg)
{
	fflush(log_file);
}

bool log_open(const char *path, struct cs_msg *msg)
{
	if (*path == '\0')
		return true;
	log_file = fopen(path, "w");
	if (log_file == NULL) {
		cs_msg_set(msg, "%s: %s", path, strerror(errno));
		return false;
	}
	setvbuf(log_file, NULL, _IOFBF, BUFFER_BYTES);
	cs_timer_init(&flush_timer, on_flush, NULL);
	cs_timer_start_every(timers, &flush_timer, FLUSH_INTERVAL_US);
	return true;
}

void log_run(const struct run *r, enum outcome out)
{
	const struct server *s = r->server;
	unsigned long long digest = r->body_digest ? XXH64_digest(r->body_digest) : 0;

	if (log_file == NULL)
		return;
	fprintf(log_file,
		"{\"id\":\"%s\",\"class\":\"%s\",\"server\":\"%s\",\"service\":\"%s\","
		"\"zone\":\"%s\",\"outcome\":\"%s\",\"start_us\":%llu,\"end_us\":%llu,"
		"\"concurrent\":%u,\"slots\":%.0f,\"body_len\":%llu,\"body_digest\":\"%016llx\"}\n",
		r->id, r->class, s->name, s->service, s->zone, outcome_names[out],
		(unsigned long long)r->start_us, (unsigned long long)cs_mono_us(), r->concurrent,
		s->behaviour.slots, (unsigned long long)r->body_len, digest);
}

void log_state(const struct server *s)
{
	if (log_file == NULL)
		return;
	fprintf(log_file,
		"{\"event\":\"state\",\"server\":\"%s\",\"service\":\"%s\",\"zone\":\"%s\","
		"\"state\":\"%s\",\"at_us\":%llu}\n",
		s->name, s->service, s->zone, state_names[(int)s->behaviour.state],
		(unsigned long long)cs_mono_us());
}

void log_close(void)
{
	if (log_file != NULL)
		fclose(log_file);
}
