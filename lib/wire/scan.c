/*
 * Check before unpacking: a container may not claim more elements than bytes follow. msgpack
 * allocates for the claimed number, so that a few damaged bytes would ask for gigabytes.
 */
#include "wire/wire-int.h"

/* Bytes of a big-endian length field. */
static uint64_t length_at(const uint8_t *p, unsigned n)
{
	uint64_t v = 0;

	while (n-- > 0)
		v = v << 8 | *p++;
	return v;
}

/* What follows a type byte: a length field, bytes of the value, elements. */
struct shape {
	unsigned length; /* bytes of the length field */
	uint64_t fixed; /* bytes after it, or times the length for strings and binaries */
	unsigned elements; /* for each unit of the length: 1 array, 2 map */
	bool sized; /* the length counts bytes */
};

static struct shape shape_of(uint8_t t)
{
	static const uint8_t numbers[] = {4, 8, 1, 2, 4, 8, 1, 2, 4, 8}; /* 0xca to 0xd3 */

	if (t >= 0xa0 && t <= 0xbf)
		return (struct shape){.fixed = t & 0x1f};
	if (t >= 0xca && t <= 0xd3)
		return (struct shape){.fixed = numbers[t - 0xca]};
	if (t >= 0xd4 && t <= 0xd8)
		return (struct shape){.fixed = 1 + (1ULL << (t - 0xd4))};
	if (t >= 0xc4 && t <= 0xc6)
		return (struct shape){.length = 1U << (t - 0xc4), .sized = true};
	if (t >= 0xc7 && t <= 0xc9)
		return (struct shape){.length = 1U << (t - 0xc7), .sized = true, .fixed = 1};
	if (t >= 0xd9 && t <= 0xdb)
		return (struct shape){.length = 1U << (t - 0xd9), .sized = true};
	if (t == 0xdc || t == 0xdd)
		return (struct shape){.length = 2U << (t - 0xdc), .elements = 1};
	if (t == 0xde || t == 0xdf)
		return (struct shape){.length = 2U << (t - 0xde), .elements = 2};
	return (struct shape){0};
}

bool cs_wire_is_whole(const uint8_t *p, size_t len)
{
	uint64_t need = 1, count;
	size_t off = 0;
	struct shape s;
	uint8_t t;

	while (need > 0) {
		if (off >= len)
			return false;
		t = p[off++];
		need--;
		if (t >= 0x80 && t <= 0x9f) {
			need += t >= 0x90 ? t & 0x0fU : 2 * (t & 0x0fU);
		} else {
			s = shape_of(t);
			if (s.length > len - off)
				return false;
			count = length_at(p + off, s.length);
			off += s.length;
			need += count * s.elements;
			count = s.fixed + (s.sized ? count : 0);
			if (count > len - off)
				return false;
			off += count;
		}
		/* Each element that is still to come takes at least one byte. */
		if (need > len - off)
			return false;
	}
	return off == len;
}
