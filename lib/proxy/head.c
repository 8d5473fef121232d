/* Header sections, forwarding rules and validation of request headers. */
#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/base.h"
#include "proxy/head.h"

#define METHOD_LEN_MAX 16
#define INITIAL_SIZE 1024

static const char *const hop_by_hop_names[] = {
	"Connection", "Keep-Alive",	  "Proxy-Authenticate", "Proxy-Authorization",
	"TE",	      "Trailer",	  "Transfer-Encoding",	"Upgrade",
	"Expect",     "Proxy-Connection",
};

void head_free(struct head *h)
{
	free(h->text);
	*h = (struct head){0};
}

void head_clear(struct head *h)
{
	h->len = 0;
	h->n = 0;
}

/* Ensures room for more bytes at the end. */
static void head_grow(struct head *h, size_t more)
{
	size_t size = h->size ? h->size : INITIAL_SIZE;

	if (h->len + more <= h->size)
		return;
	while (size < h->len + more)
		size *= 2;
	h->text = cs_xrealloc(h->text, size, 1);
	h->size = size;
}

void head_add(struct head *h, const char *name, size_t name_len, const char *value,
	      size_t value_len)
{
	head_grow(h, name_len + value_len + 2);
	memcpy(h->text + h->len, name, name_len);
	h->text[h->len + name_len] = '\0';
	h->len += name_len + 1;
	memcpy(h->text + h->len, value, value_len);
	h->text[h->len + value_len] = '\0';
	h->len += value_len + 1;
	h->n++;
}

bool head_next(const struct head *h, size_t *at, const char **name, const char **value)
{
	if (*at >= h->len)
		return false;
	*name = h->text + *at;
	*value = *name + strlen(*name) + 1;
	*at = (size_t)(*value - h->text) + strlen(*value) + 1;
	return true;
}

const char *head_get(const struct head *h, const char *name)
{
	const char *n, *v;
	size_t at = 0;

	while (head_next(h, &at, &n, &v))
		if (strcasecmp(n, name) == 0)
			return v;
	return NULL;
}

void head_copy(struct head *to, const struct head *from)
{
	head_clear(to);
	head_grow(to, from->len + 1);
	if (from->len > 0)
		memcpy(to->text, from->text, from->len);
	to->len = from->len;
	to->n = from->n;
}

bool head_is_hop_by_hop(const char *name)
{
	size_t i;

	for (i = 0; i < sizeof(hop_by_hop_names) / sizeof(hop_by_hop_names[0]); i++)
		if (strcasecmp(hop_by_hop_names[i], name) == 0)
			return true;
	return false;
}

bool head_list_contains(const char *list, const char *name)
{
	size_t len = strlen(name), n;
	const char *p = list;

	while (*p != '\0') {
		p += strspn(p, ", \t");
		n = strcspn(p, ", \t");
		if (n == len && strncasecmp(p, name, n) == 0)
			return true;
		p += n;
	}
	return false;
}

bool head_is_forwarded(const char *name, const char *connection)
{
	if (head_is_hop_by_hop(name) || strcasecmp(name, "Content-Length") == 0)
		return false;
	return connection == NULL || !head_list_contains(connection, name);
}

bool check_request_id(const char *id)
{
	size_t i;

	for (i = 0; id[i] != '\0'; i++)
		if (i >= REQUEST_ID_MAX ||
		    (!isalnum((unsigned char)id[i]) && strchr("._-", id[i]) == NULL))
			return false;
	return i > 0;
}

bool check_deadline(const char *text, unsigned *ms)
{
	unsigned v = 0;
	const char *p;

	for (p = text; *p != '\0'; p++) {
		if (!isdigit((unsigned char)*p))
			return false;
		v = v * 10 + (unsigned)(*p - '0');
		if (v > DEADLINE_MS_MAX)
			return false;
	}
	if (v == 0)
		return false;
	*ms = v;
	return true;
}

bool check_target(const char *target)
{
	const char *p;

	if (*target != '/')
		return false;
	for (p = target; *p != '\0'; p++)
		if (*p <= 0x20 || *p >= 0x7f)
			return false;
	return true;
}

bool check_method(const char *method)
{
	size_t i;

	for (i = 0; method[i] != '\0'; i++)
		if (i >= METHOD_LEN_MAX || (!isalnum((unsigned char)method[i]) &&
					    strchr("!#$%&'*+-.^_`|~", method[i]) == NULL))
			return false;
	return i > 0 && strcmp(method, "CONNECT") != 0;
}

bool check_name(const char *name)
{
	const char *p;

	for (p = name; *p != '\0'; p++)
		if (!isalnum((unsigned char)*p) && strchr("!#$%&'*+-.^_`|~", *p) == NULL)
			return false;
	return p > name;
}

bool check_value(const char *value)
{
	const unsigned char *p;

	for (p = (const unsigned char *)value; *p != '\0'; p++)
		if ((*p < 0x20 && *p != '\t') || *p == 0x7f)
			return false;
	return true;
}
