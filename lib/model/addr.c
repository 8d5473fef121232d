/* Addresses, client blocks and the longest-prefix search over the sorted block table. */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "model/model-local.h"

#define V4_OFFSET 96 /* prefix bits of an IPv4 address in the mapped form */

bool cs_addr_parse(const char *text, uint8_t addr[16])
{
	static const uint8_t mapped[12] = {[10] = 0xff, [11] = 0xff};

	if (inet_pton(AF_INET, text, addr + 12) == 1) {
		memcpy(addr, mapped, sizeof(mapped));
		return true;
	}
	return inet_pton(AF_INET6, text, addr) == 1;
}

/* Number of leading bits that a and b share. */
static unsigned common_bits(const uint8_t a[16], const uint8_t b[16])
{
	unsigned i;

	for (i = 0; i < 16; i++) {
		if (a[i] != b[i])
			return i * 8 + (unsigned)__builtin_clz((unsigned)(a[i] ^ b[i])) - 24;
	}
	return 128;
}

/* Clears all bits after the first len. */
static void mask_bits(uint8_t addr[16], unsigned len)
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
	offset = strchr(buf, ':') == NULL ? V4_OFFSET : 0;
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
	mask_bits(masked, b->len);
	return memcmp(masked, b->addr, sizeof(masked)) == 0;
}

void cs_block_format(const struct cs_block *b, char out[CS_BLOCK_MAX])
{
	char addr[CS_ADDR_MAX] = "";
	bool v4 = b->len >= V4_OFFSET && IN6_IS_ADDR_V4MAPPED((const struct in6_addr *)b->addr);

	inet_ntop(v4 ? AF_INET : AF_INET6, v4 ? b->addr + 12 : b->addr, addr, sizeof(addr));
	snprintf(out, CS_BLOCK_MAX, "%s/%u", addr, b->len - (v4 ? V4_OFFSET : 0U));
}

int cs_block_cmp(const void *a, const void *b)
{
	const struct cs_block *x = a, *y = b;
	int d = memcmp(x->addr, y->addr, sizeof(x->addr));

	return d != 0 ? d : (int)x->len - (int)y->len;
}

/* Index of the last block that is not after the key, or -1. */
static int last_not_after(const struct cs_block *blocks, unsigned n, const struct cs_block *key)
{
	unsigned lo = 0, hi = n, mid;

	while (lo < hi) {
		mid = lo + (hi - lo) / 2;
		if (cs_block_cmp(&blocks[mid], key) <= 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return (int)lo - 1;
}

/*
 * The last block at or before the address either holds it, and is then the longest, or shares c
 * bits with it. Every block that holds the address also holds that one's start and so has at most c
 * bits: the search goes on for the address cut to c bits. One step for each level of nesting.
 */
int cs_blocks_locate(const struct cs_block *blocks, unsigned n, const uint8_t addr[16])
{
	struct cs_block key = {.len = 128};
	unsigned c;
	int i;

	memcpy(key.addr, addr, sizeof(key.addr));
	for (;;) {
		i = last_not_after(blocks, n, &key);
		if (i < 0)
			return -1;
		c = common_bits(blocks[i].addr, addr);
		if (c >= blocks[i].len)
			return i;
		key.len = (uint8_t)c;
		mask_bits(key.addr, c);
		n = (unsigned)i;
	}
}

int cs_config_locate(const struct cs_config *cfg, const uint8_t addr[16])
{
	int i = cs_blocks_locate(cfg->blocks, cfg->n_blocks, addr);

	return i < 0 ? -1 : cfg->blocks[i].zone;
}
