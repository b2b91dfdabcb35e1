#ifndef SETTINGS_HANDOVER_H
#define SETTINGS_HANDOVER_H
/*
 * handover - tells the race detector of an order that liburcu's inline assembly
 * keeps and that it can't see; nothing in other builds
 */
#ifdef __SANITIZE_THREAD__
void __tsan_acquire(void *address);
void __tsan_release(void *address);
#define HANDOVER_ACQUIRE(address) __tsan_acquire(address)
#define HANDOVER_RELEASE(address) __tsan_release(address)
#else
#define HANDOVER_ACQUIRE(address) ((void)(address))
#define HANDOVER_RELEASE(address) ((void)(address))
#endif

#endif
