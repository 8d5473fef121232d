/* cassiactl: parses the command line and runs the command. */
#include <locale.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "src/ctl/ctl.h"

#define TIMEOUT_DEFAULT_MS 5000
#define TIMEOUT_MIN_MS 100
#define TIMEOUT_MAX_MS 600000
#define CMDS_MAX 32

const struct cmd *const cmds[] = {
	&cmd_status,	&cmd_zones, &cmd_servers,     &cmd_classes,	 &cmd_targets,
	&cmd_top,	&cmd_burn,  &cmd_drain_start, &cmd_drain_status, &cmd_drain_cancel,
	&cmd_class_set, &cmd_apply, &cmd_diff,	      &cmd_show,	 &cmd_history,
	&cmd_settle,	&cmd_keys,  &cmd_locate,      &cmd_explain,	 &cmd_routes,
	NULL,
};

static char *opt_store, *opt_platform, *opt_instance, *opt_by, *opt_address;
static gint opt_timeout = TIMEOUT_DEFAULT_MS;
static gboolean opt_json, opt_version;

static const GOptionEntry common_options[] = {
	{"store", 0, 0, G_OPTION_ARG_STRING, &opt_store,
	 "Platform store as consul:http://IP:PORT [CASSIA_STORE]", "URL"},
	{"platform", 0, 0, G_OPTION_ARG_STRING, &opt_platform,
	 "Store of the users' platform, for status, servers and routes [CASSIA_PLATFORM]",
	 "IP:PORT"},
	{"instance", 0, 0, G_OPTION_ARG_STRING, &opt_instance,
	 "Admin address of an agent, for reading while the store is down", "IP:PORT"},
	{"address", 0, 0, G_OPTION_ARG_STRING, &opt_address, "Source address [CASSIA_ADDRESS]",
	 "IP"},
	{"by", 0, 0, G_OPTION_ARG_STRING, &opt_by,
	 "Operator's name in the history [CASSIA_BY, then USER]", "NAME"},
	{"timeout-ms", 0, 0, G_OPTION_ARG_INT, &opt_timeout,
	 "Time to wait for answers, 100 to 600000 ms, default 5000", "MS"},
	{"json", 0, 0, G_OPTION_ARG_NONE, &opt_json, "Print JSON", NULL},
	{"version", 0, 0, G_OPTION_ARG_NONE, &opt_version, "Print the version and exit", NULL},
	{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

static void usage(FILE *to)
{
	unsigned i;

	fprintf(to, "Usage: cassiactl [FLAGS] COMMAND [FLAGS] [ARGUMENTS]\n\nCommands:\n");
	for (i = 0; cmds[i] != NULL; i++)
		fprintf(to, "  %-13s %s\n", cmds[i]->name, cmds[i]->summary);
	fprintf(to, "\nFlags of all commands:\n");
	for (i = 0; common_options[i].long_name != NULL; i++)
		fprintf(to, "  --%-12s %s\n", common_options[i].long_name,
			common_options[i].description);
	fprintf(to, "\nExit codes: 0 ok, 1 failure, 2 usage, 3 rejected, 4 conflict, 5 unknown "
		    "outcome, 6 store unavailable\n"
		    "cassiactl COMMAND --help shows flags and examples.\n");
}

/* Index in argv of the first positional argument; argc if there is none. */
static int first_positional(int argc, char **argv, int from)
{
	int i, k;

	for (i = from; i < argc; i++) {
		if (argv[i][0] != '-')
			return i;
		for (k = 0; common_options[k].long_name != NULL; k++) {
			if (strncmp(argv[i], "--", 2) == 0 &&
			    strcmp(argv[i] + 2, common_options[k].long_name) == 0 &&
			    common_options[k].arg != G_OPTION_ARG_NONE)
				i++;
		}
	}
	return argc;
}

static void remove_arg(int *argc, char **argv, int at)
{
	memmove(&argv[at], &argv[at + 1], (size_t)(*argc - at) * sizeof(*argv));
	--*argc;
}

static const struct cmd *find_command(const char *name)
{
	unsigned i;

	for (i = 0; cmds[i] != NULL; i++) {
		if (strcmp(cmds[i]->name, name) == 0)
			return cmds[i];
	}
	return NULL;
}

/* Adds the first word of a command's name unless it is already in the list. */
static size_t add_first_word(char **words, size_t n, const char *name)
{
	char *word = g_strndup(name, strcspn(name, " "));
	size_t i;

	for (i = 0; i < n; i++) {
		if (strcmp(words[i], word) == 0) {
			g_free(word);
			return n;
		}
	}
	words[n] = word;
	return n + 1;
}

/* Prints an error with the commands that the user may have meant. */
static void print_unknown_command(const char *first, const char *second)
{
	char *words[CMDS_MAX], *full = cs_xasprintf("%s %s", first, second);
	const char *group[CMDS_MAX];
	size_t n_words = 0, n_group = 0, len = strlen(first), i;
	struct cs_msg buf;

	for (i = 0; cmds[i] != NULL; i++) {
		n_words = add_first_word(words, n_words, cmds[i]->name);
		if (strncmp(cmds[i]->name, first, len) == 0 && cmds[i]->name[len] == ' ')
			group[n_group++] = cmds[i]->name;
	}
	if (n_group > 0) {
		fprintf(stderr,
			"cassiactl: unknown command '%s'%s; allowed:", second[0] ? full : first,
			second[0] ? ctl_suggest(full, group, n_group, &buf) : "");
		for (i = 0; i < n_group; i++)
			fprintf(stderr, "%s '%s'", i > 0 ? "," : "", group[i]);
		fputc('\n', stderr);
	} else {
		fprintf(stderr, "cassiactl: unknown command '%s'%s; cassiactl --help lists all\n",
			first, ctl_suggest(first, (const char *const *)words, n_words, &buf));
	}
	for (i = 0; i < n_words; i++)
		g_free(words[i]);
	free(full);
}

/* Finds the command and removes its one or two words from argv. */
static const struct cmd *extract_command(int *argc, char **argv)
{
	int at = first_positional(*argc, argv, 1), next = first_positional(*argc, argv, at + 1);
	const char *second = next < *argc ? argv[next] : "";
	const struct cmd *cmd;
	char *full;

	if (at >= *argc)
		return NULL;
	full = cs_xasprintf("%s %s", argv[at], second);
	cmd = find_command(full);
	free(full);
	if (cmd != NULL) {
		remove_arg(argc, argv, next);
		remove_arg(argc, argv, at);
		return cmd;
	}
	cmd = find_command(argv[at]);
	if (cmd == NULL)
		print_unknown_command(argv[at], second);
	else
		remove_arg(argc, argv, at);
	return cmd;
}

/* Parses the flags and leaves the positional arguments in argv. */
static bool parse_options(const struct cmd *cmd, int *argc, char ***argv)
{
	GOptionContext *ctx = g_option_context_new(cmd->args);
	char *title = cs_xasprintf("cassiactl %s", cmd->name);
	char *examples = cs_xasprintf("Examples:\n%s", cmd->examples);
	GError *err = NULL;
	bool ok;

	g_set_prgname(title);
	g_option_context_set_summary(ctx, cmd->summary);
	g_option_context_set_description(ctx, examples);
	if (cmd->options != NULL)
		g_option_context_add_main_entries(ctx, cmd->options, NULL);
	g_option_context_add_main_entries(ctx, common_options, NULL);
	ok = g_option_context_parse(ctx, argc, argv, &err);
	if (!ok) {
		fprintf(stderr, "cassiactl: %s; cassiactl %s --help shows the flags\n",
			err->message, cmd->name);
		g_error_free(err);
	}
	g_option_context_free(ctx);
	free(examples);
	free(title);
	if (ok && *argc > 1 && strcmp((*argv)[1], "--") == 0)
		remove_arg(argc, *argv, 1);
	return ok;
}

/* Sets the operator's name and replaces characters that are not allowed in names by '-'. */
static void set_operator(struct ctl *ctl)
{
	const char *name = opt_by;
	char *p;

	if (name == NULL)
		name = getenv("CASSIA_BY");
	if (name == NULL)
		name = getenv("USER");
	if (name == NULL || name[0] == '\0')
		name = "operator";
	cs_copy(ctl->operator, sizeof(ctl->operator), name);
	for (p = ctl->operator; *p != '\0'; p++) {
		if (!g_ascii_isalnum(*p) && strchr("._-", *p) == NULL)
			*p = '-';
	}
}

/* Initialises the context; prints an error and returns false for an invalid flag value. */
static bool ctl_open(struct ctl *ctl)
{
	struct cs_msg msg;

	ctl->json = opt_json;
	if (opt_timeout < TIMEOUT_MIN_MS || opt_timeout > TIMEOUT_MAX_MS) {
		ctl_error(ctl, "--timeout-ms: %d is not allowed; allowed: %d to %d ms", opt_timeout,
			  TIMEOUT_MIN_MS, TIMEOUT_MAX_MS);
		return false;
	}
	ctl->timeout_ms = (unsigned)opt_timeout;
	ctl->platform = opt_platform != NULL ? opt_platform : getenv("CASSIA_PLATFORM");
	ctl->instance = opt_instance;
	ctl->source = opt_address != NULL ? opt_address : getenv("CASSIA_ADDRESS");
	ctl->store_url = opt_store != NULL ? opt_store : getenv("CASSIA_STORE");
	set_operator(ctl);
	ctl->loop = ev_default_loop(0);
	ctl->timers = cs_timers_create(ctl->loop);
	ctl->curl = cs_curl_create(ctl->loop, ctl->timers);
	if (ctl->store_url == NULL)
		return true;
	ctl->store = cs_store_create(ctl->curl, ctl->timers, ctl->store_url, ctl->source, &msg);
	if (ctl->store == NULL)
		ctl_error(ctl, "%s", msg.text);
	return ctl->store != NULL;
}

static void ctl_close(struct ctl *ctl)
{
	if (ctl->loop == NULL)
		return;
	cs_store_destroy(ctl->store);
	cs_curl_destroy(ctl->curl);
	cs_timers_destroy(ctl->timers);
	ev_loop_destroy(ctl->loop);
}

/* Handles --version and --help without a command. */
static int run_without_command(int argc, char **argv)
{
	int i;

	for (i = 1; i < argc; i++) {
		if (strcmp(argv[i], "--version") == 0) {
			puts("cassiactl " CS_VERSION);
			return CTL_OK;
		}
		if (strcmp(argv[i], "--help") == 0 || strcmp(argv[i], "-h") == 0) {
			usage(stdout);
			return CTL_OK;
		}
	}
	usage(stderr);
	return CTL_USAGE;
}

int main(int argc, char **argv)
{
	const struct cmd *cmd;
	struct ctl ctl = {0};
	int rc = CTL_USAGE;

	setlocale(LC_ALL, "C.UTF-8");
	cs_log_open("cassiactl", CS_WARNING);
	if (first_positional(argc, argv, 1) >= argc)
		return run_without_command(argc, argv);
	cmd = extract_command(&argc, argv);
	if (cmd == NULL || !parse_options(cmd, &argc, &argv))
		return CTL_USAGE;
	if (opt_version) {
		puts("cassiactl " CS_VERSION);
		return CTL_OK;
	}
	if (argc - 1 < cmd->min_args || argc - 1 > cmd->max_args)
		fprintf(stderr, "cassiactl: usage: cassiactl %s %s; --help shows examples\n",
			cmd->name, cmd->args);
	else if (ctl_open(&ctl))
		rc = cmd->run(&ctl, argc - 1, argv + 1);
	ctl_close(&ctl);
	return rc;
}
