#ifndef SETTINGS_ADDRESS_H
#define SETTINGS_ADDRESS_H
/* address - numeric IPv4 addresses with a port, as written in settings and tables */
#include "settings/error_list.h"

/* Parses "ip:port" into its parts; false when it is not a numeric IPv4 address and port. */
bool address_parse(const char *address, char *ip, size_t ip_size, uint16_t *port);
/* Like json_read_string(); adds an error for an invalid address, but returns it nevertheless. */
const char *json_read_address(
	error_list_t *errors, json_value_t *object, const char *key, const char *fallback);

#endif
