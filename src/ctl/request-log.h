/*
 * Explains the outcome of one request from the structured logs of cassia-node instances: its log
 * lines in order of time, the preceding events of servers and the store, and the cause.
 */
#ifndef CS_CTL_REQUEST_LOG_H
#define CS_CTL_REQUEST_LOG_H

#include "src/ctl/ctl.h"

/*
 * Prints the log lines and the cause for a request id. files is NULL-terminated; "-" is standard
 * input.
 */
int request_log_explain(struct ctl *ctl, const char *id, char **files);

#endif
