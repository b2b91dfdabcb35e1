#include "edge/log.h"

#include <stdarg.h>
#include <stdio.h>

static const char *log_name = "-";
static gboolean log_verbose;

static const char *level_name(GLogLevelFlags level)
{
	if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
		return "error";
	if (level & G_LOG_LEVEL_WARNING)
		return "warning";
	return level & G_LOG_LEVEL_MESSAGE ? "notice" : "info";
}

static GLogWriterOutput write_line(
	GLogLevelFlags level, const GLogField *fields, gsize count, void *ctx)
{
	gint64 now = g_get_real_time();
	const char *message = "";

	if (!log_verbose && (level & (G_LOG_LEVEL_INFO | G_LOG_LEVEL_DEBUG)))
		return G_LOG_WRITER_HANDLED;
	for (gsize i = 0; i < count; i++) {
		if (!g_strcmp0(fields[i].key, "MESSAGE"))
			message = fields[i].value;
	}
	fprintf(stderr, "ts=%" G_GINT64_FORMAT ".%06d level=%s router=%s %s\n",
		now / G_USEC_PER_SEC, (int)(now % G_USEC_PER_SEC), level_name(level), log_name,
		message);
	return G_LOG_WRITER_HANDLED;
}

void log_init(const char *name, gboolean verbose)
{
	log_name = name;
	log_verbose = verbose;
	g_log_set_writer_func(write_line, NULL, NULL);
}

void log_event(GLogLevelFlags level, const char *event, const char *format, ...)
{
	va_list args;
	char *pairs;

	va_start(args, format);
	pairs = g_strdup_vprintf(format, args);
	va_end(args);
	g_log_structured("amaranthwall", level, "MESSAGE", "event=%s %s", event, pairs);
	g_free(pairs);
}
