/*
 * lines: the list of header lines that libcurl sends for a request, in one block of memory.
 */
#ifndef CS_PROXY_LINES_H
#define CS_PROXY_LINES_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stddef.h>

/* A list being built. */
struct cs_lines {
	struct curl_slist *first;
	struct curl_slist *next;
	char *at;
	bool has_type, has_accept;
};

/* Room for n lines of bytes in all, terminators and separators of two bytes included. */
void cs_lines_begin(struct cs_lines *l, unsigned n, size_t bytes);
void cs_lines_put(struct cs_lines *l, const char *name, const char *value);
/* Keeps libcurl from adding its own line for a header. */
void cs_lines_omit(struct cs_lines *l, const char *name);
/*
 * Ends the list, without libcurl's defaults for headers that were not put; the caller frees the
 * list with free(). Takes two lines, CS_LINES_END_BYTES bytes.
 */
#define CS_LINES_END 2
#define CS_LINES_END_BYTES 32
struct curl_slist *cs_lines_end(struct cs_lines *l);

#endif
