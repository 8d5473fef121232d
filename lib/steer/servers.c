/* Table of backend servers: entries, evacuations and usable capacity. */
#include <stdlib.h>
#include <string.h>

#include "steer/steer-int.h"

/* Interval between health checks of a server. */
#define PROBE_PERIOD_US (300 * CS_US_PER_MS)
/* How old the state in an entry can be when it arrives, after a cut of the server or an instance. */
#define ENTRY_MAX_AGE_US (5 * CS_US_PER_S)
/* An entry that was removed is in copies of the store that are at most this old. */
#define COPY_MAX_AGE_US (30 * CS_US_PER_S)
/* A relative change of usable slots beyond this counts as a loss or gain of servers. */
#define CAPACITY_CHANGE_MIN 0.02

static int id_cmp(struct cs_backend *a, struct cs_backend *b);
static int id_hash_cmp(struct cs_backend *a, struct cs_backend *b);

CS_RB_GENERATE(backend_ids, cs_backend, by_id, id_cmp)
CS_RB_GENERATE(backend_hashes, cs_backend, by_id_hash, id_hash_cmp)

static int id_cmp(struct cs_backend *a, struct cs_backend *b)
{
	return strcmp(a->info.id, b->info.id);
}

static int id_hash_cmp(struct cs_backend *a, struct cs_backend *b)
{
	if (a->id_hash != b->id_hash)
		return a->id_hash < b->id_hash ? -1 : 1;
	return 0;
}

const char *cs_backend_id(const struct cs_backend *b)
{
	return b->info.id;
}

const char *cs_backend_zone(const struct cs_backend *b)
{
	return b->info.zone;
}

const char *cs_backend_addr(const struct cs_backend *b)
{
	return b->info.addr;
}

uint16_t cs_backend_port(const struct cs_backend *b)
{
	return b->info.port;
}

const char *cs_backend_health_path(const struct cs_steer *s, const struct cs_backend *b)
{
	const struct cs_service_def *def = backend_service_def(s, b);

	return def != NULL ? def->health_path : "/";
}

static struct cs_backend *find_backend(struct cs_steer *s, const char *id)
{
	struct cs_backend probe = {.id_hash = 0};

	cs_copy(probe.info.id, sizeof(probe.info.id), id);
	return RB_FIND(backend_ids, &s->ids, &probe);
}

struct cs_backend *servers_by_id_hash(struct cs_steer *s, uint32_t id_hash)
{
	struct cs_backend probe = {.id_hash = id_hash};

	return RB_FIND(backend_hashes, &s->by_id_hash, &probe);
}

static struct cs_backend *backend_create(struct cs_steer *s, const struct cs_server_entry *e,
					 unsigned zone)
{
	struct cs_backend *b = cs_xcalloc(1, sizeof(*b));

	b->info = *e;
	b->id_hash = (uint32_t)cs_hash_str(e->id, 0);
	b->zone = zone;
	b->region = s->zone_region[zone];
	b->service = steer_service(s, e->service);
	b->latency_ratio = 1;
	TAILQ_INSERT_TAIL(&b->service->backends, b, entry);
	RB_INSERT(backend_ids, &s->ids, b);
	RB_INSERT(backend_hashes, &s->by_id_hash, b);
	return b;
}

static void backend_free(struct cs_steer *s, struct cs_backend *b)
{
	server_limit_reset(s, b);
	TAILQ_REMOVE(&b->service->backends, b, entry);
	RB_REMOVE(backend_ids, &s->ids, b);
	if (servers_by_id_hash(s, b->id_hash) == b)
		RB_REMOVE(backend_hashes, &s->by_id_hash, b);
	free(b);
}

/*
 * True if the process whose first entry arrives now has stated the Retry-After: the former one had
 * ended when the request was sent.
 */
static bool retry_after_is_of_new_process(const struct cs_backend *b)
{
	return b->unreachable_us > b->process_since_us &&
	       b->retry_after_sent_us >= b->unreachable_us;
}

/* A new process with a known id: statistics of the previous one do not apply. */
static void backend_new_process(struct cs_steer *s, struct cs_backend *b, uint64_t now_us)
{
	if (!retry_after_is_of_new_process(b))
		b->retry_after_us = 0;
	b->process_since_us = now_us;
	server_limit_reset(s, b);
	b->limit_logged_per_s = 0;
	b->latency_ratio = 1;
	b->error_rate = 0;
	b->load_us = 0;
	b->backoff_until_us = 0;
	b->backoff_step = 0;
}

/* Moves a server to the list of another service. */
static void backend_set_service(struct cs_steer *s, struct cs_backend *b, const char *service)
{
	TAILQ_REMOVE(&b->service->backends, b, entry);
	b->service = steer_service(s, service);
	TAILQ_INSERT_TAIL(&b->service->backends, b, entry);
}

/*
 * True for some time after an evacuation has ended: a server that turned cold shortly before may
 * not have stated so in its entry.
 */
static bool entry_may_omit_cold(const struct cs_steer *s, const struct cs_backend *b,
				uint64_t now_us)
{
	const struct cs_service_def *def = backend_service_def(s, b);
	uint64_t cold_us = def != NULL ? def->cold_ms * CS_US_PER_MS : 0;

	return s->taken_back_us[b->zone] > 0 &&
	       now_us - s->taken_back_us[b->zone] < cold_us + ENTRY_MAX_AGE_US;
}

/* Puts an entry in force. */
static void apply_entry(struct cs_steer *s, struct cs_backend *b, const struct cs_server_entry *e,
			uint64_t now_us)
{
	unsigned zone = (unsigned)steer_zone(s, e->zone);

	if (b->info.started_ms != e->started_ms)
		backend_new_process(s, b, now_us);
	if (strcmp(b->service->name, e->service) != 0)
		backend_set_service(s, b, e->service);
	b->info = *e;
	b->zone = zone;
	b->region = s->zone_region[zone];
	b->listed = b->in_full_read = true;
	entry_end_hold(b);
	cold_apply_entry(s, b, now_us);
}

bool cs_steer_update_server(struct cs_steer *s, const struct cs_server_entry *e, uint64_t now_us)
{
	struct cs_backend *b = find_backend(s, e->id);
	int zone = steer_zone(s, e->zone);
	bool created = b == NULL;

	/* A server in a zone that the settings do not list has no region. */
	if (zone < 0) {
		if (b != NULL)
			cs_steer_remove_server(s, e->id, 0, now_us);
		return true;
	}
	if (b != NULL && entry_is_older(s, b, e)) {
		b->in_full_read = true;
		entry_hold(b, e, now_us);
		return false;
	}
	if (created)
		b = backend_create(s, e, (unsigned)zone);
	apply_entry(s, b, e, now_us);
	verify_apply_entry(s, b, created);
	/* A new entry comes from the server itself and replaces the health check. */
	if (entry_may_omit_cold(s, b, now_us)) {
		if (created)
			backend_require_probe(b, now_us);
	} else if (!s->evacuated[zone]) {
		b->needs_probe = false;
	}
	return true;
}

static void backend_unlist(struct cs_backend *b, uint64_t grace_us, uint64_t now_us)
{
	b->listed = false;
	b->unlisted_us = now_us;
	b->usable_until_us = now_us + grace_us;
}

void cs_steer_remove_server(struct cs_steer *s, const char *id, uint64_t removal_grace_us,
			    uint64_t now_us)
{
	struct cs_backend *b = find_backend(s, id);

	if (b == NULL)
		return;
	entry_end_hold(b);
	/* A running grace period is not extended. */
	if (b->listed || removal_grace_us == 0)
		backend_unlist(b, removal_grace_us, now_us);
}

void cs_steer_full_read_begin(struct cs_steer *s)
{
	struct cs_backend *b;

	s->full_read = true;
	RB_FOREACH(b, backend_ids, &s->ids)
		b->in_full_read = false;
}

void cs_steer_full_read_end(struct cs_steer *s, uint64_t removal_grace_us, uint64_t now_us)
{
	struct cs_backend *b;

	s->full_read = s->restored = false;
	verify_first_read_end(s, now_us);
	RB_FOREACH(b, backend_ids, &s->ids) {
		if (b->in_full_read)
			continue;
		entry_end_hold(b);
		if (b->listed)
			backend_unlist(b, removal_grace_us, now_us);
	}
}

void cs_steer_store_restored(struct cs_steer *s)
{
	s->restored = true;
}

void cs_steer_set_evacuated(struct cs_steer *s, const char *zone, bool on, uint64_t now_us)
{
	int i = steer_zone(s, zone);
	struct cs_backend *b;

	if (i < 0 || s->evacuated[i] == on)
		return;
	s->evacuated[i] = on;
	if (!on)
		s->taken_back_us[i] = now_us;
	/* After an evacuation servers are often cold, and their entries may be outdated. */
	RB_FOREACH(b, backend_ids, &s->ids)
		if (b->zone == (unsigned)i)
			backend_require_probe(b, now_us);
}

unsigned cs_steer_count_servers(const struct cs_steer *s)
{
	const struct cs_steer_service *svc;
	const struct cs_backend *b;
	unsigned n = 0;

	FOREACH_BACKEND(s, svc, b)
		n += b->listed && !backend_is_draining(b);
	return n;
}

const struct cs_service_def *backend_service_def(const struct cs_steer *s,
						 const struct cs_backend *b)
{
	return s->doc != NULL ? cs_document_service(s->doc, b->service->name) : NULL;
}

unsigned backend_slots(const struct cs_backend *b)
{
	if (b->load_us > 0 && b->load.slots > 0)
		return b->load.slots;
	return b->info.slots > 0 ? b->info.slots : 1;
}

bool backend_is_draining(const struct cs_backend *b)
{
	return b->info.draining || cs_backend_is_leaving(b);
}

bool backend_in_service(const struct cs_steer *s, const struct cs_backend *b, uint64_t now_us)
{
	if (backend_is_draining(b) || s->evacuated[b->zone] || b->needs_probe)
		return false;
	return b->listed || now_us < b->usable_until_us;
}

bool backend_usable(const struct cs_steer *s, const struct cs_backend *b, uint64_t now_us)
{
	return backend_in_service(s, b, now_us) && now_us >= b->backoff_until_us &&
	       now_us >= b->retry_after_us;
}

bool cs_steer_server_retry_after(struct cs_backend *b, unsigned retry_after_ms, uint64_t sent_us,
				 uint64_t now_us)
{
	uint64_t until = now_us + retry_after_ms * CS_US_PER_MS;

	/* A later response with a shorter time does not take back what an earlier one stated. */
	if (sent_us < b->process_since_us || until <= b->retry_after_us)
		return false;
	b->retry_after_us = until;
	b->retry_after_sent_us = sent_us;
	return true;
}

uint32_t backend_started_low(const struct cs_backend *b)
{
	return (uint32_t)(uint64_t)b->info.started_ms;
}

void backend_require_probe(struct cs_backend *b, uint64_t now_us)
{
	b->probe_required_us = now_us;
	if (b->needs_probe)
		return;
	b->needs_probe = true;
	b->next_probe_us = now_us;
}

static bool is_check_due(const struct cs_steer *s, struct cs_backend *b, uint64_t now_us)
{
	if (b->needs_probe)
		return !s->evacuated[b->zone] && !backend_is_draining(b) && b->listed;
	if (verify_check_is_wanted(s, b, now_us))
		return true;
	if (!cold_check_is_wanted(s, b, now_us))
		return false;
	b->next_probe_us = now_us + PROBE_PERIOD_US;
	return cold_is_checker(s, b, now_us);
}

struct cs_backend *cs_steer_next_probe(struct cs_steer *s, uint64_t now_us)
{
	struct cs_backend *b;

	RB_FOREACH(b, backend_ids, &s->ids) {
		if (b->probing || now_us < b->next_probe_us || now_us < b->retry_after_us ||
		    !is_check_due(s, b, now_us))
			continue;
		b->probing = true;
		b->probe_started_us = now_us;
		b->next_probe_us = now_us + PROBE_PERIOD_US;
		return b;
	}
	return NULL;
}

bool cs_steer_probe_done(struct cs_steer *s, struct cs_backend *b, bool ok, unsigned cold_ms,
			 uint64_t now_us)
{
	bool was_cold = limits_is_cold(b, now_us);

	b->probing = false;
	if (!ok || b->probe_started_us < b->process_since_us)
		return false;
	b->unverified = false;
	/* A late response does not say what is true since the need arose again. */
	if (b->probe_started_us >= b->probe_required_us)
		b->needs_probe = false;
	if (cold_ms > 0)
		cs_steer_mark_cold(s, b, cold_ms, CS_COLD_CHECK, now_us);
	return !was_cold && limits_is_cold(b, now_us);
}

/* True if the server must be remembered although it has no entry, which may be written again. */
static bool is_retained(const struct cs_backend *b, uint64_t now_us)
{
	return leaving_is_retained(b, now_us) || cs_backend_is_limited(b) ||
	       now_us < b->retry_after_us || b->held_until_us > 0 ||
	       now_us - b->unlisted_us < COPY_MAX_AGE_US;
}

void servers_sweep(struct cs_steer *s, uint64_t now_us)
{
	struct cs_backend *b, *next;
	struct cs_server_entry held;

	RB_FOREACH_SAFE(b, backend_ids, &s->ids, next) {
		if (entry_take_held(s, b, &held, now_us))
			apply_entry(s, b, &held, now_us);
		/*
		 * Another instance had uninterrupted contact with the store, so the entry did
		 * expire: end the grace period.
		 */
		if (!b->listed && b->usable_until_us > now_us && cs_steer_store_stable(s, now_us))
			b->usable_until_us = now_us;
		if (!b->listed && now_us >= b->usable_until_us && b->in_flight == 0 &&
		    !b->probing && !is_retained(b, now_us))
			backend_free(s, b);
	}
}

void servers_capacity(struct cs_steer *s, uint64_t now_us)
{
	struct cs_steer_service *svc;
	struct cs_backend *b;
	double sum[CS_REGIONS_MAX];
	unsigned i;

	TAILQ_FOREACH(svc, &s->services, entry) {
		memset(sum, 0, sizeof(sum));
		TAILQ_FOREACH(b, &svc->backends, entry) {
			if (limits_is_cold(b, now_us))
				limits_update_cold_owner(s, b, now_us);
			else if (backend_in_service(s, b, now_us))
				sum[b->region] += server_limit_capacity(b);
		}
		for (i = 0; i < s->n_regions; i++) {
			if (sum[i] < svc->capacity[i] * (1 - CAPACITY_CHANGE_MIN) ||
			    sum[i] > svc->capacity[i] * (1 + CAPACITY_CHANGE_MIN))
				svc->capacity_changed_us = now_us;
			svc->capacity[i] = sum[i];
		}
	}
}
