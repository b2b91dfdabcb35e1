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
/*
 * From now on lines go to standard output, from a bounded buffer that
 * log_flush() empties: writing never blocks, and what does not fit is counted.
 */
void log_buffer(void);
/* Writes as much as standard output takes at once. */
void log_flush(void);
/* Lines that found no room so far. */
guint64 log_dropped(void);
void log_event(GLogLevelFlags level, const char *event, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

#define log_info(event, ...) log_event(G_LOG_LEVEL_INFO, event, __VA_ARGS__)
#define log_notice(event, ...) log_event(G_LOG_LEVEL_MESSAGE, event, __VA_ARGS__)
#define log_warn(event, ...) log_event(G_LOG_LEVEL_WARNING, event, __VA_ARGS__)

#endif
