#ifndef EDGE_LOG_H
#define EDGE_LOG_H
/*
 * log - events as lines of key=value pairs, written through GLib
 *
 * Tokens and bodies must never be logged.  The caller's format must put
 * quotes around a %s whose value may contain spaces.
 */
#include <glib.h>

/*
 * Writes GLib's log messages to standard error, one line each, with `name` as
 * the router's name.  Informational messages are written only with `verbose`.
 * `name` is not copied.
 */
void log_init(const char *name, gboolean verbose);
/*
 * Redirects log lines to a bounded buffer, which log_flush() writes to standard
 * output.  Logging then never blocks; lines that do not fit are dropped and
 * counted.
 */
void log_enable_buffer(void);
/* Writes buffered lines until standard output would block. */
void log_flush(void);
/* Number of lines dropped since the start because the buffer was full. */
guint64 log_dropped_lines(void);
/* Logs one event; `format` gives its key=value pairs. */
void log_event(GLogLevelFlags level, const char *event, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

#define log_info(event, ...) log_event(G_LOG_LEVEL_INFO, event, __VA_ARGS__)
#define log_notice(event, ...) log_event(G_LOG_LEVEL_MESSAGE, event, __VA_ARGS__)
#define log_warn(event, ...) log_event(G_LOG_LEVEL_WARNING, event, __VA_ARGS__)

#endif
