/* threaded: peer_socket - who is let in, who sent what, and what a cut does */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "daemon/event_queue.h"
#include "edge/peer_socket.h"

#define KEY_TEXT 41
#define WAIT_ROUNDS 300
#define WAIT_US 20000
#define NO_FD (-1)

typedef struct side {
	char public_key[KEY_TEXT];
	char secret_key[KEY_TEXT];
	char address[32];
	peer_address_t peer;
	peer_socket_t *socket;
} side_t;

static void prepare(side_t *this, unsigned int port)
{
	memset(this, 0, sizeof(*this));
	assert_true(peer_socket_keygen(this->public_key, this->secret_key));
	snprintf(this->address, sizeof(this->address), "127.0.0.1:%u", port);
}

static void open_side(side_t *this, const side_t *peer, id_t32 peer_id)
{
	peer_socket_options_t options = {
		.bind_address = this->address,
		.public_key = this->public_key,
		.secret_key = this->secret_key,
		.peers = &this->peer,
		.peer_count = 1,
	};

	this->peer = (peer_address_t){peer_id, peer->address, peer->public_key};
	this->socket = peer_socket_new(&options);
	assert_non_null(this->socket);
}

/* Pumps both sides until `to` has a message from `from`; the size, or 0. */
static size_t exchange(side_t *from, side_t *to, const char *text, id_t32 *sender)
{
	char buffer[256];
	int fd = event_fd_new();
	size_t size = 0;
	bool sent = false;

	for (int i = 0; i < WAIT_ROUNDS && !size; i++) {
		if (!sent)
			sent = peer_socket_send(from->socket, 0, text, strlen(text));
		peer_socket_receive(from->socket, buffer, sizeof(buffer), &size, sender);
		size = 0;
		if (!peer_socket_receive(to->socket, buffer, sizeof(buffer), &size, sender))
			peer_socket_wait(to->socket, fd, WAIT_US);
	}
	if (size)
		assert_memory_equal(buffer, text, size);
	return size;
}

/* Pumps both sides once. */
static size_t exchange_once(side_t *from, side_t *to, id_t32 *sender)
{
	char buffer[256];
	int fd = event_fd_new();
	size_t size = 0;

	peer_socket_receive(from->socket, buffer, sizeof(buffer), &size, sender);
	size = 0;
	if (!peer_socket_receive(to->socket, buffer, sizeof(buffer), &size, sender))
		peer_socket_wait(to->socket, fd, WAIT_US);
	close(fd);
	return size;
}

static void test_peers_talk_and_are_known(void **state)
{
	side_t a;
	side_t b;
	id_t32 sender = 0;

	prepare(&a, 19801);
	prepare(&b, 19802);
	open_side(&a, &b, 2);
	open_side(&b, &a, 1);
	assert_int_equal(exchange(&a, &b, "hello", &sender), 5);
	assert_int_equal(sender, 1);
	assert_int_equal(exchange(&b, &a, "you", &sender), 3);
	assert_int_equal(sender, 2);
	assert_true(peer_socket_stats(a.socket)->wire_bytes > 0);
	peer_socket_cut(b.socket, 0, true);
	assert_false(peer_socket_send(b.socket, 0, "x", 1));
	peer_socket_delete(a.socket);
	peer_socket_delete(b.socket);
}

static void test_a_foreign_key_is_refused(void **state)
{
	side_t a;
	side_t b;
	side_t stranger;
	char buffer[256];
	id_t32 sender;
	size_t size;
	int fd = event_fd_new();

	prepare(&a, 19803);
	prepare(&b, 19804);
	prepare(&stranger, 19805);
	open_side(&a, &b, 2);
	open_side(&stranger, &a, 1); /* knows a's key, but a does not know its */
	for (int i = 0; i < WAIT_ROUNDS && !peer_socket_stats(a.socket)->refused_keys; i++) {
		peer_socket_send(stranger.socket, 0, "let me in", 9);
		assert_false(peer_socket_receive(a.socket, buffer, sizeof(buffer), &size, &sender));
		peer_socket_wait(a.socket, fd, WAIT_US);
	}
	assert_true(peer_socket_stats(a.socket)->refused_keys > 0);
	peer_socket_delete(a.socket);
	peer_socket_delete(stranger.socket);
}

/* A peer connects before its key is known here: once it is, its messages come. */
static void test_a_key_that_is_known_later(void **state)
{
	peer_socket_options_t options = {0};
	peer_address_t address;
	id_t32 sender = 0;
	side_t a;
	side_t b;

	prepare(&a, 23471);
	prepare(&b, 23472);
	options.bind_address = a.address;
	options.public_key = a.public_key;
	options.secret_key = a.secret_key;
	a.socket = peer_socket_new(&options);
	assert_non_null(a.socket);
	open_side(&b, &a, 1);
	for (int i = 0; i < WAIT_ROUNDS && !peer_socket_refused(a.socket); i++)
		assert_int_equal(exchange_once(&b, &a, &sender), 0);
	assert_true(peer_socket_refused(a.socket) > 0);
	address = (peer_address_t){2, b.address, b.public_key};
	assert_int_equal(peer_socket_add(a.socket, &address), 0);
	assert_int_equal(exchange(&b, &a, "now known", &sender), strlen("now known"));
	assert_int_equal(sender, 2);
	peer_socket_delete(a.socket);
	peer_socket_delete(b.socket);
}

static void test_an_address_in_use(void **state)
{
	side_t a;
	side_t b;
	peer_socket_options_t options = {0};

	prepare(&a, 19806);
	prepare(&b, 19807);
	open_side(&a, &b, 2);
	options.bind_address = a.address;
	options.public_key = b.public_key;
	options.secret_key = b.secret_key;
	assert_null(peer_socket_new(&options));
	peer_socket_delete(a.socket);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_peers_talk_and_are_known),
		cmocka_unit_test(test_a_foreign_key_is_refused),
		cmocka_unit_test(test_a_key_that_is_known_later),
		cmocka_unit_test(test_an_address_in_use),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
