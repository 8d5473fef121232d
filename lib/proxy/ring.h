/*
 * ring: bounded ring buffer between two connections. Data that was read stays in place until new
 * data needs the space, so a body no larger than the buffer can be read again for another attempt.
 */
#ifndef CS_PROXY_RING_H
#define CS_PROXY_RING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct ring {
	char *data;
	size_t size; /* bytes allocated */
	size_t max; /* upper limit of size */
	uint64_t written; /* bytes written since the last reset */
	uint64_t consumed; /* bytes read since the last reset or rewind */
};

void ring_init(struct ring *r, size_t max);
void ring_free(struct ring *r);
/* Empties the buffer for reuse; keeps the memory if it has at most keep bytes. */
void ring_reset(struct ring *r, size_t max, size_t keep);
/* Allocates space for content of a known size in one step. */
void ring_reserve(struct ring *r, size_t size);
/* Bytes that can be written now. */
size_t ring_space(const struct ring *r);
/* Bytes that can be read now. */
size_t ring_used(const struct ring *r);
/* Writes at most n bytes; returns the number written. */
size_t ring_write(struct ring *r, const char *data, size_t n);
/* Reads at most n bytes; returns the number read. */
size_t ring_read(struct ring *r, char *out, size_t n);
/* True while all bytes written since the last reset are still in the buffer, from data[0] on. */
bool ring_is_intact(const struct ring *r);
/* Restarts reading at the first byte; returns false if data was overwritten. */
bool ring_rewind(struct ring *r);

#endif
