/* Tests of lib/model: refusals, longest prefix match, delays, times, canonical text. */
#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "model/model.h"

static const char valid_doc[] =
	"{\"format\":1,\"deployment\":\"rinnova\",\"revision\":12,"
	"\"changes\":[{\"id\":\"c-5f\",\"revision\":12,\"at\":\"2026-12-04T09:00:00Z\",\"by\":"
	"\"anna\","
	"\"text\":\"drain lom-brescia\"}],"
	"\"network\":{\"zone_delay_ms\":1.5,\"region_delay_ms\":20,\"link_mbit_s\":4000},"
	"\"regions\":[{\"name\":\"lombardia\"},{\"name\":\"veneto\"}],"
	"\"zones\":[{\"name\":\"lom-brescia\",\"region\":\"lombardia\",\"clients\":[\"10.1.0.0/"
	"16\"]},"
	"{\"name\":\"lom-bergamo\",\"region\":\"lombardia\",\"clients\":[\"10.1.7.0/"
	"24\",\"2001:db8::/"
	"32\"]},"
	"{\"name\":\"ven-padova\",\"region\":\"veneto\"}],"
	"\"services\":[{\"name\":\"ritiri\",\"slots\":9,\"connections\":360}],"
	"\"classes\":[{\"name\":\"bookings\",\"service\":\"ritiri\",\"idempotent\":false,"
	"\"latency_target_ms\":400,\"timeout_ms\":3000,\"availability_pct\":99.9}],"
	"\"shift\":{\"cap_pct_s\":5,\"lookup_ttl_ms\":2000},"
	"\"drains\":[{\"id\":\"d-1\",\"zone\":\"lom-brescia\",\"start\":\"2026-12-06T20:00:00Z\","
	"\"deadline\":\"2026-12-06T23:59:00Z\"}]}";

/* An edit of the valid document and the texts that the error message must contain. */
struct edit {
	const char *from, *to;
	const char *expected[3]; /* path, value, allowed values */
};

static const struct edit edits[] = {
	{"\"format\":1", "\"format\":2", {"format: 2", "integer 1 to 1"}},
	{"\"format\":1,", "", {"format: required key is absent"}},
	{"\"format\":1", "\"format\":1,\"format\":1", {"document: not JSON", "duplicate"}},
	{"{\"format\"", "[{\"format\"", {"document: not JSON"}},
	{"\"revision\":12,\"changes\"", "\"revision\":0,\"changes\"", {"revision: 0", "integer 1"}},
	{"\"revision\":12,\"changes\"", "\"revision\":\"12\",\"changes\"", {"revision: \"12\""}},
	{"\"revision\":12,\"changes\"", "\"revision\":1.5,\"changes\"", {"revision: 1.5"}},
	{"\"revision\":12,\"changes\"", "\"revision\":11,\"changes\"", {"changes[0].revision: 12"}},
	{"\"deployment\":\"rinnova\"", "\"deployment\":\"\"", {"deployment: \"\"", "1 to 47"}},
	{"\"deployment\":\"rinnova\"", "\"deployment\":\"a b\"", {"deployment: \"a b\""}},
	{"\"deployment\":\"rinnova\"",
	 "\"deployment\":\"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\"",
	 {"deployment: \"aaa", "1 to 47"}},
	{"\"at\":\"2026-12-04T09:00:00Z\"", "\"at\":\"2026-13-04T09:00:00Z\"", {"changes[0].at"}},
	{"\"at\":\"2026-12-04T09:00:00Z\"", "\"at\":\"2026-02-30T09:00:00Z\"", {"changes[0].at"}},
	{"\"at\":\"2026-12-04T09:00:00Z\"", "\"at\":\"2026-12-04 09:00:00\"", {"changes[0].at"}},
	{"\"network\":{", "\"network\":{\"delay\":3,", {"network.delay: unknown key"}},
	{"\"zone_delay_ms\":1.5",
	 "\"zone_delay_ms\":-1",
	 {"network.zone_delay_ms: -1", "0 to 1000 ms"}},
	{"\"link_mbit_s\":4000", "\"link_mbit_s\":0", {"network.link_mbit_s: 0", "Mbit/s"}},
	{"\"regions\":[{\"name\":\"lombardia\"},{\"name\":\"veneto\"}]",
	 "\"regions\":[]",
	 {"regions: 0 entries", "1 to 1000"}},
	{"{\"name\":\"veneto\"}",
	 "{\"name\":\"lombardia\"}",
	 {"regions[1].name: \"lombardia\"", "earlier"}},
	{"{\"name\":\"veneto\"}", "7", {"regions[1]: 7", "an object"}},
	{"\"region\":\"veneto\"",
	 "\"region\":\"venetto\"",
	 {"zones[2].region: \"venetto\"", "did you mean veneto?"}},
	{"\"name\":\"ven-padova\"", "\"name\":\"lom-brescia\"", {"zones[2].name: \"lom-brescia\""}},
	{"10.1.0.0/16", "10.1.0.0/8", {"zones[0].clients[0]: \"10.1.0.0/8\"", "no bits"}},
	{"10.1.0.0/16", "10.1.0.0/33", {"zones[0].clients[0]"}},
	{"10.1.0.0/16", "10.1.0/16", {"zones[0].clients[0]"}},
	{"10.1.0.0/16", "10.1.0.0/", {"zones[0].clients[0]"}},
	{"10.1.0.0/16", "10.1.7.0/24", {"clients: \"10.1.7.0/24\"", "each prefix once"}},
	{"\"clients\":[\"10.1.0.0/16\"]",
	 "\"clients\":\"x\"",
	 {"zones[0].clients: \"x\"", "a list"}},
	{"\"clients\":[\"10.1.0.0/16\"]", "\"clients\":[1]", {"zones[0].clients[0]: 1"}},
	{"\"slots\":9", "\"slots\":0", {"services[0].slots: 0", "integer 1 to 10000"}},
	{"\"connections\":360", "\"connections\":8", {"services[0].connections: 8", "slots (9)"}},
	{"\"service\":\"ritiri\"",
	 "\"service\":\"ritri\"",
	 {"classes[0].service: \"ritri\"", "did you mean ritiri?"}},
	{"\"idempotent\":false", "\"idempotent\":0", {"classes[0].idempotent: 0", "true or false"}},
	{"\"idempotent\":false,", "", {"classes[0].idempotent: required"}},
	{"\"latency_target_ms\":400",
	 "\"latency_target_m\":400",
	 {"classes[0].latency_target_m: unknown key", "did you mean latency_target_ms?"}},
	{"\"latency_target_ms\":400",
	 "\"latency_target_ms\":0",
	 {"classes[0].latency_target_ms: 0", "1 to 600000 ms"}},
	{"\"latency_target_ms\":400",
	 "\"latency_target_ms\":4.5",
	 {"classes[0].latency_target_ms: 4.5"}},
	{"\"timeout_ms\":3000", "\"timeout_ms\":399", {"classes[0].timeout_ms: 399", "(400)"}},
	{"\"availability_pct\":99.9",
	 "\"availability_pct\":100",
	 {"classes[0].availability_pct: 100", "50 to 99.999 %"}},
	{"\"availability_pct\":99.9", "\"percentile\":49", {"classes[0].percentile: 49"}},
	{"\"availability_pct\":99.9", "\"headroom_pct\":91", {"classes[0].headroom_pct: 91"}},
	{"\"availability_pct\":99.9", "\"priority\":10", {"classes[0].priority: 10", "0 to 9"}},
	{"\"availability_pct\":99.9", "\"max_body_kb\":1048577", {"classes[0].max_body_kb"}},
	{"\"availability_pct\":99.9", "\"bulk\":\"yes\"", {"classes[0].bulk: \"yes\""}},
	{"\"cap_pct_s\":5", "\"cap_pct_s\":0", {"shift.cap_pct_s: 0", "0.01 to 100 %/s"}},
	{"\"lookup_ttl_ms\":2000", "\"lookup_ttl_ms\":99", {"shift.lookup_ttl_ms: 99"}},
	{"\"zone\":\"lom-brescia\",\"start\"",
	 "\"zone\":\"lom-bresci\",\"start\"",
	 {"drains[0].zone: \"lom-bresci\"", "did you mean lom-brescia?"}},
	{"\"zone\":\"lom-brescia\",\"start\"",
	 "\"region\":\"lombardi\",\"start\"",
	 {"drains[0].region: \"lombardi\"", "did you mean lombardia?"}},
	{"\"zone\":\"lom-brescia\",\"start\"", "\"start\"", {"drains[0]: neither zone nor region"}},
	{"\"zone\":\"lom-brescia\",\"start\"",
	 "\"zone\":\"lom-brescia\",\"region\":\"veneto\",\"start\"",
	 {"drains[0]: both zone and region"}},
	{"\"deadline\":\"2026-12-06T23:59:00Z\"",
	 "\"deadline\":\"2026-12-06T20:00:00Z\"",
	 {"drains[0].deadline", "after start"}},
	{"\"drains\":[",
	 "\"drains\":[{\"id\":\"d-0\",\"zone\":\"lom-brescia\",\"start\":\"2026-12-06T20:00:00Z\","
	 "\"deadline\":\"2026-12-06T23:59:00Z\"},",
	 {"drains[1].zone: \"lom-brescia\"", "one drain a zone", "d-0"}},
	{"\"drains\":[",
	 "\"drains\":[{\"id\":\"d-1\",\"zone\":\"ven-padova\",\"start\":\"2026-12-06T20:00:00Z\","
	 "\"deadline\":\"2026-12-06T23:59:00Z\"},",
	 {"drains[1].id: \"d-1\"", "earlier"}},
	{"\"drains\"", "\"drain\"", {"drain: unknown key", "did you mean drains?"}},
};

/* Returns the valid document with the first occurrence of from replaced; g_free() it. */
static char *edit_valid_doc(const char *from, const char *to)
{
	const char *at = strstr(valid_doc, from);

	g_assert_nonnull(at);
	return g_strdup_printf("%.*s%s%s", (int)(at - valid_doc), valid_doc, to, at + strlen(from));
}

static struct cs_config *parse_valid_doc(void)
{
	struct cs_msg msg = {""};
	struct cs_config *cfg = cs_config_parse(valid_doc, strlen(valid_doc), &msg);

	g_assert_cmpstr(msg.text, ==, "");
	g_assert_nonnull(cfg);
	return cfg;
}

/*
 * Guards against invalid values that are accepted, and error messages without the path, the value
 * or the range.
 */
static void test_refusal_names_path_value_and_range(void)
{
	size_t i, j;

	for (i = 0; i < G_N_ELEMENTS(edits); i++) {
		char *text = edit_valid_doc(edits[i].from, edits[i].to);
		struct cs_msg msg = {""};

		if (cs_config_parse(text, strlen(text), &msg) != NULL)
			g_error("edit %zu accepted: %s", i, edits[i].to);
		for (j = 0; j < 3 && edits[i].expected[j] != NULL; j++) {
			if (strstr(msg.text, edits[i].expected[j]) == NULL)
				g_error("edit %zu: message \"%s\" does not contain \"%s\"", i,
					msg.text, edits[i].expected[j]);
		}
		g_free(text);
	}
}

/* Guards against documents above the store's size limit and against too many change ids. */
static void test_refuses_too_large_document_and_change_list(void)
{
	struct cs_msg msg = {""};
	char *big = g_strdup_printf("%*s", CS_CONFIG_MAX + 1, valid_doc);
	GString *changes = g_string_new("\"changes\":[");
	char *text;
	int i;

	g_assert_null(cs_config_parse(big, CS_CONFIG_MAX + 1, &msg));
	g_assert_nonnull(strstr(msg.text, "at most 1048576"));
	g_free(big);
	for (i = 0; i <= CS_CONFIG_CHANGES; i++)
		g_string_append_printf(changes,
				       "{\"id\":\"x-%d\",\"revision\":%d,\"at\":"
				       "\"2026-12-04T09:00:00Z\",\"by\":\"a\",\"text\":\"\"},",
				       i, i + 1);
	text = edit_valid_doc("\"changes\":[", changes->str);
	g_assert_null(cs_config_parse(text, strlen(text), &msg));
	g_assert_nonnull(strstr(msg.text, "changes: 66 entries are not allowed; allowed: 0 to 64"));
	g_free(text);
	g_string_free(changes, TRUE);
}

/* Guards against values lost in parsing, wrong defaults and wrong delays. */
static void test_parsed_values_and_defaults(void)
{
	struct cs_config *cfg = parse_valid_doc();
	const struct cs_class *c = &cfg->classes[cs_config_class(cfg, "bookings")];

	g_assert_cmpuint(cfg->revision, ==, 12);
	g_assert_cmpuint(c->latency_target_ms, ==, 400);
	g_assert_cmpfloat(c->percentile, ==, 99);
	g_assert_cmpuint(c->max_body, ==, 65536);
	g_assert_cmpfloat(cfg->services[0].headroom_pct, ==, 20);
	g_assert_cmpuint(cs_config_delay_us(cfg, 0, 0), ==, 0);
	g_assert_cmpuint(cs_config_delay_us(cfg, 0, 1), ==, 1500);
	g_assert_cmpuint(cs_config_delay_us(cfg, 0, 2), ==, 20000);
	g_assert_cmpint(cs_config_zone(cfg, "nowhere"), ==, -1);
	g_assert_nonnull(cs_config_change(cfg, "c-5f"));
	g_assert_null(cs_config_change(cfg, "c-60"));
	g_assert_cmpint(cfg->drains[0].deadline_ms - cfg->drains[0].start_ms, ==, 239 * 60 * 1000);
	cs_config_unref(cfg);
}

/*
 * Guards against a canonical text that changes when it is parsed again or depends on the order of
 * keys.
 */
static void test_canonical_text_is_stable(void)
{
	struct cs_config *a = parse_valid_doc(), *b;
	struct cs_msg msg = {""};

	b = cs_config_parse(a->text, a->text_len, &msg);
	g_assert_nonnull(b);
	g_assert_cmpstr(a->text, ==, b->text);
	g_assert_nonnull(strstr(a->text, "\"availability_pct\":99.9,"));
	cs_config_unref(a);
	cs_config_unref(b);
}

static int zone_of(const struct cs_config *cfg, const char *text)
{
	uint8_t addr[16];

	g_assert_true(cs_addr_parse(text, addr));
	return cs_config_zone_of_addr(cfg, addr);
}

/*
 * Guards against a shorter prefix that is preferred to a longer one, and against IPv4 addresses
 * matched by IPv6 blocks.
 */
static void test_longest_prefix_wins(void)
{
	struct cs_config *cfg = parse_valid_doc();

	g_assert_cmpint(zone_of(cfg, "10.1.6.255"), ==, 0);
	g_assert_cmpint(zone_of(cfg, "10.1.7.0"), ==, 1);
	g_assert_cmpint(zone_of(cfg, "10.1.7.255"), ==, 1);
	g_assert_cmpint(zone_of(cfg, "10.1.8.0"), ==, 0);
	g_assert_cmpint(zone_of(cfg, "::ffff:10.1.7.9"), ==, 1);
	g_assert_cmpint(zone_of(cfg, "10.2.0.0"), ==, -1);
	g_assert_cmpint(zone_of(cfg, "0.0.0.0"), ==, -1);
	g_assert_cmpint(zone_of(cfg, "2001:db8:ffff::1"), ==, 1);
	g_assert_cmpint(zone_of(cfg, "2001:db9::1"), ==, -1);
	cs_config_unref(cfg);
}

/* Reference for cs_blocks_match: longest matching block by linear search. */
static int match_linear(const struct cs_block *blocks, unsigned n, const uint8_t addr[16])
{
	int best = -1;
	unsigned i, bit;

	for (i = 0; i < n; i++) {
		for (bit = 0; bit < blocks[i].len; bit++) {
			if (((blocks[i].addr[bit / 8] ^ addr[bit / 8]) >> (7 - bit % 8)) & 1)
				break;
		}
		if (bit == blocks[i].len && (best < 0 || blocks[i].len > blocks[best].len))
			best = (int)i;
	}
	return best;
}

/* Guards against wrong results of the binary search on deeply nested blocks. */
static void test_longest_prefix_equals_linear_search(void)
{
	struct cs_rng rng;
	unsigned round, i, n, bit;

	cs_rng_seed(&rng, 7);
	for (round = 0; round < 300; round++) {
		struct cs_block blocks[64], tmp;
		uint32_t *parents;

		for (i = 0; i < 64; i++) {
			memset(&tmp, 0, sizeof(tmp));
			tmp.len = (uint8_t)cs_rng_below(&rng, 13);
			for (bit = 0; bit < tmp.len; bit++)
				tmp.addr[bit / 8] |=
					(uint8_t)(cs_rng_below(&rng, 2) << (7 - bit % 8));
			blocks[i] = tmp;
		}
		qsort(blocks, 64, sizeof(blocks[0]), cs_block_cmp);
		for (i = 1, n = 1; i < 64; i++) {
			if (cs_block_cmp(&blocks[n - 1], &blocks[i]) != 0)
				blocks[n++] = blocks[i];
		}
		parents = cs_blocks_find_parents(blocks, n);
		for (i = 0; i < 200; i++) {
			uint8_t addr[16] = {(uint8_t)cs_rng_below(&rng, 256),
					    (uint8_t)cs_rng_below(&rng, 256)};
			int expected_index = match_linear(blocks, n, addr);

			g_assert_cmpint(cs_blocks_match(blocks, NULL, n, addr), ==, expected_index);
			g_assert_cmpint(cs_blocks_match(blocks, parents, n, addr), ==,
					expected_index);
		}
		free(parents);
	}
}

/*
 * Guards against times read as local time, and against invalid times that are normalized silently.
 */
static void test_time_is_utc_and_strict(void)
{
	int64_t ms;
	char text[CS_TIME_MAX];

	g_assert_true(cs_time_parse("1970-01-02T00:00:01Z", &ms));
	g_assert_cmpint(ms, ==, 86401000);
	cs_time_format(ms, text);
	g_assert_cmpstr(text, ==, "1970-01-02T00:00:01Z");
	g_assert_false(cs_time_parse("2026-12-06T24:00:00Z", &ms));
	g_assert_false(cs_time_parse("2026-12-06T20:00:60Z", &ms));
	g_assert_false(cs_time_parse("2026-04-31T20:00:00Z", &ms));
	g_assert_false(cs_time_parse("", &ms));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/model/refusal-names-path-value-and-range",
			test_refusal_names_path_value_and_range);
	g_test_add_func("/model/refuses-too-large-document-and-change-list",
			test_refuses_too_large_document_and_change_list);
	g_test_add_func("/model/parsed-values-and-defaults", test_parsed_values_and_defaults);
	g_test_add_func("/model/canonical-text-is-stable", test_canonical_text_is_stable);
	g_test_add_func("/model/longest-prefix-wins", test_longest_prefix_wins);
	g_test_add_func("/model/longest-prefix-equals-linear-search",
			test_longest_prefix_equals_linear_search);
	g_test_add_func("/model/time-is-utc-and-strict", test_time_is_utc_and_strict);
	return g_test_run();
}
