/*
 * Second check of a chosen server, directly before the request is sent. Connecting takes time, and
 * on a busy instance much can pass between the choice and the first byte: the server may leave, its
 * zone may be evacuated, or it may have asked for a pause. An unsent request can go elsewhere.
 */
#include "steer/steer-int.h"

bool cs_steer_may_send(const struct cs_steer *s, const struct cs_backend *b, uint64_t chosen_us,
		       uint64_t now_us)
{
	if (!backend_usable(s, b, now_us))
		return false;
	if (limits_is_cold(b, now_us) && !limits_may_send_cold(s, b, chosen_us, now_us))
		return false;
	/* Its choice did not count against a limit that became known later. */
	return !cs_backend_is_limited(b) || b->limit_since_us <= chosen_us;
}
