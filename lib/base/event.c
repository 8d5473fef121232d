/* Buffered event log with a limit of lines per second. */
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/event.h"

#define LINE_MAX_BYTES 700
#define BUFFER_BYTES (64 * 1024)
/* Delay before buffered lines are written, unless the buffer gets half full earlier. */
#define FLUSH_DELAY_US (200 * CS_US_PER_MS)
/* Limits for all lines and, in addition, for CS_EVENT_SAMPLED lines. */
#define LINES_PER_S_MAX 400
#define SAMPLES_PER_S_MAX 5

struct cs_events {
	struct cs_timers *timers;
	struct cs_timer flush;
	char ident[64];
	int fd;
	char buf[BUFFER_BYTES];
	size_t len;
	uint64_t second; /* second of the monotonic clock in which lines and samples are counted */
	unsigned lines, samples;
	uint64_t dropped, dropped_logged; /* dropped lines; how many of them were logged */
};

static void on_flush(struct cs_timer *t, void *arg);

struct cs_events *cs_events_create(struct ev_loop *loop, struct cs_timers *ts, int fd,
				   const char *ident)
{
	struct cs_events *ev = cs_xcalloc(1, sizeof(*ev));
	int flags = fcntl(fd, F_GETFL);

	ev->timers = ts;
	ev->fd = fd;
	cs_copy(ev->ident, sizeof(ev->ident), ident);
	if (flags >= 0)
		fcntl(fd, F_SETFL, flags | O_NONBLOCK);
	cs_timer_init(&ev->flush, on_flush, ev);
	return ev;
}

/* Writes as much as is possible without blocking; discards the buffer on a write error. */
static void buffer_write(struct cs_events *ev)
{
	ssize_t n;

	while (ev->len > 0) {
		n = write(ev->fd, ev->buf, ev->len);
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			return;
		if (n <= 0) {
			ev->len = 0;
			return;
		}
		ev->len -= (size_t)n;
		memmove(ev->buf, ev->buf + n, ev->len);
	}
}

void cs_events_destroy(struct cs_events *ev)
{
	if (ev == NULL)
		return;
	buffer_write(ev);
	cs_timer_stop(&ev->flush);
	free(ev);
}

static void on_flush(struct cs_timer *t, void *arg)
{
	struct cs_events *ev = arg;

	buffer_write(ev);
	if (ev->len > 0)
		cs_timer_start(ev->timers, t, FLUSH_DELAY_US);
}

/* Appends a formatted line; returns false if the buffer is full. */
static bool buffer_append(struct cs_events *ev, const char *line, size_t len)
{
	if (ev->len + len > sizeof(ev->buf))
		return false;
	memcpy(ev->buf + ev->len, line, len);
	ev->len += len;
	if (ev->len > sizeof(ev->buf) / 2)
		buffer_write(ev);
	if (ev->len > 0 && !cs_timer_active(&ev->flush))
		cs_timer_start(ev->timers, &ev->flush, FLUSH_DELAY_US);
	return true;
}

/* Counts the line and applies the limits per second. */
static bool rate_limit_allows(struct cs_events *ev, enum cs_event_class class)
{
	uint64_t second = cs_timers_now(ev->timers) / CS_US_PER_S;

	if (second != ev->second) {
		ev->second = second;
		ev->lines = ev->samples = 0;
	}
	if (class == CS_EVENT_SAMPLED && ++ev->samples > SAMPLES_PER_S_MAX)
		return false;
	return ++ev->lines <= LINES_PER_S_MAX;
}

/* Writes the fields common to all lines; returns their length. */
static size_t format_prefix(const struct cs_events *ev, char *line, size_t size, const char *name)
{
	int64_t ms = cs_wall_ms();
	int n = snprintf(line, size, "t=%lld.%03lld event=%s instance=%s ", (long long)(ms / 1000),
			 (long long)(ms % 1000), name, ev->ident);

	return n > 0 ? (size_t)n : 0;
}

/* Logs how many lines were dropped since the last log.dropped line. */
static void log_dropped(struct cs_events *ev)
{
	uint64_t n = ev->dropped - ev->dropped_logged;
	char line[LINE_MAX_BYTES];
	size_t len;

	if (n == 0)
		return;
	len = format_prefix(ev, line, sizeof(line), "log.dropped");
	len += (size_t)snprintf(line + len, sizeof(line) - len, "lines=%llu\n",
				(unsigned long long)n);
	if (buffer_append(ev, line, len))
		ev->dropped_logged = ev->dropped;
}

void cs_event(struct cs_events *ev, enum cs_event_class class, const char *name, const char *fmt,
	      ...)
{
	char line[LINE_MAX_BYTES];
	size_t len, i;
	va_list ap;
	int n;

	if (!rate_limit_allows(ev, class)) {
		ev->dropped += class == CS_EVENT_IMPORTANT;
		return;
	}
	len = format_prefix(ev, line, sizeof(line), name);
	va_start(ap, fmt);
	n = vsnprintf(line + len, sizeof(line) - len - 1, fmt, ap);
	va_end(ap);
	len += n > 0 ? (size_t)n : 0;
	if (len > sizeof(line) - 2)
		len = sizeof(line) - 2;
	for (i = 0; i < len; i++)
		if ((unsigned char)line[i] < 0x20 || line[i] == 0x7f)
			line[i] = '?';
	line[len++] = '\n';
	if (!buffer_append(ev, line, len)) {
		ev->dropped++;
		return;
	}
	log_dropped(ev);
}
