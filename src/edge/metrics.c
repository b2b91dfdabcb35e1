#include "edge/metrics.h"

void metrics_append(GString *out, const char *name, uint64_t value)
{
	g_string_append_printf(out, "amaranthwall_%s %" G_GUINT64_FORMAT "\n", name, value);
}
