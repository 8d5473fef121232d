/*
 * Control port:
 *
 *   GET /standin/link?[from=ZONE][&to=ZONE][&both=1]&mode=ok|cut|hole&ms=N&mbit=N&copies=1|0
 *                        sets the conditions from one zone to another, with both=1 in both
 *                        directions; without from or to, for all zones. mbit applies only to
 *                        pairs that have a link. With copies=1, a response from the first zone is
 *                        sent again when the next request on its connection arrives.
 *
 *   GET /standin/stats   bytes and connections of each listener
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/standins/links/links.h"

static void reply_stats(struct cs_http_req *req)
{
	json_t *doc = json_object(), *rows = json_array();
	struct listener *l;
	char *text;

	TAILQ_FOREACH(l, &listeners, entry)
		json_array_append_new(rows,
				      json_pack("{s:s,s:i,s:s,s:I,s:I,s:I}", "address", l->addr,
						"port", (int)l->port, "zone", zone_name(l->zone),
						"connections", (json_int_t)l->connections,
						"bytes_to", (json_int_t)l->bytes_to, "bytes_from",
						(json_int_t)l->bytes_from));
	json_object_set_new(doc, "open", json_integer(relay_connections()));
	json_object_set_new(doc, "listeners", rows);
	text = json_dumps(doc, JSON_COMPACT);
	cs_http_reply(req, 200, NULL, text, strlen(text));
	free(text);
	json_decref(doc);
}

static void on_control(struct cs_http_req *req, void *arg)
{
	const char *path = cs_http_path(req);
	char text[64];

	if (strcmp(path, "/standin/stats") == 0) {
		reply_stats(req);
		return;
	}
	if (strcmp(path, "/standin/link") != 0) {
		cs_http_reply(req, 404, "text/plain", "unknown control\n", 16);
		return;
	}
	snprintf(text, sizeof(text), "{\"pairs\":%u}\n", pairs_set(req));
	relay_apply();
	cs_http_reply(req, 200, NULL, text, strlen(text));
}

bool control_start(const char *addr, uint16_t port, struct cs_msg *msg)
{
	return cs_httpd_create(loop, timers, addr, port, 4096, on_control, NULL, msg) != NULL;
}
