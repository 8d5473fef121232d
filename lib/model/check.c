/* Validation of the objects of a configuration document against the schema in keys.c. */
#include <stdlib.h>
#include <string.h>

#include "model/model-local.h"

#define VALUE_TEXT_MAX 48 /* bytes of a rejected value quoted in a message */
#define SECTION_KEYS_MAX 16

/* Formats a value for a message; long values end in "...". */
static void format_value(const json_t *value, char *out, size_t size)
{
	char *text;

	if (value == NULL) {
		cs_copy(out, size, "(absent)");
		return;
	}
	if (json_is_object(value) || json_is_array(value)) {
		cs_copy(out, size, json_is_object(value) ? "an object" : "a list");
		return;
	}
	text = json_dumps(value, JSON_ENCODE_ANY | JSON_ENSURE_ASCII | JSON_REAL_PRECISION(15));
	if (text == NULL) {
		cs_copy(out, size, "(unprintable)");
		return;
	}
	if (!cs_copy(out, size, text))
		memcpy(out + size - 4, "...", 4);
	free(text);
}

void cs_check_set_error(struct cs_msg *msg, const char *path, const char *key, const json_t *value,
			const char *allowed)
{
	char text[VALUE_TEXT_MAX];

	format_value(value, text, sizeof(text));
	cs_msg_set(msg, "%s%s%s: %s is not allowed; allowed: %s", path,
		   path[0] && key[0] ? "." : "", key, text, allowed);
}

static bool is_name(const char *s)
{
	size_t len = strspn(s, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-");

	return len > 0 && len < CS_NAME_MAX && s[len] == '\0';
}

static bool check_number(const struct cs_config_key *k, const char *path, const json_t *v,
			 struct cs_msg *msg)
{
	bool type_ok = k->kind == CS_KEY_INT ? json_is_integer(v) : json_is_number(v);
	double num = json_number_value(v);
	struct cs_msg allowed;

	if (type_ok && num >= k->min && num <= k->max)
		return true;
	cs_msg_set(&allowed, "%s%.15g to %.15g%s%s", k->kind == CS_KEY_INT ? "integer " : "",
		   k->min, k->max, k->unit[0] ? " " : "", k->unit);
	cs_check_set_error(msg, path, k->name, v, allowed.text);
	return false;
}

static bool check_list(const struct cs_config_key *k, const char *path, const json_t *v,
		       struct cs_msg *msg)
{
	size_t n = json_array_size(v);

	if (!json_is_array(v)) {
		cs_check_set_error(msg, path, k->name, v,
				   k->kind == CS_KEY_LIST ? "a list of objects"
							  : "a list of strings");
		return false;
	}
	if ((double)n < k->min || (double)n > k->max) {
		cs_msg_set(msg, "%s%s%s: %zu entries are not allowed; allowed: %.0f to %.0f", path,
			   path[0] ? "." : "", k->name, n, k->min, k->max);
		return false;
	}
	return true;
}

/* Checks a value that is neither a number nor a list; allowed is set to what its key accepts. */
static bool check_type(const struct cs_config_key *k, const json_t *v, struct cs_msg *allowed)
{
	int64_t ms;

	switch (k->kind) {
	case CS_KEY_NAME:
		cs_msg_set(allowed, "1 to %d of A-Z a-z 0-9 . _ -", CS_NAME_MAX - 1);
		return json_is_string(v) && is_name(json_string_value(v));
	case CS_KEY_TEXT:
		cs_msg_set(allowed, "a string of at most %.0f bytes", k->max);
		return json_is_string(v) && (double)json_string_length(v) <= k->max;
	case CS_KEY_TIME:
		cs_msg_set(allowed, "a UTC time such as 2026-12-06T20:00:00Z");
		return json_is_string(v) && cs_time_parse(json_string_value(v), &ms);
	case CS_KEY_BOOL:
		cs_msg_set(allowed, "true or false");
		return json_is_boolean(v);
	case CS_KEY_OBJECT:
		cs_msg_set(allowed, "an object");
		return json_is_object(v);
	default:
		return false;
	}
}

static bool check_value(const struct cs_config_key *k, const char *path, const json_t *v,
			struct cs_msg *msg)
{
	struct cs_msg allowed;

	if (k->kind == CS_KEY_INT || k->kind == CS_KEY_REAL)
		return check_number(k, path, v, msg);
	if (k->kind == CS_KEY_LIST || k->kind == CS_KEY_STRINGS)
		return check_list(k, path, v, msg);
	if (check_type(k, v, &allowed))
		return true;
	cs_check_set_error(msg, path, k->name, v, allowed.text);
	return false;
}

/* Rejects keys that the section does not define; the message suggests the most similar key. */
static bool check_unknown_keys(const struct cs_config_section *s, const char *path,
			       const json_t *obj, struct cs_msg *msg)
{
	const char *names[SECTION_KEYS_MAX], *similar;
	void *it;
	unsigned i;

	for (i = 0; i < s->n; i++)
		names[i] = s->keys[i].name;
	for (it = json_object_iter((json_t *)obj); it != NULL;
	     it = json_object_iter_next((json_t *)obj, it)) {
		const char *key = json_object_iter_key(it);

		for (i = 0; i < s->n && strcmp(names[i], key) != 0; i++)
			;
		if (i < s->n)
			continue;
		similar = strlen(key) < CS_NAME_MAX ? cs_closest_name(key, names, s->n) : NULL;
		cs_msg_set(msg, "%s%s%.48s: unknown key%s%s%s", path, path[0] ? "." : "", key,
			   similar ? "; did you mean " : "", similar ? similar : "",
			   similar ? "?" : "");
		return false;
	}
	return true;
}

bool cs_check_object(enum cs_section_id id, const char *path, const json_t *obj, struct cs_msg *msg)
{
	unsigned n, i;
	const struct cs_config_section *s = &cs_config_sections(&n)[id];

	if (!json_is_object(obj)) {
		cs_check_set_error(msg, path[0] ? path : "document", "", obj, "an object");
		return false;
	}
	if (!check_unknown_keys(s, path, obj, msg))
		return false;
	for (i = 0; i < s->n; i++) {
		const json_t *v = json_object_get(obj, s->keys[i].name);

		if (v == NULL && !s->keys[i].required)
			continue;
		if (v == NULL) {
			cs_msg_set(msg, "%s%s%s: required key is absent", path, path[0] ? "." : "",
				   s->keys[i].name);
			return false;
		}
		if (!check_value(&s->keys[i], path, v, msg))
			return false;
	}
	return true;
}
