/*
 * Seeded mutations of a valid document. The parser must accept or refuse each without a crash; an
 * accepted one must be within all limits, and its canonical text must parse to the same text. The
 * environment variables SEED and ROUNDS select the seed and the number of documents.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "model/model.h"

#define ROUNDS_DEFAULT 20000
#define TEXT_MAX 8192

static const char *const tokens[] = {
	"{",
	"}",
	"[",
	"]",
	",",
	":",
	"\"",
	"null",
	"true",
	"0",
	"-1",
	"1e308",
	"1e-320",
	"9007199254740993",
	"99999999999999999999",
	"\\u0000",
	"\\ud800",
	"\xff",
	"\"name\"",
	"\"zone\"",
	"\"region\"",
	"\"clients\":[",
	"10.0.0.0/8",
	"::/0",
	"::ffff:10.0.0.0/104",
	"2026-12-06T20:00:00Z",
	"\"a\"",
	"\"b\"",
	"[[[[[[[[",
	"{\"x\":",
};

static const char valid_doc[] =
	"{\"format\":1,\"deployment\":\"test\",\"revision\":12,"
	"\"changes\":[{\"id\":\"c-1\",\"revision\":11,\"at\":\"2026-12-04T09:00:00Z\",\"by\":\"x\","
	"\"text\":\"t\"},{\"id\":\"c-2\",\"revision\":12,\"at\":\"2026-12-04T09:00:00Z\",\"by\":"
	"\"x\","
	"\"text\":\"t\"}],"
	"\"network\":{\"zone_delay_ms\":1.5,\"region_delay_ms\":20,\"link_mbit_s\":4000},"
	"\"regions\":[{\"name\":\"a\"},{\"name\":\"b\"}],"
	"\"zones\":[{\"name\":\"a1\",\"region\":\"a\",\"clients\":[\"10.1.0.0/16\",\"10.1.7.0/"
	"24\"]},"
	"{\"name\":\"b1\",\"region\":\"b\",\"clients\":[\"2001:db8::/32\"]}],"
	"\"services\":[{\"name\":\"s\",\"slots\":9,\"connections\":360}],"
	"\"classes\":[{\"name\":\"k\",\"service\":\"s\",\"idempotent\":false,\"bulk\":true,"
	"\"latency_target_ms\":400,\"timeout_ms\":3000,\"availability_pct\":99.9,\"priority\":2}],"
	"\"shift\":{\"cap_pct_s\":5,\"lookup_ttl_ms\":2000},"
	"\"drains\":[{\"id\":\"d-1\",\"zone\":\"a1\",\"start\":\"2026-12-06T20:00:00Z\","
	"\"deadline\":\"2026-12-06T23:59:00Z\"}]}";

/* Removes a random range of up to 12 bytes; returns the new length. */
static size_t remove_range(struct cs_rng *rng, char *text, size_t len)
{
	size_t at = cs_rng_below(rng, (uint32_t)len), n = 1 + cs_rng_below(rng, 12);

	if (at + n > len)
		n = len - at;
	memmove(text + at, text + at + n, len - at - n);
	return len - n;
}

/* Inserts n bytes at an offset unless the text would exceed TEXT_MAX; returns the new length. */
static size_t insert_bytes(char *text, size_t len, size_t at, const char *data, size_t n)
{
	if (len + n > TEXT_MAX)
		return len;
	memmove(text + at + n, text + at, len - at);
	memcpy(text + at, data, n);
	return len + n;
}

/* Applies one to four random edits; returns the new length. */
static size_t mutate(struct cs_rng *rng, char *text, size_t len)
{
	unsigned edits = 1 + cs_rng_below(rng, 4), from;
	const char *token;
	char copy[64];

	while (edits-- > 0 && len > 64) {
		size_t at = cs_rng_below(rng, (uint32_t)len);

		switch (cs_rng_below(rng, 5)) {
		case 0:
			text[at] = (char)cs_rng_below(rng, 256);
			break;
		case 1:
			len = remove_range(rng, text, len);
			break;
		case 2:
			token = tokens[cs_rng_below(rng, G_N_ELEMENTS(tokens))];
			len = insert_bytes(text, len, at, token, strlen(token));
			break;
		case 3:
			from = cs_rng_below(rng, (uint32_t)len - (uint32_t)sizeof(copy));
			memcpy(copy, text + from, sizeof(copy));
			len = insert_bytes(text, len, at, copy,
					   1 + cs_rng_below(rng, sizeof(copy)));
			break;
		default:
			/* Most values that have a range consist of digits. */
			if (g_ascii_isdigit(text[at]))
				text[at] = (char)('0' + cs_rng_below(rng, 10));
			break;
		}
	}
	return len;
}

/* Checks the invariants of an accepted configuration that the rest of the system relies on. */
static void check_invariants(const struct cs_config *cfg)
{
	struct cs_config *again;
	struct cs_msg msg;
	unsigned i;

	for (i = 0; i < cfg->n_zones; i++)
		g_assert_cmpuint(cfg->zones[i].region, <, cfg->n_regions);
	for (i = 0; i < cfg->n_classes; i++) {
		g_assert_cmpuint(cfg->classes[i].service, <, cfg->n_services);
		g_assert_cmpuint(cfg->classes[i].timeout_ms, >=, cfg->classes[i].latency_target_ms);
		g_assert_cmpuint(cfg->classes[i].latency_target_ms, >, 0);
		g_assert_cmpfloat(cfg->classes[i].percentile, <, 100);
		g_assert_cmpfloat(cfg->classes[i].availability_pct, <, 100);
	}
	for (i = 0; i < cfg->n_blocks; i++) {
		g_assert_cmpuint(cfg->blocks[i].zone, <, cfg->n_zones);
		g_assert_cmpuint(cfg->blocks[i].len, <=, 128);
		if (i > 0)
			g_assert_cmpint(cs_block_cmp(&cfg->blocks[i - 1], &cfg->blocks[i]), <, 0);
	}
	for (i = 0; i < cfg->n_drains; i++)
		g_assert_cmpint(cfg->drains[i].deadline_ms, >, cfg->drains[i].start_ms);
	g_assert_cmpuint(cfg->revision, >, 0);
	again = cs_config_parse(cfg->text, cfg->text_len, &msg);
	if (again == NULL)
		g_error("canonical text refused: %s: %s", msg.text, cfg->text);
	g_assert_cmpstr(again->text, ==, cfg->text);
	cs_config_unref(again);
}

static unsigned env_uint(const char *name, unsigned def)
{
	const char *text = getenv(name);

	return text != NULL ? (unsigned)strtoul(text, NULL, 10) : def;
}

/*
 * Guards against crashes, accepted documents that are not fully checked, and refusals without a
 * message.
 */
static void test_accepts_only_valid_mutations(void)
{
	unsigned rounds = env_uint("ROUNDS", ROUNDS_DEFAULT), seed = env_uint("SEED", 1), i;
	unsigned accepted = 0;
	struct cs_rng rng;

	for (i = 0; i < rounds; i++) {
		char text[TEXT_MAX];
		struct cs_config *cfg;
		struct cs_msg msg = {""};
		size_t len;

		cs_rng_seed(&rng, ((uint64_t)seed << 32) + i);
		memcpy(text, valid_doc, sizeof(valid_doc) - 1);
		len = mutate(&rng, text, sizeof(valid_doc) - 1);
		cfg = cs_config_parse(text, len, &msg);
		if (cfg == NULL) {
			g_assert_cmpuint(strlen(msg.text), >, 0);
			continue;
		}
		accepted++;
		check_invariants(cfg);
		cs_config_unref(cfg);
	}
	g_test_message("seed %u: %u of %u mutated documents accepted", seed, accepted, rounds);
	g_assert_cmpuint(accepted, >, 0);
	g_assert_cmpuint(accepted, <, rounds);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/model/accepts-only-valid-mutations", test_accepts_only_valid_mutations);
	return g_test_run();
}
