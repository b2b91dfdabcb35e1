#ifndef EDGE_METRICS_H
#define EDGE_METRICS_H
/* metrics - counters and gauges in the Prometheus text exposition format */
#include <glib.h>
#include <stdint.h>

/* Appends one line with the metric's value; prefixes `name` with "amaranthwall_". */
void metrics_append(GString *out, const char *name, uint64_t value);

#endif
