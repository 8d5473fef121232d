/* Memory, strings, clocks, hashing and random ids. */
#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "base/base.h"

#define EDIT_LEN_MAX 64
#define EDIT_DISTANCE_MAX 99

static void out_of_memory(void)
{
	fputs("cassia: out of memory\n", stderr);
	abort();
}

void *cs_xcalloc(size_t n, size_t size)
{
	void *p = calloc(n ? n : 1, size ? size : 1);

	if (p == NULL)
		out_of_memory();
	return p;
}

void *cs_xrealloc(void *p, size_t n, size_t size)
{
	p = reallocarray(p, n ? n : 1, size ? size : 1);
	if (p == NULL)
		out_of_memory();
	return p;
}

char *cs_xstrdup(const char *s)
{
	char *p = strdup(s);

	if (p == NULL)
		out_of_memory();
	return p;
}

char *cs_xasprintf(const char *fmt, ...)
{
	char *p = NULL;
	va_list ap;

	va_start(ap, fmt);
	if (vasprintf(&p, fmt, ap) < 0)
		out_of_memory();
	va_end(ap);
	return p;
}

bool cs_copy(char *dst, size_t size, const char *src)
{
	size_t len = strnlen(src, size);
	bool fits = len < size;

	if (!fits)
		len = size - 1;
	memcpy(dst, src, len);
	dst[len] = '\0';
	return fits;
}

void cs_msg_set(struct cs_msg *msg, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(msg->text, sizeof(msg->text), fmt, ap);
	va_end(ap);
}

uint64_t cs_mono_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * CS_US_PER_S + (uint64_t)ts.tv_nsec / 1000;
}

uint64_t cs_boottime_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (uint64_t)ts.tv_sec * CS_US_PER_S + (uint64_t)ts.tv_nsec / 1000;
}

int64_t cs_wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

uint64_t cs_hash(const void *data, size_t len, uint64_t seed)
{
	return XXH64(data, len, seed);
}

uint64_t cs_hash_str(const char *s, uint64_t seed)
{
	return XXH64(s, strlen(s), seed);
}

uint64_t cs_random_u64(void)
{
	uint64_t v;

	randombytes_buf(&v, sizeof(v));
	return v;
}

void cs_random_id(char *out, size_t size, const char *prefix)
{
	snprintf(out, size, "%s%016llx", prefix, (unsigned long long)cs_random_u64());
}

void cs_rng_seed(struct cs_rng *rng, uint64_t seed)
{
	rng->state = seed;
}

/* SplitMix64: has the full period of 2^64 for every seed. */
uint64_t cs_rng_next(struct cs_rng *rng)
{
	uint64_t z = (rng->state += 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

uint32_t cs_rng_below(struct cs_rng *rng, uint32_t n)
{
	return (uint32_t)(((cs_rng_next(rng) >> 32) * n) >> 32);
}

double cs_rng_unit(struct cs_rng *rng)
{
	return (double)(cs_rng_next(rng) >> 11) * 0x1.0p-53;
}

/* Levenshtein distance; words of more than EDIT_LEN_MAX bytes match nothing. */
static unsigned edit_distance(const char *a, const char *b)
{
	unsigned row[EDIT_LEN_MAX + 1], la = (unsigned)strlen(a), lb = (unsigned)strlen(b), i, j,
					diag, up;

	if (la > EDIT_LEN_MAX || lb > EDIT_LEN_MAX)
		return EDIT_DISTANCE_MAX;
	for (j = 0; j <= lb; j++)
		row[j] = j;
	for (i = 1; i <= la; i++) {
		diag = row[0];
		row[0] = i;
		for (j = 1; j <= lb; j++) {
			up = row[j];
			row[j] = diag + (a[i - 1] != b[j - 1]);
			if (up + 1 < row[j])
				row[j] = up + 1;
			if (row[j - 1] + 1 < row[j])
				row[j] = row[j - 1] + 1;
			diag = up;
		}
	}
	return row[lb];
}

const char *cs_closest_name(const char *word, const char *const *names, size_t n)
{
	unsigned best = EDIT_DISTANCE_MAX, d, limit = (unsigned)strlen(word) / 2 + 1;
	const char *found = NULL;
	size_t i;

	for (i = 0; i < n; i++) {
		d = edit_distance(word, names[i]);
		if (d < best) {
			best = d;
			found = names[i];
		}
	}
	return best <= limit ? found : NULL;
}

#if CS_FAULTS
bool cs_fault_enabled(const char *name)
{
	const char *list = getenv("CASSIA_FAULT"), *p = list;
	size_t len = strlen(name);

	while (p != NULL && (p = strstr(p, name)) != NULL) {
		if ((p == list || p[-1] == ',') && (p[len] == '\0' || p[len] == ','))
			return true;
		p += len;
	}
	return false;
}
#endif
