/* Output: errors, JSON, tables, and suggestions for misspelt names. */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "src/ctl/ctl.h"

void ctl_error(const struct ctl *ctl, const char *fmt, ...)
{
	char *text;
	va_list ap;

	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	if (ctl->json)
		ctl_print_json(json_pack("{s:s}", "error", text));
	else
		fprintf(stderr, "cassiactl: %s\n", text);
	g_free(text);
}

void ctl_print_json(json_t *doc)
{
	char *text = doc != NULL ? json_dumps(doc, JSON_COMPACT | JSON_REAL_PRECISION(15)) : NULL;

	puts(text != NULL ? text : "null");
	free(text);
	json_decref(doc);
}

const char *ctl_suggest(const char *word, const char *const *names, size_t n, struct cs_msg *buf)
{
	const char *near = cs_closest_name(word, names, n);

	cs_msg_set(buf, "%s%s%s", near ? "; did you mean " : "", near ? near : "", near ? "?" : "");
	return buf->text;
}

struct ctl_table {
	unsigned columns;
	unsigned n; /* cells, including the headers */
	char **cells;
};

struct ctl_table *ctl_table_create(const char *headers)
{
	struct ctl_table *t = cs_xcalloc(1, sizeof(*t));
	char **parts = g_strsplit(headers, "|", -1);
	unsigned i;

	t->columns = g_strv_length(parts);
	for (i = 0; i < t->columns; i++)
		ctl_table_add(t, "%s", parts[i]);
	g_strfreev(parts);
	return t;
}

void ctl_table_add(struct ctl_table *t, const char *fmt, ...)
{
	va_list ap;

	t->cells = cs_xrealloc(t->cells, t->n + 1, sizeof(*t->cells));
	va_start(ap, fmt);
	t->cells[t->n++] = g_strdup_vprintf(fmt, ap);
	va_end(ap);
}

static void print_cells(const struct ctl_table *t)
{
	size_t *width = cs_xcalloc(t->columns, sizeof(*width)), len;
	unsigned i, col;

	for (i = 0; i < t->n; i++) {
		len = strlen(t->cells[i]);
		if (len > width[i % t->columns])
			width[i % t->columns] = len;
	}
	for (i = 0; i < t->n; i++) {
		col = i % t->columns;
		if (col + 1 == t->columns)
			puts(t->cells[i]);
		else
			printf("%-*s  ", (int)width[col], t->cells[i]);
	}
	free(width);
}

void ctl_table_finish(struct ctl_table *t, bool print)
{
	unsigned i;

	if (print)
		print_cells(t);
	for (i = 0; i < t->n; i++)
		g_free(t->cells[i]);
	free(t->cells);
	free(t);
}

void ctl_table_print(struct ctl_table *t)
{
	ctl_table_finish(t, true);
}
