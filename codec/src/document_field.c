#include "document_field.h"

#include <string.h>

#include "pw/core/address.h"
#include "pw/core/error.h"

#define ADDRESS_MAX_BYTES 64

bool pw_document_name_is_valid(const char *text)
{
	size_t size_bytes = strlen(text);

	if (size_bytes > PW_DOCUMENT_MAX_NAME_BYTES || !g_ascii_isalnum(text[0]))
		return false;
	for (size_t i = 0; i < size_bytes; i++) {
		if (!g_ascii_isalnum(text[i]) && !strchr("_.-", text[i]))
			return false;
	}
	return true;
}

static const char *read_name(struct pw_document_parser *p, json_t *value, const char *location)
{
	const char *text = json_string_value(value);

	if (!text || !pw_document_name_is_valid(text)) {
		pw_document_add_finding(
			p, location,
			"must be a name: 1 to %d letters, digits, '_', '.' or '-', the "
			"first a letter or digit",
			PW_DOCUMENT_MAX_NAME_BYTES);
		return NULL;
	}
	return pw_document_strdup(p->impl, text);
}

static void name_read(struct pw_document_parser *p, const struct pw_field *field, void *target,
		      json_t *value, const char *location)
{
	*(const char **)target = read_name(p, value, location);
}

static void name_set_default(struct pw_document_parser *p, const struct pw_field *field,
			     void *target, const char *location)
{
	if (field->default_text)
		*(const char **)target = pw_document_strdup(p->impl, field->default_text);
}

const struct pw_field_ops pw_field_name = { .read = name_read, .set_default = name_set_default };

static void address_read(struct pw_document_parser *p, const struct pw_field *field, void *target,
			 json_t *value, const char *location)
{
	const char *text = json_string_value(value);
	struct pw_address address;

	if (!text || strlen(text) > ADDRESS_MAX_BYTES ||
	    pw_address_parse(&address, text) != PW_OK) {
		pw_document_add_finding(p, location,
					"must be an address IP:PORT, for example "
					"\"10.0.0.1:5432\" or \"[fd00::1]:5432\"");
		return;
	}
	*(const char **)target = pw_document_strdup(p->impl, text);
}

const struct pw_field_ops pw_field_address = { .read = address_read };

static bool read_integer(struct pw_document_parser *p, const struct pw_field *field, uint64_t *out,
			 json_t *value, const char *location)
{
	json_int_t n = json_integer_value(value);

	if (!json_is_integer(value) || n < 0 || (uint64_t)n < field->min ||
	    (uint64_t)n > field->max) {
		pw_document_add_finding(p, location,
					"must be an integer from %" G_GUINT64_FORMAT
					" to %" G_GUINT64_FORMAT,
					field->min, field->max);
		return false;
	}
	*out = (uint64_t)n;
	return true;
}

static void u32_read(struct pw_document_parser *p, const struct pw_field *field, void *target,
		     json_t *value, const char *location)
{
	uint64_t n;

	if (read_integer(p, field, &n, value, location))
		*(uint32_t *)target = (uint32_t)n;
}

static void u32_set_default(struct pw_document_parser *p, const struct pw_field *field,
			    void *target, const char *location)
{
	*(uint32_t *)target = (uint32_t)field->default_value;
}

const struct pw_field_ops pw_field_u32 = { .read = u32_read, .set_default = u32_set_default };

static void u64_read(struct pw_document_parser *p, const struct pw_field *field, void *target,
		     json_t *value, const char *location)
{
	uint64_t n;

	if (read_integer(p, field, &n, value, location))
		*(uint64_t *)target = n;
}

static void u64_set_default(struct pw_document_parser *p, const struct pw_field *field,
			    void *target, const char *location)
{
	*(uint64_t *)target = field->default_value;
}

const struct pw_field_ops pw_field_u64 = { .read = u64_read, .set_default = u64_set_default };

static void bool_read(struct pw_document_parser *p, const struct pw_field *field, void *target,
		      json_t *value, const char *location)
{
	if (!json_is_boolean(value))
		pw_document_add_finding(p, location, "must be true or false");
	else
		*(bool *)target = json_is_true(value);
}

static void bool_set_default(struct pw_document_parser *p, const struct pw_field *field,
			     void *target, const char *location)
{
	*(bool *)target = field->default_value != 0;
}

const struct pw_field_ops pw_field_bool = { .read = bool_read, .set_default = bool_set_default };

static void enum_read(struct pw_document_parser *p, const struct pw_field *field, void *target,
		      json_t *value, const char *location)
{
	const char *text = json_string_value(value);
	uint32_t i = 0;
	char *names;

	while (text && field->enum_names[i] && strcmp(field->enum_names[i], text) != 0)
		i++;
	if (text && field->enum_names[i]) {
		*(uint32_t *)target = i;
		return;
	}
	names = g_strjoinv("\" or \"", (char **)(uintptr_t)field->enum_names);
	pw_document_add_finding(p, location, "must be \"%s\"", names);
	g_free(names);
}

const struct pw_field_ops pw_field_enum = { .read = enum_read, .set_default = u32_set_default };

/* Returns whether the text is exactly `size_bytes` bytes in hexadecimal, and decodes it. */
static bool read_hex(uint8_t *out, const char *text, size_t size_bytes)
{
	if (!text || strlen(text) != 2 * size_bytes)
		return false;
	for (size_t i = 0; i < 2 * size_bytes; i++) {
		int digit = g_ascii_xdigit_value(text[i]);

		if (digit < 0)
			return false;
		out[i / 2] = (uint8_t)(out[i / 2] << 4 | digit);
	}
	return true;
}

static void hex_read(struct pw_document_parser *p, const struct pw_field *field, void *target,
		     json_t *value, const char *location)
{
	if (!read_hex(target, json_string_value(value), field->max))
		pw_document_add_finding(p, location, "must be %d hexadecimal digits",
					(int)(2 * field->max));
}

const struct pw_field_ops pw_field_hex = { .read = hex_read };

static void key_id_read(struct pw_document_parser *p, const struct pw_field *field, void *target,
			json_t *value, const char *location)
{
	const char *text = json_string_value(value);
	uint8_t decoded[PW_KEY_ID_HEX_DIGITS / 2] = { 0 };

	if (!read_hex(decoded, text, sizeof(decoded)))
		pw_document_add_finding(p, location, "must be %d hexadecimal digits",
					PW_KEY_ID_HEX_DIGITS);
	else
		g_strlcpy(target, text, PW_KEY_ID_HEX_DIGITS + 1);
}

const struct pw_field_ops pw_field_key_id = { .read = key_id_read };

/*
 * Returns the field that holds the length of the list at `target`. The struct with both fields
 * starts at target - offset.
 */
static uint32_t *list_count_of(const struct pw_field *field, void *target)
{
	return (uint32_t *)((uint8_t *)target - field->offset + field->count_offset);
}

/* Checks the type and the length of a list. No item of an invalid list is read. */
static bool list_is_valid(struct pw_document_parser *p, const struct pw_field *field, json_t *value,
			  const char *location)
{
	size_t count = json_array_size(value);

	if (json_is_array(value) && count >= field->min && count <= field->max)
		return true;
	pw_document_add_finding(p, location,
				"must be a list of %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT
				" items",
				field->min, field->max);
	return false;
}

/* Reads a statement prefix and normalises it, so that it can be compared with statements. */
static char *read_prefix(struct pw_document_parser *p, json_t *value, const char *location)
{
	const char *text = json_string_value(value);
	char normalised[PW_DOCUMENT_STATEMENT_BYTES];

	if (!text || strlen(text) > PW_DOCUMENT_MAX_MATCH_BYTES) {
		pw_document_add_finding(p, location,
					"must be a statement prefix of at most %d bytes",
					PW_DOCUMENT_MAX_MATCH_BYTES);
		return NULL;
	}
	pw_document_normalise_statement(normalised, sizeof(normalised), text, strlen(text));
	return pw_document_strdup(p->impl, normalised);
}

static char *read_list_name(struct pw_document_parser *p, json_t *value, const char *location)
{
	return (char *)(uintptr_t)read_name(p, value, location);
}

/* Reads a list of strings. `read` returns a copy of one item, or NULL after adding a finding. */
static void read_strings(struct pw_document_parser *p, const struct pw_field *field, void *target,
			 json_t *value, const char *location,
			 char *(*read)(struct pw_document_parser *, json_t *, const char *))
{
	char **items;
	size_t i;
	json_t *item;

	if (!list_is_valid(p, field, value, location))
		return;
	items = pw_document_alloc(p->impl, (json_array_size(value) + 1) * sizeof(*items));
	json_array_foreach (value, i, item) {
		char *item_location = g_strdup_printf("%s[%zu]", location, i);

		items[i] = read(p, item, item_location);
		g_free(item_location);
	}
	*(char ***)target = items;
	*list_count_of(field, target) = (uint32_t)json_array_size(value);
}

static void names_read(struct pw_document_parser *p, const struct pw_field *field, void *target,
		       json_t *value, const char *location)
{
	read_strings(p, field, target, value, location, read_list_name);
}

const struct pw_field_ops pw_field_names = { .read = names_read };

static void prefixes_read(struct pw_document_parser *p, const struct pw_field *field, void *target,
			  json_t *value, const char *location)
{
	read_strings(p, field, target, value, location, read_prefix);
}

const struct pw_field_ops pw_field_prefixes = { .read = prefixes_read };

static void object_read(struct pw_document_parser *p, const struct pw_field *field, void *target,
			json_t *value, const char *location)
{
	pw_section_read(p, field->section, target, value, location);
}

/* Gives all members of an absent object their defaults. */
static void object_set_default(struct pw_document_parser *p, const struct pw_field *field,
			       void *target, const char *location)
{
	json_t *empty = json_object();

	pw_section_read(p, field->section, target, empty, location);
	json_decref(empty);
}

const struct pw_field_ops pw_field_object = { .read = object_read,
					      .set_default = object_set_default };

static void objects_read(struct pw_document_parser *p, const struct pw_field *field, void *target,
			 json_t *value, const char *location)
{
	uint8_t *items;
	size_t i;
	json_t *item;

	if (!list_is_valid(p, field, value, location))
		return;
	items = pw_document_alloc(p->impl, json_array_size(value) * field->section->size_bytes + 1);
	json_array_foreach (value, i, item) {
		char *item_location = g_strdup_printf("%s[%zu]", location, i);

		pw_section_read(p, field->section, items + i * field->section->size_bytes, item,
				item_location);
		g_free(item_location);
	}
	*(void **)target = items;
	*list_count_of(field, target) = (uint32_t)json_array_size(value);
}

const struct pw_field_ops pw_field_objects = { .read = objects_read };

/* Returns the location of a member; `object` is "" for the root object. */
static char *member_location(const char *object, const char *member)
{
	return object[0] ? g_strdup_printf("%s.%s", object, member) : g_strdup(member);
}

/* The member's name is untrusted, so the finding has it truncated and made printable. */
static void add_unknown_member_finding(struct pw_document_parser *p, const char *object,
				       const char *member)
{
	char name[PW_DOCUMENT_MAX_NAME_BYTES + 1];
	char *location;

	g_strlcpy(name, member, sizeof(name));
	for (char *c = name; *c; c++) {
		if (!g_ascii_isgraph(*c))
			*c = '?';
	}
	location = member_location(object, name);
	pw_document_add_finding(p, location, "unknown member");
	g_free(location);
}

static bool section_has_member(const struct pw_section *s, const char *name)
{
	for (size_t i = 0; i < s->field_count; i++) {
		if (strcmp(s->fields[i].name, name) == 0)
			return true;
	}
	return false;
}

static void read_member(struct pw_document_parser *p, const struct pw_field *field, void *item,
			json_t *object, const char *object_location)
{
	json_t *value = json_object_get(object, field->name);
	char *location = member_location(object_location, field->name);
	void *target = (uint8_t *)item + field->offset;

	if (value)
		field->ops->read(p, field, target, value, location);
	else if (field->required)
		pw_document_add_finding(p, location, "missing");
	else if (field->ops->set_default)
		field->ops->set_default(p, field, target, location);
	g_free(location);
}

void pw_section_read(struct pw_document_parser *p, const struct pw_section *s, void *item,
		     json_t *value, const char *location)
{
	const char *name;
	json_t *member;

	if (!json_is_object(value)) {
		pw_document_add_finding(p, location[0] ? location : "document",
					"must be an object");
		return;
	}
	json_object_foreach (value, name, member) {
		if (!section_has_member(s, name))
			add_unknown_member_finding(p, location, name);
	}
	for (size_t i = 0; i < s->field_count; i++)
		read_member(p, &s->fields[i], item, value, location);
	if (s->finish)
		s->finish(p, item, value, location);
}
