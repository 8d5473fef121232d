/*
 * early-response: sends a complete response of limited size on the client's socket while the
 * request body is still arriving. libmicrohttpd accepts no response at that point.
 */
#ifndef CS_PROXY_EARLY_RESPONSE_H
#define CS_PROXY_EARLY_RESPONSE_H

#include "http/http.h"

/*
 * Returns true if the response was sent; the connection must then be closed. body has len bytes.
 */
bool cs_early_response_send(int fd, struct MHD_Response *r, unsigned status, const char *body,
			    size_t len);

#endif
