/*
 * refusal: whether a response states that the server did not run the request. Clients send a
 * request again after such a statement, so a response that contradicts itself is none.
 */
#ifndef NODE_REFUSAL_H
#define NODE_REFUSAL_H

#include <stdbool.h>

/* The server that a response names. */
enum refusal_server { REFUSAL_SERVER_UNNAMED, REFUSAL_SERVER_EXPECTED, REFUSAL_SERVER_OTHER };

/* What a header section shows. */
struct refusal_marks {
	unsigned status;
	bool not_executed; /* it has the header of refusals */
	bool signature; /* it has the header of responses to requests that ran */
	bool own; /* it cannot belong to another request */
	bool request_has_id;
	enum refusal_server server;
};

enum refusal {
	REFUSAL_NONE, /* no refusal; the request may have run */
	REFUSAL_NOT_EXECUTED, /* the request did not run */
	REFUSAL_MISDIRECTED, /* the request did not run, and another server uses the address */
	REFUSAL_OF_ANOTHER_REQUEST,
	REFUSAL_CONTRADICTORY, /* the request may have run */
	REFUSAL_UNSURE_ADDRESS /* the same, and another server may use the address */
};

enum refusal refusal_of(const struct refusal_marks *m);

#endif
