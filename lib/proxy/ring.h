/*
 * ring: bounded byte buffer between two connections. What was read stays in place until new bytes
 * need the room, so that a body not larger than the buffer can be read again for a second attempt.
 */
#ifndef CS_PROXY_RING_H
#define CS_PROXY_RING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct ring {
	char *data;
	size_t size; /* bytes allocated */
	size_t max; /* size never grows beyond this */
	uint64_t in; /* bytes put in since the last reset */
	uint64_t out; /* bytes taken out */
};

void ring_init(struct ring *r, size_t max);
void ring_free(struct ring *r);
/* Empties the buffer for another use; keeps the memory if it has at most keep bytes. */
void ring_reset(struct ring *r, size_t max, size_t keep);
/* Makes room for a content of known size in one step. */
void ring_reserve(struct ring *r, size_t size);
/* Bytes that can be put in now. */
size_t ring_space(const struct ring *r);
/* Bytes that can be taken out now. */
size_t ring_used(const struct ring *r);
/* Copies in at most n bytes; returns how many. */
size_t ring_put(struct ring *r, const char *data, size_t n);
/* Copies out at most n bytes; returns how many. */
size_t ring_get(struct ring *r, char *out, size_t n);
/* True while all bytes put in since the last reset are still in the buffer, from data[0] on. */
bool ring_whole(const struct ring *r);
/* Starts reading from the first byte again; false if bytes were overwritten. */
bool ring_rewind(struct ring *r);

#endif
