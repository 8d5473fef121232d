/* Cost of decisions and lookups by size: prints NAME VALUE UNIT lines. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/unit/policy-fixture.h"

#define S CS_US_PER_S
#define ROUNDS 20000
#define BATCH 16

static double ns_since(uint64_t start_us, unsigned n)
{
	return (double)(cs_mono_us() - start_us) * 1000 / n;
}

/* One instance of two, with 60 in 100 of its slots in use; only the decisions are timed. */
static void bench_decide(unsigned servers)
{
	struct fx_shape shape = {.no_bulk = true, .slots = 9};
	struct cs_view *v = fx_view(&shape);
	struct cs_policy *p = fx_policy("i-0", 1);
	unsigned held = servers * 9 / 2 * 6 / 10, n = 0, i, round;
	struct cs_target **ring = cs_xcalloc(held + BATCH, sizeof(void *));
	uint64_t now = 100 * S, spent = 0, began;
	char name[32];

	fx_member(v, "i-0", "z-0-0");
	fx_member(v, "i-1", "z-0-0");
	for (i = 0; i < servers; i++) {
		snprintf(name, sizeof(name), "s-%u", i);
		fx_server(v, name, "web", "z-0-0");
	}
	cs_policy_update(p, v, now);
	fx_announce_roster(p, v, now);
	for (round = 0; round < ROUNDS; round++) {
		struct cs_policy_request asks[BATCH];
		struct cs_decision d[BATCH];

		now += 200;
		for (i = 0; i < BATCH; i++)
			asks[i] = fx_request(FX_LOOKUPS, round * BATCH + i, now);
		began = cs_mono_us();
		for (i = 0; i < BATCH; i++)
			cs_policy_decide(p, &asks[i], now, &d[i]);
		spent += cs_mono_us() - began;
		for (i = 0; i < BATCH; i++) {
			if (d[i].verdict == CS_VERDICT_SEND)
				ring[n++] = d[i].u.send.target;
			else
				cs_policy_dequeue(p, &asks[i]);
		}
		while (n > held) {
			cs_policy_attempt_ended(p, ring[0], FX_LOOKUPS, CS_OUTCOME_OK, 20000, now);
			ring[0] = ring[--n];
		}
	}
	printf("decide_ns_%u %.0f ns\n", servers, (double)spent * 1000 / (ROUNDS * BATCH));
	free(ring);
	cs_policy_destroy(p);
	cs_view_destroy(v);
}

/* The sorted block table; a document of this size would be over the store's limit. */
static void set_blocks(struct cs_config *cfg, unsigned blocks)
{
	unsigned i;

	free(cfg->blocks);
	cfg->blocks = cs_xcalloc(blocks, sizeof(*cfg->blocks));
	cfg->n_blocks = blocks;
	for (i = 0; i < blocks; i++) {
		struct cs_block *b = &cfg->blocks[i];

		b->addr[10] = b->addr[11] = 0xff;
		b->addr[12] = (uint8_t)(10 + (i >> 16));
		b->addr[13] = (uint8_t)(i >> 8);
		b->addr[14] = (uint8_t)i;
		b->len = 96 + 24;
		b->zone = (uint16_t)(cs_hash(&i, sizeof(i), 0) % cfg->n_zones);
	}
	free(cfg->block_parents);
	cfg->block_parents = cs_blocks_find_parents(cfg->blocks, blocks);
}

/* 260 zones in 26 regions, 1,700 instances. */
static void bench_locate(unsigned blocks)
{
	struct fx_shape shape = {.regions = 26, .zones = 10, .no_bulk = true};
	struct cs_view *v = fx_view(&shape);
	struct cs_plan *plan;
	struct cs_locate_result l;
	uint8_t addr[16] = {0};
	unsigned i, found = 0;
	uint64_t began;
	char name[32];

	set_blocks(v->cfg, blocks);
	for (i = 0; i < 1700; i++) {
		snprintf(name, sizeof(name), "i-%u", i);
		fx_member(v, name, v->cfg->zones[i % 260].name);
	}
	for (i = 0; i < 260; i++)
		fx_load(v, v->cfg->zones[i].name, "web", 100, i % 7 ? 50 : 120);
	began = cs_mono_us();
	plan = cs_plan_create(v, 0);
	if (blocks == 110000)
		printf("plan_ms_260 %.1f ms\n", ns_since(began, 1) / 1e6);
	addr[10] = addr[11] = 0xff;
	began = cs_mono_us();
	for (i = 0; i < 500000; i++) {
		uint64_t h = cs_hash(&i, sizeof(i), 1);
		unsigned b = (unsigned)(h % blocks);

		addr[12] = (uint8_t)(10 + (b >> 16));
		addr[13] = (uint8_t)(b >> 8);
		addr[14] = (uint8_t)b;
		addr[15] = (uint8_t)(h >> 40);
		found += cs_plan_locate(plan, FX_LOOKUPS, addr, 0, 0, &l);
	}
	printf("locate_ns_%u %.0f ns\n", blocks, ns_since(began, 500000));
	if (found != 500000)
		printf("locate_missed %u lookups\n", 500000 - found);
	if (blocks == 110000)
		printf("blocks_mb_110000 %.2f MB\n",
		       blocks * (sizeof(*v->cfg->blocks) + sizeof(*v->cfg->block_parents)) / 1e6);
	cs_plan_destroy(plan);
	cs_view_destroy(v);
}

/* Cost of a new view at an instance of a zone with 18 instances and 260 zones elsewhere. */
static void bench_update(unsigned servers)
{
	struct fx_shape shape = {.regions = 26, .zones = 10, .no_bulk = true};
	struct cs_view *v = fx_view(&shape);
	struct cs_policy *p = fx_policy("i-0", 1);
	uint64_t now = 100 * S, began;
	char name[32];
	unsigned i;

	for (i = 0; i < 1700; i++) {
		snprintf(name, sizeof(name), "i-%u", i);
		fx_member(v, name, v->cfg->zones[i < 18 ? 0 : i % 260].name);
	}
	for (i = 0; i < 260; i++) {
		fx_load(v, v->cfg->zones[i].name, "web", 100, 50);
		fx_load(v, v->cfg->zones[i].name, "files", 100, 50);
	}
	for (i = 0; i < servers; i++) {
		snprintf(name, sizeof(name), "s-%u", i);
		fx_server(v, name, "web", "z-0-0");
	}
	cs_policy_update(p, v, now);
	began = cs_mono_us();
	for (i = 0; i < 100; i++)
		cs_policy_update(p, v, now += S / 4);
	printf("update_us_%u %.0f us\n", servers, ns_since(began, 100) / 1000);
	cs_policy_destroy(p);
	cs_view_destroy(v);
}

int main(void)
{
	bench_decide(20);
	bench_decide(2000);
	bench_update(20);
	bench_update(2000);
	bench_locate(1000);
	bench_locate(110000);
	return 0;
}
