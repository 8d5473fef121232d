/* Command line of cassia-check. */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "src/check/check.h"

static struct cs_setting settings[] = {
	{.name = "history", .def = "", .unit = "", .help = "callers' histories, comma-separated"},
	{.name = "runs", .def = "", .unit = "", .help = "servers' run logs, comma-separated"},
	{.name = "facts", .def = "", .unit = "", .help = "facts of the run, comma-separated"},
	{.name = NULL},
};

typedef void (*line_cb)(struct check *c, const char *line);

static bool read_file(struct check *c, const char *path, line_cb cb)
{
	FILE *f = fopen(path, "r");
	char *line = NULL;
	size_t size = 0;

	if (f == NULL) {
		fprintf(stderr, "cassia-check: %s: %s\n", path, strerror(errno));
		return false;
	}
	while (getline(&line, &size, f) > 0)
		cb(c, line);
	free(line);
	fclose(f);
	return true;
}

static bool read_files(struct check *c, const char *name, line_cb cb)
{
	char **paths = g_strsplit(cs_setting_text(settings, name), ",", 0);
	bool ok = true;
	int i;

	for (i = 0; paths[i] != NULL; i++)
		if (*paths[i] != '\0')
			ok = read_file(c, paths[i], cb) && ok;
	g_strfreev(paths);
	return ok;
}

int main(int argc, char **argv)
{
	struct cs_msg msg;
	struct check *c;
	unsigned n;

	switch (cs_settings_load(settings, "History checker", &argc, &argv, &msg)) {
	case CS_SETTINGS_EXIT:
		return 0;
	case CS_SETTINGS_INVALID:
		fprintf(stderr, "cassia-check: %s\n", msg.text);
		return 2;
	case CS_SETTINGS_OK:
		break;
	}
	c = check_create(stdout);
	if (!read_files(c, "history", check_history_line) ||
	    !read_files(c, "runs", check_run_line) || !read_files(c, "facts", check_fact_line))
		return 2;
	check_join(c);
	n = check_evaluate(c);
	check_destroy(c);
	cs_settings_free(settings);
	return n == 0 ? 0 : 1;
}
