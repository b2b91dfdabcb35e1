#include "edge/log.h"

#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define BUFFER_MAX (512U << 10) /* bytes; a few seconds of log lines under full load */
#define WRITE_MAX 4096		/* bytes that a pipe polled as writable takes without blocking */

static const char *log_name = "-";
static gboolean log_verbose;
static pthread_mutex_t buffer_lock = PTHREAD_MUTEX_INITIALIZER;
static GString *buffer;	      /* NULL: lines go directly to standard error */
static guint64 dropped_lines; /* guarded by the lock, as the buffer's contents */
static guint64 dropped_reported;

static void append_to_buffer(const char *line)
{
	pthread_mutex_lock(&buffer_lock);
	if (buffer->len + strlen(line) > BUFFER_MAX)
		dropped_lines++;
	else
		g_string_append(buffer, line);
	pthread_mutex_unlock(&buffer_lock);
}

void log_enable_buffer(void)
{
	buffer = g_string_new(NULL);
}

guint64 log_dropped_lines(void)
{
	guint64 lines;

	pthread_mutex_lock(&buffer_lock);
	lines = dropped_lines;
	pthread_mutex_unlock(&buffer_lock);
	return lines;
}

static bool is_writable(void)
{
	struct pollfd item = {.fd = STDOUT_FILENO, .events = POLLOUT};

	return poll(&item, 1, 0) == 1 && (item.revents & POLLOUT);
}

/* Writes up to WRITE_MAX bytes; false when the buffer is empty or output would block. */
static bool flush_chunk(void)
{
	size_t size = buffer->len < WRITE_MAX ? buffer->len : WRITE_MAX;
	ssize_t written;

	if (!size || !is_writable())
		return false;
	written = write(STDOUT_FILENO, buffer->str, size);
	if (written > 0)
		g_string_erase(buffer, 0, written);
	return written > 0;
}

void log_flush(void)
{
	guint64 dropped;

	if (!buffer)
		return;
	dropped = log_dropped_lines();
	if (dropped != dropped_reported) {
		dropped_reported = dropped;
		log_warn("log-dropped", "lines=%" G_GUINT64_FORMAT, dropped);
	}
	pthread_mutex_lock(&buffer_lock);
	while (flush_chunk())
		;
	pthread_mutex_unlock(&buffer_lock);
}

static const char *level_name(GLogLevelFlags level)
{
	if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
		return "error";
	if (level & G_LOG_LEVEL_WARNING)
		return "warning";
	return level & G_LOG_LEVEL_MESSAGE ? "notice" : "info";
}

static bool is_suppressed(GLogLevelFlags level)
{
	return !log_verbose && (level & (G_LOG_LEVEL_INFO | G_LOG_LEVEL_DEBUG));
}

static GLogWriterOutput write_line(
	GLogLevelFlags level, const GLogField *fields, gsize count, void *ctx)
{
	gint64 now = g_get_real_time();
	const char *message = "";
	char *line;

	if (is_suppressed(level))
		return G_LOG_WRITER_HANDLED;
	for (gsize i = 0; i < count; i++) {
		if (!g_strcmp0(fields[i].key, "MESSAGE"))
			message = fields[i].value;
	}
	line = g_strdup_printf("ts=%" G_GINT64_FORMAT ".%06d level=%s router=%s %s\n",
		now / G_USEC_PER_SEC, (int)(now % G_USEC_PER_SEC), level_name(level), log_name,
		message);
	if (buffer)
		append_to_buffer(line);
	else
		fputs(line, stderr);
	g_free(line);
	return G_LOG_WRITER_HANDLED;
}

void log_init(const char *name, gboolean verbose)
{
	log_name = name;
	log_verbose = verbose;
	g_log_set_writer_func(write_line, NULL, NULL);
}

/* Values may come from others, such as names of rows: none may end the line or begin another. */
static void replace_control_characters(char *text)
{
	for (; *text; text++) {
		if (g_ascii_iscntrl(*text))
			*text = ' ';
	}
}

void log_event(GLogLevelFlags level, const char *event, const char *format, ...)
{
	va_list args;
	char *pairs;

	if (is_suppressed(level))
		return; /* avoids formatting a message that is not logged */
	va_start(args, format);
	pairs = g_strdup_vprintf(format, args);
	va_end(args);
	replace_control_characters(pairs);
	g_log_structured("amaranthwall", level, "MESSAGE", "event=%s %s", event, pairs);
	g_free(pairs);
}
