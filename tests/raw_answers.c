#include "tests/raw_answers.h"

#include <string.h>
#include <unistd.h>

#define PIECE_PAUSE_US 100 /* so that pieces are read one by one */

#define LENGTH "{own}Content-Length: 7\r\n\r\nhello\n\n"
#define CHUNKS "{own}Transfer-Encoding: chunked\r\n\r\n7\r\nhello\n\n\r\n0\r\n\r\n"
#define CLOSE "{own}\r\nhello\n\n"
#define OK "HTTP/1.1 200 OK\r\n"
#define OK_CHUNKS OK "{own}Transfer-Encoding: chunked\r\n\r\n"

const raw_answer_t raw_answers_start_line[] = {
	{"000 with a length", "HTTP/1.1 000 OK\r\n" LENGTH},
	{"000 in chunks", "HTTP/1.1 000 OK\r\n" CHUNKS},
	{"000 until the end", "HTTP/1.1 000 OK\r\n" CLOSE},
	{"000 of HTTP/1.0", "HTTP/1.0 000 OK\r\n" LENGTH},
	{"000 without a reason", "HTTP/1.1 000\r\n" LENGTH},
	{"000 in place of an interim response", "HTTP/1.1 000 Wait\r\n\r\n" OK LENGTH},
	{"0", "HTTP/1.1 0 OK\r\n" LENGTH},
	{"00", "HTTP/1.1 00 OK\r\n" LENGTH},
	{"2", "HTTP/1.1 2 OK\r\n" LENGTH},
	{"20", "HTTP/1.1 20 OK\r\n" LENGTH},
	{"20 in chunks", "HTTP/1.1 20 OK\r\n" CHUNKS},
	{"20 without a reason", "HTTP/1.1 20\r\n" CLOSE},
	{"099", "HTTP/1.1 099 OK\r\n" LENGTH},
	{"020", "HTTP/1.1 020 OK\r\n" LENGTH},
	{"0200", "HTTP/1.1 0200 OK\r\n" LENGTH},
	{"00200", "HTTP/1.1 00200 OK\r\n" CHUNKS},
	{"0404", "HTTP/1.1 0404 Not Found\r\n" LENGTH},
	{"2000", "HTTP/1.1 2000 OK\r\n" LENGTH},
	{"600", "HTTP/1.1 600 OK\r\n" LENGTH},
	{"700 in chunks", "HTTP/1.1 700 OK\r\n" CHUNKS},
	{"999", "HTTP/1.1 999 OK\r\n" CLOSE},
	{"no status", "HTTP/1.1 \r\n" LENGTH},
	{"nothing behind the version", "HTTP/1.1\r\n" LENGTH},
	{"letters", "HTTP/1.1 abc OK\r\n" LENGTH},
	{"a letter", "HTTP/1.1 20x OK\r\n" LENGTH},
	{"a sign", "HTTP/1.1 +200 OK\r\n" LENGTH},
	{"two blanks", "HTTP/1.1  200 OK\r\n" LENGTH},
	{"a tab", "HTTP/1.1\t200 OK\r\n" LENGTH},
	{"a tab behind the status", "HTTP/1.1 200\tOK\r\n" LENGTH},
	{"a control character in the reason", "HTTP/1.1 200 O\x01K\r\n" LENGTH},
	{"a carriage return in the reason", "HTTP/1.1 200 O\rK\r\n" LENGTH},
	{"another protocol", "HTTQ/1.1 200 OK\r\n" LENGTH},
	{"another protocol in chunks", "HXYZ/1.1 200 OK\r\n" CHUNKS},
	{"another protocol until the end", "HELO/1.1 200 OK\r\n" CLOSE},
	{"a protocol that is cut", "HTT/1.1 200 OK\r\n" LENGTH},
	{"RTSP", "RTSP/1.0 200 OK\r\n" LENGTH},
	{"ICY", "ICY 200 OK\r\n" LENGTH},
	{"small letters", "http/1.1 200 OK\r\n" LENGTH},
	{"HTTP/2.0", "HTTP/2.0 200 OK\r\n" LENGTH},
	{"HTTP/0.9", "HTTP/0.9 200 OK\r\n" LENGTH},
	{"HTTP/1.10", "HTTP/1.10 200 OK\r\n" LENGTH},
	{"HTTP/01.1", "HTTP/01.1 200 OK\r\n" LENGTH},
	{"HTTP/1", "HTTP/1 200 OK\r\n" LENGTH},
	{"an empty line first", "\r\n" OK LENGTH},
	{"text", "hello\r\n\r\n"},
	{"101", "HTTP/1.1 101 Switching Protocols\r\n{own}\r\nhello\n\n"},
	{"101 with a length", "HTTP/1.1 101 Switching Protocols\r\n" LENGTH},
	{"101 to h2c",
		"HTTP/1.1 101 Switching Protocols\r\n{own}Connection: Upgrade\r\nUpgrade: h2c\r\n"
		"\r\nhello\n\n"},
	{"101 before the response", "HTTP/1.1 101 Switching Protocols\r\n\r\n" OK LENGTH},
	{NULL, NULL},
};

const raw_answer_t raw_answers_names[] = {
	{"a blank in a name", OK "X Custom: 1\r\n" LENGTH},
	{"a blank behind a name", OK "X-Custom : 1\r\n" LENGTH},
	{"a blank before a name", OK " X-Custom: 1\r\n" LENGTH},
	{"a blank before a name, behind another field", OK "X-A: 1\r\n X-Custom: 2\r\n" LENGTH},
	{"a tab before a name, behind another field", OK "X-A: 1\r\n\tX-Custom: 2\r\n" LENGTH},
	{"a blank as a name", OK " : 1\r\n" LENGTH},
	{"an empty name", OK ": 1\r\n" LENGTH},
	{"no colon", OK "X-Custom\r\n" LENGTH},
	{"a blank in Content-Length", OK "{own}Content -Length: 5\r\n\r\nhello\n\n"},
	{"a blank for the dash", OK "{own}Content Length: 3\r\n\r\nhello\n\n"},
	{"a blank behind Content-Length", OK "{own}Content-Length : 3\r\n\r\nhello\n\n"},
	{"a blank before Content-Length", OK " Content-Length: 3\r\n{own}\r\nhello\n\n"},
	{"a tab behind Content-Length", OK "{own}Content-Length\t: 3\r\n\r\nhello\n\n"},
	{"a second length with a blank", OK "Content-Length : 3\r\n" LENGTH},
	{"a blank behind Transfer-Encoding",
		OK "{own}Transfer-Encoding : chunked\r\n\r\n7\r\nhello\n\n\r\n0\r\n\r\n"},
	{NULL, NULL},
};

const raw_answer_t raw_answers_values[] = {
	{"a control character", OK "X-A: a\x01z\r\n" LENGTH},
	{"a control character first", OK "X-A:\x02\r\n" LENGTH},
	{"a control character last", OK "X-A: a\x1f\r\n" LENGTH},
	{"DEL", OK "X-A: a\x7fz\r\n" LENGTH},
	{"a carriage return", OK "X-A: a\rz\r\n" LENGTH},
	{"a carriage return before the end", OK "X-A: a\r\r\n" LENGTH},
	{"a vertical tab", OK "X-A: a\vz\r\n" LENGTH},
	{"an escape", OK "X-A: \033[2J\r\n" LENGTH},
	{NULL, NULL},
};

const raw_answer_t raw_answers_chunks[] = {
	{"a blank and a digit behind a chunk's size", OK_CHUNKS "7 5\r\nhello\n\n\r\n0\r\n\r\n"},
	{"a blank and a letter behind a chunk's size", OK_CHUNKS "7 x\r\nhello\n\n\r\n0\r\n\r\n"},
	{"a tab and a digit behind a chunk's size", OK_CHUNKS "7\t5\r\nhello\n\n\r\n0\r\n\r\n"},
	{"a control character in a chunk's extension",
		OK_CHUNKS "7;a\x01\r\nhello\n\n\r\n0\r\n\r\n"},
	{"a blank before a chunk's size", OK_CHUNKS " 7\r\nhello\n\n\r\n0\r\n\r\n"},
	{"a signed size of a chunk", OK_CHUNKS "+7\r\nhello\n\n\r\n0\r\n\r\n"},
	{"a hexadecimal prefix", OK_CHUNKS "0x7\r\nhello\n\n\r\n0\r\n\r\n"},
	{"a chunk without a size", OK_CHUNKS "\r\nhello\n\n\r\n0\r\n\r\n"},
	{"a chunk's size above 64 bits", OK_CHUNKS "10000000000000007\r\nhello\n\n\r\n0\r\n\r\n"},
	{"another byte behind a size's carriage return", OK_CHUNKS "7\rxhello\n\n\r\n0\r\n\r\n"},
	{"two bytes too many in a chunk", OK_CHUNKS "7\r\nhello\n\nxx0\r\n\r\n"},
	{"two carriage returns behind a chunk", OK_CHUNKS "7\r\nhello\n\n\r\r0\r\n\r\n"},
	{"a chunk that is too long", OK_CHUNKS "3\r\nhello\n\n\r\n0\r\n\r\n"},
	{"a chunk that is too short", OK_CHUNKS "b\r\nhello\n\n\r\n0\r\n\r\n"},
	{"another byte behind the last carriage return", OK_CHUNKS "7\r\nhello\n\n\r\n0\r\n\rx"},
	{"a blank behind the name of a trailer field",
		OK_CHUNKS "7\r\nhello\n\n\r\n0\r\nX-Late : 1\r\n\r\n"},
	{NULL, NULL},
};

const raw_answer_t raw_answers_framing[] = {
	{"another byte behind the head's carriage return",
		OK "{own}Content-Length: 7\r\n\rxhello\n\n"},
	{"a signed length", OK "{own}Content-Length: +7\r\n\r\nhello\n\n"},
	{"a negative length", OK "{own}Content-Length: -7\r\n\r\nhello\n\n"},
	{"an empty length", OK "{own}Content-Length:\r\n\r\nhello\n\n"},
	{"a list of lengths", OK "{own}Content-Length: 7, 5\r\n\r\nhello\n\n"},
	{"a length with a blank", OK "{own}Content-Length: 7 5\r\n\r\nhello\n\n"},
	{"a length in hexadecimal", OK "{own}Content-Length: 0x7\r\n\r\nhello\n\n"},
	{"a length above 64 bits", OK "{own}Content-Length: 18446744073709551623\r\n\r\nhello\n\n"},
	{"two equal lengths", OK "Content-Length: 7\r\n" LENGTH},
	{"two lengths", OK "Content-Length: 3\r\n" LENGTH},
	{"a length and chunks", OK "Content-Length: 7\r\n" CHUNKS},
	{"chunks and a length", OK "Transfer-Encoding: chunked\r\n" LENGTH},
	{"another coding", OK "Transfer-Encoding: gzip\r\n{own}\r\nhello\n\n"},
	{"another coding in chunks", OK "Transfer-Encoding: gzip, chunked\r\n{own}\r\n"
					"7\r\nhello\n\n\r\n0\r\n\r\n"},
	{"an unknown coding", OK "Transfer-Encoding: xchunked\r\n{own}\r\nhello\n\n"},
	{"chunks twice", OK "Transfer-Encoding: chunked\r\n" CHUNKS},
	{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n" CHUNKS},
	{"204 with a length", "HTTP/1.1 204 No Content\r\n" LENGTH},
	{"204 in chunks", "HTTP/1.1 204 No Content\r\n" CHUNKS},
	{"an interim response with a length",
		"HTTP/1.1 103 Early Hints\r\nContent-Length: 7\r\n\r\nhello\n\n" OK LENGTH},
	{"an interim response in chunks", "HTTP/1.1 100 Continue\r\n"
					  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" OK LENGTH},
	{NULL, NULL},
};

const raw_answer_t raw_answers_sound[] = {
	{"with a length", OK LENGTH},
	{"in chunks", OK CHUNKS},
	{"until the end", OK CLOSE},
	{"HTTP/1.0", "HTTP/1.0 200 OK\r\n" LENGTH},
	{"HTTP/1.0 until the end", "HTTP/1.0 200 OK\r\n" CLOSE},
	{"without a reason", "HTTP/1.1 200\r\n" LENGTH},
	{"with an empty reason", "HTTP/1.1 200 \r\n" LENGTH},
	{"a long reason", "HTTP/1.1 200 All is well\xc3\xa9\t!\r\n" LENGTH},
	{"single line feeds", "HTTP/1.1 200 OK\nX-A: 1\n{own}Content-Length: 7\n\nhello\n\n"},
	{"201", "HTTP/1.1 201 Created\r\n" LENGTH},
	{"299", "HTTP/1.1 299 Whatever\r\n" CHUNKS},
	{"behind 100", "HTTP/1.1 100 Continue\r\n\r\n" OK LENGTH},
	{"behind 102, 103 and 199",
		"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
		"HTTP/1.1 199 Other\r\n\r\n" OK CHUNKS},
	{"behind 100 with a length of 0",
		"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n" OK LENGTH},
	{"all characters of a name", OK "!#$%&'*+-.^_`|~09azAZ: 1\r\n" LENGTH},
	{"an empty value", OK "X-A:\r\nX-B: \t \r\n" LENGTH},
	{"a value with blanks", OK "X-A: \t a \t b\xe9 \t\r\n" LENGTH},
	{"no blank behind the colon", OK "{own}Content-Length:7\r\n\r\nhello\n\n"},
	{"blanks around the length", OK "{own}content-length: \t7 \r\n\r\nhello\n\n"},
	{"zeros before the length", OK "{own}Content-Length: 0000000007\r\n\r\nhello\n\n"},
	{"CHUNKED", OK "{own}TRANSFER-ENCODING: Chunked \r\n\r\n7\r\nhello\n\n\r\n0\r\n\r\n"},
	{"extensions of chunks",
		OK_CHUNKS "0002;a=b;c\r\nhe\r\n5 ; d=\"e f\"\r\nllo\n\n\r\n0;x\r\n\r\n"},
	{"padded sizes of chunks", OK_CHUNKS "7  \r\nhello\n\n\r\n0 \r\n\r\n"},
	{"fields behind the body", OK_CHUNKS "7\r\nhello\n\n\r\n0\r\nX-Late: 1\r\nX-B:\r\n\r\n"},
	{NULL, NULL},
};

void raw_sender_set(raw_sender_t *this, const char *text, size_t piece)
{
	__atomic_store_n(&this->text, text, __ATOMIC_SEQ_CST);
	__atomic_store_n(&this->piece, piece, __ATOMIC_SEQ_CST);
}

static GString *format_answer(const raw_sender_t *this, const char *id)
{
	GString *text = g_string_new(__atomic_load_n(&this->text, __ATOMIC_SEQ_CST));
	GString *own = g_string_new(NULL);

	g_string_printf(own, this->own, id);
	g_string_replace(text, "{own}", own->str, 0);
	g_string_free(own, TRUE);
	return text;
}

static void write_in_pieces(int fd, const char *text, size_t size)
{
	while (*text) {
		char *piece = g_strndup(text, size);

		raw_write(fd, piece);
		text += strlen(piece);
		g_free(piece);
		g_usleep(PIECE_PAUSE_US);
	}
}

bool raw_sender_respond(void *ctx, int fd, const raw_request_t *request)
{
	const raw_sender_t *this = ctx;
	GString *text = format_answer(this, request->id);
	size_t piece = __atomic_load_n(&this->piece, __ATOMIC_SEQ_CST);

	if (piece)
		write_in_pieces(fd, text->str, piece);
	else
		raw_write(fd, text->str);
	g_string_free(text, TRUE);
	if (this->resets)
		raw_reset_connection(fd);
	return false;
}

char *raw_answer_with_field(unsigned int status, const char *line)
{
	return g_strdup_printf(
		"HTTP/1.1 %u Status\r\n{own}%s\r\nContent-Length: 7\r\n\r\nhello\n\n", status,
		line);
}
