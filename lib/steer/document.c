/* Lookup of routes by host and longest prefix. */
#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "steer/document.h"

static int route_cmp(const void *a, const void *b);

struct cs_document *cs_document_create(unsigned n_routes, unsigned n_services)
{
	struct cs_document *doc = cs_xcalloc(1, sizeof(*doc));

	doc->routes = cs_xcalloc(n_routes, sizeof(*doc->routes));
	doc->n_routes = doc->max_routes = n_routes;
	doc->services = cs_xcalloc(n_services, sizeof(*doc->services));
	doc->n_services = doc->max_services = n_services;
	return doc;
}

/* Returns the array with room for more than n elements, at least doubled when it is full. */
static void *array_grow(void *array, unsigned n, unsigned *max, size_t size)
{
	if (n < *max)
		return array;
	*max = *max > 0 ? 2 * *max : 16;
	return cs_xrealloc(array, *max, size);
}

struct cs_route *cs_document_add_route(struct cs_document *doc)
{
	struct cs_route *r;

	doc->routes = array_grow(doc->routes, doc->n_routes, &doc->max_routes, sizeof(*r));
	r = &doc->routes[doc->n_routes++];
	memset(r, 0, sizeof(*r));
	return r;
}

struct cs_service_def *cs_document_add_service(struct cs_document *doc)
{
	struct cs_service_def *d;

	doc->services = array_grow(doc->services, doc->n_services, &doc->max_services, sizeof(*d));
	d = &doc->services[doc->n_services++];
	memset(d, 0, sizeof(*d));
	return d;
}

void cs_document_destroy(struct cs_document *doc)
{
	unsigned i;

	if (doc == NULL)
		return;
	for (i = 0; i < doc->n_routes; i++) {
		free(doc->routes[i].host);
		free(doc->routes[i].prefix);
	}
	free(doc->routes);
	free(doc->services);
	cs_workspace_table_destroy(doc->workspaces);
	free(doc);
}

struct cs_msg *cs_document_add_problem(struct cs_document *doc)
{
	unsigned i = doc->n_problems++;

	/* Messages beyond the last place replace each other. */
	return &doc->problems[i < CS_DOCUMENT_PROBLEMS_MAX ? i : CS_DOCUMENT_PROBLEMS_MAX - 1];
}

/* Sorts by host, then longest prefix first, so that the first match is the longest one. */
static int route_cmp(const void *a, const void *b)
{
	const struct cs_route *x = a, *y = b;
	size_t nx = strlen(x->prefix), ny = strlen(y->prefix);
	int c = strcmp(x->host, y->host);

	if (c != 0)
		return c;
	if (nx != ny)
		return nx > ny ? -1 : 1;
	return strcmp(x->prefix, y->prefix);
}

void cs_document_sort_routes(struct cs_document *doc)
{
	qsort(doc->routes, doc->n_routes, sizeof(*doc->routes), route_cmp);
}

/* Compares a Host header without its port, of length len, with a route's host. */
static int host_cmp(const char *host, size_t len, const char *route_host)
{
	int c = strncasecmp(host, route_host, len);

	if (c != 0)
		return c;
	return route_host[len] == '\0' ? 0 : -1;
}

/* Index of the first route whose host does not sort before the given one. */
static unsigned first_of_host(const struct cs_document *doc, const char *host, size_t len)
{
	unsigned lo = 0, hi = doc->n_routes, mid;

	while (lo < hi) {
		mid = lo + (hi - lo) / 2;
		if (host_cmp(host, len, doc->routes[mid].host) > 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

const struct cs_route *cs_document_route(const struct cs_document *doc, const char *host,
					 const char *path)
{
	size_t len = strcspn(host, ":");
	const struct cs_route *r;
	unsigned i;

	for (i = first_of_host(doc, host, len); i < doc->n_routes; i++) {
		r = &doc->routes[i];
		if (host_cmp(host, len, r->host) != 0)
			break;
		if (strncmp(path, r->prefix, strlen(r->prefix)) == 0)
			return r;
	}
	return NULL;
}

const struct cs_service_def *cs_document_service(const struct cs_document *doc, const char *name)
{
	unsigned i;

	for (i = 0; i < doc->n_services; i++)
		if (strcmp(doc->services[i].name, name) == 0)
			return &doc->services[i];
	return NULL;
}
