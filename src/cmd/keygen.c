#include <argp.h>
#include <stdio.h>

#include "cmd/commands.h"
#include "edge/peer_socket.h"

#define KEY_SIZE 41 /* 40 characters (Z85) and the terminator */

static const struct argp parser = {NULL, NULL, NULL,
	"Prints a new key pair as lines for the settings file.  The public key also goes into the "
	"settings of the peers.",
	NULL, NULL, NULL};

int command_keygen(int argc, char **argv)
{
	char public_key[KEY_SIZE];
	char secret_key[KEY_SIZE];

	argp_parse(&parser, argc, argv, 0, NULL, NULL);
	if (!peer_socket_keygen(public_key, secret_key)) {
		fputs("this build of libzmq does not support CURVE\n", stderr);
		return EXIT_FAILED;
	}
	printf("\"public_key\": \"%s\",\n\"secret_key\": \"%s\",\n", public_key, secret_key);
	return EXIT_OK;
}
