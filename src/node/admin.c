/* HTTP listeners for readiness, directory lookups and metrics, each on its own port. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "src/node/node.h"

/* TTL of directory responses; the settings may lower it. */
#define LOOKUP_TTL_MS 1000

static void on_ready(struct cs_http_req *req, void *arg);
static void on_directory(struct cs_http_req *req, void *arg);
static void on_metrics(struct cs_http_req *req, void *arg);

bool admin_start(struct node *n, struct cs_msg *msg)
{
	const struct platform_settings *ps = &n->settings;

	n->ready_httpd = cs_httpd_create(n->loop, n->timers, ps->ready.addr, ps->ready.port, 0,
					 on_ready, n, msg);
	if (n->ready_httpd == NULL)
		return false;
	n->directory_httpd = cs_httpd_create(n->loop, n->timers, ps->directory.addr,
					     ps->directory.port, 0, on_directory, n, msg);
	if (n->directory_httpd == NULL)
		return false;
	if (n->metrics_port == 0)
		return true;
	n->metrics_httpd = cs_httpd_create(n->loop, n->timers, ps->addr, n->metrics_port, 0,
					   on_metrics, n, msg);
	return n->metrics_httpd != NULL;
}

void admin_stop(struct node *n)
{
	cs_httpd_destroy(n->ready_httpd);
	cs_httpd_destroy(n->directory_httpd);
	cs_httpd_destroy(n->metrics_httpd);
}

static void reply_text(struct cs_http_req *req, unsigned status, const char *text)
{
	cs_http_reply(req, status, "text/plain", text, strlen(text));
}

static void on_ready(struct cs_http_req *req, void *arg)
{
	struct node *n = arg;
	bool ready = node_ready(n) && !workspaces_keys_stale(n);

	if (strcmp(cs_http_path(req), PLATFORM_PATH_READY) != 0)
		reply_text(req, 404, "not found\n");
	else
		reply_text(req, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
}

static void on_directory(struct cs_http_req *req, void *arg)
{
	struct node *n = arg;
	const char *zone = cs_http_query_arg(req, PLATFORM_ARG_ZONE);
	const char *region = cs_http_query_arg(req, PLATFORM_ARG_REGION);
	char addrs[CS_CLIENT_ADDRESSES_MAX][CS_ADDR_MAX + 8];
	struct cs_steer_member self;
	unsigned named, ttl = LOOKUP_TTL_MS;
	char *body;

	if (strcmp(cs_http_path(req), PLATFORM_PATH_DIRECTORY) != 0) {
		reply_text(req, 404, "not found\n");
		return;
	}
	node_describe_self(n, &self);
	named = cs_steer_client_addresses(n->steer, zone ? zone : "", region ? region : "", &self,
					  cs_mono_us(), addrs, CS_CLIENT_ADDRESSES_MAX);
	if (named == 0) {
		cs_http_reply(req, 503, NULL, "{\"error\":\"no_instance\"}", 23);
		return;
	}
	if (ttl > n->settings.bounds.lookup_ttl_ms)
		ttl = n->settings.bounds.lookup_ttl_ms;
	body = platform_directory_format(addrs, named, ttl);
	cs_http_reply(req, 200, NULL, body, strlen(body));
	free(body);
}

static void on_metrics(struct cs_http_req *req, void *arg)
{
	struct node *n = arg;
	struct node_stats *s = &n->stats;
	const struct cs_document *doc = cs_steer_current_document(n->steer);
	struct cs_quota_counts quota;
	char *text, *more, *whole;

	*s->ready = node_ready(n);
	*s->members = cs_steer_count_members(n->steer, cs_mono_us());
	*s->servers = cs_steer_count_servers(n->steer);
	*s->limited_servers = cs_steer_count_limited(n->steer);
	*s->cold_servers = cs_steer_count_cold(n->steer, cs_mono_us());
	*s->limit_part = (int64_t)cs_steer_limit_parts(n->steer);
	*s->in_flight = cs_ingress_calls(n->ingress);
	*s->store_unreachable = store_sync_is_unreachable(n->store_sync);
	workspaces_counts(n, &quota);
	*s->quota_loans = quota.loans;
	*s->quota_waiting = quota.waiting;
	*s->keys_stale = workspaces_keys_stale(n);
	if (doc != NULL && doc->workspaces != NULL) {
		*s->workspaces = cs_workspace_count(doc->workspaces);
		*s->keys = cs_workspace_count_keys(doc->workspaces);
		*s->key_age_ms = (int64_t)workspaces_key_age_ms(n);
	}
	text = cs_metrics_text(s->metrics);
	more = workspaces_metrics(n);
	if (more != NULL) {
		whole = cs_xasprintf("%s%s", text, more);
		free(text);
		free(more);
		text = whole;
	}
	cs_http_reply(req, 200, "text/plain; version=0.0.4", text, strlen(text));
	free(text);
}
