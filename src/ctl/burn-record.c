/*
 * Record file with one sample per line as JSON. With it, windows can be longer than one run of the
 * command.
 */
#include <stdlib.h>
#include <string.h>

#include "src/ctl/burn.h"

#define RECORD_SAMPLES_MAX 5000 /* samples kept in the file */

static json_t *sample_json(const struct sample *s)
{
	json_t *rows = json_array();
	unsigned i;

	for (i = 0; i < s->n; i++) {
		const struct counters *c = &s->rows[i];

		json_array_append_new(rows,
				      json_pack("[s, s, s, I, I, I, I, I]", c->class, c->instance,
						c->zone, (json_int_t)c->requests, (json_int_t)c->ok,
						(json_int_t)c->within, (json_int_t)c->refused,
						(json_int_t)c->failed));
	}
	return json_pack("{s:I, s:o}", "at_ms", (json_int_t)s->wall_ms, "rows", rows);
}

static bool parse_sample(const char *line, struct sample *s)
{
	json_t *doc = json_loads(line, 0, NULL), *row;
	const char *class, *instance, *zone;
	json_int_t n[5];
	size_t i;
	bool ok = json_is_integer(json_object_get(doc, "at_ms"));

	memset(s, 0, sizeof(*s));
	s->wall_ms = json_integer_value(json_object_get(doc, "at_ms"));
	json_array_foreach(json_object_get(doc, "rows"), i, row) {
		struct counters c = {0};

		if (json_unpack(row, "[s, s, s, I, I, I, I, I]", &class, &instance, &zone, &n[0],
				&n[1], &n[2], &n[3], &n[4]) != 0) {
			ok = false;
			break;
		}
		cs_copy(c.class, sizeof(c.class), class);
		cs_copy(c.instance, sizeof(c.instance), instance);
		cs_copy(c.zone, sizeof(c.zone), zone);
		c.requests = (uint64_t)n[0];
		c.ok = (uint64_t)n[1];
		c.within = (uint64_t)n[2];
		c.refused = (uint64_t)n[3];
		c.failed = (uint64_t)n[4];
		s->rows = cs_xrealloc(s->rows, s->n + 1, sizeof(c));
		s->rows[s->n++] = c;
	}
	json_decref(doc);
	sample_sort(s);
	if (!ok)
		sample_free(s);
	return ok;
}

bool burn_record_read(struct burn_samples *s, const char *path, struct cs_msg *msg)
{
	GError *err = NULL;
	char *text = NULL, **lines;
	struct sample one;
	unsigned i;
	bool ok = true;

	if (!g_file_get_contents(path, &text, NULL, &err)) {
		ok = g_error_matches(err, G_FILE_ERROR, G_FILE_ERROR_NOENT);
		if (!ok)
			cs_msg_set(msg, "%.200s", err->message);
		g_error_free(err);
		return ok;
	}
	lines = g_strsplit(text, "\n", -1);
	for (i = 0; ok && lines[i] != NULL; i++) {
		if (lines[i][0] == '\0')
			continue;
		ok = parse_sample(lines[i], &one);
		if (ok)
			burn_samples_add(s, one);
		else
			cs_msg_set(msg, "%.150s: line %u is not a valid sample", path, i + 1);
	}
	g_strfreev(lines);
	g_free(text);
	return ok;
}

bool burn_record_write(const struct burn_samples *s, const char *path, struct cs_msg *msg)
{
	unsigned i = s->n > RECORD_SAMPLES_MAX ? s->n - RECORD_SAMPLES_MAX : 0;
	GString *text = g_string_new("");
	GError *err = NULL;
	json_t *doc;
	char *line;
	bool ok;

	for (; i < s->n; i++) {
		doc = sample_json(&s->list[i]);
		line = json_dumps(doc, JSON_COMPACT);
		g_string_append_printf(text, "%s\n", line);
		free(line);
		json_decref(doc);
	}
	ok = g_file_set_contents(path, text->str, (gssize)text->len, &err);
	if (!ok) {
		cs_msg_set(msg, "%.200s", err->message);
		g_error_free(err);
	}
	g_string_free(text, TRUE);
	return ok;
}
