/* Wall-clock times of the configuration document: UTC, in whole seconds. */
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "model/model-local.h"

bool cs_time_parse(const char *text, int64_t *ms)
{
	static const char pattern[] = "dddd-dd-ddTdd:dd:ddZ";
	struct tm tm, normalized;
	time_t t;
	size_t i;

	if (strlen(text) != sizeof(pattern) - 1)
		return false;
	for (i = 0; i < sizeof(pattern) - 1; i++) {
		if (pattern[i] == 'd' ? text[i] < '0' || text[i] > '9' : text[i] != pattern[i])
			return false;
	}
	memset(&tm, 0, sizeof(tm));
	if (strptime(text, "%Y-%m-%dT%H:%M:%SZ", &tm) == NULL)
		return false;
	/* timegm normalizes 30 February to 2 March; reject times that it changes. */
	normalized = tm;
	t = timegm(&normalized);
	if (t < 0 || normalized.tm_mday != tm.tm_mday || normalized.tm_sec != tm.tm_sec)
		return false;
	*ms = (int64_t)t * 1000;
	return true;
}

void cs_time_format(int64_t ms, char out[CS_TIME_MAX])
{
	time_t t = (time_t)(ms / 1000);
	struct tm tm;

	gmtime_r(&t, &tm);
	if (strftime(out, CS_TIME_MAX, "%Y-%m-%dT%H:%M:%SZ", &tm) == 0)
		out[0] = '\0';
}
