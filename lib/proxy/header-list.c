/* Builds header lists for libcurl. */
#include <string.h>
#include <strings.h>

#include "base/base.h"
#include "proxy/header-list.h"

void cs_header_list_begin(struct cs_header_list *l, unsigned n, size_t bytes)
{
	size_t slots = n * sizeof(struct curl_slist);

	*l = (struct cs_header_list){.first = cs_xcalloc(1, slots + bytes)};
	l->next = l->first;
	l->text_end = (char *)l->first + slots;
}

static void append(struct cs_header_list *l, const char *name, const char *separator,
		   const char *value)
{
	l->next->data = l->text_end;
	l->text_end = stpcpy(stpcpy(stpcpy(l->text_end, name), separator), value) + 1;
	l->next->next = l->next + 1;
	l->next++;
}

void cs_header_list_add(struct cs_header_list *l, const char *name, const char *value)
{
	l->has_content_type = l->has_content_type || strcasecmp(name, "Content-Type") == 0;
	l->has_accept = l->has_accept || strcasecmp(name, "Accept") == 0;
	/* libcurl sends a header with an empty value only if it is written as "name;". */
	append(l, name, *value != '\0' ? ": " : ";", value);
}

void cs_header_list_suppress(struct cs_header_list *l, const char *name)
{
	append(l, name, ":", "");
}

struct curl_slist *cs_header_list_finish(struct cs_header_list *l)
{
	if (!l->has_accept)
		cs_header_list_suppress(l, "Accept");
	if (!l->has_content_type)
		cs_header_list_suppress(l, "Content-Type");
	(l->next - 1)->next = NULL;
	return l->first;
}
