/* jsondoc - documents of many values: work that grows with their size, and a bound */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "settings/jsondoc.h"

#define MANY_KEYS 150000

/* An object with this many members, and with its first key once more if `twice` is set. */
static jsondoc_t *parse_members(unsigned int count, bool twice)
{
	GString *text = g_string_new("{\"inner\":{\"k0\":0}");
	jsondoc_t *doc;

	for (unsigned int i = 0; i < count; i++)
		g_string_append_printf(text, ",\"k%u\":%u", i, i);
	if (twice)
		g_string_append(text, ",\"k0\":1");
	g_string_append(text, ",\"last\":{\"k0\":0}}");
	doc = jsondoc_new(text->str, text->len);
	g_string_free(text, TRUE);
	return doc;
}

/* Guards against a search of all members for each key: this takes a minute then. */
static void test_object_with_many_keys_is_read(void **state)
{
	jsondoc_t *doc = parse_members(MANY_KEYS, false);

	assert_null(doc->error);
	assert_int_equal(doc->root->count, MANY_KEYS + 2);
	jsondoc_delete(doc);
}

static void test_key_that_comes_twice_is_found_among_few_and_many(void **state)
{
	for (unsigned int count = 1; count < 64; count++) {
		jsondoc_t *doc = parse_members(count, true);

		assert_string_equal(doc->error, "duplicate key k0");
		jsondoc_delete(doc);
		doc = parse_members(count, false);
		assert_null(doc->error);
		jsondoc_delete(doc);
	}
}

/* Guards against documents that take many times their size in memory: "[[],[],..." */
static void test_document_with_too_many_values_is_refused(void **state)
{
	GString *text = g_string_new("[[]");
	jsondoc_t *doc;

	while (text->len < 3U * JSONDOC_MAX_VALUES)
		g_string_append(text, ",[]");
	g_string_append(text, ",[],[]]");
	doc = jsondoc_new(text->str, text->len);
	assert_string_equal(doc->error, "too many values");
	jsondoc_delete(doc);
	g_string_free(text, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_object_with_many_keys_is_read),
		cmocka_unit_test(test_key_that_comes_twice_is_found_among_few_and_many),
		cmocka_unit_test(test_document_with_too_many_values_is_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
