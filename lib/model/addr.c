/* Addresses, client blocks and longest-prefix match in the sorted block table. */
#include <arpa/inet.h>
#include <endian.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "model/model-local.h"

#define V4_MAPPED_BITS 96 /* length of the prefix ::ffff:0:0 of IPv4-mapped addresses */

bool cs_addr_parse(const char *text, uint8_t addr[16])
{
	static const uint8_t mapped[12] = {[10] = 0xff, [11] = 0xff};

	if (inet_pton(AF_INET, text, addr + 12) == 1) {
		memcpy(addr, mapped, sizeof(mapped));
		return true;
	}
	return inet_pton(AF_INET6, text, addr) == 1;
}

/* Length of the common prefix of a and b in bits. */
static unsigned common_bits(const uint8_t a[16], const uint8_t b[16])
{
	unsigned i;

	for (i = 0; i < 16; i++) {
		if (a[i] != b[i])
			return i * 8 + (unsigned)__builtin_clz((unsigned)(a[i] ^ b[i])) - 24;
	}
	return 128;
}

/* Clears the bits beyond a prefix of len bits. */
static void clear_host_bits(uint8_t addr[16], unsigned len)
{
	unsigned i;

	for (i = (len + 7) / 8; i < 16; i++)
		addr[i] = 0;
	if (len % 8 != 0)
		addr[len / 8] &= (uint8_t)(0xff00 >> (len % 8));
}

bool cs_block_parse(const char *text, struct cs_block *b)
{
	char buf[CS_BLOCK_MAX], *slash, *end;
	uint8_t masked[16];
	unsigned offset, max;
	unsigned long len;

	memset(b, 0, sizeof(*b));
	if (!cs_copy(buf, sizeof(buf), text))
		return false;
	slash = strchr(buf, '/');
	if (slash != NULL)
		*slash++ = '\0';
	offset = strchr(buf, ':') == NULL ? V4_MAPPED_BITS : 0;
	max = 128 - offset;
	if (!cs_addr_parse(buf, b->addr))
		return false;
	len = max;
	if (slash != NULL) {
		if (slash[0] < '0' || slash[0] > '9')
			return false;
		len = strtoul(slash, &end, 10);
		if (*end != '\0' || len > max)
			return false;
	}
	b->len = (uint8_t)(len + offset);
	memcpy(masked, b->addr, sizeof(masked));
	clear_host_bits(masked, b->len);
	return memcmp(masked, b->addr, sizeof(masked)) == 0;
}

void cs_block_format(const struct cs_block *b, char out[CS_BLOCK_MAX])
{
	char addr[CS_ADDR_MAX] = "";
	bool v4 = b->len >= V4_MAPPED_BITS &&
		  IN6_IS_ADDR_V4MAPPED((const struct in6_addr *)b->addr);

	inet_ntop(v4 ? AF_INET : AF_INET6, v4 ? b->addr + 12 : b->addr, addr, sizeof(addr));
	snprintf(out, CS_BLOCK_MAX, "%s/%u", addr, b->len - (v4 ? V4_MAPPED_BITS : 0U));
}

int cs_block_cmp(const void *a, const void *b)
{
	const struct cs_block *x = a, *y = b;
	int d = memcmp(x->addr, y->addr, sizeof(x->addr));

	return d != 0 ? d : (int)x->len - (int)y->len;
}

/* Sort key of a block: integers in host order, which compare faster than with memcmp. */
struct addr_key {
	uint64_t high, low;
	unsigned len;
};

static struct addr_key make_addr_key(const uint8_t addr[16], unsigned len)
{
	struct addr_key k = {.len = len};

	memcpy(&k.high, addr, sizeof(k.high));
	memcpy(&k.low, addr + sizeof(k.high), sizeof(k.low));
	k.high = be64toh(k.high);
	k.low = be64toh(k.low);
	return k;
}

static bool block_is_after(const struct cs_block *b, const struct addr_key *key)
{
	struct addr_key k = make_addr_key(b->addr, b->len);

	if (k.high != key->high)
		return k.high > key->high;
	if (k.low != key->low)
		return k.low > key->low;
	return k.len > key->len;
}

/* Index of the last block that sorts at or before the key, or -1. */
static int last_at_or_before(const struct cs_block *blocks, unsigned n, const struct addr_key *key)
{
	unsigned base = 0, half;

	if (n == 0 || block_is_after(&blocks[0], key))
		return -1;
	while (n > 1) {
		half = n / 2;
		base = block_is_after(&blocks[base + half], key) ? base : base + half;
		n -= half;
	}
	return (int)base;
}

/*
 * Let L be the last block that sorts at or before the address. If L contains the address, L is the
 * longest match. Otherwise every block that contains the address also contains the start of L and
 * so is an ancestor of L. Without parents the search is repeated for the address masked to the bits
 * in common with L.
 */
int cs_blocks_match(const struct cs_block *blocks, const uint32_t *parents, unsigned n,
		    const uint8_t addr[16])
{
	struct addr_key key = make_addr_key(addr, 128);
	uint8_t masked[16];
	unsigned common_len;
	int i = last_at_or_before(blocks, n, &key);

	memcpy(masked, addr, sizeof(masked));
	while (i >= 0) {
		common_len = common_bits(blocks[i].addr, addr);
		if (common_len >= blocks[i].len)
			return i;
		if (parents != NULL) {
			i = (int)parents[i] - 1;
			continue;
		}
		clear_host_bits(masked, common_len);
		key = make_addr_key(masked, common_len);
		i = last_at_or_before(blocks, (unsigned)i, &key);
	}
	return -1;
}

uint32_t *cs_blocks_find_parents(const struct cs_block *blocks, unsigned n)
{
	uint32_t *parents = cs_xcalloc(n, sizeof(*parents)), at;
	unsigned i;

	for (i = 1; i < n; i++) {
		/* A block that contains blocks[i] is the block before it or an ancestor of that. */
		for (at = i; at != 0; at = parents[at - 1]) {
			if (common_bits(blocks[at - 1].addr, blocks[i].addr) >= blocks[at - 1].len)
				break;
		}
		parents[i] = at;
	}
	return parents;
}

int cs_config_zone_of_addr(const struct cs_config *cfg, const uint8_t addr[16])
{
	int i = cs_blocks_match(cfg->blocks, cfg->block_parents, cfg->n_blocks, addr);

	return i < 0 ? -1 : cfg->blocks[i].zone;
}
