#ifndef CORE_STREAM_ORIGINS_H
#define CORE_STREAM_ORIGINS_H
/*
 * stream_origins - remembers which software version began each stream of events
 *
 * What two versions write does not fit together, so a stream that breaks off may go on only at an
 * endpoint of the version that began it.  A router remembers the streams that it has forwarded.
 * While endpoints of several versions of a service are known, those of its streams that a caller
 * may still take up are listed, for all routers to read, also after a restart of all: streams in
 * progress and streams that broke off.  A service whose endpoints all have one version is not
 * listed.
 *
 * A version counts as known for STREAM_ORIGINS_MEMORY after its last endpoint has left.
 *
 * Streams are hashes.  The table is bounded, does no I/O and reads no clock.
 */
#include "core/types.h"

#define STREAM_ORIGINS_MEMORY (40 * USEC_PER_SEC) /* after the last news of a stream or version */
/* A stream that goes on for longer is recorded again, so that it is remembered after its end. */
#define STREAM_ORIGINS_RENEWAL (10 * USEC_PER_SEC)
#define STREAM_ORIGINS_MAX 16384 /* streams; the one recorded first is replaced */
/* For which a stream that was forwarded to its end is listed: its end may be lost on the way. */
#define STREAM_ORIGINS_COMPLETE_MEMORY (1 * USEC_PER_SEC)

typedef struct stream_origin {
	uint64_t stream;
	id_t32 service;
	id_t32 version;
} stream_origin_t;

/*
 * Streams are passed on and saved as records of fixed size, in little-endian order.  A record
 * without a stream says that its service has several versions.
 */
#define STREAM_RECORD_BYTES 16
void stream_origin_encode(const stream_origin_t *this, char *record);
stream_origin_t stream_origin_decode(const char *record);

/* A version of which a service has an endpoint. */
typedef struct service_version {
	id_t32 service;
	id_t32 version;
} service_version_t;

typedef struct stream_origins stream_origins_t;

stream_origins_t *stream_origins_new(void);
void stream_origins_delete(stream_origins_t *this);

/* Replaces the versions that are registered; those that are missing have left. */
void stream_origins_set_versions(
	stream_origins_t *this, const service_version_t *list, unsigned int count, instant_t now);
/* The version of all known endpoints of the service; false if there are none, or were several. */
bool stream_origins_only_version(const stream_origins_t *this, id_t32 service, id_t32 *version);
/*
 * Notes that routers have saved streams of the service: it had several versions lately, even if
 * none but one is registered any more.
 */
void stream_origins_note_mixed(stream_origins_t *this, id_t32 service, instant_t now);
/* Whether several versions of any service are known. */
bool stream_origins_is_mixed(const stream_origins_t *this);
/* Whether several versions of the service are known. */
bool stream_origins_service_is_mixed(const stream_origins_t *this, id_t32 service);
/* Takes the services of which several versions are known; returns their number, at most `max`. */
unsigned int stream_origins_mixed_services(
	const stream_origins_t *this, id_t32 *services, unsigned int max);

/* Records a stream that this router forwards. */
void stream_origins_record(stream_origins_t *this, const stream_origin_t *origin, instant_t now);
/* Notes that the stream was forwarded to its end. */
void stream_origins_complete(
	stream_origins_t *this, id_t32 service, uint64_t stream, instant_t now);
/* Finds the version that began the stream. */
bool stream_origins_find(
	const stream_origins_t *this, id_t32 service, uint64_t stream, id_t32 *version);
/*
 * Lists the streams that may be taken up, of services with several versions: the newest `max` of
 * them.  Returns their number.
 */
unsigned int stream_origins_list(
	const stream_origins_t *this, stream_origin_t *list, unsigned int max, instant_t now);
/* Forgets old streams and versions. */
void stream_origins_tick(stream_origins_t *this, instant_t now);
unsigned int stream_origins_count(const stream_origins_t *this);

#endif
