/* Reading the configuration document from the store or from an instance. */
#include <stdlib.h>
#include <string.h>

#include "src/ctl/ctl.h"

json_t *ctl_find(const json_t *list, const char *key, const char *value)
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

/* Checks a text and fills the document. */
static int take_text(struct ctl *ctl, struct ctl_doc *doc, const char *text, size_t len,
		     const char *from)
{
	struct cs_msg msg;

	doc->cfg = cs_config_parse(text, len, &msg);
	if (doc->cfg == NULL) {
		ctl_error(ctl, "the document of the %s is not valid: %s", from, msg.text);
		return CTL_FAILURE;
	}
	doc->json = json_loadb(text, len, 0, NULL);
	return CTL_OK;
}

/* Asks for a path at an address; the caller frees the result with ctl_fetch_free. */
static struct ctl_fetch *fetch_one(struct ctl *ctl, char *url)
{
	struct ctl_fetch *f = cs_xcalloc(1, sizeof(*f));

	f->url = url;
	ctl_fetch_all(ctl, f, 1);
	return f;
}

/* Address of the lookup daemon beside an agent, from the agent's state; NULL if it is not known. */
static char *lookup_of_agent(struct ctl *ctl)
{
	struct ctl_fetch *f = fetch_one(ctl, cs_xasprintf("http://%s/v1/state", ctl->instance));
	json_t *state = f->status == 200 ? json_loads(f->body, 0, NULL) : NULL;
	const char *name = json_string_value(json_object_get(state, "instance")), *addr;
	json_t *member = name ? ctl_find(json_object_get(state, "members"), "name", name) : NULL;
	json_int_t port = json_integer_value(json_object_get(member, "lookup_port"));
	char *url = NULL;

	addr = json_string_value(json_object_get(member, "addr"));
	if (addr != NULL && port > 0)
		url = cs_xasprintf("http://%s:%d/v1/config", addr, (int)port);
	json_decref(state);
	ctl_fetch_free(f, 1);
	return url;
}

/* Takes the document that is in force at an instance; its lookup daemon serves it. */
static int load_instance(struct ctl *ctl, struct ctl_doc *doc)
{
	struct ctl_fetch *f = fetch_one(ctl, cs_xasprintf("http://%s/v1/config", ctl->instance));
	int rc = CTL_FAILURE;
	char *url;

	if (f->status == 404) {
		url = lookup_of_agent(ctl);
		ctl_fetch_free(f, 1);
		if (url == NULL) {
			ctl_error(ctl, "instance %s does not name its lookup daemon",
				  ctl->instance);
			return CTL_FAILURE;
		}
		f = fetch_one(ctl, url);
	}
	if (f->status == 200)
		rc = take_text(ctl, doc, f->body, strlen(f->body), "instance");
	else if (f->status != 0)
		ctl_error(ctl, "instance %s has no configuration (status %ld)", ctl->instance,
			  f->status);
	else
		ctl_error(ctl, "instance %s does not answer: %s", ctl->instance, f->body);
	ctl_fetch_free(f, 1);
	return rc;
}

int ctl_doc_load(struct ctl *ctl, struct ctl_doc *doc)
{
	struct ctl_value v;
	int rc;

	memset(doc, 0, sizeof(*doc));
	if (ctl->store == NULL && ctl->instance != NULL)
		return load_instance(ctl, doc);
	if (ctl->store == NULL) {
		ctl_error(ctl, "no store: give --store consul:http://IP:PORT or set CASSIA_STORE");
		return CTL_USAGE;
	}
	ctl_get(ctl, CTL_CONFIG_KEY, &v);
	doc->index = v.index;
	if (v.status == CS_STORE_OK) {
		rc = take_text(ctl, doc, v.text, v.len, "store");
	} else if (v.status == CS_STORE_ABSENT) {
		ctl_error(ctl,
			  "the store has no configuration; create it with: cassiactl apply FILE");
		rc = CTL_FAILURE;
	} else if (ctl->instance != NULL) {
		doc->index = 0;
		rc = load_instance(ctl, doc);
	} else {
		ctl_error(ctl,
			  "the store is unavailable: %s; --instance IP:PORT of an agent's admin "
			  "interface serves commands that only read",
			  v.msg.text);
		rc = CTL_STORE;
	}
	ctl_value_free(&v);
	return rc;
}
