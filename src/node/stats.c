/* Metrics of cassia-node. */
#include "src/node/node.h"

void stats_init(struct node_stats *s)
{
	struct cs_metrics *m = cs_metrics_create();

	s->metrics = m;
	s->requests = cs_metrics_counter(m, "cassia_node_requests_total", "", "Client requests");
	s->ok = cs_metrics_counter(m, "cassia_node_ok_total", "",
				   "Responses of servers other than 5xx");
	s->late = cs_metrics_counter(m, "cassia_node_late_total", "",
				     "Of those, responses later than the route's latency target");
	s->failed = cs_metrics_counter(m, "cassia_node_failed_total", "",
				       "Requests that ended with 5xx, refusals excluded");
	s->refused = cs_metrics_counter(m, "cassia_node_refused_total", "",
					"Requests refused with 503 and Retry-After, not run");
	s->gone = cs_metrics_counter(m, "cassia_node_gone_total", "",
				     "Requests whose client disconnected");
	s->no_route = cs_metrics_counter(m, "cassia_node_no_route_total", "",
					 "Requests whose host and path match no route");
	s->not_ready =
		cs_metrics_counter(m, "cassia_node_not_ready_total", "",
				   "Requests refused before the store and a document were loaded");
	s->sends = cs_metrics_counter(m, "cassia_node_sends_total", "", "Attempts sent to servers");
	s->repeats = cs_metrics_counter(m, "cassia_node_repeats_total", "",
					"Attempts after the first of a request, hedges included");
	s->hedges = cs_metrics_counter(
		m, "cassia_node_hedges_total", "",
		"Hedged attempts, started while a slow attempt is still running");
	s->sheds = cs_metrics_counter(m, "cassia_node_sheds_total", "",
				      "Attempts that the server refused to run");
	s->misdirected = cs_metrics_counter(m, "cassia_node_misdirected_total", "",
					    "Attempts that reached another server");
	s->unsent = cs_metrics_counter(m, "cassia_node_unsent_total", "",
				       "Attempts that failed before any byte was sent");
	s->broken = cs_metrics_counter(
		m, "cassia_node_broken_total", "",
		"Attempts that may have run and failed: no usable response, or 5xx");
	s->cancelled = cs_metrics_counter(m, "cassia_node_cancelled_total", "",
					  "Attempts cancelled or timed out");
	s->probes =
		cs_metrics_counter(m, "cassia_node_probes_total", "", "Health checks of servers");
	s->store_failures = cs_metrics_counter(m, "cassia_node_store_failures_total", "",
					       "Store calls without a usable response");
	s->reports_in = cs_metrics_counter(m, "cassia_node_reports_in_total", "",
					   "Messages received from other instances");
	s->reports_out = cs_metrics_counter(m, "cassia_node_reports_out_total", "",
					    "Messages sent to other instances");
	s->latency = cs_metrics_hist(m, "cassia_node_latency_us", "",
				     "Time from the request header to the response");
	s->wait = cs_metrics_hist(m, "cassia_node_wait_us", "",
				  "Time from the request header to an attempt");
	s->ready =
		cs_metrics_gauge(m, "cassia_node_ready", "", "1 if the instance can serve clients");
	s->members = cs_metrics_gauge(m, "cassia_node_members", "",
				      "Instances heard from recently, this one included");
	s->servers = cs_metrics_gauge(m, "cassia_node_servers", "",
				      "Servers with a store entry that are not draining");
	s->document =
		cs_metrics_gauge(m, "cassia_node_document", "", "Version of the document in force");
	s->in_flight =
		cs_metrics_gauge(m, "cassia_node_in_flight", "", "Client requests in progress");
	s->store_away = cs_metrics_gauge(m, "cassia_node_store_away", "",
					 "1 while calls to the store fail");
}

void stats_free(struct node_stats *s)
{
	cs_metrics_destroy(s->metrics);
}
