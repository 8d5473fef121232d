/* class set NAME KEY=VALUE...: changes keys of one class of requests. */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "src/ctl/change.h"

#define KEYS_MAX 16

struct class_set {
	const char *name;
	char **pairs;
	int n;
};

static const struct cs_config_section *class_section(void)
{
	const struct cs_config_section *s;
	unsigned n, i;

	s = cs_config_sections(&n);
	for (i = 0; i < n; i++) {
		if (strcmp(s[i].path, "classes[]") == 0)
			return &s[i];
	}
	return NULL;
}

/* Finds a key of a class other than "name"; NULL and a reason if it is unknown. */
static const struct cs_config_key *find_key(const char *word, struct cs_msg *reason)
{
	const struct cs_config_section *s = class_section();
	const char *names[KEYS_MAX];
	struct cs_msg buf;
	size_t n = 0;
	unsigned i;

	for (i = 0; i < s->n && n < KEYS_MAX; i++) {
		if (strcmp(s->keys[i].name, "name") == 0)
			continue;
		names[n++] = s->keys[i].name;
		if (strcmp(s->keys[i].name, word) == 0)
			return &s->keys[i];
	}
	cs_msg_set(reason, "unknown class key \"%.60s\"%s", word,
		   ctl_suggest(word, names, n, &buf));
	return NULL;
}

/* Parses a value of the key's type; its range is checked with the whole document. */
static json_t *parse_value(const struct cs_config_key *k, const char *text, struct cs_msg *reason)
{
	char *end;
	long long num;
	double real;

	if (k->kind == CS_KEY_BOOL && strcmp(text, "true") == 0)
		return json_true();
	if (k->kind == CS_KEY_BOOL && strcmp(text, "false") == 0)
		return json_false();
	errno = 0;
	if (k->kind == CS_KEY_INT) {
		num = strtoll(text, &end, 10);
		if (errno == 0 && end != text && *end == '\0')
			return json_integer(num);
	}
	if (k->kind == CS_KEY_REAL) {
		real = g_ascii_strtod(text, &end);
		if (end != text && *end == '\0')
			return json_real(real); /* NULL for infinity and NaN */
	}
	if (k->kind == CS_KEY_NAME || k->kind == CS_KEY_TEXT)
		return json_string(text);
	cs_msg_set(reason, "%s: \"%.40s\" is not allowed; allowed: %s%.15g to %.15g%s%s", k->name,
		   text, k->kind == CS_KEY_INT ? "integer " : "", k->min, k->max,
		   *k->unit ? " " : "", k->unit);
	if (k->kind == CS_KEY_BOOL)
		cs_msg_set(reason, "%s: \"%.40s\" is not allowed; allowed: true or false", k->name,
			   text);
	return NULL;
}

static bool set_pair(json_t *class, const char *pair, struct cs_msg *reason)
{
	const char *eq = strchr(pair, '=');
	const struct cs_config_key *key;
	json_t *value = NULL;
	char *name;

	if (eq == NULL) {
		cs_msg_set(reason, "\"%.60s\" is not allowed; allowed: KEY=VALUE", pair);
		return false;
	}
	name = g_strndup(pair, (gsize)(eq - pair));
	key = find_key(name, reason);
	if (key != NULL)
		value = parse_value(key, eq + 1, reason);
	if (value == NULL && reason->text[0] == '\0')
		cs_msg_set(reason, "%s: \"%.40s\" is not a valid value", name, eq + 1);
	if (value != NULL)
		json_object_set_new(class, name, value);
	g_free(name);
	return value != NULL;
}

static bool edit(struct ctl *ctl, json_t *doc, const struct cs_config *cfg, void *arg,
		 struct ctl_change *change, struct cs_msg *reason)
{
	struct class_set *a = arg;
	json_t *class = ctl_json_find(json_object_get(doc, "classes"), "name", a->name), *before;
	const char **names;
	struct cs_msg buf;
	char *pairs;
	unsigned i;
	int k;

	if (class == NULL) {
		names = cs_xcalloc(cfg->n_classes, sizeof(*names));
		for (i = 0; i < cfg->n_classes; i++)
			names[i] = cfg->classes[i].name;
		cs_msg_set(reason, "no class \"%.60s\" in the configuration%s", a->name,
			   ctl_suggest(a->name, names, cfg->n_classes, &buf));
		free(names);
		return false;
	}
	reason->text[0] = '\0';
	before = json_deep_copy(class);
	for (k = 0; k < a->n && set_pair(class, a->pairs[k], reason); k++)
		;
	change->no_change = k == a->n && json_equal(before, class);
	json_decref(before);
	if (k < a->n)
		return false;
	pairs = g_strjoinv(" ", a->pairs);
	snprintf(change->text, sizeof(change->text), "class %s: %s", a->name, pairs);
	g_free(pairs);
	return true;
}

static bool object_changed(const json_t *before, const json_t *after, void *arg)
{
	struct class_set *a = arg;
	json_t *x = ctl_json_find(json_object_get(before, "classes"), "name", a->name);
	json_t *y = ctl_json_find(json_object_get(after, "classes"), "name", a->name);

	return x == NULL || y == NULL || !json_equal(x, y);
}

static int run(struct ctl *ctl, int argc, char **argv)
{
	struct class_set a = {.name = argv[0], .pairs = argv + 1, .n = argc - 1};
	struct ctl_change change = {.edit = edit, .object_changed = object_changed, .arg = &a};

	return ctl_change_run(ctl, &change);
}

const struct cmd cmd_class_set = {
	.name = "class set",
	.args = "NAME KEY=VALUE...",
	.summary = "Change keys of a class of work while traffic flows",
	.examples = "  cassiactl class set bookings latency_target_ms=350 headroom_pct=25\n"
		    "  cassiactl class set photos timeout_ms=60000 priority=4",
	.min_args = 2,
	.max_args = CTL_ARGS_UNLIMITED,
	.run = run,
};
