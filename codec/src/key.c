#include "pw/codec/key.h"

#include <glib.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <stdio.h>
#include <string.h>

#include "pw/core/error.h"

#define PREFIX_CHARACTERS 4
/* EVP_EncodeBlock() pads 32 bytes to 44 characters and adds a NUL. */
#define BASE64_CHARACTERS 44

/* Formats a key: the prefix and the secret in base64url without padding. */
static void encode_key_text(char out[PW_KEY_TEXT_CHARACTERS + 1], const uint8_t *secret)
{
	unsigned char text[BASE64_CHARACTERS + 1];

	EVP_EncodeBlock(text, secret, PW_KEY_SECRET_BYTES);
	memcpy(out, PW_KEY_PREFIX, PREFIX_CHARACTERS);
	for (size_t i = 0; i < BASE64_CHARACTERS - 1; i++) {
		char c = (char)text[i];

		if (c == '+')
			c = '-';
		else if (c == '/')
			c = '_';
		out[PREFIX_CHARACTERS + i] = c;
	}
	out[PW_KEY_TEXT_CHARACTERS] = '\0';
	OPENSSL_cleanse(text, sizeof(text));
}

int pw_key_generate(struct pw_key *out)
{
	uint8_t secret[PW_KEY_SECRET_BYTES];
	uint8_t id[PW_KEY_ID_HEX_DIGITS / 2];
	int rc = PW_ESYSTEM;

	*out = (struct pw_key){ 0 };
	if (RAND_bytes(secret, sizeof(secret)) != 1 || RAND_bytes(id, sizeof(id)) != 1 ||
	    RAND_bytes(out->stored.salt, sizeof(out->stored.salt)) != 1) {
		pw_error_set(rc, "OpenSSL's random number generator failed");
		goto done;
	}
	encode_key_text(out->text, secret);
	for (size_t i = 0; i < sizeof(id); i++)
		snprintf(out->stored.id + 2 * i, 3, "%02x", id[i]);
	rc = pw_key_hash_text(out->stored.hash, out->stored.salt, out->text,
			      PW_KEY_TEXT_CHARACTERS);
done:
	OPENSSL_cleanse(secret, sizeof(secret));
	if (rc != PW_OK)
		pw_key_wipe(out);
	return rc;
}

void pw_key_wipe(struct pw_key *k)
{
	OPENSSL_cleanse(k->text, sizeof(k->text));
}

int pw_key_hash_text(uint8_t out[PW_KEY_HASH_BYTES], const uint8_t salt[PW_KEY_SALT_BYTES],
		     const char *text, size_t size_bytes)
{
	EVP_MD_CTX *ctx = EVP_MD_CTX_new();
	int rc = PW_OK;

	if (!ctx || EVP_DigestInit_ex(ctx, EVP_sha256(), NULL) != 1 ||
	    EVP_DigestUpdate(ctx, salt, PW_KEY_SALT_BYTES) != 1 ||
	    EVP_DigestUpdate(ctx, text, size_bytes) != 1 || EVP_DigestFinal_ex(ctx, out, NULL) != 1)
		rc = pw_error_set(PW_ESYSTEM, "OpenSSL could not compute a SHA-256 hash");
	EVP_MD_CTX_free(ctx);
	return rc;
}

int pw_key_verify(const char **id, const struct pw_key_hash *valid_hashes, size_t count,
		  const char *text, size_t size_bytes)
{
	const char *matched_id = NULL;

	*id = NULL;
	/*
	 * A key has a fixed length. Texts of other lengths are not hashed, so that a long password
	 * costs no CPU time.
	 */
	if (size_bytes != PW_KEY_TEXT_CHARACTERS)
		return pw_error_set(PW_EDENIED, "no valid key");
	/* Compares all hashes, even after a match, to take constant time. */
	for (size_t i = 0; i < count; i++) {
		uint8_t hash[PW_KEY_HASH_BYTES];

		if (pw_key_hash_text(hash, valid_hashes[i].salt, text, size_bytes) != PW_OK)
			return PW_ESYSTEM;
		if (CRYPTO_memcmp(hash, valid_hashes[i].hash, sizeof(hash)) == 0)
			matched_id = valid_hashes[i].id;
	}
	if (!matched_id)
		return pw_error_set(PW_EDENIED, "no valid key");
	*id = matched_id;
	return PW_OK;
}
