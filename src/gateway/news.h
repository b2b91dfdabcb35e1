#ifndef GATEWAY_NEWS_H
#define GATEWAY_NEWS_H
/*
 * news - rows of the store that routers tell one another
 *
 * Each message to a peer names the newest version known of each table where
 * that changed.  Who lacks it for a moment asks the peer, and gets the rows: so
 * a router that the store turns away, or that restarted while the store is
 * down, still learns what the others know.
 */
#include "core/placement.h"
#include "edge/note_codec.h"
#include "gateway/rowbook.h"

typedef struct news news_t;

typedef struct news_options {
	const rowbook_t *book;
	/* A row that a peer told; `last` of those that were asked for. */
	void (*on_row)(void *ctx, book_table_t table, const store_row_t *row, bool last);
	void *ctx;
} news_options_t;

news_t *news_new(const news_options_t *options);
void news_delete(news_t *this);

/* Takes a note of the NEWS kinds from the peer in `slot`. */
void news_hear(news_t *this, unsigned int slot, const note_t *note, instant_t now);
/* The peer in `slot` began anew: it knows nothing. */
void news_forget(news_t *this, unsigned int slot);
/* Adds what the peer in `slot` should hear to the message; true when more must follow. */
bool news_write(news_t *this, unsigned int slot, note_writer_t *writer, instant_t now);
/* Something is to be told to the peer in `slot`. */
bool news_is_due(const news_t *this, unsigned int slot, instant_t now);

#endif
