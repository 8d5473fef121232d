/* Log lines with syslog severities on standard error, rate-limited per call site. */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "base/base.h"

static char log_ident[64] = "cassia";
static enum cs_log_level log_max = CS_INFO;

static const char *const level_names[] = {"", "", "", "err", "warning", "notice", "info", "debug"};

void cs_log_open(const char *ident, enum cs_log_level max)
{
	cs_copy(log_ident, sizeof(log_ident), ident);
	log_max = max;
}

int cs_log_level_parse(const char *name)
{
	int i;

	for (i = CS_ERR; i <= CS_DEBUG; i++)
		if (strcmp(level_names[i], name) == 0)
			return i;
	return -1;
}

/* Applies the rate limit; *suppressed is the number of lines dropped in the previous window. */
static bool rate_limit_allows(struct cs_log_site *site, unsigned *suppressed)
{
	uint64_t now = cs_mono_us();

	*suppressed = 0;
	if (now - site->window_us >= CS_US_PER_S) {
		*suppressed = site->suppressed;
		site->window_us = now;
		site->count = 0;
		site->suppressed = 0;
	}
	if (site->count >= CS_LOG_BURST) {
		site->suppressed++;
		return false;
	}
	site->count++;
	return true;
}

void cs_log_write(struct cs_log_site *site, enum cs_log_level level, const char *component,
		  const char *fmt, ...)
{
	char line[1024];
	unsigned suppressed;
	va_list ap;
	int n;

	if (level > log_max || !rate_limit_allows(site, &suppressed))
		return;
	n = snprintf(line, sizeof(line), "<%d>%s[%s]: %s: ", level, log_ident, level_names[level],
		     component);
	va_start(ap, fmt);
	if (n > 0 && (size_t)n < sizeof(line))
		vsnprintf(line + n, sizeof(line) - (size_t)n, fmt, ap);
	va_end(ap);
	if (suppressed > 0)
		fprintf(stderr, "%s repeats=%u\n", line, suppressed);
	else
		fprintf(stderr, "%s\n", line);
}
