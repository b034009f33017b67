#include "pw/codec/pg.h"

#include <string.h>

#include "pw/core/error.h"

#define LENGTH_SIZE_BYTES 4

static uint32_t load_be32(const uint8_t *p)
{
	return (uint32_t)p[0] << 24 | (uint32_t)p[1] << 16 | (uint32_t)p[2] << 8 | p[3];
}

static void store_be32(uint8_t *p, uint32_t v)
{
	p[0] = (uint8_t)(v >> 24);
	p[1] = (uint8_t)(v >> 16);
	p[2] = (uint8_t)(v >> 8);
	p[3] = (uint8_t)v;
}

/* `type_size_bytes` is 1; 0 for a start-up message, which has no type byte. */
static int frame_next(struct pw_pg_frame *out, const uint8_t *data, size_t size_bytes,
		      uint32_t max_bytes, uint32_t type_size_bytes)
{
	uint32_t header_size_bytes = type_size_bytes + LENGTH_SIZE_BYTES;
	uint32_t length;

	if (size_bytes < header_size_bytes)
		return PW_EAGAIN;
	length = load_be32(data + type_size_bytes);
	if (length < LENGTH_SIZE_BYTES)
		return pw_error_set(PW_EINVALID, "message length %u is below %d", length,
				    LENGTH_SIZE_BYTES);
	if (length > max_bytes)
		return pw_error_set(PW_EOVERFLOW, "message of %u bytes is above the limit of %u",
				    length, max_bytes);
	if (size_bytes < (size_t)length + type_size_bytes)
		return PW_EAGAIN;
	out->type = type_size_bytes ? (char)data[0] : 0;
	out->body = data + header_size_bytes;
	out->body_size_bytes = length - LENGTH_SIZE_BYTES;
	out->size_bytes = length + type_size_bytes;
	return PW_OK;
}

int pw_pg_frame_next(struct pw_pg_frame *out, const uint8_t *data, size_t size_bytes,
		     uint32_t max_bytes)
{
	return frame_next(out, data, size_bytes, max_bytes, 1);
}

int pw_pg_startup_next(struct pw_pg_frame *out, const uint8_t *data, size_t size_bytes)
{
	return frame_next(out, data, size_bytes, PW_PG_STARTUP_MAX_BYTES, 0);
}

void pw_pg_reader_init(struct pw_pg_reader *r, const struct pw_pg_frame *f)
{
	*r = (struct pw_pg_reader){ .data = f->body, .size_bytes = f->body_size_bytes };
}

const uint8_t *pw_pg_get_bytes(struct pw_pg_reader *r, size_t size_bytes)
{
	const uint8_t *p = r->data + r->pos;

	if (r->failed || size_bytes > r->size_bytes - r->pos) {
		r->failed = true;
		return NULL;
	}
	r->pos += size_bytes;
	return p;
}

uint8_t pw_pg_get_u8(struct pw_pg_reader *r)
{
	const uint8_t *p = pw_pg_get_bytes(r, 1);

	return p ? *p : 0;
}

uint16_t pw_pg_get_u16(struct pw_pg_reader *r)
{
	const uint8_t *p = pw_pg_get_bytes(r, 2);

	return p ? (uint16_t)(p[0] << 8 | p[1]) : 0;
}

uint32_t pw_pg_get_u32(struct pw_pg_reader *r)
{
	const uint8_t *p = pw_pg_get_bytes(r, 4);

	return p ? load_be32(p) : 0;
}

const char *pw_pg_get_string(struct pw_pg_reader *r)
{
	const uint8_t *start = r->data + r->pos;
	const uint8_t *end = r->failed ? NULL : memchr(start, 0, r->size_bytes - r->pos);

	if (!end) {
		r->failed = true;
		return "";
	}
	r->pos += (size_t)(end - start) + 1;
	return (const char *)start;
}

size_t pw_pg_begin_message(GByteArray *b, char type)
{
	size_t start = b->len;

	if (type)
		pw_pg_put_u8(b, (uint8_t)type);
	pw_pg_put_u32(b, 0);
	return start;
}

void pw_pg_end_message(GByteArray *b, size_t start)
{
	/* A message without a type starts with the length, whose first byte is still zero. */
	size_t length_offset = start + (b->data[start] ? 1 : 0);

	store_be32(b->data + length_offset, (uint32_t)(b->len - length_offset));
}

void pw_pg_put_bytes(GByteArray *b, const void *data, size_t size_bytes)
{
	g_byte_array_append(b, data, (guint)size_bytes);
}

void pw_pg_put_u8(GByteArray *b, uint8_t v)
{
	pw_pg_put_bytes(b, &v, 1);
}

void pw_pg_put_u16(GByteArray *b, uint16_t v)
{
	uint8_t bytes[2] = { (uint8_t)(v >> 8), (uint8_t)v };

	pw_pg_put_bytes(b, bytes, sizeof(bytes));
}

void pw_pg_put_u32(GByteArray *b, uint32_t v)
{
	uint8_t bytes[4];

	store_be32(bytes, v);
	pw_pg_put_bytes(b, bytes, sizeof(bytes));
}

void pw_pg_put_string(GByteArray *b, const char *s)
{
	pw_pg_put_bytes(b, s, strlen(s) + 1);
}

/* Appends a field of an ErrorResponse, unless its value is NULL. */
static void put_field(GByteArray *b, char field, const char *value)
{
	if (!value)
		return;
	pw_pg_put_u8(b, (uint8_t)field);
	pw_pg_put_string(b, value);
}

void pw_pg_put_error(GByteArray *b, const struct pw_pg_error *e)
{
	size_t start = pw_pg_begin_message(b, 'E');

	put_field(b, 'S', e->severity);
	put_field(b, 'V', e->severity); /* like 'S', but never translated */
	put_field(b, 'C', e->sqlstate);
	put_field(b, 'M', e->message);
	put_field(b, 'D', e->detail);
	put_field(b, 'H', e->hint);
	pw_pg_put_u8(b, 0);
	pw_pg_end_message(b, start);
}

void pw_pg_put_authentication(GByteArray *b, uint32_t kind)
{
	size_t start = pw_pg_begin_message(b, 'R');

	pw_pg_put_u32(b, kind);
	pw_pg_end_message(b, start);
}

void pw_pg_put_parameter_status(GByteArray *b, const char *name, const char *value)
{
	size_t start = pw_pg_begin_message(b, 'S');

	pw_pg_put_string(b, name);
	pw_pg_put_string(b, value);
	pw_pg_end_message(b, start);
}

void pw_pg_put_backend_key_data(GByteArray *b, uint32_t process_id, uint32_t secret)
{
	size_t start = pw_pg_begin_message(b, 'K');

	pw_pg_put_u32(b, process_id);
	pw_pg_put_u32(b, secret);
	pw_pg_end_message(b, start);
}

void pw_pg_put_ready_for_query(GByteArray *b, char status)
{
	size_t start = pw_pg_begin_message(b, 'Z');

	pw_pg_put_u8(b, (uint8_t)status);
	pw_pg_end_message(b, start);
}

void pw_pg_put_command_complete(GByteArray *b, const char *tag)
{
	size_t start = pw_pg_begin_message(b, 'C');

	pw_pg_put_string(b, tag);
	pw_pg_end_message(b, start);
}

void pw_pg_put_row_description(GByteArray *b, const char *const *names, uint16_t count)
{
	const uint32_t text_type_oid = 25;
	size_t start = pw_pg_begin_message(b, 'T');

	pw_pg_put_u16(b, count);
	for (uint16_t i = 0; i < count; i++) {
		pw_pg_put_string(b, names[i]);
		pw_pg_put_u32(b, 0); /* table */
		pw_pg_put_u16(b, 0); /* column */
		pw_pg_put_u32(b, text_type_oid);
		pw_pg_put_u16(b, UINT16_MAX); /* size varies */
		pw_pg_put_u32(b, UINT32_MAX); /* no type modifier */
		pw_pg_put_u16(b, 0);          /* text format */
	}
	pw_pg_end_message(b, start);
}

void pw_pg_put_data_row(GByteArray *b, const char *const *values, uint16_t count)
{
	size_t start = pw_pg_begin_message(b, 'D');

	pw_pg_put_u16(b, count);
	for (uint16_t i = 0; i < count; i++) {
		if (!values[i]) {
			pw_pg_put_u32(b, UINT32_MAX); /* SQL NULL */
			continue;
		}
		pw_pg_put_u32(b, (uint32_t)strlen(values[i]));
		pw_pg_put_bytes(b, values[i], strlen(values[i]));
	}
	pw_pg_end_message(b, start);
}

void pw_pg_put_empty_message(GByteArray *b, char type)
{
	pw_pg_end_message(b, pw_pg_begin_message(b, type));
}

void pw_pg_put_startup_message(GByteArray *b, const char *const *names_and_values)
{
	size_t start = pw_pg_begin_message(b, 0);

	pw_pg_put_u32(b, PW_PG_PROTOCOL_3_0);
	for (; *names_and_values; names_and_values++)
		pw_pg_put_string(b, *names_and_values);
	pw_pg_put_u8(b, 0);
	pw_pg_end_message(b, start);
}

void pw_pg_put_password(GByteArray *b, const char *password)
{
	size_t start = pw_pg_begin_message(b, 'p');

	pw_pg_put_string(b, password);
	pw_pg_end_message(b, start);
}

void pw_pg_put_query(GByteArray *b, const char *text)
{
	size_t start = pw_pg_begin_message(b, 'Q');

	pw_pg_put_string(b, text);
	pw_pg_end_message(b, start);
}

void pw_pg_put_cancel_request(GByteArray *b, uint32_t process_id, uint32_t secret)
{
	size_t start = pw_pg_begin_message(b, 0);

	pw_pg_put_u32(b, PW_PG_CANCEL_REQUEST);
	pw_pg_put_u32(b, process_id);
	pw_pg_put_u32(b, secret);
	pw_pg_end_message(b, start);
}

const char *pw_pg_get_error_field(const struct pw_pg_frame *f, char field)
{
	struct pw_pg_reader r;

	pw_pg_reader_init(&r, f);
	while (!r.failed) {
		char name = (char)pw_pg_get_u8(&r);
		const char *value;

		if (!name)
			break;
		value = pw_pg_get_string(&r);
		if (name == field && !r.failed)
			return value;
	}
	return NULL;
}

/* Reads the next column of a DataRow. Returns NULL for SQL NULL and after a failure. */
static char *read_column(struct pw_pg_reader *r)
{
	uint32_t length = pw_pg_get_u32(r);
	const uint8_t *p;

	if (length == UINT32_MAX)
		return NULL;
	p = pw_pg_get_bytes(r, length);
	return p ? g_strndup((const char *)p, length) : NULL;
}

int pw_pg_read_data_row(char **values, const struct pw_pg_frame *f, uint16_t count)
{
	struct pw_pg_reader r;

	pw_pg_reader_init(&r, f);
	if (pw_pg_get_u16(&r) != count)
		return pw_error_set(PW_EINVALID, "row does not have %u columns", count);
	for (uint16_t i = 0; i < count; i++)
		values[i] = read_column(&r);
	if (!r.failed)
		return PW_OK;
	for (uint16_t i = 0; i < count; i++)
		g_clear_pointer(&values[i], g_free);
	return pw_error_set(PW_EINVALID, "row is truncated");
}
