/*
 * Explains one request from log lines of the form
 * "t=SECONDS event=NAME instance=NAME key=value ...".
 */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "src/ctl/request-log.h"

#define LINE_BYTES 4096
#define CONTEXT_MAX_AGE_S 10.0 /* older events are not related to a line of the request */

struct line {
	TAILQ_ENTRY(line) entry;
	double t;
	char *text; /* starts at "event=" */
	bool own; /* the line has the request's id */
};
TAILQ_HEAD(lines, line);

/* Explanations of the reason codes of failed requests. */
static const struct {
	const char *reason;
	const char *text;
} reasons[] = {
	{"overload", "no slot of a usable server came free within the wait that its target allows"},
	{"no_server", "no usable server of its service: see the server lines before it"},
	{"deadline", "too little of its time was left for the usual work, or the time ended"},
	{"budget", "a repeated send would have passed the budget that all instances share"},
	{"attempts", "the route's number of attempts was used up"},
	{"lost", "a send may have run and brought no usable answer; it must not be sent again"},
	{"not_ready", "the instance had not read the store yet"},
	{"key_missing", "the route is not public, and the request named no workspace by a key"},
	{"key_unknown", "no workspace of the document in force has the key; it may be withdrawn"},
	{"key_ambiguous", "the request had several keys"},
	{"keys_out_of_date", "the instance had not learned for too long which keys are withdrawn"},
	{"workspace_unreadable", "the workspace, or one whose keys are not known, cannot be read"},
	{"quota", "the workspace had used up its quota over all instances"},
	{"no_route", "no route of the document in force matched host and path"},
	{"bad_request", "the request's head was malformed"},
};

/* Copies the value of a key; false if the line does not have the key. */
static bool value_of(const char *text, const char *key, char *out, size_t size)
{
	size_t n = strlen(key), len;
	const char *p = text;

	while ((p = strstr(p, key)) != NULL) {
		if ((p == text || p[-1] == ' ') && p[n] == '=')
			break;
		p += n;
	}
	if (p == NULL)
		return false;
	p += n + 1;
	len = *p == '"' ? strcspn(++p, "\"") : strcspn(p, " ");
	if (len >= size)
		len = size - 1;
	memcpy(out, p, len);
	out[len] = '\0';
	return true;
}

static bool has_value(const char *text, const char *key, const char *value)
{
	char got[256];

	return value_of(text, key, got, sizeof(got)) && strcmp(got, value) == 0;
}

static void lines_free(struct lines *all)
{
	struct line *l;

	while ((l = TAILQ_FIRST(all)) != NULL) {
		TAILQ_REMOVE(all, l, entry);
		free(l->text);
		free(l);
	}
}

/* Inserts by time, searching from the end because the lines of a file are nearly in order. */
static void lines_insert(struct lines *all, struct line *l)
{
	struct line *at = TAILQ_LAST(all, lines);

	while (at != NULL && at->t > l->t)
		at = TAILQ_PREV(at, lines, entry);
	if (at != NULL)
		TAILQ_INSERT_AFTER(all, at, l, entry);
	else
		TAILQ_INSERT_HEAD(all, l, entry);
}

/* True for events about the state of servers, instances or the store, not about one request. */
static bool is_instance_event(const char *text)
{
	return strncmp(text, "event=request.", 14) != 0 && strncmp(text, "event=send.", 11) != 0;
}

/* Keeps the lines of the request and those that may be related to it. */
static void parse_line(struct lines *all, char *buf, const char *id)
{
	char *t = strstr(buf, "t="), *event = strstr(buf, "event=");
	struct line *l;
	bool own;

	buf[strcspn(buf, "\r\n")] = '\0';
	if (t == NULL || event == NULL || event < t)
		return;
	own = has_value(event, "id", id);
	if (!own && !is_instance_event(event))
		return;
	l = cs_xcalloc(1, sizeof(*l));
	l->t = strtod(t + 2, NULL);
	l->text = cs_xstrdup(event);
	l->own = own;
	lines_insert(all, l);
}

static bool read_file(struct ctl *ctl, struct lines *all, const char *path, const char *id)
{
	FILE *f = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
	char buf[LINE_BYTES];

	if (f == NULL) {
		ctl_error(ctl, "%s: %s", path, strerror(errno));
		return false;
	}
	while (fgets(buf, sizeof(buf), f) != NULL)
		parse_line(all, buf, id);
	if (f != stdin)
		fclose(f);
	return true;
}

/*
 * True if an event precedes a line of the request within CONTEXT_MAX_AGE_S, is from the same
 * instance, and concerns the same server or no particular server.
 */
static bool is_related(const struct line *event, const struct line *own)
{
	char instance[64], server[64], other[64];

	if (event->t > own->t || event->t < own->t - CONTEXT_MAX_AGE_S)
		return false;
	if (!value_of(own->text, "instance", instance, sizeof(instance)) ||
	    !has_value(event->text, "instance", instance))
		return false;
	if (!value_of(event->text, "server", server, sizeof(server)))
		return strncmp(event->text, "event=instance.", 15) != 0;
	return value_of(own->text, "server", other, sizeof(other)) && strcmp(server, other) == 0;
}

static bool is_printed(struct lines *all, const struct line *l)
{
	const struct line *own;

	if (l->own)
		return true;
	TAILQ_FOREACH(own, all, entry)
		if (own->own && is_related(l, own))
			return true;
	return false;
}

/* Cause of the outcome, from the last line of the request and its last failed send. */
static char *cause_text(const struct line *last, const struct line *failure)
{
	char reason[64], why[160], server[64], took[16], send[16], target[16];
	size_t i;

	if (value_of(last->text, "reason", reason, sizeof(reason))) {
		if (failure != NULL && value_of(failure->text, "why", why, sizeof(why)) &&
		    value_of(failure->text, "server", server, sizeof(server)))
			return cs_xasprintf("%s; its send to %s ended with: %s", reason, server,
					    why);
		for (i = 0; i < sizeof(reasons) / sizeof(reasons[0]); i++)
			if (strcmp(reasons[i].reason, reason) == 0)
				return cs_xasprintf("%s: %s", reason, reasons[i].text);
		return cs_xstrdup(reason);
	}
	if (value_of(last->text, "why", why, sizeof(why)) &&
	    strncmp(last->text, "event=request.cut", 17) == 0)
		return cs_xasprintf("this instance closed the connection: %s", why);
	if (strncmp(last->text, "event=request.gone", 18) == 0)
		return cs_xstrdup("the caller left before the answer");
	if (has_value(last->text, "late", "1") &&
	    value_of(last->text, "took_ms", took, sizeof(took)) &&
	    value_of(last->text, "send_ms", send, sizeof(send)) &&
	    value_of(last->text, "target_ms", target, sizeof(target)) &&
	    value_of(last->text, "server", server, sizeof(server)))
		return cs_xasprintf("late: %s ms of a target of %s ms, %s ms of them at %s, the "
				    "rest waiting or in earlier sends",
				    took, target, send, server);
	if (value_of(last->text, "status", reason, sizeof(reason)))
		return cs_xasprintf("answered by a server with status %s", reason);
	return cs_xstrdup("the log has no end of the request");
}

static void print_report(struct ctl *ctl, struct lines *all)
{
	const struct line *last = NULL, *failure = NULL;
	json_t *list = json_array();
	struct line *l;
	char *cause;

	TAILQ_FOREACH(l, all, entry) {
		if (!is_printed(all, l))
			continue;
		if (l->own)
			last = l;
		if (l->own && strncmp(l->text, "event=send.failed", 17) == 0)
			failure = l;
		if (ctl->json)
			json_array_append_new(list, json_pack("{s:f, s:s, s:b}", "t", l->t, "line",
							      l->text, "own", l->own));
		else
			printf("%.3f %c %s\n", l->t, l->own ? '*' : ' ', l->text);
	}
	cause = last != NULL ? cause_text(last, failure) : cs_xstrdup("unknown");
	if (ctl->json)
		ctl_print_json(json_pack("{s:O, s:s}", "lines", list, "cause", cause));
	else
		printf("cause: %s\n", cause);
	json_decref(list);
	free(cause);
}

int request_log_explain(struct ctl *ctl, const char *id, char **files)
{
	struct lines all = TAILQ_HEAD_INITIALIZER(all);
	const struct line *l;
	int rc = CTL_FAILURE;
	unsigned own = 0;
	char **f;

	for (f = files; *f != NULL; f++)
		if (!read_file(ctl, &all, *f, id))
			goto out;
	TAILQ_FOREACH(l, &all, entry)
		own += l->own;
	if (own == 0) {
		ctl_error(ctl,
			  "no line about request %s in the logs; of the on-time responses only a "
			  "sample is logged",
			  id);
		goto out;
	}
	print_report(ctl, &all);
	rc = CTL_OK;
out:
	lines_free(&all);
	return rc;
}
