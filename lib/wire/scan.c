/*
 * Check of msgpack data before unpacking: the element count of an array or map must not exceed the
 * number of bytes that follow. msgpack allocates memory for the declared count, so that a few
 * corrupted bytes could cause an allocation of gigabytes.
 */
#include "wire/wire-int.h"

/* Reads a big-endian length of n bytes. */
static uint64_t read_length(const uint8_t *p, unsigned n)
{
	uint64_t v = 0;

	while (n-- > 0)
		v = v << 8 | *p++;
	return v;
}

/* Layout of the data after a type byte. */
struct layout {
	unsigned length_size; /* size of the length field in bytes */
	uint64_t fixed_size; /* bytes of data besides those that the length counts */
	unsigned elements; /* elements per unit of the length: 1 for arrays, 2 for maps */
	bool counts_bytes; /* the length is a number of bytes */
};

static struct layout layout_of_type(uint8_t t)
{
	static const uint8_t number_sizes[] = {4, 8, 1, 2, 4, 8, 1, 2, 4, 8}; /* 0xca to 0xd3 */

	if (t >= 0xa0 && t <= 0xbf)
		return (struct layout){.fixed_size = t & 0x1f};
	if (t >= 0xca && t <= 0xd3)
		return (struct layout){.fixed_size = number_sizes[t - 0xca]};
	if (t >= 0xd4 && t <= 0xd8)
		return (struct layout){.fixed_size = 1 + (1ULL << (t - 0xd4))};
	if (t >= 0xc4 && t <= 0xc6)
		return (struct layout){.length_size = 1U << (t - 0xc4), .counts_bytes = true};
	if (t >= 0xc7 && t <= 0xc9)
		return (struct layout){
			.length_size = 1U << (t - 0xc7), .counts_bytes = true, .fixed_size = 1};
	if (t >= 0xd9 && t <= 0xdb)
		return (struct layout){.length_size = 1U << (t - 0xd9), .counts_bytes = true};
	if (t == 0xdc || t == 0xdd)
		return (struct layout){.length_size = 2U << (t - 0xdc), .elements = 1};
	if (t == 0xde || t == 0xdf)
		return (struct layout){.length_size = 2U << (t - 0xde), .elements = 2};
	return (struct layout){0};
}

bool cs_wire_is_well_formed(const uint8_t *p, size_t len)
{
	uint64_t remaining = 1, count;
	size_t off = 0;
	struct layout s;
	uint8_t t;

	while (remaining > 0) {
		if (off >= len)
			return false;
		t = p[off++];
		remaining--;
		if (t >= 0x80 && t <= 0x9f) {
			remaining += t >= 0x90 ? t & 0x0fU : 2 * (t & 0x0fU);
		} else {
			s = layout_of_type(t);
			if (s.length_size > len - off)
				return false;
			count = read_length(p + off, s.length_size);
			off += s.length_size;
			remaining += count * s.elements;
			count = s.fixed_size + (s.counts_bytes ? count : 0);
			if (count > len - off)
				return false;
			off += count;
		}
		/* Each of the remaining elements takes at least one byte. */
		if (remaining > len - off)
			return false;
	}
	return off == len;
}
