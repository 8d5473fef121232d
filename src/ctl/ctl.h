/* Interfaces shared by the commands: context, exit codes, command table, blocking I/O, output. */
#ifndef CS_CTL_H
#define CS_CTL_H

#include <glib.h>
#include <jansson.h>

#include "http/http.h"
#include "model/model.h"
#include "policy/policy.h"
#include "store/store.h"

/* Exit codes; documented in docs/operators.md and cassiactl(1). */
enum ctl_exit {
	CTL_OK = 0,
	CTL_FAILURE = 1,
	CTL_USAGE = 2,
	CTL_REJECTED = 3, /* the change is not valid or not feasible; nothing was written */
	CTL_CONFLICT = 4, /* a concurrent change was written first; nothing was written */
	CTL_UNKNOWN = 5, /* no response from the store: the change may have taken effect */
	CTL_STORE = 6 /* store unavailable; nothing was written */
};

struct ctl {
	struct ev_loop *loop;
	struct cs_timers *timers;
	struct cs_curl *curl;
	struct cs_store *store; /* NULL without --store */
	const char *store_url;
	const char *platform; /* IP:PORT of the store of the users' platform, or NULL */
	const char *instance; /* IP:PORT of an agent's admin interface, or NULL */
	const char *source; /* source IP of connections, or NULL */
	char operator[CS_NAME_MAX]; /* name for the history */
	unsigned timeout_ms;
	bool json;
};

/* max_args of a command without an upper limit. */
#define CTL_ARGS_UNLIMITED 1000

struct cmd {
	const char *name; /* one or two words, such as "drain start" */
	const char *args;
	const char *summary;
	const char *examples;
	const GOptionEntry *options; /* specific to this command; may be NULL */
	int min_args, max_args; /* positional arguments */
	int (*run)(struct ctl *ctl, int argc, char **argv);
};

extern const struct cmd cmd_apply, cmd_burn, cmd_class_set, cmd_classes, cmd_diff, cmd_drain_cancel,
	cmd_drain_start, cmd_drain_status, cmd_explain, cmd_history, cmd_keys, cmd_locate,
	cmd_routes, cmd_servers, cmd_settle, cmd_show, cmd_status, cmd_targets, cmd_top, cmd_zones;
/* All commands, NULL-terminated. */
extern const struct cmd *const cmds[];

/*
 * Prints "cassiactl: TEXT" to standard error, or in JSON mode an object with the key "error" to
 * standard output.
 */
void ctl_error(const struct ctl *ctl, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
/* Prints a JSON value to standard output and drops the caller's reference to it. */
void ctl_print_json(json_t *doc);
/* Returns "; did you mean NAME?" for the closest name, or "" if none is similar. */
const char *ctl_suggest(const char *word, const char *const *names, size_t n, struct cs_msg *buf);

/* Result of a blocking store call. */
struct ctl_store_result {
	enum cs_store_status status;
	uint64_t index;
	char *text;
	size_t len;
	json_t *entries; /* result of ctl_store_list: array of {id, address, port, meta} */
	struct cs_msg msg;
};
void ctl_store_result_free(struct ctl_store_result *v);
void ctl_store_get(struct ctl *ctl, const char *key, struct ctl_store_result *out);
void ctl_store_put(struct ctl *ctl, const char *key, const char *text, uint64_t index,
		   struct ctl_store_result *out);
void ctl_store_list(struct ctl *ctl, const char *service, struct ctl_store_result *out);

/* One of a set of HTTP requests that run in parallel. */
struct ctl_fetch {
	char *url;
	long status; /* 0: no response */
	char *body; /* without a response, the error message */
	void *arg; /* for use by the caller */
};
void ctl_fetch_all(struct ctl *ctl, struct ctl_fetch *list, unsigned n);
/* Frees the list with its URLs and bodies. */
void ctl_fetch_free(struct ctl_fetch *list, unsigned n);
void ctl_sleep(struct ctl *ctl, uint64_t us);

#define CTL_CONFIG_KEY "cassia/config"
/* The configuration document, parsed and as JSON. */
struct ctl_doc {
	struct cs_config *cfg;
	json_t *json;
	uint64_t index; /* modification index in the store; 0 if read from an instance */
};
/*
 * Reads the document from the store, or from --instance if no store is set or it is unavailable.
 * Prints any error and returns an exit code.
 */
int ctl_doc_load(struct ctl *ctl, struct ctl_doc *doc);
void ctl_doc_free(struct ctl_doc *doc);
/* Finds the object in a list whose string member has this value; NULL if there is none. */
json_t *ctl_json_find(const json_t *list, const char *key, const char *value);

/* Table with aligned columns. */
struct ctl_table;
struct ctl_table *ctl_table_create(const char *headers); /* "A|B|C" */
/* Adds one cell; rows are filled from left to right. */
void ctl_table_add(struct ctl_table *t, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
/* Prints and frees the table. */
void ctl_table_print(struct ctl_table *t);
/* Frees the table, after printing it if print is set. */
void ctl_table_finish(struct ctl_table *t, bool print);

#endif
