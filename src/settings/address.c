#include "settings/address.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

bool address_parse(const char *address, char *ip, size_t ip_size, uint16_t *port)
{
	const char *colon = strrchr(address, ':');
	struct in_addr parsed;
	char *end;
	long number;

	if (!colon || (size_t)(colon - address) >= ip_size)
		return false;
	memcpy(ip, address, (size_t)(colon - address));
	ip[colon - address] = '\0';
	if (colon[1] < '0' || colon[1] > '9')
		return false;
	number = strtol(colon + 1, &end, 10);
	if (*end || number > UINT16_MAX)
		return false;
	*port = (uint16_t)number;
	return inet_pton(AF_INET, ip, &parsed) == 1;
}

const char *json_read_address(
	error_list_t *errors, json_value_t *object, const char *key, const char *fallback)
{
	const char *address = json_read_string(errors, object, key, fallback);
	json_value_t *v = json_get(object, key);
	char ip[INET_ADDRSTRLEN];
	uint16_t port;

	if (*address && !address_parse(address, ip, sizeof(ip), &port))
		error_list_add(errors, v->line, "%s: \"%s\" is no address; give a numeric IP:PORT",
			key, address);
	return address;
}
