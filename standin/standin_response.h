#ifndef STANDIN_STANDIN_RESPONSE_H
#define STANDIN_STANDIN_RESPONSE_H
/*
 * standin_response - response texts of the stand-ins, each determined by its request alone
 *
 * The stand-ins send these texts, and the load tool compares each response with
 * them byte for byte.
 */
#include <glib.h>
#include <stdint.h>

/*
 * Returns the number of tokens that `prompt` requests with "tokens=N" (16 if it has no
 * such text, at least 1), limited to `max_tokens` unless that is 0.
 */
unsigned int standin_response_token_count(const char *prompt, unsigned int max_tokens);
/* Appends token number `index` of the response to `prompt`, counted from 0. */
void standin_response_append_token(GString *out, const char *prompt, unsigned int index);
/* Returns all tokens of the response to `prompt`; the caller frees the text. */
GString *standin_response_model_text(const char *prompt, unsigned int max_tokens);
/* Returns the response body of a plain service; the caller frees it. */
GString *standin_response_plain_body(const char *path, const char *body, size_t len);

#endif
