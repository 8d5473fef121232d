/* Registers all instances and servers at the store and writes the document. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/standins/zones/zones.h"

#define PARALLEL 16
#define TIMEOUT_MS 20000

struct setup {
	struct world *world;
	void (*done)(struct world *w);
	unsigned zone, member, service, server, running;
	bool document;
};

static void on_done(const struct cs_fetch_result *res, void *arg);

static void put(struct setup *s, const char *path, const char *body)
{
	char *url = cs_xasprintf("%s%s", s->world->store, path);
	struct cs_fetch_opts opts = {.method = "PUT",
				     .url = url,
				     .body = body,
				     .body_len = strlen(body),
				     .timeout_ms = TIMEOUT_MS};

	s->running++;
	cs_fetch_start(s->world->curl, &opts, on_done, s);
	free(url);
}

static void put_instance(struct setup *s)
{
	char name[CS_NAME_MAX], zone[CS_NAME_MAX], addr[CS_ADDR_MAX], *body;

	world_name(s->zone, s->member, name, sizeof(name));
	world_zone(s->zone, zone, sizeof(zone));
	world_addr(s->world, s->zone, s->member, addr, sizeof(addr));
	body = cs_xasprintf(
		"{\"ID\":\"%s\",\"Name\":\"cassia\",\"Address\":\"%s\",\"Port\":7001,"
		"\"Meta\":{\"zone\":\"%s\",\"state\":\"live\",\"lookup_port\":\"7010\","
		"\"proxy_port\":\"7020\",\"bus_port\":\"7001\",\"admin_port\":\"7003\"}}",
		name, addr, zone);
	put(s, "/v1/agent/service/register", body);
	free(body);
}

/* Servers of zone 0; all are answered by one endpoint. */
static void put_server(struct setup *s)
{
	char *body = cs_xasprintf("{\"ID\":\"server-%u-%u\",\"Name\":\"service-%u\","
				  "\"Address\":\"%s.240.1\",\"Port\":9000,\"Meta\":{\"zone\":"
				  "\"zone-00\",\"state\":\"live\"}}",
				  s->service, s->server, s->service, s->world->net);

	put(s, "/v1/agent/service/register", body);
	free(body);
}

/* Starts the next registration; false at the end. */
static bool next(struct setup *s)
{
	char *text;

	if (s->zone < s->world->zones) {
		put_instance(s);
		if (++s->member > world_members(s->world, s->zone)) {
			s->member = 1;
			s->zone++;
		}
		return true;
	}
	if (s->service < s->world->services) {
		put_server(s);
		if (++s->server == SERVERS_OF_SERVICE) {
			s->server = 0;
			s->service++;
		}
		return true;
	}
	if (s->document)
		return false;
	s->document = true;
	text = world_document(s->world, 1);
	put(s, "/v1/kv/cassia/config", text);
	free(text);
	return true;
}

static void on_done(const struct cs_fetch_result *res, void *arg)
{
	struct setup *s = arg;

	if (res->status != 200) {
		cs_log(CS_ERR, "setup", "The store refused a registration. status=%ld %s",
		       res->status, res->error);
		exit(1);
	}
	s->running--;
	if (next(s) || s->running > 0)
		return;
	s->done(s->world);
	free(s);
}

void setup_start(struct world *w, void (*done)(struct world *w))
{
	struct setup *s = cs_xcalloc(1, sizeof(*s));
	unsigned i;

	s->world = w;
	s->done = done;
	s->member = 1;
	for (i = 0; i < PARALLEL; i++)
		next(s);
}
