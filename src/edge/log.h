#ifndef EDGE_LOG_H
#define EDGE_LOG_H
/*
 * log - one line of key=value pairs for each event, through GLib
 *
 * Never a token or a body.  Values that may hold blanks go through %s with
 * quotes given by the caller.
 */
#include <glib.h>

/* Sends GLib's log to standard error in one-line form, headed by `name`. */
void log_init(const char *name, gboolean verbose);
void log_event(GLogLevelFlags level, const char *event, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

#define log_info(event, ...) log_event(G_LOG_LEVEL_INFO, event, __VA_ARGS__)
#define log_notice(event, ...) log_event(G_LOG_LEVEL_MESSAGE, event, __VA_ARGS__)
#define log_warn(event, ...) log_event(G_LOG_LEVEL_WARNING, event, __VA_ARGS__)

#endif
