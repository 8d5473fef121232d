/* Reads the list of instances from the store or from one agent, and queries the instances. */
#include <stdlib.h>
#include <string.h>

#include "src/ctl/fleet.h"

/* Service name under which instances are registered in the store. */
#define INSTANCE_SERVICE "cassia"

static const char *text_value(const json_t *obj, const char *key)
{
	const char *s = json_string_value(json_object_get(obj, key));

	return s != NULL ? s : "";
}

/* Port from a number, or from a string as in the metadata of store entries. */
static uint16_t port_value(const json_t *obj, const char *key)
{
	const json_t *v = json_object_get(obj, key);
	long long n = json_is_string(v) ? atoll(json_string_value(v)) : json_integer_value(v);

	return n > 0 && n <= UINT16_MAX ? (uint16_t)n : 0;
}

static void parse_ports(struct ctl_instance *in, const json_t *obj)
{
	in->lookup_port = port_value(obj, "lookup_port");
	in->proxy_port = port_value(obj, "proxy_port");
	in->bus_port = port_value(obj, "bus_port");
	in->admin_port = port_value(obj, "admin_port");
}

static int compare_instances(const void *a, const void *b)
{
	const struct ctl_instance *x = a, *y = b;
	int d = strcmp(x->zone, y->zone);

	return d != 0 ? d : strcmp(x->name, y->name);
}

static void add_store_entries(struct ctl_fleet *fleet, const json_t *entries)
{
	json_t *e;
	size_t i;

	fleet->list = cs_xcalloc(json_array_size(entries), sizeof(*fleet->list));
	json_array_foreach(entries, i, e) {
		struct ctl_instance *in = &fleet->list[fleet->n++];
		const json_t *meta = json_object_get(e, "meta");

		cs_copy(in->name, sizeof(in->name), text_value(e, "id"));
		cs_copy(in->addr, sizeof(in->addr), text_value(e, "address"));
		cs_copy(in->zone, sizeof(in->zone), text_value(meta, "zone"));
		cs_copy(in->listed, sizeof(in->listed), text_value(meta, "state"));
		if (in->listed[0] == '\0')
			cs_copy(in->listed, sizeof(in->listed), "live");
		parse_ports(in, meta);
	}
	fleet->from_store = true;
}

static void add_agent_members(struct ctl_fleet *fleet, const json_t *members)
{
	json_t *e;
	size_t i;

	fleet->list = cs_xcalloc(json_array_size(members), sizeof(*fleet->list));
	json_array_foreach(members, i, e) {
		struct ctl_instance *in = &fleet->list[fleet->n++];

		cs_copy(in->name, sizeof(in->name), text_value(e, "name"));
		cs_copy(in->addr, sizeof(in->addr), text_value(e, "addr"));
		cs_copy(in->zone, sizeof(in->zone), text_value(e, "zone"));
		if (json_is_true(json_object_get(e, "listed")))
			cs_copy(in->listed, sizeof(in->listed),
				strcmp(text_value(e, "state"), "leaving") == 0 ? "leaving"
									       : "live");
		parse_ports(in, e);
	}
}

/* Reads the list of instances from the state of one agent. */
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
		add_agent_members(fleet, json_object_get(state, "members"));
		rc = CTL_OK;
	} else {
		ctl_error(ctl, "--instance %s: no state from the admin interface of an agent: %s",
			  ctl->instance,
			  f->status == 0 ? f->body : "no member list in the response");
	}
	json_decref(state);
	ctl_fetch_free(f, 1);
	return rc;
}

static int load_list(struct ctl *ctl, struct ctl_fleet *fleet)
{
	struct ctl_store_result v;
	int rc = CTL_OK;

	if (ctl->store == NULL && ctl->instance == NULL) {
		ctl_error(ctl, "no store configured; use --store consul:http://IP:PORT or set "
			       "CASSIA_STORE");
		return CTL_USAGE;
	}
	if (ctl->store == NULL)
		return load_from_instance(ctl, fleet);
	ctl_store_list(ctl, INSTANCE_SERVICE, &v);
	if (v.status == CS_STORE_OK) {
		add_store_entries(fleet, v.entries);
	} else if (ctl->instance != NULL) {
		rc = load_from_instance(ctl, fleet);
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

char *ctl_url(const struct ctl_instance *in, uint16_t port, const char *path)
{
	bool v6 = strchr(in->addr, ':') != NULL;

	return cs_xasprintf("http://%s%s%s:%u%s", v6 ? "[" : "", in->addr, v6 ? "]" : "", port,
			    path);
}

static void free_responses(struct ctl_instance *in)
{
	json_decref(in->agent);
	json_decref(in->lookup);
	json_decref(in->proxy);
	free(in->metrics);
	in->agent = in->lookup = in->proxy = NULL;
	in->metrics = NULL;
}

/* A kind of query: the daemon, the path, and where the response is stored. */
struct query {
	unsigned flag;
	const char *path;
	size_t port; /* offset in struct ctl_instance */
	size_t result; /* offset of a json_t pointer, or of a char pointer for metrics */
};

static const struct query queries[] = {
	{FLEET_AGENT, "/v1/state", offsetof(struct ctl_instance, admin_port),
	 offsetof(struct ctl_instance, agent)},
	{FLEET_LOOKUP, "/v1/state", offsetof(struct ctl_instance, lookup_port),
	 offsetof(struct ctl_instance, lookup)},
	{FLEET_PROXY, "/_cassia/v1/state", offsetof(struct ctl_instance, proxy_port),
	 offsetof(struct ctl_instance, proxy)},
	{FLEET_METRICS, "/_cassia/metrics", offsetof(struct ctl_instance, proxy_port),
	 offsetof(struct ctl_instance, metrics)},
};

static void store_response(const struct query *q, struct ctl_instance *in, struct ctl_fetch *f)
{
	void *slot = (char *)in + q->result;
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

/* True if the agent of an earlier instance of the same zone has responded. */
static bool zone_responded(const struct ctl_fleet *fleet, unsigned i)
{
	unsigned k;

	for (k = i; k-- > 0 && strcmp(fleet->list[k].zone, fleet->list[i].zone) == 0;) {
		if (fleet->list[k].agent != NULL)
			return true;
	}
	return false;
}

/*
 * Sends a query to all instances, or to the next instance of each zone without a response yet.
 * Returns the number of instances queried.
 */
static unsigned send_query(struct ctl *ctl, const struct query *q, struct ctl_fleet *fleet,
			   bool *queried, bool one_per_zone)
{
	struct ctl_fetch *f = cs_xcalloc(fleet->n, sizeof(*f));
	const char *zone = "";
	unsigned i, n = 0;
	uint16_t port;

	for (i = 0; i < fleet->n; i++) {
		struct ctl_instance *in = &fleet->list[i];

		memcpy(&port, (char *)in + q->port, sizeof(port));
		if (queried[i] || port == 0)
			continue;
		if (one_per_zone && (strcmp(zone, in->zone) == 0 || zone_responded(fleet, i)))
			continue;
		queried[i] = true;
		zone = in->zone;
		f[n].url = ctl_url(in, port, q->path);
		f[n++].arg = in;
	}
	ctl_fetch_all(ctl, f, n);
	for (i = 0; i < n; i++)
		store_response(q, f[i].arg, &f[i]);
	ctl_fetch_free(f, n);
	return n;
}

void ctl_fleet_query(struct ctl *ctl, unsigned what, struct ctl_fleet *fleet)
{
	bool *queried = cs_xcalloc(fleet->n, sizeof(*queried));
	bool one_per_zone = (what & FLEET_ONE_PER_ZONE) != 0;
	unsigned i;

	for (i = 0; i < fleet->n; i++)
		free_responses(&fleet->list[i]);
	for (i = 0; i < sizeof(queries) / sizeof(queries[0]); i++) {
		if ((what & queries[i].flag) == 0)
			continue;
		memset(queried, 0, fleet->n * sizeof(*queried));
		while (send_query(ctl, &queries[i], fleet, queried, one_per_zone) > 0 &&
		       one_per_zone)
			;
	}
	free(queried);
}

int ctl_fleet_load(struct ctl *ctl, unsigned what, struct ctl_fleet *fleet)
{
	int rc;

	memset(fleet, 0, sizeof(*fleet));
	rc = load_list(ctl, fleet);
	if (rc != CTL_OK)
		return rc;
	if (fleet->n > 0)
		qsort(fleet->list, fleet->n, sizeof(*fleet->list), compare_instances);
	ctl_fleet_query(ctl, what, fleet);
	return CTL_OK;
}

void ctl_fleet_free(struct ctl_fleet *fleet)
{
	unsigned i;

	for (i = 0; i < fleet->n; i++)
		free_responses(&fleet->list[i]);
	free(fleet->list);
	memset(fleet, 0, sizeof(*fleet));
}

const char *ctl_age_text(int64_t ms, char buf[24])
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
