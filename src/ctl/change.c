/*
 * The write cycle of the configuration document. A change id "c-BASE-RANDOM" names the revision it
 * was made from; the document at a higher revision without the id therefore proves that the change
 * did not take effect, because its compare-and-swap can no longer succeed.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "src/ctl/change.h"

#define ATTEMPTS_MAX 8 /* races on other objects that are retried */
#define RESOLVE_FIRST_US (100 * CS_US_PER_MS) /* pause before a lost answer is looked into */
#define RESOLVE_MAX_US CS_US_PER_S

enum put_result { PUT_ACCEPTED, PUT_RACED, PUT_UNKNOWN, PUT_REFUSED };

/* One attempt: the document it is based on and what is to be written. */
struct attempt {
	struct ctl_doc base;
	char id[CS_NAME_MAX];
	char *text;
	uint64_t revision;
	uint64_t index; /* compare-and-swap index */
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

static int print_rejected(struct ctl *ctl, const char *why)
{
	if (ctl->json)
		ctl_print_json(json_pack("{s:s, s:s}", "result", "rejected", "reason", why));
	else
		fprintf(stderr, "cassiactl: rejected: %s\n", why);
	return CTL_REJECTED;
}

int ctl_conflict(struct ctl *ctl, const struct cs_config *cfg, uint64_t after)
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

static int print_unavailable(struct ctl *ctl, const char *why)
{
	if (ctl->json)
		ctl_print_json(json_pack("{s:s, s:s}", "result", "unavailable", "reason", why));
	else
		fprintf(stderr,
			"cassiactl: the store is unavailable, nothing was written: %s; the last "
			"configuration stays in force\n",
			why);
	return CTL_STORE;
}

/* Reads the document; an absent one gives an empty base at index 0 if it may be created. */
static int read_base(struct ctl *ctl, const struct ctl_change *change, struct ctl_doc *doc)
{
	struct ctl_value v;
	int rc = CTL_OK;

	memset(doc, 0, sizeof(*doc));
	ctl_get(ctl, CTL_CONFIG_KEY, &v);
	if (v.status == CS_STORE_OK) {
		struct cs_msg msg;

		doc->index = v.index;
		doc->cfg = cs_config_parse(v.text, v.len, &msg);
		doc->json = json_loadb(v.text, v.len, 0, NULL);
		if (doc->cfg == NULL) {
			ctl_error(ctl, "the document of the store is not valid: %s", msg.text);
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
	ctl_value_free(&v);
	return rc;
}

/*
 * Makes the text fit for the document: cut at the first byte that is not UTF-8, as after a cut in
 * the middle of a character, and without control characters.
 */
static void clean_text(char *text)
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

/* Adds the change's record, the oldest ones go. */
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
					      (json_int_t)a->revision, "at", at, "by", ctl->by,
					      "text", text));
	while (json_array_size(list) > CS_CONFIG_CHANGES)
		json_array_remove(list, 0);
	json_object_set_new(doc, "revision", json_integer((json_int_t)a->revision));
}

/*
 * Revision of a document that is created. One with a history was in force before, as after the loss
 * of the store: instances that still hold it take only a higher revision.
 */
static uint64_t first_revision(const json_t *doc)
{
	json_int_t revision = json_integer_value(json_object_get(doc, "revision"));

	if (json_array_size(json_object_get(doc, "changes")) > 0)
		revision++;
	return revision > 0 ? (uint64_t)revision : 1;
}

/* Edits a copy of the base and checks the whole result. */
static int prepare(struct ctl *ctl, struct ctl_change *change, struct attempt *a)
{
	uint64_t base = a->base.cfg != NULL ? a->base.cfg->revision : 0;
	json_t *doc = a->base.json != NULL ? json_deep_copy(a->base.json) : json_object();
	struct cs_config *cfg = NULL;
	char prefix[32], *text = NULL;
	int rc = CTL_REJECTED;
	struct cs_msg why = {""};

	a->index = a->base.index;
	a->revision = base + 1;
	snprintf(prefix, sizeof(prefix), "c-%" PRIu64 "-", base);
	cs_random_id(a->id, sizeof(a->id), prefix);
	if (!change->edit(ctl, doc, a->base.cfg, change->arg, change, &why))
		goto out;
	if (change->conflict) {
		rc = ctl_conflict(ctl, a->base.cfg, change->made_from);
		goto out;
	}
	if (change->no_change) {
		rc = print_no_change(ctl, base);
		goto out;
	}
	if (base == 0)
		a->revision = first_revision(doc);
	clean_text(change->text);
	add_record(ctl, doc, a, change->text);
	text = json_dumps(doc, JSON_COMPACT | JSON_REAL_PRECISION(15));
	cfg = cs_config_parse(text, strlen(text), &why);
	if (cfg == NULL || (change->check != NULL && !change->check(ctl, cfg, change->arg, &why)))
		goto out;
	a->text = cs_xstrdup(cfg->text);
	rc = CTL_OK;
out:
	if (rc == CTL_REJECTED)
		print_rejected(ctl, why.text);
	cs_config_unref(cfg);
	free(text);
	json_decref(doc);
	return rc;
}

enum look { LOOK_FOUND, LOOK_RACED, LOOK_SAME, LOOK_NO_ANSWER };

/* Reads again and looks for the change. */
static enum look look_for(struct ctl *ctl, const struct attempt *a)
{
	enum look result = LOOK_NO_ANSWER;
	struct cs_config *cfg;
	struct ctl_value v;
	struct cs_msg msg;

	ctl_get(ctl, CTL_CONFIG_KEY, &v);
	if (v.status == CS_STORE_ABSENT)
		result = a->index == 0 ? LOOK_SAME : LOOK_RACED;
	if (v.status == CS_STORE_OK) {
		cfg = cs_config_parse(v.text, v.len, &msg);
		if (cfg != NULL && cs_config_change(cfg, a->id) != NULL)
			result = LOOK_FOUND;
		else if (v.index == a->index)
			result = LOOK_SAME;
		else if (cfg != NULL && cfg->n_changes == CS_CONFIG_CHANGES &&
			 cfg->changes[0].revision > a->revision)
			result = LOOK_NO_ANSWER; /* the record may have left the document */
		else
			result = LOOK_RACED;
		cs_config_unref(cfg);
	}
	ctl_value_free(&v);
	return result;
}

/*
 * Writes until the outcome is known or the time is over. The same write with the same index may be
 * sent again: at most one of them can succeed, and the record shows it.
 */
static enum put_result put_until_known(struct ctl *ctl, struct attempt *a)
{
	uint64_t end = cs_mono_us() + ctl->timeout_ms * CS_US_PER_MS, pause = RESOLVE_FIRST_US;
	enum cs_store_status st;
	struct ctl_value v;
	bool sent = false;
	enum look look;

	for (;;) {
		ctl_put(ctl, CTL_CONFIG_KEY, a->text, a->index, &v);
		st = v.status;
		a->msg = v.msg;
		ctl_value_free(&v);
		if (st == CS_STORE_OK)
			return PUT_ACCEPTED;
		/*
		 * "Unavailable" proves nothing here: libcurl sends a write again by itself when a
		 * kept connection closes, and only the second one may have failed to connect.
		 */
		if (st == CS_STORE_BAD && !sent)
			return PUT_REFUSED;
		sent = true;
		do {
			look = look_for(ctl, a);
			if (look == LOOK_FOUND)
				return PUT_ACCEPTED;
			if (look == LOOK_RACED)
				return PUT_RACED;
			if (cs_mono_us() + pause >= end)
				return PUT_UNKNOWN;
			ctl_sleep(ctl, pause);
			pause = pause * 2 < RESOLVE_MAX_US ? pause * 2 : RESOLVE_MAX_US;
		} while (look == LOOK_NO_ANSWER);
	}
}

static int finish(struct ctl *ctl, struct ctl_change *change, struct attempt *a,
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
	case PUT_RACED:
		break;
	}
	return CTL_FAILURE;
}

/* Reads the base of the next attempt; conflict if the race concerns the same object. */
static int rebase(struct ctl *ctl, struct ctl_change *change, struct attempt *a)
{
	struct ctl_doc old = a->base;
	int rc = read_base(ctl, change, &a->base);

	if (rc == CTL_OK && a->base.cfg != NULL && old.json != NULL &&
	    (change->touched == NULL || change->touched(old.json, a->base.json, change->arg)))
		rc = ctl_conflict(ctl, a->base.cfg, old.cfg->revision);
	else if (rc == CTL_OK && a->base.cfg != NULL && old.json == NULL)
		rc = ctl_conflict(ctl, a->base.cfg, 0);
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
		ctl_error(ctl, "no store: give --store consul:http://IP:PORT or set CASSIA_STORE");
		return CTL_USAGE;
	}
	rc = read_base(ctl, change, &a.base);
	for (i = 0; rc == CTL_OK; i++) {
		rc = prepare(ctl, change, &a);
		if (rc != CTL_OK || change->no_change)
			break;
		result = put_until_known(ctl, &a);
		if (result != PUT_RACED) {
			rc = finish(ctl, change, &a, result);
			break;
		}
		free(a.text);
		a.text = NULL;
		if (i + 1 == ATTEMPTS_MAX) {
			rc = ctl_conflict(ctl, a.base.cfg, a.base.cfg->revision);
			break;
		}
		rc = rebase(ctl, change, &a);
	}
	attempt_free(&a);
	return rc;
}
