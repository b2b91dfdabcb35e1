/* threaded: peer_socket - accepted and refused keys, ids of senders, and cut connections */
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

#define Z85_KEY_SIZE 41 /* terminating zero included */
#define MAX_WAITS 300
#define WAIT_US 20000

/* One router's keys and socket; its only peer is `peer_address`. */
typedef struct router_fixture {
	char public_key[Z85_KEY_SIZE];
	char secret_key[Z85_KEY_SIZE];
	char address[32];
	peer_address_t peer_address;
	peer_socket_t *socket;
} router_fixture_t;

/* Makes the keys and the address; opens no socket. */
static void router_fixture_init(router_fixture_t *this, unsigned int port)
{
	memset(this, 0, sizeof(*this));
	assert_true(peer_socket_keygen(this->public_key, this->secret_key));
	snprintf(this->address, sizeof(this->address), "127.0.0.1:%u", port);
}

/* Opens the socket, with `peer` as the only peer. */
static void router_fixture_open(
	router_fixture_t *this, const router_fixture_t *peer, id_t32 peer_id)
{
	peer_socket_options_t options = {
		.bind_address = this->address,
		.public_key = this->public_key,
		.secret_key = this->secret_key,
		.peers = &this->peer_address,
		.peer_count = 1,
	};

	this->peer_address = (peer_address_t){peer_id, peer->address, peer->public_key};
	this->socket = peer_socket_new(&options);
	assert_non_null(this->socket);
}

/*
 * Sends `text` and serves both sockets until `to` receives it, since a socket checks the keys of
 * new connections only in peer_socket_receive().  Returns the message's size; 0 on timeout.
 */
static size_t send_and_receive(
	router_fixture_t *from, router_fixture_t *to, const char *text, id_t32 *sender)
{
	char buffer[256];
	int fd = event_fd_new();
	size_t size = 0;
	bool sent = false;

	for (int i = 0; i < MAX_WAITS && !size; i++) {
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

/* Serves both sockets once; returns the size of a message that `to` received, or 0. */
static size_t receive_once(router_fixture_t *from, router_fixture_t *to, id_t32 *sender)
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

static void test_messages_carry_sender_id_and_cut_stops_sending(void **state)
{
	router_fixture_t a;
	router_fixture_t b;
	id_t32 sender = 0;

	router_fixture_init(&a, 19801);
	router_fixture_init(&b, 19802);
	router_fixture_open(&a, &b, 2);
	router_fixture_open(&b, &a, 1);
	assert_int_equal(send_and_receive(&a, &b, "hello", &sender), 5);
	assert_int_equal(sender, 1);
	assert_int_equal(send_and_receive(&b, &a, "you", &sender), 3);
	assert_int_equal(sender, 2);
	assert_true(peer_socket_stats(a.socket)->wire_bytes > 0);
	peer_socket_set_cut(b.socket, 0, true);
	assert_false(peer_socket_send(b.socket, 0, "x", 1));
	peer_socket_delete(a.socket);
	peer_socket_delete(b.socket);
}

static void test_unknown_key_is_refused(void **state)
{
	router_fixture_t a;
	router_fixture_t b;
	router_fixture_t unknown_peer;
	char buffer[256];
	id_t32 sender;
	size_t size;
	int fd = event_fd_new();

	router_fixture_init(&a, 19803);
	router_fixture_init(&b, 19804);
	router_fixture_init(&unknown_peer, 19805);
	router_fixture_open(&a, &b, 2);
	router_fixture_open(&unknown_peer, &a, 1); /* has a's key, but a does not have its key */
	for (int i = 0; i < MAX_WAITS && !peer_socket_stats(a.socket)->refused_keys; i++) {
		peer_socket_send(unknown_peer.socket, 0, "let me in", 9);
		assert_false(peer_socket_receive(a.socket, buffer, sizeof(buffer), &size, &sender));
		peer_socket_wait(a.socket, fd, WAIT_US);
	}
	assert_true(peer_socket_stats(a.socket)->refused_keys > 0);
	peer_socket_delete(a.socket);
	peer_socket_delete(unknown_peer.socket);
}

/*
 * A router may connect to a peer that has not read its key from the store yet.  The refusal must
 * not be final: once the peer has the key, messages arrive.
 */
static void test_messages_arrive_after_refused_key_is_added(void **state)
{
	peer_socket_options_t options = {0};
	peer_address_t address;
	id_t32 sender = 0;
	router_fixture_t a;
	router_fixture_t b;

	router_fixture_init(&a, 23471);
	router_fixture_init(&b, 23472);
	options.bind_address = a.address;
	options.public_key = a.public_key;
	options.secret_key = a.secret_key;
	a.socket = peer_socket_new(&options);
	assert_non_null(a.socket);
	router_fixture_open(&b, &a, 1);
	for (int i = 0; i < MAX_WAITS && !peer_socket_refused_keys(a.socket); i++)
		assert_int_equal(receive_once(&b, &a, &sender), 0);
	assert_true(peer_socket_refused_keys(a.socket) > 0);
	address = (peer_address_t){2, b.address, b.public_key};
	assert_int_equal(peer_socket_add(a.socket, &address), 0);
	assert_int_equal(send_and_receive(&b, &a, "now known", &sender), strlen("now known"));
	assert_int_equal(sender, 2);
	peer_socket_delete(a.socket);
	peer_socket_delete(b.socket);
}

static void test_binding_address_in_use_fails(void **state)
{
	router_fixture_t a;
	router_fixture_t b;
	peer_socket_options_t options = {0};

	router_fixture_init(&a, 19806);
	router_fixture_init(&b, 19807);
	router_fixture_open(&a, &b, 2);
	options.bind_address = a.address;
	options.public_key = b.public_key;
	options.secret_key = b.secret_key;
	assert_null(peer_socket_new(&options));
	peer_socket_delete(a.socket);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_messages_carry_sender_id_and_cut_stops_sending),
		cmocka_unit_test(test_unknown_key_is_refused),
		cmocka_unit_test(test_messages_arrive_after_refused_key_is_added),
		cmocka_unit_test(test_binding_address_in_use_fails),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
