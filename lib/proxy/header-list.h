/* header-list: builds the curl_slist of a request's header lines in a single allocation. */
#ifndef CS_PROXY_HEADER_LIST_H
#define CS_PROXY_HEADER_LIST_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stddef.h>

/* A list under construction. */
struct cs_header_list {
	struct curl_slist *first;
	struct curl_slist *next;
	char *text_end; /* where the next line is written */
	bool has_content_type, has_accept;
};

/*
 * Allocates room for n lines. bytes is their total length; it includes, for each line, a separator
 * of two bytes and the terminating NUL.
 */
void cs_header_list_begin(struct cs_header_list *l, unsigned n, size_t bytes);
void cs_header_list_add(struct cs_header_list *l, const char *name, const char *value);
/* Keeps libcurl from adding its default line for a header. */
void cs_header_list_suppress(struct cs_header_list *l, const char *name);
/*
 * Finishes the list and suppresses libcurl's default lines for Accept and Content-Type if they were
 * not added. Needs room for CS_HEADER_LIST_END_LINES lines with CS_HEADER_LIST_END_BYTES bytes. The
 * caller frees the list with free().
 */
#define CS_HEADER_LIST_END_LINES 2
#define CS_HEADER_LIST_END_BYTES 32
struct curl_slist *cs_header_list_finish(struct cs_header_list *l);

#endif
