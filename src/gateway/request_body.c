#include "gateway/request_body.h"

#include <glib.h>
#include <string.h>

#define FIRST_CAPACITY 1024

request_body_t *request_body_new(void)
{
	request_body_t *this = g_new0(request_body_t, 1);

	this->references = 1;
	return this;
}

request_body_t *request_body_get(request_body_t *this)
{
	this->references++;
	return this;
}

void request_body_put(request_body_t *this)
{
	if (!this || --this->references)
		return;
	g_free(this->str);
	g_free(this);
}

void request_body_set_capacity(request_body_t *this, size_t capacity)
{
	if (capacity == this->capacity)
		return;
	this->str = g_realloc(this->str, capacity);
	this->capacity = capacity;
}

static size_t grown_capacity(const request_body_t *this, size_t needed, size_t most)
{
	size_t capacity = this->capacity ? this->capacity : FIRST_CAPACITY;

	while (capacity < needed)
		capacity *= 2;
	return capacity < most ? capacity : most;
}

bool request_body_append(request_body_t *this, const char *data, size_t len, size_t most)
{
	size_t needed = this->len + len;

	if (needed > this->capacity && needed > most)
		return false;
	if (needed > this->capacity)
		request_body_set_capacity(this, grown_capacity(this, needed, most));
	if (len)
		memcpy(this->str + this->len, data, len);
	this->len = needed;
	return true;
}
