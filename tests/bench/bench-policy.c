/* Cost of decisions and lookups by deployment size; prints NAME VALUE UNIT lines. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/unit/policy-fixture.h"

#define ROUNDS 20000
#define BATCH_SIZE 16
#define LOCATE_ROUNDS 500000
#define INSTANCES 1700
#define ZONES 260

static double ns_per_call(uint64_t start_us, unsigned n)
{
	return (double)(cs_mono_us() - start_us) * 1000 / n;
}

/* One instance of two, with 60% of its slots in use. Measures only the decisions. */
static void bench_decide(unsigned servers)
{
	struct fx_shape shape = {.no_bulk = true, .slots = 9};
	struct cs_view *v = fx_view(&shape);
	struct cs_policy *p = fx_policy("i-0", 1);
	unsigned target_in_flight = servers * 9 / 2 * 6 / 10, n_attempts = 0, i, round;
	struct cs_target **attempts = cs_xcalloc(target_in_flight + BATCH_SIZE, sizeof(void *));
	uint64_t now = 100 * CS_US_PER_S, spent_us = 0, start_us;
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
		struct cs_policy_request requests[BATCH_SIZE];
		struct cs_decision decisions[BATCH_SIZE];

		now += 200;
		for (i = 0; i < BATCH_SIZE; i++)
			requests[i] = fx_request(FX_LOOKUPS, round * BATCH_SIZE + i, now);
		start_us = cs_mono_us();
		for (i = 0; i < BATCH_SIZE; i++)
			cs_policy_decide(p, &requests[i], now, &decisions[i]);
		spent_us += cs_mono_us() - start_us;
		for (i = 0; i < BATCH_SIZE; i++) {
			if (decisions[i].verdict == CS_VERDICT_SEND)
				attempts[n_attempts++] = decisions[i].u.send.target;
			else
				cs_policy_dequeue(p, &requests[i]);
		}
		while (n_attempts > target_in_flight) {
			cs_policy_attempt_ended(p, attempts[0], FX_LOOKUPS, CS_OUTCOME_OK, 20000,
						now);
			attempts[0] = attempts[--n_attempts];
		}
	}
	printf("decide_ns_%u %.0f ns\n", servers, (double)spent_us * 1000 / (ROUNDS * BATCH_SIZE));
	free(attempts);
	cs_policy_destroy(p);
	cs_view_destroy(v);
}

/* Sets the sorted block table directly: a document of this size exceeds the limit of the store. */
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

/* Lookups with 260 zones in 26 regions and 1,700 instances. */
static void bench_locate(unsigned blocks)
{
	struct fx_shape shape = {.regions = 26, .zones = 10, .no_bulk = true};
	struct cs_view *v = fx_view(&shape);
	struct cs_plan *plan;
	struct cs_locate_result result;
	uint8_t addr[16] = {0};
	unsigned i, n_found = 0;
	uint64_t start_us;
	char name[32];

	set_blocks(v->cfg, blocks);
	for (i = 0; i < INSTANCES; i++) {
		snprintf(name, sizeof(name), "i-%u", i);
		fx_member(v, name, v->cfg->zones[i % ZONES].name);
	}
	for (i = 0; i < ZONES; i++)
		fx_load(v, v->cfg->zones[i].name, "web", 100, i % 7 ? 50 : 120);
	start_us = cs_mono_us();
	plan = cs_plan_create(v, 0);
	if (blocks == 110000)
		printf("plan_ms_260 %.1f ms\n", ns_per_call(start_us, 1) / 1e6);
	addr[10] = addr[11] = 0xff;
	start_us = cs_mono_us();
	for (i = 0; i < LOCATE_ROUNDS; i++) {
		uint64_t h = cs_hash(&i, sizeof(i), 1);
		unsigned b = (unsigned)(h % blocks);

		addr[12] = (uint8_t)(10 + (b >> 16));
		addr[13] = (uint8_t)(b >> 8);
		addr[14] = (uint8_t)b;
		addr[15] = (uint8_t)(h >> 40);
		n_found += cs_plan_locate(plan, FX_LOOKUPS, addr, 0, 0, &result);
	}
	printf("locate_ns_%u %.0f ns\n", blocks, ns_per_call(start_us, LOCATE_ROUNDS));
	if (n_found != LOCATE_ROUNDS)
		printf("locate_missed %u lookups\n", LOCATE_ROUNDS - n_found);
	if (blocks == 110000)
		printf("blocks_mb_110000 %.2f MB\n",
		       blocks * (sizeof(*v->cfg->blocks) + sizeof(*v->cfg->block_parents)) / 1e6);
	cs_plan_destroy(plan);
	cs_view_destroy(v);
}

/* Cost of a new view for an instance of a zone with 24 instances, in a deployment of 260 zones. */
static void bench_update(unsigned servers)
{
	struct fx_shape shape = {.regions = 26, .zones = 10, .no_bulk = true};
	struct cs_view *v = fx_view(&shape);
	struct cs_policy *p = fx_policy("i-0", 1);
	uint64_t now = 100 * CS_US_PER_S, start_us;
	char name[32];
	unsigned i;

	for (i = 0; i < INSTANCES; i++) {
		snprintf(name, sizeof(name), "i-%u", i);
		fx_member(v, name, v->cfg->zones[i < 18 ? 0 : i % ZONES].name);
	}
	for (i = 0; i < ZONES; i++) {
		fx_load(v, v->cfg->zones[i].name, "web", 100, 50);
		fx_load(v, v->cfg->zones[i].name, "files", 100, 50);
	}
	for (i = 0; i < servers; i++) {
		snprintf(name, sizeof(name), "s-%u", i);
		fx_server(v, name, "web", "z-0-0");
	}
	cs_policy_update(p, v, now);
	start_us = cs_mono_us();
	for (i = 0; i < 100; i++)
		cs_policy_update(p, v, now += CS_US_PER_S / 4);
	printf("update_us_%u %.0f us\n", servers, ns_per_call(start_us, 100) / 1000);
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
