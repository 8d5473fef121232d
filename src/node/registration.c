/*
 * Registers this instance under a leased key in the store, from which other instances learn where
 * to send their reports.
 */
#include <stdlib.h>
#include <string.h>

#include "src/node/node.h"

/*
 * Reports detect quickly whether an instance is alive; the lease only removes the keys of instances
 * that do not return.
 */
#define LEASE_TTL_MS 9000
#define RENEW_INTERVAL_US (2500 * CS_US_PER_MS)
/* Delay after a failed call. */
#define RETRY_DELAY_US (400 * CS_US_PER_MS)
/* After the store was restored, instances register again within this time. */
#define REPEAT_SPREAD_US (1000 * CS_US_PER_MS)

enum registration_state {
	REGISTRATION_NO_LEASE,
	REGISTRATION_NO_KEY,
	REGISTRATION_LISTED,
	REGISTRATION_WITHDRAWN
};

struct registration {
	struct node *node;
	enum registration_state state;
	uint64_t lease;
	uint64_t era; /* of the store, when it granted the lease */
	uint64_t key_revision; /* of the last write of the key that succeeded */
	uint64_t replaced_revision; /* at which the store last had no key, or that of a former
				       process */
	struct platform_call *call;
	struct cs_timer call_timer;
};

static void on_call_timer(struct cs_timer *t, void *arg);
static void on_lease(const struct platform_response *resp, void *arg);
static void on_put(const struct platform_response *resp, void *arg);
static void on_renewed(const struct platform_response *resp, void *arg);
static void on_revoked(const struct platform_response *resp, void *arg);

struct registration *registration_create(struct node *n)
{
	struct registration *r = cs_xcalloc(1, sizeof(*r));

	r->node = n;
	cs_timer_init(&r->call_timer, on_call_timer, r);
	cs_timer_start(n->timers, &r->call_timer, 0);
	return r;
}

void registration_destroy(struct registration *r)
{
	if (r == NULL)
		return;
	platform_cancel(r->call);
	cs_timer_stop(&r->call_timer);
	free(r);
}

static char *format_own_entry(const struct node *n)
{
	struct platform_instance in = {.reports.port = gossip_port(n->gossip),
				       .metrics_port = n->metrics_port};

	node_describe_self(n, &in.member);
	cs_copy(in.reports.addr, sizeof(in.reports.addr), n->settings.addr);
	return platform_instance_format(&in);
}

static void on_call_timer(struct cs_timer *t, void *arg)
{
	struct registration *r = arg;
	struct node *n = r->node;
	char key[128], *value;

	if (r->call != NULL)
		return;
	switch (r->state) {
	case REGISTRATION_NO_LEASE:
		r->call = platform_lease_create(n->store,
						LEASE_TTL_MS > n->settings.min_lease_ms
							? LEASE_TTL_MS
							: n->settings.min_lease_ms,
						on_lease, r);
		break;
	case REGISTRATION_NO_KEY:
		platform_key_instance(n->settings.instance, key, sizeof(key));
		value = format_own_entry(n);
		r->call = platform_put(n->store, key, value, strlen(value), r->lease, on_put, r);
		free(value);
		break;
	case REGISTRATION_LISTED:
		r->call = platform_lease_renew(n->store, r->lease, on_renewed, r);
		break;
	case REGISTRATION_WITHDRAWN:
		break;
	}
}

static void on_lease(const struct platform_response *resp, void *arg)
{
	struct registration *r = arg;

	r->call = NULL;
	if (resp->status == PLATFORM_OK && resp->lease != 0) {
		r->lease = resp->lease;
		r->era = platform_store_era(r->node->store);
		r->state = REGISTRATION_NO_KEY;
		cs_timer_start(r->node->timers, &r->call_timer, 0);
		return;
	}
	cs_timer_start(r->node->timers, &r->call_timer, RETRY_DELAY_US);
}

/*
 * True if the store was restored since it granted the lease: it may have forgotten the lease, and
 * granted another one with its id.
 */
static bool lease_is_doubtful(const struct registration *r)
{
	return r->era != platform_store_era(r->node->store);
}

void registration_repeat(struct registration *r)
{
	if ((r->state != REGISTRATION_NO_KEY && r->state != REGISTRATION_LISTED) ||
	    !lease_is_doubtful(r))
		return;
	platform_cancel(r->call);
	r->call = NULL;
	r->state = REGISTRATION_NO_LEASE;
	cs_timer_start(r->node->timers, &r->call_timer, cs_random_u64() % REPEAT_SPREAD_US);
}

void registration_key_changed(struct registration *r, const struct platform_instance *in,
			      uint64_t revision)
{
	if (in != NULL && in->member.boot >= r->node->boot)
		return;
	r->replaced_revision = revision;
	if (r->state != REGISTRATION_LISTED || revision <= r->key_revision)
		return;
	cs_event(r->node->events, CS_EVENT_IMPORTANT, "instance.key_replaced", "boot=%llu",
		 in != NULL ? (unsigned long long)in->member.boot : 0ULL);
	platform_cancel(r->call);
	r->call = NULL;
	r->state = REGISTRATION_NO_KEY;
	cs_timer_start(r->node->timers, &r->call_timer, 0);
}

static void on_put(const struct platform_response *resp, void *arg)
{
	struct registration *r = arg;

	r->call = NULL;
	if (lease_is_doubtful(r)) {
		registration_repeat(r);
		return;
	}
	switch (resp->status) {
	case PLATFORM_OK:
		r->key_revision = resp->revision;
		if (r->replaced_revision > r->key_revision)
			break;
		r->state = REGISTRATION_LISTED;
		cs_timer_start(r->node->timers, &r->call_timer, RENEW_INTERVAL_US);
		return;
	case PLATFORM_ABSENT:
		r->state = REGISTRATION_NO_LEASE;
		break;
	default:
		/* The write may have taken effect; repeating it is safe, as the value is the same. */
		break;
	}
	cs_timer_start(r->node->timers, &r->call_timer, RETRY_DELAY_US);
}

static void on_renewed(const struct platform_response *resp, void *arg)
{
	struct registration *r = arg;

	r->call = NULL;
	if (lease_is_doubtful(r)) {
		registration_repeat(r);
		return;
	}
	if (resp->status == PLATFORM_ABSENT) {
		cs_event(r->node->events, CS_EVENT_IMPORTANT, "instance.lease_lost", "lease=%llu",
			 (unsigned long long)r->lease);
		r->state = REGISTRATION_NO_LEASE;
	}
	cs_timer_start(r->node->timers, &r->call_timer,
		       resp->status == PLATFORM_OK ? RENEW_INTERVAL_US : RETRY_DELAY_US);
}

void registration_withdraw(struct registration *r)
{
	enum registration_state old = r->state;

	cs_timer_stop(&r->call_timer);
	platform_cancel(r->call);
	r->call = NULL;
	r->state = REGISTRATION_WITHDRAWN;
	if ((old == REGISTRATION_LISTED || old == REGISTRATION_NO_KEY) && !lease_is_doubtful(r))
		r->call = platform_lease_revoke(r->node->store, r->lease, on_revoked, r);
}

/* A failed revocation is not repeated, since the lease expires on its own. */
static void on_revoked(const struct platform_response *resp, void *arg)
{
	struct registration *r = arg;

	r->call = NULL;
	if (resp->status != PLATFORM_OK)
		cs_event(r->node->events, CS_EVENT_IMPORTANT, "instance.lease_end_failed",
			 "lease=%llu status=%s", (unsigned long long)r->lease,
			 platform_status_name(resp->status));
}
