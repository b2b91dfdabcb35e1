#ifndef STANDIN_ANSWER_TEXT_H
#define STANDIN_ANSWER_TEXT_H
/*
 * answer_text - the answers of the stand-ins, each a function of its request alone
 *
 * Used by the stand-ins to answer and by the load tool to check every byte.
 */
#include <glib.h>
#include <stdint.h>

/* The tokens that a prompt asks for with "tokens=N", at most `max_tokens`. */
unsigned int answer_token_count(const char *prompt, unsigned int max_tokens);
/* Appends token number `index` of the answer to `prompt`. */
void answer_token(GString *out, const char *prompt, unsigned int index);
/* The whole answer's text. */
GString *answer_model_text(const char *prompt, unsigned int max_tokens);
/* The body that a plain service answers with. */
GString *answer_plain_text(const char *path, const char *body, size_t len);

#endif
