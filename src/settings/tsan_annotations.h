#ifndef SETTINGS_TSAN_ANNOTATIONS_H
#define SETTINGS_TSAN_ANNOTATIONS_H
/*
 * tsan_annotations - ThreadSanitizer annotations for synchronization through liburcu
 *
 * ThreadSanitizer can't see the memory ordering of liburcu's inline assembly, so
 * accesses that it orders would be reported as races.  A thread releases an
 * address before it hands over the data; the thread that gets the data acquires
 * the address.  No effect in other builds.
 */
#ifdef __SANITIZE_THREAD__
void __tsan_acquire(void *address);
void __tsan_release(void *address);
#define TSAN_ACQUIRE(address) __tsan_acquire(address)
#define TSAN_RELEASE(address) __tsan_release(address)
#else
#define TSAN_ACQUIRE(address) ((void)(address))
#define TSAN_RELEASE(address) ((void)(address))
#endif

#endif
