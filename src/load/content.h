/*
 * Body content generated from the request id, so that each side can verify every byte without a
 * copy of the body. Word i of a body is a mix of the seed, which is a hash of the id, and i.
 */
#ifndef CS_LOAD_CONTENT_H
#define CS_LOAD_CONTENT_H

#include <string.h>
#include <xxhash.h>

#include "base/base.h"

/* The purpose of a body is hashed into its seed, so that both bodies of a request id differ. */
#define CONTENT_RESPONSE 1
#define CONTENT_UPLOAD 2

static inline uint64_t content_seed(const char *id, unsigned purpose)
{
	return cs_hash_str(id, purpose);
}

static inline uint64_t content_word(uint64_t seed, uint64_t i)
{
	uint64_t z = seed + i * 0x9e3779b97f4a7c15ULL;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	return z ^ (z >> 31);
}

/* Writes bytes [pos, pos + len) of a body. */
static inline void content_fill(uint64_t seed, uint64_t pos, void *out, size_t len)
{
	uint8_t *p = out;
	uint64_t w;
	size_t off, n;

	while (len > 0) {
		off = pos % sizeof(w);
		n = sizeof(w) - off < len ? sizeof(w) - off : len;
		w = content_word(seed, pos / sizeof(w));
		memcpy(p, (const uint8_t *)&w + off, n);
		p += n;
		pos += n;
		len -= n;
	}
}

/* XXH64 of the first len bytes of a body. */
static inline uint64_t content_digest(uint64_t seed, uint64_t len)
{
	XXH64_state_t *st;
	uint8_t block[4096];
	uint64_t pos = 0, digest;
	size_t n;

	if (len <= sizeof(block)) {
		content_fill(seed, 0, block, (size_t)len);
		return XXH64(block, (size_t)len, 0);
	}
	st = XXH64_createState();
	XXH64_reset(st, 0);
	while (pos < len) {
		n = len - pos < sizeof(block) ? (size_t)(len - pos) : sizeof(block);
		content_fill(seed, pos, block, n);
		XXH64_update(st, block, n);
		pos += n;
	}
	digest = XXH64_digest(st);
	XXH64_freeState(st);
	return digest;
}

#endif
