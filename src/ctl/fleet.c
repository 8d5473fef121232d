/* Instances from the platform's list or from one agent, and their answers. */
#include <stdlib.h>
#include <string.h>

#include "src/ctl/fleet.h"

#define SERVICE "cassia" /* name of the system's own instances in the platform's list */

static const char *text_of(const json_t *obj, const char *key)
{
	const char *s = json_string_value(json_object_get(obj, key));

	return s != NULL ? s : "";
}

/* Port from a number or, as the platform's list has it, from a string. */
static uint16_t port_of(const json_t *obj, const char *key)
{
	const json_t *v = json_object_get(obj, key);
	long long n = json_is_string(v) ? atoll(json_string_value(v)) : json_integer_value(v);

	return n > 0 && n <= UINT16_MAX ? (uint16_t)n : 0;
}

static void take_ports(struct ctl_instance *in, const json_t *obj)
{
	in->lookup_port = port_of(obj, "lookup_port");
	in->proxy_port = port_of(obj, "proxy_port");
	in->bus_port = port_of(obj, "bus_port");
	in->admin_port = port_of(obj, "admin_port");
}

static int by_zone(const void *a, const void *b)
{
	const struct ctl_instance *x = a, *y = b;
	int d = strcmp(x->zone, y->zone);

	return d != 0 ? d : strcmp(x->name, y->name);
}

static void take_list(struct ctl_fleet *fleet, const json_t *entries)
{
	json_t *e;
	size_t i;

	fleet->list = cs_xcalloc(json_array_size(entries), sizeof(*fleet->list));
	json_array_foreach(entries, i, e) {
		struct ctl_instance *in = &fleet->list[fleet->n++];
		const json_t *meta = json_object_get(e, "meta");

		cs_copy(in->name, sizeof(in->name), text_of(e, "id"));
		cs_copy(in->addr, sizeof(in->addr), text_of(e, "address"));
		cs_copy(in->zone, sizeof(in->zone), text_of(meta, "zone"));
		cs_copy(in->listed, sizeof(in->listed), text_of(meta, "state"));
		if (in->listed[0] == '\0')
			cs_copy(in->listed, sizeof(in->listed), "live");
		take_ports(in, meta);
	}
	fleet->from_store = true;
}

static void take_members(struct ctl_fleet *fleet, const json_t *members)
{
	json_t *e;
	size_t i;

	fleet->list = cs_xcalloc(json_array_size(members), sizeof(*fleet->list));
	json_array_foreach(members, i, e) {
		struct ctl_instance *in = &fleet->list[fleet->n++];

		cs_copy(in->name, sizeof(in->name), text_of(e, "name"));
		cs_copy(in->addr, sizeof(in->addr), text_of(e, "addr"));
		cs_copy(in->zone, sizeof(in->zone), text_of(e, "zone"));
		if (json_is_true(json_object_get(e, "listed")))
			cs_copy(in->listed, sizeof(in->listed),
				strcmp(text_of(e, "state"), "leaving") == 0 ? "leaving" : "live");
		take_ports(in, e);
	}
}

/* Fills the list from one agent's state. */
static int load_from_instance(struct ctl *ctl, struct ctl_fleet *fleet)
{
	struct ctl_fetch *f = cs_xcalloc(1, sizeof(*f));
	json_t *state = NULL;
	int rc = CTL_FAILURE;

	f->url = cs_xasprintf("http://%s/v1/state", ctl->instance);
	ctl_fetch_all(ctl, f, 1);
	if (f->status == 200)
		state = json_loads(f->body, 0, NULL);
	if (json_is_array(json_object_get(state, "members"))) {
		take_members(fleet, json_object_get(state, "members"));
		rc = CTL_OK;
	} else {
		ctl_error(ctl,
			  "--instance %s is not the admin interface of an agent that answers: %s",
			  ctl->instance, f->status == 0 ? f->body : "no list of members");
	}
	json_decref(state);
	ctl_fetch_free(f, 1);
	return rc;
}

static int load_list(struct ctl *ctl, struct ctl_fleet *fleet)
{
	struct ctl_value v;
	int rc = CTL_OK;

	if (ctl->store == NULL && ctl->instance == NULL) {
		ctl_error(ctl, "no store: give --store consul:http://IP:PORT or set CASSIA_STORE");
		return CTL_USAGE;
	}
	if (ctl->store == NULL)
		return load_from_instance(ctl, fleet);
	ctl_list(ctl, SERVICE, &v);
	if (v.status == CS_STORE_OK) {
		take_list(fleet, v.entries);
	} else if (ctl->instance != NULL) {
		rc = load_from_instance(ctl, fleet);
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

char *ctl_url(const struct ctl_instance *in, uint16_t port, const char *path)
{
	bool v6 = strchr(in->addr, ':') != NULL;

	return cs_xasprintf("http://%s%s%s:%u%s", v6 ? "[" : "", in->addr, v6 ? "]" : "", port,
			    path);
}

static void drop_answers(struct ctl_instance *in)
{
	json_decref(in->agent);
	json_decref(in->lookup);
	json_decref(in->proxy);
	free(in->metrics);
	in->agent = in->lookup = in->proxy = NULL;
	in->metrics = NULL;
}

/* One kind of question: which daemon, which path, where the answer goes. */
struct question {
	unsigned flag;
	const char *path;
	size_t port; /* offset in struct ctl_instance */
	size_t answer; /* offset of a json_t pointer, or of the text */
};

static const struct question questions[] = {
	{FLEET_AGENT, "/v1/state", offsetof(struct ctl_instance, admin_port),
	 offsetof(struct ctl_instance, agent)},
	{FLEET_LOOKUP, "/v1/state", offsetof(struct ctl_instance, lookup_port),
	 offsetof(struct ctl_instance, lookup)},
	{FLEET_PROXY, "/_cassia/v1/state", offsetof(struct ctl_instance, proxy_port),
	 offsetof(struct ctl_instance, proxy)},
	{FLEET_METRICS, "/_cassia/metrics", offsetof(struct ctl_instance, proxy_port),
	 offsetof(struct ctl_instance, metrics)},
};

static void take_answer(const struct question *q, struct ctl_instance *in, struct ctl_fetch *f)
{
	void *slot = (char *)in + q->answer;
	json_t **doc = slot;
	char **text = slot;

	if (f->status != 200)
		return;
	if (q->flag == FLEET_METRICS) {
		*text = f->body;
		f->body = NULL;
	} else {
		*doc = json_loads(f->body, 0, NULL);
	}
}

/* True if an earlier instance of the zone answered. */
static bool zone_answered(const struct ctl_fleet *fleet, unsigned i)
{
	unsigned k;

	for (k = i; k-- > 0 && strcmp(fleet->list[k].zone, fleet->list[i].zone) == 0;) {
		if (fleet->list[k].agent != NULL)
			return true;
	}
	return false;
}

/* Asks one question to all, or to the next unasked instance of each zone without an answer. */
static unsigned ask(struct ctl *ctl, const struct question *q, struct ctl_fleet *fleet, bool *asked,
		    bool one_a_zone)
{
	struct ctl_fetch *f = cs_xcalloc(fleet->n, sizeof(*f));
	const char *zone = "";
	unsigned i, n = 0;
	uint16_t port;

	for (i = 0; i < fleet->n; i++) {
		struct ctl_instance *in = &fleet->list[i];

		memcpy(&port, (char *)in + q->port, sizeof(port));
		if (asked[i] || port == 0)
			continue;
		if (one_a_zone && (strcmp(zone, in->zone) == 0 || zone_answered(fleet, i)))
			continue;
		asked[i] = true;
		zone = in->zone;
		f[n].url = ctl_url(in, port, q->path);
		f[n++].arg = in;
	}
	ctl_fetch_all(ctl, f, n);
	for (i = 0; i < n; i++)
		take_answer(q, f[i].arg, &f[i]);
	ctl_fetch_free(f, n);
	return n;
}

void ctl_fleet_ask(struct ctl *ctl, unsigned what, struct ctl_fleet *fleet)
{
	bool *asked = cs_xcalloc(fleet->n, sizeof(*asked));
	bool one = (what & FLEET_ONE_A_ZONE) != 0;
	unsigned i;

	for (i = 0; i < fleet->n; i++)
		drop_answers(&fleet->list[i]);
	for (i = 0; i < sizeof(questions) / sizeof(questions[0]); i++) {
		if ((what & questions[i].flag) == 0)
			continue;
		memset(asked, 0, fleet->n * sizeof(*asked));
		while (ask(ctl, &questions[i], fleet, asked, one) > 0 && one)
			;
	}
	free(asked);
}

int ctl_fleet_load(struct ctl *ctl, unsigned what, struct ctl_fleet *fleet)
{
	int rc;

	memset(fleet, 0, sizeof(*fleet));
	rc = load_list(ctl, fleet);
	if (rc != CTL_OK)
		return rc;
	if (fleet->n > 0)
		qsort(fleet->list, fleet->n, sizeof(*fleet->list), by_zone);
	ctl_fleet_ask(ctl, what, fleet);
	return CTL_OK;
}

void ctl_fleet_free(struct ctl_fleet *fleet)
{
	unsigned i;

	for (i = 0; i < fleet->n; i++)
		drop_answers(&fleet->list[i]);
	free(fleet->list);
	memset(fleet, 0, sizeof(*fleet));
}

const char *ctl_age(int64_t ms, char buf[24])
{
	if (ms < 0)
		cs_copy(buf, 24, "never");
	else if (ms < 10000)
		snprintf(buf, 24, "%d ms", (int)ms);
	else if (ms < 600000)
		snprintf(buf, 24, "%d s", (int)(ms / 1000));
	else
		snprintf(buf, 24, "%ld min", (long)(ms / 60000));
	return buf;
}
