/*
 * Read, edit and compare-and-swap of the configuration document. A change id "c-BASE-RANDOM"
 * contains the revision that the change is based on. A document at a higher revision without this
 * id proves that the change did not take effect, because its compare-and-swap can no longer
 * succeed.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "src/ctl/change.h"

#define ATTEMPTS_MAX 8 /* limit while concurrent changes modify other objects */
#define RESOLVE_DELAY_MIN_US (100 * CS_US_PER_MS) /* between checks of an unconfirmed write */
#define RESOLVE_DELAY_MAX_US CS_US_PER_S

enum put_result { PUT_ACCEPTED, PUT_CONFLICT, PUT_UNKNOWN, PUT_REFUSED };

/* One attempt: the document it is based on and the document to write. */
struct attempt {
	struct ctl_doc base;
	char id[CS_NAME_MAX];
	char *text;
	uint64_t revision;
	uint64_t index; /* expected modification index of the compare-and-swap */
	struct cs_msg msg;
};

static void attempt_free(struct attempt *a)
{
	ctl_doc_free(&a->base);
	free(a->text);
	a->text = NULL;
}

static json_t *change_json(const struct cs_change *c)
{
	char at[CS_TIME_MAX];

	cs_time_format(c->at_ms, at);
	return json_pack("{s:s, s:I, s:s, s:s, s:s}", "id", c->id, "revision",
			 (json_int_t)c->revision, "at", at, "by", c->by, "text", c->text);
}

static int print_accepted(struct ctl *ctl, uint64_t revision, const char *id, const char *text)
{
	if (ctl->json)
		ctl_print_json(json_pack("{s:s, s:I, s:s, s:s}", "result", "accepted", "revision",
					 (json_int_t)revision, "change", id, "text", text));
	else
		printf("accepted at revision %" PRIu64 ": %s (change %s)\n", revision, text, id);
	return CTL_OK;
}

static int print_no_change(struct ctl *ctl, uint64_t revision)
{
	if (ctl->json)
		ctl_print_json(json_pack("{s:s, s:I, s:n}", "result", "accepted", "revision",
					 (json_int_t)revision, "change"));
	else
		printf("no difference: revision %" PRIu64 " is in force\n", revision);
	return CTL_OK;
}

static int print_rejected(struct ctl *ctl, const char *reason)
{
	if (ctl->json)
		ctl_print_json(json_pack("{s:s, s:s}", "result", "rejected", "reason", reason));
	else
		fprintf(stderr, "cassiactl: rejected: %s\n", reason);
	return CTL_REJECTED;
}

int ctl_print_conflict(struct ctl *ctl, const struct cs_config *cfg, uint64_t after)
{
	json_t *list = json_array();
	unsigned i;

	if (!ctl->json)
		fprintf(stderr,
			"cassiactl: conflict: the document is at revision %" PRIu64
			", this change was made from revision %" PRIu64 "; nothing was written\n",
			cfg->revision, after);
	for (i = 0; i < cfg->n_changes; i++) {
		const struct cs_change *c = &cfg->changes[i];
		char at[CS_TIME_MAX];

		if (c->revision <= after)
			continue;
		json_array_append_new(list, change_json(c));
		cs_time_format(c->at_ms, at);
		if (!ctl->json)
			fprintf(stderr, "  revision %" PRIu64 " by %s at %s: %s (change %s)\n",
				c->revision, c->by, at, c->text, c->id);
	}
	if (ctl->json)
		ctl_print_json(json_pack("{s:s, s:I, s:I, s:o}", "result", "conflict", "revision",
					 (json_int_t)cfg->revision, "base", (json_int_t)after,
					 "changes", list));
	else
		json_decref(list);
	return CTL_CONFLICT;
}

static int print_unknown(struct ctl *ctl, const char *id)
{
	if (ctl->json)
		ctl_print_json(json_pack("{s:s, s:s, s:o}", "result", "unknown", "change", id,
					 "resolve", json_sprintf("cassiactl settle %s", id)));
	else
		fprintf(stderr,
			"cassiactl: unknown: the store gave no answer, the change may have taken "
			"effect (change %s); resolve it with: cassiactl settle %s\n",
			id, id);
	return CTL_UNKNOWN;
}

static int print_unavailable(struct ctl *ctl, const char *reason)
{
	if (ctl->json)
		ctl_print_json(json_pack("{s:s, s:s}", "result", "unavailable", "reason", reason));
	else
		fprintf(stderr,
			"cassiactl: the store is unavailable, nothing was written: %s; the last "
			"configuration stays in force\n",
			reason);
	return CTL_STORE;
}

/* Reads the document. If it is absent and may be created, the base is empty at index 0. */
static int read_base(struct ctl *ctl, const struct ctl_change *change, struct ctl_doc *doc)
{
	struct ctl_store_result v;
	int rc = CTL_OK;

	memset(doc, 0, sizeof(*doc));
	ctl_store_get(ctl, CTL_CONFIG_KEY, &v);
	if (v.status == CS_STORE_OK) {
		struct cs_msg msg;

		doc->index = v.index;
		doc->cfg = cs_config_parse(v.text, v.len, &msg);
		doc->json = json_loadb(v.text, v.len, 0, NULL);
		if (doc->cfg == NULL) {
			ctl_error(ctl, "invalid configuration document in the store: %s", msg.text);
			rc = CTL_FAILURE;
		}
	} else if (v.status == CS_STORE_ABSENT && !change->may_create) {
		ctl_error(ctl,
			  "the store has no configuration; create it with: cassiactl apply FILE");
		rc = CTL_FAILURE;
	} else if (v.status == CS_STORE_BAD) {
		ctl_error(ctl, "the store refused the read: %s", v.msg.text);
		rc = CTL_FAILURE;
	} else if (v.status != CS_STORE_ABSENT) {
		rc = print_unavailable(ctl, v.msg.text);
	}
	ctl_store_result_free(&v);
	return rc;
}

/*
 * Makes the text valid for JSON: truncates it at the first byte that is not valid UTF-8, which
 * occurs when a length limit split a character, and replaces control characters by spaces.
 */
static void sanitize_text(char *text)
{
	const char *end;
	char *p;

	if (!g_utf8_validate(text, -1, &end))
		text[end - text] = '\0';
	for (p = text; *p != '\0'; p++) {
		if ((unsigned char)*p < ' ' || *p == 0x7f)
			*p = ' ';
	}
}

/* Appends the record of the change and removes the oldest records above the limit. */
static void add_record(struct ctl *ctl, json_t *doc, const struct attempt *a, const char *text)
{
	json_t *list = json_object_get(doc, "changes");
	char at[CS_TIME_MAX];

	if (!json_is_array(list)) {
		list = json_array();
		json_object_set_new(doc, "changes", list);
	}
	cs_time_format(cs_wall_ms(), at);
	json_array_append_new(list, json_pack("{s:s, s:I, s:s, s:s, s:s}", "id", a->id, "revision",
					      (json_int_t)a->revision, "at", at, "by",
					      ctl->operator, "text", text));
	while (json_array_size(list) > CS_CONFIG_CHANGES)
		json_array_remove(list, 0);
	json_object_set_new(doc, "revision", json_integer((json_int_t)a->revision));
}

/*
 * Revision for a newly created document. A document with a history was in use before the store
 * lost its data; instances that still hold it accept only a higher revision.
 */
static uint64_t first_revision(const json_t *doc)
{
	json_int_t revision = json_integer_value(json_object_get(doc, "revision"));

	if (json_array_size(json_object_get(doc, "changes")) > 0)
		revision++;
	return revision > 0 ? (uint64_t)revision : 1;
}

/* Edits a copy of the base and validates the result. */
static int prepare_attempt(struct ctl *ctl, struct ctl_change *change, struct attempt *a)
{
	uint64_t base = a->base.cfg != NULL ? a->base.cfg->revision : 0;
	json_t *doc = a->base.json != NULL ? json_deep_copy(a->base.json) : json_object();
	struct cs_config *cfg = NULL;
	char prefix[32], *text = NULL;
	int rc = CTL_REJECTED;
	struct cs_msg reason = {""};

	a->index = a->base.index;
	a->revision = base + 1;
	snprintf(prefix, sizeof(prefix), "c-%" PRIu64 "-", base);
	cs_random_id(a->id, sizeof(a->id), prefix);
	if (!change->edit(ctl, doc, a->base.cfg, change->arg, change, &reason))
		goto out;
	if (change->conflict) {
		rc = ctl_print_conflict(ctl, a->base.cfg, change->base_revision);
		goto out;
	}
	if (change->no_change) {
		rc = print_no_change(ctl, base);
		goto out;
	}
	if (base == 0)
		a->revision = first_revision(doc);
	sanitize_text(change->text);
	add_record(ctl, doc, a, change->text);
	text = json_dumps(doc, JSON_COMPACT | JSON_REAL_PRECISION(15));
	cfg = cs_config_parse(text, strlen(text), &reason);
	if (cfg == NULL ||
	    (change->check != NULL && !change->check(ctl, cfg, change->arg, &reason)))
		goto out;
	a->text = cs_xstrdup(cfg->text);
	rc = CTL_OK;
out:
	if (rc == CTL_REJECTED)
		print_rejected(ctl, reason.text);
	cs_config_unref(cfg);
	free(text);
	json_decref(doc);
	return rc;
}

enum check_result { CHECK_FOUND, CHECK_CONFLICT, CHECK_UNCHANGED, CHECK_INCONCLUSIVE };

/* Reads the document again to find out whether the write was applied. */
static enum check_result check_outcome(struct ctl *ctl, const struct attempt *a)
{
	enum check_result result = CHECK_INCONCLUSIVE;
	struct cs_config *cfg;
	struct ctl_store_result v;
	struct cs_msg msg;

	ctl_store_get(ctl, CTL_CONFIG_KEY, &v);
	if (v.status == CS_STORE_ABSENT)
		result = a->index == 0 ? CHECK_UNCHANGED : CHECK_CONFLICT;
	if (v.status == CS_STORE_OK) {
		cfg = cs_config_parse(v.text, v.len, &msg);
		if (cfg != NULL && cs_config_change(cfg, a->id) != NULL)
			result = CHECK_FOUND;
		else if (v.index == a->index)
			result = CHECK_UNCHANGED;
		else if (cfg != NULL && cfg->n_changes == CS_CONFIG_CHANGES &&
			 cfg->changes[0].revision > a->revision)
			result = CHECK_INCONCLUSIVE; /* the record may already have been removed */
		else
			result = CHECK_CONFLICT;
		cs_config_unref(cfg);
	}
	ctl_store_result_free(&v);
	return result;
}

/*
 * Writes until the outcome is known or the timeout expires. Repeating the write with the same index
 * is safe: at most one of the writes can succeed, and the record of the change shows that it did.
 */
static enum put_result put_and_resolve(struct ctl *ctl, struct attempt *a)
{
	uint64_t end = cs_mono_us() + ctl->timeout_ms * CS_US_PER_MS, delay = RESOLVE_DELAY_MIN_US;
	enum cs_store_status st;
	struct ctl_store_result v;
	bool sent = false;
	enum check_result check;

	for (;;) {
		ctl_store_put(ctl, CTL_CONFIG_KEY, a->text, a->index, &v);
		st = v.status;
		a->msg = v.msg;
		ctl_store_result_free(&v);
		if (st == CS_STORE_OK)
			return PUT_ACCEPTED;
		/*
		 * "Unavailable" does not prove that nothing was written: libcurl repeats a write by
		 * itself when a reused connection closes, and possibly only the second attempt
		 * failed to connect.
		 */
		if (st == CS_STORE_BAD && !sent)
			return PUT_REFUSED;
		sent = true;
		do {
			check = check_outcome(ctl, a);
			if (check == CHECK_FOUND)
				return PUT_ACCEPTED;
			if (check == CHECK_CONFLICT)
				return PUT_CONFLICT;
			if (cs_mono_us() + delay >= end)
				return PUT_UNKNOWN;
			ctl_sleep(ctl, delay);
			delay = delay * 2 < RESOLVE_DELAY_MAX_US ? delay * 2 : RESOLVE_DELAY_MAX_US;
		} while (check == CHECK_INCONCLUSIVE);
	}
}

static int report_result(struct ctl *ctl, struct ctl_change *change, struct attempt *a,
			 enum put_result result)
{
	switch (result) {
	case PUT_ACCEPTED:
		return print_accepted(ctl, a->revision, a->id, change->text);
	case PUT_UNKNOWN:
		return print_unknown(ctl, a->id);
	case PUT_REFUSED:
		ctl_error(ctl, "the store refused the write: %s", a->msg.text);
		return CTL_FAILURE;
	case PUT_CONFLICT:
		break;
	}
	return CTL_FAILURE;
}

/* Reads the base of the next attempt; conflict if the same object was changed concurrently. */
static int rebase(struct ctl *ctl, struct ctl_change *change, struct attempt *a)
{
	struct ctl_doc old = a->base;
	int rc = read_base(ctl, change, &a->base);

	if (rc == CTL_OK && a->base.cfg != NULL && old.json != NULL &&
	    (change->object_changed == NULL ||
	     change->object_changed(old.json, a->base.json, change->arg)))
		rc = ctl_print_conflict(ctl, a->base.cfg, old.cfg->revision);
	else if (rc == CTL_OK && a->base.cfg != NULL && old.json == NULL)
		rc = ctl_print_conflict(ctl, a->base.cfg, 0);
	ctl_doc_free(&old);
	return rc;
}

int ctl_change_run(struct ctl *ctl, struct ctl_change *change)
{
	struct attempt a = {0};
	enum put_result result;
	unsigned i;
	int rc;

	if (ctl->store == NULL) {
		ctl_error(ctl, "no store configured; use --store consul:http://IP:PORT or set "
			       "CASSIA_STORE");
		return CTL_USAGE;
	}
	rc = read_base(ctl, change, &a.base);
	for (i = 0; rc == CTL_OK; i++) {
		rc = prepare_attempt(ctl, change, &a);
		if (rc != CTL_OK || change->no_change)
			break;
		result = put_and_resolve(ctl, &a);
		if (result != PUT_CONFLICT) {
			rc = report_result(ctl, change, &a, result);
			break;
		}
		free(a.text);
		a.text = NULL;
		if (i + 1 == ATTEMPTS_MAX) {
			rc = ctl_print_conflict(ctl, a.base.cfg, a.base.cfg->revision);
			break;
		}
		rc = rebase(ctl, change, &a);
	}
	attempt_free(&a);
	return rc;
}
