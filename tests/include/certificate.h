/**
 * @file certificate.h
 * Self-signed certificates for tests, made with OpenSSL and written to files.
 */
#ifndef PW_TESTS_CERTIFICATE_H
#define PW_TESTS_CERTIFICATE_H

#include <check.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>
#include <stdio.h>
#include <unistd.h>

/** Paths of a certificate and its key in a temporary folder. */
struct certificate_files {
	char *folder;
	char *certificate_path;
	char *key_path;
};

/** Writes a private key as PEM. @param passphrase encrypts the key; NULL: not encrypted */
static inline void certificate_write_key(const char *path, EVP_PKEY *key, const char *passphrase)
{
	FILE *f = fopen(path, "w");

	ck_assert_ptr_nonnull(f);
	ck_assert_int_eq(PEM_write_PrivateKey(f, key, passphrase ? EVP_aes_256_cbc() : NULL,
					      (const unsigned char *)passphrase,
					      passphrase ? (int)strlen(passphrase) : 0, NULL, NULL),
			 1);
	fclose(f);
}

/** @return self-signed certificate for 127.0.0.1 valid from one hour ago to one hour from now */
static inline X509 *certificate_new_self_signed(EVP_PKEY *key, long serial)
{
	X509 *x = X509_new();
	X509_NAME *name = X509_get_subject_name(x);
	X509V3_CTX context;
	X509_EXTENSION *extension;

	X509_set_version(x, X509_VERSION_3);
	ASN1_INTEGER_set(X509_get_serialNumber(x), serial);
	X509_gmtime_adj(X509_getm_notBefore(x), -3600);
	X509_gmtime_adj(X509_getm_notAfter(x), 3600);
	X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC, (const unsigned char *)"test", -1, -1,
				   0);
	X509_set_issuer_name(x, name);
	X509_set_pubkey(x, key);
	X509V3_set_ctx(&context, x, x, NULL, NULL, 0);
	extension = X509V3_EXT_conf_nid(NULL, &context, NID_subject_alt_name, "IP:127.0.0.1");
	X509_add_ext(x, extension, -1);
	X509_EXTENSION_free(extension);
	ck_assert_int_gt(X509_sign(x, key, EVP_sha256()), 0);
	return x;
}

/** Writes a new key and a self-signed certificate for 127.0.0.1 with this serial number. */
static inline void certificate_write(const char *certificate_path, const char *key_path,
				     long serial)
{
	EVP_PKEY *key = EVP_EC_gen("P-256");
	X509 *x = certificate_new_self_signed(key, serial);
	FILE *f = fopen(certificate_path, "w");

	ck_assert_ptr_nonnull(f);
	ck_assert_int_eq(PEM_write_X509(f, x), 1);
	fclose(f);
	certificate_write_key(key_path, key, NULL);
	X509_free(x);
	EVP_PKEY_free(key);
}

/** Creates the temporary folder and writes a certificate with this serial number and its key. */
static inline void certificate_files_new(struct certificate_files *f, long serial)
{
	f->folder = g_dir_make_tmp("pw-tls-XXXXXX", NULL);
	ck_assert_ptr_nonnull(f->folder);
	f->certificate_path = g_build_filename(f->folder, "certificate.pem", NULL);
	f->key_path = g_build_filename(f->folder, "key.pem", NULL);
	certificate_write(f->certificate_path, f->key_path, serial);
}

/** Replaces the key by an encrypted one, which does not belong to the certificate. */
static inline void certificate_encrypt_key(const struct certificate_files *f,
					   const char *passphrase)
{
	EVP_PKEY *key = EVP_EC_gen("P-256");

	certificate_write_key(f->key_path, key, passphrase);
	EVP_PKEY_free(key);
}

/** Removes the files and the folder, and frees the paths. */
static inline void certificate_files_free(struct certificate_files *f)
{
	g_unlink(f->certificate_path);
	g_unlink(f->key_path);
	g_rmdir(f->folder);
	g_free(f->certificate_path);
	g_free(f->key_path);
	g_free(f->folder);
}

#endif
