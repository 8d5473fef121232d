/*
 * early: a small answer written to a caller's socket while the request's body still comes, when
 * libmicrohttpd takes none.
 */
#ifndef CS_PROXY_EARLY_H
#define CS_PROXY_EARLY_H

#include "http/http.h"

/* True if it went out; the connection must then be closed. body has len bytes. */
bool cs_early_write(int fd, struct MHD_Response *r, unsigned status, const char *body, size_t len);

#endif
