/* Metrics of cassia-node. The help texts also appear in docs/metrics.md. */
#include "src/node/node.h"

void stats_init(struct node_stats *s)
{
	struct cs_metrics *m = cs_metrics_create();

	s->metrics = m;
	s->requests =
		cs_metrics_counter(m, "cassia_node_requests_total", "", "Requests of callers");
	s->ok = cs_metrics_counter(m, "cassia_node_ok_total", "", "Answered by a server, not 5xx");
	s->late = cs_metrics_counter(m, "cassia_node_late_total", "",
				     "Of those, later than the route's latency target");
	s->failed = cs_metrics_counter(m, "cassia_node_failed_total", "",
				       "Ended with 5xx other than a refusal");
	s->refused = cs_metrics_counter(m, "cassia_node_refused_total", "",
					"Refused as not run, with a time to come back");
	s->disconnected =
		cs_metrics_counter(m, "cassia_node_gone_total", "", "Left by their caller");
	s->closed_unread = cs_metrics_counter(m, "cassia_node_closed_unread_total", "",
					      "Of those, closed before their request was read");
	s->no_route = cs_metrics_counter(m, "cassia_node_no_route_total", "",
					 "No route matched host and path");
	s->not_ready = cs_metrics_counter(m, "cassia_node_not_ready_total", "",
					  "Refused before a document was known");
	s->malformed = cs_metrics_counter(m, "cassia_node_malformed_total", "",
					  "Input of clients that was no valid request");
	s->unreadable_route =
		cs_metrics_counter(m, "cassia_node_unreadable_route_total", "",
				   "Refused because the document's route cannot be read");
	s->bad_key = cs_metrics_counter(m, "cassia_node_bad_key_total", "",
					"Rejected without the key of a workspace");
	s->over_quota = cs_metrics_counter(m, "cassia_node_over_quota_total", "",
					   "Refused as their workspace is over its quota");
	s->cut_responses = cs_metrics_counter(m, "cassia_node_cut_responses_total", "",
					      "Streamed answers that ended early");
	s->cut_requests = cs_metrics_counter(m, "cassia_node_cut_requests_total", "",
					     "Cut by this instance before their answer was sent");
	s->cut_connections =
		cs_metrics_counter(m, "cassia_node_cut_connections_total", "",
				   "Closed after an answer while their client still sent");
	s->refused_entries = cs_metrics_counter(m, "cassia_node_refused_entries_total", "",
						"Entries of the store that cannot be read");
	s->sends = cs_metrics_counter(m, "cassia_node_sends_total", "", "Sends to servers");
	s->leaving_sends = cs_metrics_counter(m, "cassia_node_leaving_sends_total", "",
					      "Sends to servers that had stated that they leave");
	s->limited_sends = cs_metrics_counter(m, "cassia_node_limited_sends_total", "",
					      "Sends to servers that name a limit");
	s->repeats = cs_metrics_counter(m, "cassia_node_repeats_total", "",
					"Sends beyond the first of a request, hedges included");
	s->hedges = cs_metrics_counter(m, "cassia_node_hedges_total", "",
				       "Second sends beside a slow first one");
	s->sheds = cs_metrics_counter(m, "cassia_node_sheds_total", "",
				      "Sends that the server refused to run");
	s->misdirected = cs_metrics_counter(m, "cassia_node_misdirected_total", "",
					    "Sends that reached another server");
	s->unsent =
		cs_metrics_counter(m, "cassia_node_unsent_total", "", "Sends without a connection");
	s->withheld = cs_metrics_counter(m, "cassia_node_withheld_total", "",
					 "Sends withdrawn because their server became unusable");
	s->broken = cs_metrics_counter(m, "cassia_node_broken_total", "",
				       "Sends that may have run without a usable answer, or 5xx");
	s->cancelled = cs_metrics_counter(m, "cassia_node_cancelled_total", "",
					  "Sends ended by this side");
	s->probes = cs_metrics_counter(m, "cassia_node_probes_total", "",
				       "Calls of servers' health paths");
	s->store_failures = cs_metrics_counter(m, "cassia_node_store_failures_total", "",
					       "Calls of the store without a usable answer");
	s->reports_in = cs_metrics_counter(m, "cassia_node_reports_in_total", "",
					   "Reports of other instances");
	s->reports_out = cs_metrics_counter(m, "cassia_node_reports_out_total", "",
					    "Reports sent to other instances");
	s->latency = cs_metrics_hist(m, "cassia_node_latency_us", "",
				     "Time from a request's head to its answer");
	s->wait = cs_metrics_hist(m, "cassia_node_wait_us", "",
				  "Time from a request's head to a send");
	s->send_delay = cs_metrics_hist(m, "cassia_node_send_delay_us", "",
					"Time from the choice of a server to the send");
	s->turn = cs_metrics_hist(m, "cassia_node_turn_us", "",
				  "Time from a wake-up of the event loop until it sleeps again");
	s->ready = cs_metrics_gauge(m, "cassia_node_ready", "", "1 if callers may come");
	s->members = cs_metrics_gauge(m, "cassia_node_members", "",
				      "Instances heard lately, this one included");
	s->servers = cs_metrics_gauge(m, "cassia_node_servers", "",
				      "Servers with an entry that do not drain");
	s->cold_servers = cs_metrics_gauge(m, "cassia_node_cold_servers", "",
					   "Servers that are known to be cold");
	s->limited_servers =
		cs_metrics_gauge(m, "cassia_node_limited_servers", "", "Servers that name a limit");
	s->limit_part = cs_metrics_gauge(
		m, "cassia_node_limit_part_per_s", "",
		"Requests per second that this instance may send to limited servers");
	s->document =
		cs_metrics_gauge(m, "cassia_node_document", "", "Version of the document in force");
	s->document_problems =
		cs_metrics_gauge(m, "cassia_node_document_problems", "",
				 "Parts of the document in force that cannot be read");
	s->workspaces = cs_metrics_gauge(m, "cassia_node_workspaces", "",
					 "Workspaces in the document in force");
	s->keys = cs_metrics_gauge(m, "cassia_node_keys", "", "Keys of workspaces in it");
	s->key_age_ms = cs_metrics_gauge(m, "cassia_node_key_age_ms", "",
					 "How long ago the document was known to be the newest");
	s->keys_stale = cs_metrics_gauge(m, "cassia_node_keys_stale", "",
					 "1 while requests with a key are refused for that");
	s->quota_loans = cs_metrics_gauge(m, "cassia_node_quota_loans", "",
					  "Instances for which this one keeps tokens");
	s->quota_waiting = cs_metrics_gauge(m, "cassia_node_quota_waiting", "",
					    "Requests that wait for a token");
	s->in_flight = cs_metrics_gauge(m, "cassia_node_in_flight", "", "Requests of callers now");
	s->store_unreachable = cs_metrics_gauge(m, "cassia_node_store_away", "",
						"1 while the store does not answer");
}

void stats_free(struct node_stats *s)
{
	cs_metrics_destroy(s->metrics);
}
