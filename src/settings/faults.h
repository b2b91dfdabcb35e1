#ifndef SETTINGS_FAULTS_H
#define SETTINGS_FAULTS_H
/*
 * faults - all that is wrong with a text, gathered so that one check names every fault
 *
 * Each line reads "FILE:LINE: key: why; what would be right".
 */
#include "settings/jsondoc.h"

typedef struct faults {
	const char *file;
	GString *text;
	unsigned int count;
} faults_t;

void faults_init(faults_t *this, const char *file);
void faults_clear(faults_t *this);
/* Reads a text, which must hold one object; NULL when it does not. */
jsondoc_t *faults_parse(faults_t *this, const char *text, gsize len);
/* Likewise the file of `faults`. */
jsondoc_t *faults_load(faults_t *this, const char *path);
void faults_add(faults_t *this, unsigned int line, const char *format, ...) G_GNUC_PRINTF(3, 4);
/* Adds a fault for every member of `object` and below that no reader asked for. */
void faults_unknown_keys(faults_t *this, const json_value_t *object);

/* Typed readers: absent or wrong members add a fault and give the fallback. */
const char *faults_string(
	faults_t *this, json_value_t *object, const char *key, const char *fallback);
int64_t faults_int(faults_t *this, json_value_t *object, const char *key, int64_t fallback,
	int64_t min, int64_t max);
bool faults_bool(faults_t *this, json_value_t *object, const char *key, bool fallback);
double faults_number(faults_t *this, json_value_t *object, const char *key, double fallback,
	double min, double max);
/* Pass as fallback where the key must be present. */
#define FAULTS_REQUIRED_STRING NULL
#define FAULTS_REQUIRED_INT INT64_MIN

#endif
