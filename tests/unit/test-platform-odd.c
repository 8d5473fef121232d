/*
 * Documents and entries with parts that cannot be read, as a later version of the platform or
 * another program may write them. One such part must not affect the others, and none may end the
 * process. SEED selects the random cases.
 */
#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "platform/platform.h"

#define CASES 4000
/* Routes of the base document. */
#define N_ROUTES 4

static const char *const base_document =
	"{\"version\":\"r7\",\"routes\":["
	"{\"name\":\"a\",\"host\":\"h\",\"prefix\":\"/a/\",\"kind\":\"safe\",\"timeout-ms\":1000,"
	"\"target-latency-ms\":300,\"priority\":1,\"service\":\"s\",\"max-attempts\":3,"
	"\"sticky-sessions\":true,\"home-regions\":[]},"
	"{\"name\":\"b\",\"host\":\"h\",\"prefix\":\"/b/\",\"kind\":\"unsafe\",\"timeout-ms\":1000,"
	"\"target-latency-ms\":300,\"priority\":1,\"service\":\"s\",\"max-attempts\":2,"
	"\"sticky-sessions\":false,\"home-regions\":[\"north\"]},"
	"{\"name\":\"c\",\"host\":\"h\",\"prefix\":\"/c/\",\"kind\":\"upload\",\"timeout-ms\":1000,"
	"\"target-latency-ms\":300,\"priority\":2,\"max-attempts\":2,\"traffic-split\":["
	"{\"service\":\"s\",\"weight\":3},{\"service\":\"t\",\"weight\":1}]},"
	"{\"name\":\"d\",\"host\":\"g\",\"prefix\":\"/d/\",\"kind\":\"download\",\"timeout-ms\":"
	"1000,\"target-latency-ms\":300,\"priority\":0,\"service\":\"t\",\"max-attempts\":2}],"
	"\"services\":[{\"name\":\"s\",\"health-path\":\"/health\",\"connection-limit\":330,"
	"\"cold-start-s\":3.0,\"cold-per-s\":11.0},{\"name\":\"t\",\"health-path\":\"/health\","
	"\"connection-limit\":330,\"cold-start-s\":3.0,\"cold-per-s\":11.0}],"
	"\"limits\":{\"header-bytes\":8192,\"idle-timeout-ms\":15000}}";

static const enum cs_repeat base_repeat[N_ROUTES] = {CS_REPEAT_SAFE, CS_REPEAT_ONCE,
						     CS_REPEAT_UPLOAD, CS_REPEAT_DOWNLOAD};

/* Values of JSON that replace a part. */
static const char *const odd_values[] = {
	"null",
	"true",
	"false",
	"-1",
	"0",
	"1e308",
	"-1e308",
	"99999999999999999999999999",
	"-99999999999999999999999999",
	"0.5",
	"\"\"",
	"\"x\"",
	"\"a name that is far too long for any of the fields of a document or of an entry\"",
	"\"\\n\"",
	"[]",
	"[[[[[[]]]]]]",
	"{}",
	"{\"a\":{\"b\":[1]}}",
	"[null]",
	"[{\"service\":\"s\",\"weight\":-1}]",
	"[{\"service\":5,\"weight\":1}]",
};

/* A place in a document; what stands there is replaced by a marker. */
struct place {
	unsigned left; /* places to pass over */
	bool done;
	bool in_routes;
	size_t index; /* in the list of routes or services */
};

#define MARKER "@odd@"

/* Replaces the chosen member of an object or element of a list. */
static void mark_place(json_t *node, struct place *at, unsigned depth)
{
	const char *key;
	json_t *child;
	size_t i;
	void *next;

	json_object_foreach_safe(node, next, key, child)
	{
		if (depth == 0)
			at->in_routes = strcmp(key, "routes") == 0;
		/* Without a version or the lists the document says nothing; see test_refused. */
		if (depth > 0 || strcmp(key, "limits") == 0) {
			if (at->left-- == 0) {
				json_object_set_new(node, key, json_string(MARKER));
				at->done = true;
				return;
			}
		}
		mark_place(child, at, depth + 1);
		if (at->done)
			return;
	}
	json_array_foreach(node, i, child) {
		if (depth == 1)
			at->index = i;
		if (at->left-- == 0) {
			json_array_set_new(node, i, json_string(MARKER));
			at->done = true;
			return;
		}
		mark_place(child, at, depth + 1);
		if (at->done)
			return;
	}
}

/* Returns a document in which one part is odd; NULL if it has fewer places. */
static char *odd_document(unsigned place, const char *value, struct place *at)
{
	json_t *root = json_loads(base_document, 0, NULL);
	char *text, *out = NULL, *mark;

	*at = (struct place){.left = place};
	mark_place(root, at, 0);
	if (at->done) {
		text = json_dumps(root, JSON_COMPACT);
		mark = strstr(text, "\"" MARKER "\"");
		*mark = '\0';
		out = g_strconcat(text, value, mark + strlen(MARKER) + 2, NULL);
		free(text);
	}
	json_decref(root);
	return out;
}

static const struct cs_route *find_route(const struct cs_document *doc, unsigned i)
{
	static const char *const paths[] = {"/a/x", "/b/x", "/c/x", "/d/x"};

	return cs_document_route(doc, i == 3 ? "g" : "h", paths[i]);
}

/* A route other than the odd one is as in the base document. */
static void check_intact(const struct cs_document *doc, unsigned i)
{
	const struct cs_route *r = find_route(doc, i);

	g_assert_nonnull(r);
	g_assert_false(r->unreadable);
	g_assert_cmpint(r->repeat, ==, base_repeat[i]);
	g_assert_cmpuint(r->timeout_ms, ==, 1000);
	g_assert_cmpuint(r->n_parts, ==, i == 2 ? 2 : 1);
}

/*
 * The odd route never allows more than it did: it is not repeated if it was not, and it runs only
 * in services and regions that the document names, or not at all.
 */
static void check_restricted(const struct cs_document *doc, unsigned i)
{
	const struct cs_route *r = find_route(doc, i);
	unsigned k;

	if (r == NULL)
		return;
	if (cs_repeat_is_allowed(r->repeat))
		g_assert_true(cs_repeat_is_allowed(base_repeat[i]));
	g_assert_cmpuint(r->max_attempts, >=, 1);
	if (r->unreadable)
		return;
	g_assert_cmpuint(r->n_parts, >=, 1);
	for (k = 0; k < r->n_parts; k++)
		g_assert_true(*r->parts[k].service != '\0' && r->parts[k].weight > 0);
}

/* Guards against a document that is refused as a whole because of one part. */
static void test_one_odd_part(void)
{
	unsigned place, i, v, n = 0;
	struct cs_document *doc;
	struct cs_msg msg = {""};
	struct place at;
	char *text;

	for (place = 0; place < 1000; place++) {
		for (v = 0; v < G_N_ELEMENTS(odd_values); v++) {
			text = odd_document(place, odd_values[v], &at);
			if (text == NULL)
				goto out;
			doc = platform_document_parse(text, strlen(text), &msg);
			g_assert_nonnull(doc);
			g_assert_cmpuint(doc->version, ==, 7);
			for (i = 0; i < N_ROUTES; i++) {
				if (at.in_routes && at.index == i)
					check_restricted(doc, i);
				else
					check_intact(doc, i);
			}
			cs_document_destroy(doc);
			g_free(text);
			n++;
		}
	}
out:
	g_assert_cmpuint(n, >, 40 * G_N_ELEMENTS(odd_values));
}

/* Guards against a fault that nobody notices, and against a route that is lost without a trace. */
static void test_problems_are_named(void)
{
	static const struct {
		const char *from, *to;
		const char *problem;
		bool unmatchable;
	} cases[] = {
		{"\"kind\":\"safe\"", "\"kind\":\"stream\"", "route 0: field 'kind'", false},
		{"\"prefix\":\"/b/\"", "\"prefix\":7", "route 1: field 'host or prefix'", true},
		{"\"home-regions\":[\"north\"]", "\"home-regions\":\"north\"",
		 "route 1: field 'home-regions'", false},
		{"\"weight\":3", "\"weight\":\"3\"", "route 2: field 'service or traffic-split'",
		 false},
		{"\"idle-timeout-ms\":15000", "\"idle-timeout-ms\":\"15 s\"",
		 "limits 0: field 'idle-timeout-ms'", false},
		{"\"connection-limit\":330", "\"connection-limit\":[330]",
		 "service 0: field 'connection-limit'", false},
	};
	struct cs_document *doc;
	struct cs_msg msg = {""};
	GString *text;
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		text = g_string_new(base_document);
		g_assert_cmpuint(g_string_replace(text, cases[i].from, cases[i].to, 1), ==, 1);
		doc = platform_document_parse(text->str, text->len, &msg);
		g_assert_nonnull(doc);
		g_assert_cmpuint(doc->n_problems, ==, 1);
		g_assert_nonnull(strstr(doc->problems[0].text, cases[i].problem));
		g_assert_cmpuint(doc->n_unmatchable, ==, cases[i].unmatchable);
		cs_document_destroy(doc);
		g_string_free(text, TRUE);
	}
}

/* A document that cannot be ordered among others, or has no lists, is refused with a reason. */
static void test_refused(void)
{
	static const char *const texts[] = {
		"",
		"{",
		"[]",
		"7",
		"{\"version\":\"r7\"}",
		"{\"version\":7,\"routes\":[],\"services\":[]}",
		"{\"version\":\"x7\",\"routes\":[],\"services\":[]}",
		"{\"version\":\"r\",\"routes\":[],\"services\":[]}",
		"{\"version\":\"r7\",\"routes\":{},\"services\":[]}",
		"{\"version\":\"r7\",\"routes\":[],\"services\":\"\xff\"}",
	};
	struct cs_msg msg;
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		msg.text[0] = '\0';
		g_assert_null(platform_document_parse(texts[i], strlen(texts[i]), &msg));
		g_assert_cmpstr(msg.text, !=, "");
	}
}

/* True if the text is JSON (the library skips some NUL bytes) and has the fields without which it
 * is refused. */
static bool is_acceptable(const char *text, size_t len)
{
	json_t *root = json_loadb(text, len, JSON_DECODE_INT_AS_REAL, NULL);
	const char *version = json_string_value(json_object_get(root, "version"));
	bool ok = memchr(text, 0, len) == NULL && json_is_array(json_object_get(root, "routes")) &&
		  json_is_array(json_object_get(root, "services")) && version != NULL &&
		  *version == 'r' && g_ascii_isdigit(version[1]) &&
		  strspn(version + 1, "0123456789") == strlen(version + 1);

	json_decref(root);
	return ok;
}

/*
 * Guards against a reader of slices that accepts other texts than the JSON library: documents with
 * bytes replaced, inserted and cut off.
 */
static void test_slices_accept_the_same(void)
{
	static const char bytes[] = "{}[],:\"\\ \n\t0-1.er/\0\x80";
	unsigned i, k, accepted = 0, refused = 0;
	struct cs_document *doc;
	struct cs_msg msg;
	struct cs_rng rng;
	GString *text;
	size_t at;

	cs_rng_seed(&rng, 28);
	for (i = 0; i < 20000; i++) {
		text = g_string_new(base_document);
		for (k = cs_rng_below(&rng, 3); k > 0; k--) {
			at = cs_rng_below(&rng, (uint32_t)text->len);
			if (cs_rng_below(&rng, 2) > 0)
				g_string_insert_c(text, (gssize)at,
						  bytes[cs_rng_below(&rng, sizeof(bytes) - 1)]);
			else
				text->str[at] = bytes[cs_rng_below(&rng, sizeof(bytes) - 1)];
		}
		if (cs_rng_below(&rng, 10) == 0)
			g_string_truncate(text, cs_rng_below(&rng, (uint32_t)text->len));
		doc = platform_document_parse(text->str, text->len, &msg);
		g_assert_cmpint(doc != NULL, ==, is_acceptable(text->str, text->len));
		if (doc != NULL)
			accepted++;
		else
			refused++;
		cs_document_destroy(doc);
		g_string_free(text, TRUE);
	}
	g_test_message("%u accepted, %u refused", accepted, refused);
	g_assert_cmpuint(accepted, >, 1000);
	g_assert_cmpuint(refused, >, 1000);
}

/*
 * Guards against a long document that blocks the event loop: one of 4,000 routes must be read in
 * slices of about 16 KB.
 */
static void test_long_document_in_slices(void)
{
	GString *text =
		g_string_new("{\"version\":\"r7\",\"services\":[{\"name\":\"s\"}],\"routes\":[");
	struct platform_document_reader *r;
	struct cs_document *doc = NULL;
	unsigned i, slices = 1;
	struct cs_msg msg;
	size_t len;

	for (i = 0; i < 4000; i++)
		g_string_append_printf(
			text,
			"%s{\"name\":\"r-%u\",\"host\":\"h.example\",\"prefix\":\"/%u/\","
			"\"kind\":\"safe\",\"service\":\"s\",\"max-attempts\":2,"
			"\"timeout-ms\":8000,\"sticky-sessions\":true,"
			"\"home-regions\":[\"north\",\"south\"]}",
			i > 0 ? "," : "", i, i);
	g_string_append(text, "]}");
	len = text->len;
	r = platform_document_reader_create(g_string_free(text, FALSE), len);
	while (platform_document_reader_next(r, &doc, &msg) == PLATFORM_READING_MORE)
		slices++;
	platform_document_reader_destroy(r);
	g_assert_nonnull(doc);
	g_assert_cmpuint(doc->n_routes, ==, 4000);
	g_assert_cmpuint(slices, >=, len / (2 * 16384));
	cs_document_destroy(doc);
}

static const char *const base_server =
	"{\"service\":\"s\",\"address\":\"127.0.0.1:80\",\"zone\":\"z\",\"version\":\"v\","
	"\"slots\":4,\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":9,\"born\":1}";

static const char *const base_instance =
	"{\"name\":\"i\",\"zone\":\"z\",\"front\":\"127.0.0.1:80\",\"boot\":5,"
	"\"reports_address\":\"127.0.0.1\",\"reports_port\":7660,\"metrics_port\":9464}";

/* Replaces random bytes, or inserts odd values and long or deeply nested runs. */
static GString *mutate(struct cs_rng *rng, const char *base)
{
	GString *t = g_string_new(base);
	unsigned n = 1 + cs_rng_below(rng, 3);
	char *run;
	gsize at;

	while (n-- > 0) {
		at = cs_rng_below(rng, (uint32_t)t->len);
		switch (cs_rng_below(rng, 5)) {
		case 0:
			t->str[at] = (char)cs_rng_next(rng);
			break;
		case 1:
			g_string_erase(t, (gssize)at, -1);
			g_string_append_c(t, '}');
			break;
		case 2:
			g_string_insert(t, (gssize)at,
					odd_values[cs_rng_below(rng, G_N_ELEMENTS(odd_values))]);
			break;
		case 3:
			run = g_strnfill(1 + cs_rng_below(rng, 3000), '9');
			g_string_insert(t, (gssize)at, run);
			g_free(run);
			break;
		default:
			run = g_strnfill(1 + cs_rng_below(rng, 4000), '[');
			g_string_insert(t, (gssize)at, run);
			g_free(run);
			break;
		}
	}
	return t;
}

static void check_server(const char *text, size_t len)
{
	struct cs_server_entry e;
	struct cs_msg msg;

	if (!platform_server_parse("i-1", text, len, &e, &msg))
		return;
	g_assert_true(e.port > 0 && e.slots >= 1 && e.slots <= 100000);
	g_assert_true(e.cold_ms <= 3600000 && *e.service != '\0' && *e.zone != '\0');
	g_assert_null(strpbrk(e.service, "\n\r"));
}

static void check_instance(const char *text, size_t len)
{
	struct platform_endpoint front;
	struct platform_instance in;

	if (!platform_instance_parse(text, len, &in))
		return;
	g_assert_true(in.reports.port > 0 && in.member.boot > 0 && in.member.boot <= INT64_MAX);
	g_assert_true(platform_endpoint_parse(in.member.front, &front));
}

/* Guards against entries that end the process, or that are used although they are unreadable. */
static void test_mutated_entries(void)
{
	const char *text = g_getenv("SEED");
	struct cs_rng rng;
	GString *t;
	unsigned i;

	cs_rng_seed(&rng, text != NULL ? g_ascii_strtoull(text, NULL, 10) : 1);
	for (i = 0; i < CASES; i++) {
		t = mutate(&rng, base_server);
		check_server(t->str, t->len);
		g_string_free(t, TRUE);
		t = mutate(&rng, base_instance);
		check_instance(t->str, t->len);
		g_string_free(t, TRUE);
	}
}

/* The entries that operators of other systems reported, and relatives of them. */
static void test_reported_entries(void)
{
	static const struct {
		const char *from, *to;
	} cases[] = {
		{"127.0.0.1:80", "127.0.0.1:65536"},
		{"127.0.0.1:80", "127.0.0.1:0"},
		{"127.0.0.1:80", "127.0.0.1:-80"},
		{"127.0.0.1:80", "127.0.0.1:99999999999999999999"},
		{"127.0.0.1:80", "127.0.0.1:80x"},
		{"127.0.0.1:80", "127.0.0.256:80"},
		{"\"slots\":4", "\"slots\":99999999999999999999"},
		{"\"slots\":4", "\"slots\":4294967300"},
		{"\"slots\":4", "\"slots\":-4"},
		{"\"slots\":4", "\"slots\":4.5"},
		{"\"slots\":4", "\"slots\":1e400"},
		{"\"sequence\":9", "\"sequence\":-9"},
		{"\"born\":1", "\"born\":-1"},
		{"\"service\":\"s\"", "\"service\":\"s\xff\""},
		{"\"service\":\"s\"", "\"service\":\"s\\n\""},
		{"\"service\":\"s\"", "\"service\":\"s\\u0000\""},
		{"\"zone\":\"z\"", "\"zone\":[[[[[\"z\"]]]]]"},
	};
	char *nested = g_strnfill(100000, '['), *large = g_strnfill(1 << 20, 'x');
	char *text = g_strconcat("{\"service\":\"", large, "\",", base_server + 1, NULL);
	struct cs_server_entry e;
	struct cs_msg msg;
	GString *t;
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		t = g_string_new(base_server);
		g_assert_cmpuint(g_string_replace(t, cases[i].from, cases[i].to, 1), ==, 1);
		g_assert_false(platform_server_parse("i-1", t->str, t->len, &e, &msg));
		g_string_free(t, TRUE);
	}
	g_assert_false(platform_server_parse("i-1", nested, 100000, &e, &msg));
	/* Of two members with one name the last one counts. */
	check_server(text, strlen(text));
	g_assert_false(platform_server_parse(large, base_server, strlen(base_server), &e, &msg));
	g_assert_true(platform_server_parse("i-1", base_server, strlen(base_server), &e, &msg));
	g_free(nested);
	g_free(large);
	g_free(text);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/platform-odd/document/one-odd-part", test_one_odd_part);
	g_test_add_func("/platform-odd/document/problems-are-named", test_problems_are_named);
	g_test_add_func("/platform-odd/document/refused", test_refused);
	g_test_add_func("/platform-odd/document/slices-accept-the-same",
			test_slices_accept_the_same);
	g_test_add_func("/platform-odd/document/long-in-slices", test_long_document_in_slices);
	g_test_add_func("/platform-odd/entries/mutated", test_mutated_entries);
	g_test_add_func("/platform-odd/entries/reported", test_reported_entries);
	return g_test_run();
}
