/* What servers state about themselves in responses to requests and health checks. */
#include "src/node/node.h"

void notice_record(struct node *n, struct cs_backend *b, const struct cs_transfer *t,
		   uint64_t sent_us, const char *request_id, bool ends_limit)
{
	struct cs_server_notice notice;
	uint64_t now = cs_mono_us();

	platform_notice_parse(cs_transfer_head(t), cs_transfer_status(t), &notice);
	if (notice.unreadable != NULL)
		cs_event(n->events, CS_EVENT_SAMPLED, "server.notice_refused",
			 "server=%s id=%s header=%s value=\"%.32s\"", cs_backend_id(b), request_id,
			 notice.unreadable, head_get(cs_transfer_head(t), notice.unreadable));
	if (notice.limit_valid && (notice.limit_per_s > 0 || ends_limit) &&
	    cs_steer_server_limit(n->steer, b, notice.limit_per_s, sent_us, now))
		cs_event(n->events, CS_EVENT_IMPORTANT, "server.limit",
			 "server=%s source=response id=%s limit_per_s=%.2f", cs_backend_id(b),
			 request_id, notice.limit_per_s);
	if (notice.retry_after_ms > 0 &&
	    cs_steer_server_retry_after(b, notice.retry_after_ms, sent_us, now))
		cs_event(n->events, CS_EVENT_IMPORTANT, "server.retry_after",
			 "server=%s id=%s retry_after_ms=%u", cs_backend_id(b), request_id,
			 notice.retry_after_ms);
	if (notice.leaving && cs_steer_server_leaving(b, sent_us, now))
		cs_event(n->events, CS_EVENT_IMPORTANT, "server.leaving",
			 "server=%s source=response id=%s status=%u revision=%llu",
			 cs_backend_id(b), request_id, cs_transfer_status(t),
			 (unsigned long long)store_sync_revision(n->store_sync));
}

static void log_cold(struct node *n, const struct cs_backend *b, const char *reporter)
{
	enum cs_cold_source source = cs_backend_cold_source(b);

	cs_event(n->events, CS_EVENT_IMPORTANT, "server.cold",
		 "server=%s source=%s reporter=%s cold_ms=%u", cs_backend_id(b),
		 cs_cold_source_name(source), source == CS_COLD_REPORT ? reporter : "-",
		 cs_backend_cold_ms(b, cs_mono_us()));
}

void notice_log_reported(struct node *n, const char *source, const char *reporter)
{
	const struct cs_backend *b;

	while ((b = cs_steer_next_cold(n->steer)) != NULL)
		log_cold(n, b, reporter);
	while ((b = cs_steer_next_cold_owner_change(n->steer)) != NULL)
		cs_event(n->events, CS_EVENT_IMPORTANT, "server.cold_owner",
			 "server=%s owner=%d members=%u", cs_backend_id(b),
			 cs_steer_owns_cold(n->steer, b),
			 cs_steer_count_members(n->steer, cs_mono_us()));
	while ((b = cs_steer_next_reported_limit(n->steer)) != NULL)
		cs_event(n->events, CS_EVENT_IMPORTANT, "server.limit",
			 "server=%s source=%s reporter=%s limit_per_s=%.2f", cs_backend_id(b),
			 source, reporter, cs_backend_limit(b));
	while ((b = cs_steer_next_reported_leaving(n->steer)) != NULL)
		cs_event(n->events, CS_EVENT_IMPORTANT, "server.leaving",
			 "server=%s source=%s reporter=%s revision=%llu", cs_backend_id(b), source,
			 reporter, (unsigned long long)store_sync_revision(n->store_sync));
}
