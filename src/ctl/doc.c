/* Reads the configuration document from the store or from an instance. */
#include <stdlib.h>
#include <string.h>

#include "src/ctl/ctl.h"

json_t *ctl_json_find(const json_t *list, const char *key, const char *value)
{
	json_t *entry;
	size_t i;

	json_array_foreach(list, i, entry) {
		const char *text = json_string_value(json_object_get(entry, key));

		if (text != NULL && strcmp(text, value) == 0)
			return entry;
	}
	return NULL;
}

void ctl_doc_free(struct ctl_doc *doc)
{
	cs_config_unref(doc->cfg);
	json_decref(doc->json);
	memset(doc, 0, sizeof(*doc));
}

/* Parses and validates the document; from names its origin in the error message. */
static int parse_text(struct ctl *ctl, struct ctl_doc *doc, const char *text, size_t len,
		      const char *from)
{
	struct cs_msg msg;

	doc->cfg = cs_config_parse(text, len, &msg);
	if (doc->cfg == NULL) {
		ctl_error(ctl, "invalid configuration document from the %s: %s", from, msg.text);
		return CTL_FAILURE;
	}
	doc->json = json_loadb(text, len, 0, NULL);
	return CTL_OK;
}

/* Takes ownership of url; the caller frees the result with ctl_fetch_free. */
static struct ctl_fetch *fetch_one(struct ctl *ctl, char *url)
{
	struct ctl_fetch *f = cs_xcalloc(1, sizeof(*f));

	f->url = url;
	ctl_fetch_all(ctl, f, 1);
	return f;
}

/*
 * URL of the configuration at the lookup daemon of the instance, whose address is in the agent's
 * state; NULL if unknown.
 */
static char *lookup_config_url(struct ctl *ctl)
{
	struct ctl_fetch *f = fetch_one(ctl, cs_xasprintf("http://%s/v1/state", ctl->instance));
	json_t *state = f->status == 200 ? json_loads(f->body, 0, NULL) : NULL;
	const char *name = json_string_value(json_object_get(state, "instance")), *addr;
	json_t *member = name ? ctl_json_find(json_object_get(state, "members"), "name", name)
			      : NULL;
	json_int_t port = json_integer_value(json_object_get(member, "lookup_port"));
	char *url = NULL;

	addr = json_string_value(json_object_get(member, "addr"));
	if (addr != NULL && port > 0)
		url = cs_xasprintf("http://%s:%d/v1/config", addr, (int)port);
	json_decref(state);
	ctl_fetch_free(f, 1);
	return url;
}

/* Reads the document in use at an instance. Agents do not serve it, but lookup daemons do. */
static int load_instance(struct ctl *ctl, struct ctl_doc *doc)
{
	struct ctl_fetch *f = fetch_one(ctl, cs_xasprintf("http://%s/v1/config", ctl->instance));
	int rc = CTL_FAILURE;
	char *url;

	if (f->status == 404) {
		url = lookup_config_url(ctl);
		ctl_fetch_free(f, 1);
		if (url == NULL) {
			ctl_error(ctl,
				  "instance %s does not report the address of its lookup daemon",
				  ctl->instance);
			return CTL_FAILURE;
		}
		f = fetch_one(ctl, url);
	}
	if (f->status == 200)
		rc = parse_text(ctl, doc, f->body, strlen(f->body), "instance");
	else if (f->status != 0)
		ctl_error(ctl, "instance %s returned no configuration (HTTP status %ld)",
			  ctl->instance, f->status);
	else
		ctl_error(ctl, "no response from instance %s: %s", ctl->instance, f->body);
	ctl_fetch_free(f, 1);
	return rc;
}

int ctl_doc_load(struct ctl *ctl, struct ctl_doc *doc)
{
	struct ctl_store_result v;
	int rc;

	memset(doc, 0, sizeof(*doc));
	if (ctl->store == NULL && ctl->instance != NULL)
		return load_instance(ctl, doc);
	if (ctl->store == NULL) {
		ctl_error(ctl, "no store configured; use --store consul:http://IP:PORT or set "
			       "CASSIA_STORE");
		return CTL_USAGE;
	}
	ctl_store_get(ctl, CTL_CONFIG_KEY, &v);
	doc->index = v.index;
	if (v.status == CS_STORE_OK) {
		rc = parse_text(ctl, doc, v.text, v.len, "store");
	} else if (v.status == CS_STORE_ABSENT) {
		ctl_error(ctl,
			  "the store has no configuration; create it with: cassiactl apply FILE");
		rc = CTL_FAILURE;
	} else if (ctl->instance != NULL) {
		doc->index = 0;
		rc = load_instance(ctl, doc);
	} else {
		ctl_error(ctl,
			  "the store is unavailable: %s; read-only commands can use --instance "
			  "IP:PORT with the admin interface of an agent",
			  v.msg.text);
		rc = CTL_STORE;
	}
	ctl_store_result_free(&v);
	return rc;
}
