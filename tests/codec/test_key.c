/* Tests of the keys of client accounts: generation, verification and hashing. */
#include "suite.h"

#include <glib.h>
#include <string.h>

#include "pw/codec/document.h"
#include "pw/codec/key.h"
#include "pw/core/error.h"

#define BASE64URL "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"

/* Guards against keys with characters outside base64url, and against repeated keys or salts. */
START_TEST(test_generate)
{
	struct pw_key a, b;

	ck_assert_int_eq(pw_key_generate(&a), PW_OK);
	ck_assert_int_eq(pw_key_generate(&b), PW_OK);
	ck_assert_uint_eq(strlen(a.text), PW_KEY_TEXT_CHARACTERS);
	ck_assert_int_eq(strncmp(a.text, PW_KEY_PREFIX, 4), 0);
	ck_assert_uint_eq(strspn(a.text + 4, BASE64URL), PW_KEY_TEXT_CHARACTERS - 4);
	ck_assert_uint_eq(strlen(a.stored.id), PW_KEY_ID_HEX_DIGITS);
	ck_assert_uint_eq(strspn(a.stored.id, "0123456789abcdef"), PW_KEY_ID_HEX_DIGITS);
	ck_assert_str_ne(a.text, b.text);
	ck_assert_mem_ne(a.stored.salt, b.stored.salt, PW_KEY_SALT_BYTES);
	pw_key_wipe(&a);
	ck_assert_uint_eq(strlen(a.text), 0);
}
END_TEST

enum presented_key {
	FIRST_KEY,     /**< the first valid key */
	SECOND_KEY,    /**< the second valid key */
	OTHER_KEY,     /**< a key that the account does not have */
	TRUNCATED_KEY, /**< the first key without its last character */
	LONGER_KEY,    /**< the first key with an extra character */
	CHANGED_KEY,   /**< the first key with another last character */
	EMPTY_KEY,
};

static const struct {
	const char *label;
	enum presented_key presented_key;
	size_t valid_count; /**< how many of the two keys the account still has */
	int result;
	int matched_index; /**< index of the valid key whose id is expected; -1: none */
} verify_cases[] = {
	{ "first of two", FIRST_KEY, 2, PW_OK, 0 },
	{ "second of two", SECOND_KEY, 2, PW_OK, 1 },
	{ "second withdrawn", SECOND_KEY, 1, PW_EDENIED, -1 },
	{ "no valid key", FIRST_KEY, 0, PW_EDENIED, -1 },
	{ "key of no account", OTHER_KEY, 2, PW_EDENIED, -1 },
	{ "last character missing", TRUNCATED_KEY, 2, PW_EDENIED, -1 },
	{ "one character too long", LONGER_KEY, 2, PW_EDENIED, -1 },
	{ "last character changed", CHANGED_KEY, 2, PW_EDENIED, -1 },
	{ "empty", EMPTY_KEY, 2, PW_EDENIED, -1 },
};

/* Guards against a wrong or withdrawn key being accepted, and against a key in an error message. */
START_TEST(test_verify)
{
	struct pw_key keys[3];
	struct pw_key_hash valid_hashes[2];
	char text[PW_KEY_TEXT_CHARACTERS + 2];
	const char *id = "unset";
	int rc;

	for (size_t i = 0; i < PW_ARRAY_LEN(keys); i++)
		ck_assert_int_eq(pw_key_generate(&keys[i]), PW_OK);
	for (size_t i = 0; i < PW_ARRAY_LEN(valid_hashes); i++)
		valid_hashes[i] = keys[i].stored;
	g_strlcpy(text, keys[0].text, sizeof(text));
	switch (verify_cases[_i].presented_key) {
	case FIRST_KEY:
		break;
	case SECOND_KEY:
		g_strlcpy(text, keys[1].text, sizeof(text));
		break;
	case OTHER_KEY:
		g_strlcpy(text, keys[2].text, sizeof(text));
		break;
	case TRUNCATED_KEY:
		text[PW_KEY_TEXT_CHARACTERS - 1] = '\0';
		break;
	case LONGER_KEY:
		g_strlcat(text, "A", sizeof(text));
		break;
	case CHANGED_KEY:
		text[PW_KEY_TEXT_CHARACTERS - 1] ^= 1;
		break;
	case EMPTY_KEY:
		text[0] = '\0';
		break;
	}
	rc = pw_key_verify(&id, valid_hashes, verify_cases[_i].valid_count, text, strlen(text));
	ck_assert_msg(rc == verify_cases[_i].result, "case: %s", verify_cases[_i].label);
	if (rc == PW_OK) {
		ck_assert_ptr_eq(id, valid_hashes[verify_cases[_i].matched_index].id);
	} else {
		ck_assert_ptr_null(id);
		ck_assert_ptr_null(strstr(pw_error_message(), PW_KEY_PREFIX));
	}
}
END_TEST

/*
 * Guards against a change of the hash function, which would lock out all callers. Another program
 * computed the hashes of the example.
 */
START_TEST(test_example_keys)
{
	const struct pw_document *d;
	struct pw_findings *f;
	char *text, *keys, **lines;
	gsize size_bytes;
	uint32_t checked_count = 0;

	ck_assert(
		g_file_get_contents(PW_SOURCE_DIR "/docs/example.json", &text, &size_bytes, NULL));
	ck_assert(g_file_get_contents(PW_SOURCE_DIR "/docs/example-keys.txt", &keys, NULL, NULL));
	pw_findings_new(&f);
	ck_assert_int_eq(pw_document_parse(&d, text, size_bytes, 1, f), PW_OK);
	lines = g_strsplit(keys, "\n", -1);
	for (size_t i = 0; lines[i]; i++) {
		char **words = g_strsplit(lines[i], " ", 2);
		const struct pw_document_account *a =
			words[0] ? pw_document_find_account(d, words[0]) : NULL;
		const char *id;

		if (a) {
			ck_assert_int_eq(pw_key_verify(&id, a->keys, a->key_count, words[1],
						       strlen(words[1])),
					 PW_OK);
			checked_count++;
		}
		g_strfreev(words);
	}
	ck_assert_uint_eq(checked_count, d->account_count);
	g_strfreev(lines);
	pw_document_unref(d);
	pw_findings_free(f);
	g_free(keys);
	g_free(text);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("key");

	tcase_add_test(tc, test_generate);
	tcase_add_loop_test(tc, test_verify, 0, PW_ARRAY_LEN(verify_cases));
	tcase_add_test(tc, test_example_keys);
	return pw_suite_run("key", tc);
}
