/* head: header lines of one message in one block of memory, and the rules for which pass on. */
#ifndef CS_PROXY_HEAD_H
#define CS_PROXY_HEAD_H

#include <stdbool.h>
#include <stddef.h>

/* Lines as name, NUL, value, NUL, one after another. */
struct head {
	char *text;
	size_t len;
	size_t size;
	unsigned n;
};

void head_free(struct head *h);
void head_clear(struct head *h);
void head_add(struct head *h, const char *name, size_t name_len, const char *value,
	      size_t value_len);
/* Next line after *at (start with 0); false at the end. */
bool head_next(const struct head *h, size_t *at, const char **name, const char **value);
/* First value of a header, or NULL; case does not matter. */
const char *head_get(const struct head *h, const char *name);
void head_copy(struct head *to, const struct head *from);

/* Header of one connection only (RFC 9110, section 7.6.1); never passed on. */
bool head_is_hop(const char *name);
/*
 * True if a line of one message goes on to the next hop; connection is the value of the message's
 * header Connection, or NULL. Framing is set anew.
 */
bool head_goes_on(const char *name, const char *connection);
/* True if a comma-separated list, as in the header Connection, holds the name. */
bool head_list_has(const char *list, const char *name);

/* X-Request-Id: 1 to 64 of [A-Za-z0-9._-]. */
#define REQUEST_ID_MAX 64
bool check_request_id(const char *id);
/* X-Cassia-Deadline-Ms: 1 to 600000. */
#define DEADLINE_MS_MAX 600000
bool check_deadline(const char *text, unsigned *ms);
/* Origin-form request target: starts with '/', visible ASCII only. */
bool check_target(const char *target);
/* Method: a token of at most 16 characters, not CONNECT. */
bool check_method(const char *method);
/* Header name: a token; a space before the colon would be part of it. */
bool check_name(const char *name);
/* Header value: no control characters but tab. */
bool check_value(const char *value);

#endif
