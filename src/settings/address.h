#ifndef SETTINGS_ADDRESS_H
#define SETTINGS_ADDRESS_H
/* address - numeric IP:PORT, as settings and tables give it */
#include "settings/faults.h"

/* Splits "ip:port"; false when it is not a numeric address. */
bool address_split(const char *address, char *ip, size_t ip_size, uint16_t *port);
/* Like faults_string(); a text that is no address is a fault, and given all the same. */
const char *address_read(
	faults_t *faults, json_value_t *object, const char *key, const char *fallback);

#endif
