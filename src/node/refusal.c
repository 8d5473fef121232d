/* Decides whether a response states that the server did not run the request. */
#include "src/node/refusal.h"

/* True if the rules name this status for a refusal. */
static bool is_refusal_status(const struct refusal_marks *m)
{
	switch (m->status) {
	case 421:
	case 429:
	case 503:
		return true;
	case 400:
		return !m->request_has_id;
	default:
		return false;
	}
}

enum refusal refusal_of(const struct refusal_marks *m)
{
	bool misdirected = m->status == 421;

	if (!m->not_executed && !misdirected)
		return REFUSAL_NONE;
	if (!m->own)
		return REFUSAL_OF_ANOTHER_REQUEST;
	/* Servers other than the expected one respond with 421, and no server else does. */
	if (m->not_executed && !m->signature && is_refusal_status(m) &&
	    m->server != (misdirected ? REFUSAL_SERVER_EXPECTED : REFUSAL_SERVER_OTHER))
		return misdirected ? REFUSAL_MISDIRECTED : REFUSAL_NOT_EXECUTED;
	if (misdirected || m->server == REFUSAL_SERVER_OTHER)
		return REFUSAL_UNSURE_ADDRESS;
	return REFUSAL_CONTRADICTORY;
}
