/* Settings from defaults, environment variables and command-line flags. */
#include <ctype.h>
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/base.h"

static bool setting_assign(struct cs_setting *s, const char *value, const char *source,
			   struct cs_msg *msg);

/* Environment variable of a setting: CASSIA_ and the name in upper case with underscores. */
static void env_name(const struct cs_setting *s, char *out, size_t size)
{
	size_t i;

	snprintf(out, size, "CASSIA_%s", s->name);
	for (i = 0; out[i] != '\0'; i++)
		out[i] = out[i] == '-' ? '_' : (char)toupper((unsigned char)out[i]);
}

/* Index of value in "a|b|c", or -1. */
static int64_t choice_index(const char *choices, const char *value)
{
	size_t len = strlen(value), n;
	const char *p = choices;
	int64_t i = 0;

	while (*p != '\0') {
		n = strcspn(p, "|");
		if (n == len && strncmp(p, value, n) == 0)
			return i;
		p += n + (p[n] == '|');
		i++;
	}
	return -1;
}

static bool parse_int(struct cs_setting *s, const char *value, const char *source,
		      struct cs_msg *msg)
{
	char *end;
	long long v;

	errno = 0;
	v = strtoll(value, &end, 10);
	if (errno != 0 || end == value || *end != '\0' || v < s->min || v > s->max) {
		cs_msg_set(msg,
			   "%s: value '%s' is not allowed; use a whole number from %" PRId64
			   " to %" PRId64 "%s%s",
			   source, value, s->min, s->max, *s->unit ? " in " : "", s->unit);
		return false;
	}
	s->num = v;
	return true;
}

static bool parse_bool(struct cs_setting *s, const char *value, const char *source,
		       struct cs_msg *msg)
{
	int64_t i = choice_index("0|1|no|yes|false|true|off|on", value);

	if (i < 0) {
		cs_msg_set(msg, "%s: value '%s' is not allowed; use yes or no", source, value);
		return false;
	}
	s->num = i % 2;
	return true;
}

/* Parses and sets a value; source is the flag or variable for the error message. */
static bool setting_assign(struct cs_setting *s, const char *value, const char *source,
			   struct cs_msg *msg)
{
	char *copy;

	switch (s->kind) {
	case CS_SET_INT:
		if (!parse_int(s, value, source, msg))
			return false;
		break;
	case CS_SET_BOOL:
		if (!parse_bool(s, value, source, msg))
			return false;
		break;
	case CS_SET_CHOICE:
		s->num = choice_index(s->choices, value);
		if (s->num < 0) {
			cs_msg_set(msg, "%s: value '%s' is not allowed; use one of %s", source,
				   value, s->choices);
			return false;
		}
		break;
	case CS_SET_STRING:
		break;
	}
	copy = cs_xstrdup(value);
	free(s->text);
	s->text = copy;
	return true;
}

/* Sets defaults, then values of environment variables. */
static bool load_environment(struct cs_setting *table, struct cs_msg *msg)
{
	struct cs_setting *s;
	const char *value;
	char name[96];

	for (s = table; s->name != NULL; s++) {
		env_name(s, name, sizeof(name));
		if (s->def != NULL && !setting_assign(s, s->def, s->name, msg))
			return false;
		value = getenv(name);
		if (value != NULL && !setting_assign(s, value, name, msg))
			return false;
	}
	return true;
}

/* Text for --help: description, unit, choices, default and environment variable. */
static char *setting_help(const struct cs_setting *s)
{
	char name[96];

	env_name(s, name, sizeof(name));
	return cs_xasprintf("%s%s%s%s%s%s%s [%s]", s->help, *s->unit ? ", " : "", s->unit,
			    s->choices ? ", one of " : "", s->choices ? s->choices : "",
			    s->def == NULL ? " (required)" : (*s->def ? ", default " : ""),
			    s->def == NULL ? "" : s->def, name);
}

/* Parses flags with GLib into raw[], which the caller frees. */
static bool parse_flags(struct cs_setting *table, size_t n, const char *summary, int *argc,
			char ***argv, char **raw, gboolean *version, struct cs_msg *msg)
{
	GOptionEntry *entries = cs_xcalloc(n + 2, sizeof(*entries));
	GOptionContext *ctx = g_option_context_new(NULL);
	char **texts = cs_xcalloc(n, sizeof(*texts));
	GError *err = NULL;
	bool ok;
	size_t i;

	for (i = 0; i < n; i++) {
		texts[i] = setting_help(&table[i]);
		entries[i] = (GOptionEntry){.long_name = table[i].name,
					    .arg = G_OPTION_ARG_STRING,
					    .arg_data = &raw[i],
					    .description = texts[i],
					    .arg_description = "VALUE"};
	}
	entries[n] = (GOptionEntry){.long_name = "version",
				    .arg = G_OPTION_ARG_NONE,
				    .arg_data = version,
				    .description = "Print the version and exit"};
	g_option_context_set_summary(ctx, summary);
	g_option_context_add_main_entries(ctx, entries, NULL);
	ok = g_option_context_parse(ctx, argc, argv, &err);
	if (!ok) {
		cs_msg_set(msg, "%s; --help lists the settings", err->message);
		g_error_free(err);
	}
	g_option_context_free(ctx);
	for (i = 0; i < n; i++)
		free(texts[i]);
	free(texts);
	free(entries);
	return ok;
}

/* Sets the values of flags, then checks that every required setting has a value. */
static bool load_flags(struct cs_setting *table, char **raw, struct cs_msg *msg)
{
	char source[96], env[96];
	size_t i;

	for (i = 0; table[i].name != NULL; i++) {
		snprintf(source, sizeof(source), "--%s", table[i].name);
		if (raw[i] != NULL && !setting_assign(&table[i], raw[i], source, msg))
			return false;
		if (table[i].text != NULL)
			continue;
		env_name(&table[i], env, sizeof(env));
		cs_msg_set(msg, "%s: a value is required; give the flag or set %s", source, env);
		return false;
	}
	return true;
}

enum cs_settings_status cs_settings_load(struct cs_setting *table, const char *summary, int *argc,
					 char ***argv, struct cs_msg *msg)
{
	enum cs_settings_status st = CS_SETTINGS_INVALID;
	gboolean version = FALSE;
	char **raw;
	size_t n = 0, i;

	while (table[n].name != NULL)
		n++;
	raw = cs_xcalloc(n, sizeof(*raw));
	if (!parse_flags(table, n, summary, argc, argv, raw, &version, msg))
		goto out;
	if (version) {
		puts(CS_VERSION);
		st = CS_SETTINGS_EXIT;
		goto out;
	}
	if (*argc > 1) {
		cs_msg_set(msg, "argument '%s' is not allowed; --help lists the settings",
			   (*argv)[1]);
		goto out;
	}
	if (load_environment(table, msg) && load_flags(table, raw, msg))
		st = CS_SETTINGS_OK;
out:
	for (i = 0; i < n; i++)
		g_free(raw[i]);
	free(raw);
	return st;
}

void cs_settings_free(struct cs_setting *table)
{
	struct cs_setting *s;

	for (s = table; s->name != NULL; s++) {
		free(s->text);
		s->text = NULL;
	}
}

const struct cs_setting *cs_setting_get(const struct cs_setting *table, const char *name)
{
	const struct cs_setting *s;

	for (s = table; s->name != NULL; s++)
		if (strcmp(s->name, name) == 0)
			return s;
	cs_log(CS_ERR, "settings", "Unknown setting. name=%s", name);
	abort();
}

const char *cs_setting_text(const struct cs_setting *table, const char *name)
{
	return cs_setting_get(table, name)->text;
}

int64_t cs_setting_int(const struct cs_setting *table, const char *name)
{
	return cs_setting_get(table, name)->num;
}
