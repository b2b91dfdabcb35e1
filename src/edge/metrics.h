#ifndef EDGE_METRICS_H
#define EDGE_METRICS_H
/* metrics - counters and gauges in the text exposition format */
#include <glib.h>
#include <stdint.h>

/* Appends one line; the product's prefix is put before `name`. */
void metrics_put(GString *out, const char *name, uint64_t value);

#endif
