/**
 * @file key.h
 * Keys of client accounts: generation, salted SHA-256 hashes, as the service document stores them,
 * and verification in constant time. No function puts a key into an error message.
 */
#ifndef PW_CODEC_KEY_H
#define PW_CODEC_KEY_H

#include <stddef.h>
#include <stdint.h>

#define PW_KEY_PREFIX        "pwk_"
#define PW_KEY_SECRET_BYTES  32
#define PW_KEY_SALT_BYTES    16
#define PW_KEY_HASH_BYTES    32
#define PW_KEY_ID_HEX_DIGITS 8
/** Length of a key: prefix, and 32 bytes in base64url without padding (43 characters). */
#define PW_KEY_TEXT_CHARACTERS 47

/** The part of a key that the document stores. */
struct pw_key_hash {
	char id[PW_KEY_ID_HEX_DIGITS + 1]; /**< random; names the key without revealing it */
	uint8_t salt[PW_KEY_SALT_BYTES];
	uint8_t hash[PW_KEY_HASH_BYTES];
};

/** A new key. The caller shows `text` to the user once and then erases it with pw_key_wipe(). */
struct pw_key {
	char text[PW_KEY_TEXT_CHARACTERS + 1];
	struct pw_key_hash stored;
};

/** Generates a key with OpenSSL's random number generator. @return 0, or PW_ESYSTEM */
int pw_key_generate(struct pw_key *out);

/** Erases the text of the key from memory. */
void pw_key_wipe(struct pw_key *k);

/**
 * Computes the SHA-256 hash of the salt followed by the text.
 *
 * @return 0, or PW_ESYSTEM
 */
int pw_key_hash_text(uint8_t out[PW_KEY_HASH_BYTES], const uint8_t salt[PW_KEY_SALT_BYTES],
		     const char *text, size_t size_bytes);

/**
 * Compares a key with all valid hashes of an account. The time taken does not depend on which hash
 * matches or on how many of its bytes are equal.
 *
 * @param id receives the id of the matching key, a string within `valid_hashes`; NULL on failure
 * @return 0, PW_EDENIED if none matches, or PW_ESYSTEM
 */
int pw_key_verify(const char **id, const struct pw_key_hash *valid_hashes, size_t count,
		  const char *text, size_t size_bytes);

#endif
