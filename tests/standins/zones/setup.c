/* Registers all instances and servers in the store and writes the configuration document. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/standins/zones/zones.h"

#define CALLS_MAX 16 /* concurrent calls */
#define CALL_TIMEOUT_MS 20000

struct setup {
	struct deployment *deployment;
	void (*done)(struct deployment *d);
	unsigned zone, member, service, server; /* next to register */
	unsigned n_calls; /* calls to the store in progress */
	bool document_sent;
};

static void on_done(const struct cs_fetch_result *res, void *arg);

static void store_put(struct setup *s, const char *path, const char *body)
{
	char *url = cs_xasprintf("%s%s", s->deployment->store, path);
	struct cs_fetch_opts opts = {.method = "PUT",
				     .url = url,
				     .body = body,
				     .body_len = strlen(body),
				     .timeout_ms = CALL_TIMEOUT_MS};

	s->n_calls++;
	cs_fetch_start(s->deployment->curl, &opts, on_done, s);
	free(url);
}

static void put_instance(struct setup *s)
{
	char name[CS_NAME_MAX], zone[CS_NAME_MAX], addr[CS_ADDR_MAX], *body;

	deployment_member_name(s->zone, s->member, name, sizeof(name));
	deployment_zone_name(s->zone, zone, sizeof(zone));
	deployment_member_addr(s->deployment, s->zone, s->member, addr, sizeof(addr));
	body = cs_xasprintf(
		"{\"ID\":\"%s\",\"Name\":\"cassia\",\"Address\":\"%s\",\"Port\":7001,"
		"\"Meta\":{\"zone\":\"%s\",\"state\":\"live\",\"lookup_port\":\"7010\","
		"\"proxy_port\":\"7020\",\"bus_port\":\"7001\",\"admin_port\":\"7003\"}}",
		name, addr, zone);
	store_put(s, "/v1/agent/service/register", body);
	free(body);
}

/* Registers a server of zone 0. All servers have the same address. */
static void put_server(struct setup *s)
{
	char *body = cs_xasprintf("{\"ID\":\"server-%u-%u\",\"Name\":\"service-%u\","
				  "\"Address\":\"%s.240.1\",\"Port\":9000,\"Meta\":{\"zone\":"
				  "\"zone-00\",\"state\":\"live\"}}",
				  s->service, s->server, s->service, s->deployment->net);

	store_put(s, "/v1/agent/service/register", body);
	free(body);
}

/* Starts the next call to the store; false if all calls have been started. */
static bool start_next(struct setup *s)
{
	char *text;

	if (s->zone < s->deployment->zones) {
		put_instance(s);
		if (++s->member > deployment_member_count(s->deployment, s->zone)) {
			s->member = 1;
			s->zone++;
		}
		return true;
	}
	if (s->service < s->deployment->services) {
		put_server(s);
		if (++s->server == SERVERS_PER_SERVICE) {
			s->server = 0;
			s->service++;
		}
		return true;
	}
	if (s->document_sent)
		return false;
	s->document_sent = true;
	text = deployment_document(s->deployment, 1);
	store_put(s, "/v1/kv/cassia/config", text);
	free(text);
	return true;
}

static void on_done(const struct cs_fetch_result *res, void *arg)
{
	struct setup *s = arg;

	if (res->status != 200) {
		cs_log(CS_ERR, "setup", "The store refused a write. status=%ld error=%s",
		       res->status, res->error);
		exit(1);
	}
	s->n_calls--;
	if (start_next(s) || s->n_calls > 0)
		return;
	s->done(s->deployment);
	free(s);
}

void setup_start(struct deployment *d, void (*done)(struct deployment *d))
{
	struct setup *s = cs_xcalloc(1, sizeof(*s));
	unsigned i;

	s->deployment = d;
	s->done = done;
	s->member = 1;
	for (i = 0; i < CALLS_MAX; i++)
		start_next(s);
}
