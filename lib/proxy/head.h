/*
 * head: header section of one message in a single allocation, the rules for forwarding header
 * lines, and validation of request headers.
 */
#ifndef CS_PROXY_HEAD_H
#define CS_PROXY_HEAD_H

#include <stdbool.h>
#include <stddef.h>

/* Each line is stored as name, NUL, value, NUL. */
struct head {
	char *text;
	size_t len;
	size_t size;
	unsigned n; /* lines */
};

void head_free(struct head *h);
void head_clear(struct head *h);
void head_add(struct head *h, const char *name, size_t name_len, const char *value,
	      size_t value_len);
/* Returns the line at offset *at, initially 0, and advances *at; false at the end. */
bool head_next(const struct head *h, size_t *at, const char **name, const char **value);
/* First value of a header, or NULL; names are compared without regard to case. */
const char *head_get(const struct head *h, const char *name);
void head_copy(struct head *to, const struct head *from);

/* Hop-by-hop header (RFC 9110, section 7.6.1), which is never forwarded. */
bool head_is_hop_by_hop(const char *name);
/*
 * True if a header is forwarded to the next hop. connection is the value of the message's Connection
 * header, or NULL. Content-Length is not forwarded because each hop sets its own framing.
 */
bool head_is_forwarded(const char *name, const char *connection);
/* True if a comma-separated list, such as the value of Connection, contains the name. */
bool head_list_contains(const char *list, const char *name);

/* X-Request-Id: 1 to 64 characters of [A-Za-z0-9._-]. */
#define REQUEST_ID_MAX 64
bool check_request_id(const char *id);
/* X-Cassia-Deadline-Ms: 1 to 600000. */
#define DEADLINE_MS_MAX 600000
bool check_deadline(const char *text, unsigned *ms);
/* Request target in origin form: starts with '/', visible ASCII only. */
bool check_target(const char *target);
/* Method: a token of at most 16 characters other than CONNECT. */
bool check_method(const char *method);
/* Header name: a token. A name that ends in a space, as in "Name : value", is rejected. */
bool check_name(const char *name);
/* Header value: no control characters except tab. */
bool check_value(const char *value);

#endif
