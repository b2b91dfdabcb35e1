#include "gateway/header_names.h"

#include <stddef.h>
#include <strings.h>

bool header_names_contain(const char *const *names, const char *name)
{
	for (; *names; names++) {
		if (!strcasecmp(*names, name))
			return true;
	}
	return false;
}

bool header_is_hop_by_hop(const char *name)
{
	static const char *const names[] = {"Connection", "Keep-Alive", "Proxy-Connection", "TE",
		"Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", NULL};

	return header_names_contain(names, name);
}
