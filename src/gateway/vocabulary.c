#include "gateway/vocabulary.h"

#include <stddef.h>
#include <strings.h>

bool vocabulary_lists(const char *const *names, const char *name)
{
	for (; *names; names++) {
		if (!strcasecmp(*names, name))
			return true;
	}
	return false;
}

bool vocabulary_is_between_hops(const char *name)
{
	static const char *const names[] = {"Connection", "Keep-Alive", "Proxy-Connection", "TE",
		"Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", NULL};

	return vocabulary_lists(names, name);
}
