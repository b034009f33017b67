/**
 * @file pg.h
 * Framing and messages of the PostgreSQL frontend/backend protocol 3.0. Source: PostgreSQL
 * documentation, chapter "Frontend/Backend Protocol". Integers on the wire are big-endian.
 */
#ifndef PW_CODEC_PG_H
#define PW_CODEC_PG_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PW_PG_PROTOCOL_3_0   UINT32_C(196608)
#define PW_PG_CANCEL_REQUEST UINT32_C(80877102)
#define PW_PG_SSL_REQUEST    UINT32_C(80877103)
#define PW_PG_GSSENC_REQUEST UINT32_C(80877104)

/** Maximum size of a start-up message; a longer one is refused before it is buffered. */
#define PW_PG_STARTUP_MAX_BYTES UINT32_C(10000)

/** A message. `body` points into the buffer of the message, which must outlive the frame. */
struct pw_pg_frame {
	char type;           /**< message type; 0 for a start-up message */
	const uint8_t *body; /**< contents after type and length */
	uint32_t body_size_bytes;
	uint32_t size_bytes; /**< whole message, with type and length */
};

/**
 * Finds the first message in a buffer.
 *
 * @param max_bytes maximum of the length field, which counts itself but not the type
 * @return 0; PW_EAGAIN if the message is incomplete; PW_EINVALID if the length is smaller than the
 *         length field itself; PW_EOVERFLOW if it is above max_bytes
 */
int pw_pg_frame_next(struct pw_pg_frame *out, const uint8_t *data, size_t size_bytes,
		     uint32_t max_bytes);

/** Like pw_pg_frame_next(), but for a start-up message, which has no type byte. */
int pw_pg_startup_next(struct pw_pg_frame *out, const uint8_t *data, size_t size_bytes);

/** Reads the fields of a message. A read past the end sets `failed`, which then stays set. */
struct pw_pg_reader {
	const uint8_t *data;
	size_t size_bytes;
	size_t pos; /**< offset of the next field */
	bool failed;
};

void pw_pg_reader_init(struct pw_pg_reader *r, const struct pw_pg_frame *f);
/* The integers are 0 after a failure. */
uint8_t pw_pg_get_u8(struct pw_pg_reader *r);
uint16_t pw_pg_get_u16(struct pw_pg_reader *r);
uint32_t pw_pg_get_u32(struct pw_pg_reader *r);
/** @return pointer to the string within the message, or "" after a failure */
const char *pw_pg_get_string(struct pw_pg_reader *r);
/** @return pointer to the bytes within the message, or NULL after a failure */
const uint8_t *pw_pg_get_bytes(struct pw_pg_reader *r, size_t size_bytes);

/**
 * Starts a message; type 0 writes no type byte.
 *
 * @return its offset in `b`, for pw_pg_end_message()
 */
size_t pw_pg_begin_message(GByteArray *b, char type);
/** Ends the message that starts at offset `start` by setting its length. */
void pw_pg_end_message(GByteArray *b, size_t start);
void pw_pg_put_u8(GByteArray *b, uint8_t v);
void pw_pg_put_u16(GByteArray *b, uint16_t v);
void pw_pg_put_u32(GByteArray *b, uint32_t v);
void pw_pg_put_string(GByteArray *b, const char *s);
void pw_pg_put_bytes(GByteArray *b, const void *data, size_t size_bytes);

/** Fields of an ErrorResponse; fields that are NULL are left out. */
struct pw_pg_error {
	const char *severity; /**< "ERROR" or "FATAL" */
	const char *sqlstate; /**< five characters */
	const char *message;
	const char *detail;
	const char *hint;
};

/* These functions append messages of a server. */
void pw_pg_put_error(GByteArray *b, const struct pw_pg_error *e);
/** @param kind PW_PG_AUTH_OK or PW_PG_AUTH_CLEARTEXT */
void pw_pg_put_authentication(GByteArray *b, uint32_t kind);
void pw_pg_put_parameter_status(GByteArray *b, const char *name, const char *value);
void pw_pg_put_backend_key_data(GByteArray *b, uint32_t process_id, uint32_t secret);
/** @param status 'I' outside a transaction, 'T' inside one, 'E' inside a failed one */
void pw_pg_put_ready_for_query(GByteArray *b, char status);
void pw_pg_put_command_complete(GByteArray *b, const char *tag);
/** Appends a RowDescription of text columns. */
void pw_pg_put_row_description(GByteArray *b, const char *const *names, uint16_t count);
/** Appends a DataRow of text values; NULL stands for SQL NULL. */
void pw_pg_put_data_row(GByteArray *b, const char *const *values, uint16_t count);
/** Appends a message without a body, for example ParseComplete ('1'). */
void pw_pg_put_empty_message(GByteArray *b, char type);

/* These functions append messages of a client. */
/** @param names_and_values name and value of each parameter, then NULL */
void pw_pg_put_startup_message(GByteArray *b, const char *const *names_and_values);
void pw_pg_put_password(GByteArray *b, const char *password);
void pw_pg_put_query(GByteArray *b, const char *text);
void pw_pg_put_cancel_request(GByteArray *b, uint32_t process_id, uint32_t secret);

/* Kinds of authentication messages. */
#define PW_PG_AUTH_OK        0
#define PW_PG_AUTH_CLEARTEXT 3

/**
 * Finds a field of an ErrorResponse.
 *
 * @param field for example 'C' for the SQLSTATE
 * @return pointer to the string within the message, or NULL
 */
const char *pw_pg_get_error_field(const struct pw_pg_frame *f, char field);

/**
 * Reads the columns of a DataRow as text.
 *
 * @param values receives g_malloc'ed strings; NULL stands for SQL NULL
 * @param count  expected number of columns
 * @return 0, or PW_EINVALID if the row has another number of columns or is truncated
 */
int pw_pg_read_data_row(char **values, const struct pw_pg_frame *f, uint16_t count);

#endif
