#include <argp.h>
#include <stdio.h>

#include "cmd/commands.h"
#include "edge/peer_socket.h"

#define KEY_TEXT 41

static const struct argp parser = {NULL, NULL, NULL,
	"Prints a new key pair as settings lines; the public key goes to the peers.", NULL, NULL,
	NULL};

int command_keygen(int argc, char **argv)
{
	char public_key[KEY_TEXT];
	char secret_key[KEY_TEXT];

	argp_parse(&parser, argc, argv, 0, NULL, NULL);
	if (!peer_socket_keygen(public_key, secret_key)) {
		fputs("this build of libzmq has no CURVE\n", stderr);
		return EXIT_FAILED;
	}
	printf("\"public_key\": \"%s\",\n\"secret_key\": \"%s\",\n", public_key, secret_key);
	return EXIT_GOOD;
}
