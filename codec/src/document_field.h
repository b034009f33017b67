/* Types of members of the document. The tables in document_read.c refer to them. */
#ifndef PW_CODEC_DOCUMENT_FIELD_H
#define PW_CODEC_DOCUMENT_FIELD_H

#include "document_private.h"

struct pw_field;

/** A type of member. */
struct pw_field_ops {
	/** Reads a value into `target`, or adds a finding. */
	void (*read)(struct pw_document_parser *p, const struct pw_field *field, void *target,
		     json_t *value, const char *location);
	/** Sets the value of an absent member; NULL leaves it zero. */
	void (*set_default)(struct pw_document_parser *p, const struct pw_field *field,
			    void *target, const char *location);
};

/** One member of an object. */
struct pw_field {
	const struct pw_field_ops *ops;
	const char *name;
	size_t offset;       /**< of the field in the struct of the object */
	size_t count_offset; /**< of a list: offset of its uint32_t length */
	bool required;
	uint64_t min;           /**< of an integer, or of the length of a list */
	uint64_t max;           /**< like `min`; of a hexadecimal value: its exact size in bytes */
	uint64_t default_value; /**< of an absent integer, boolean or enum */
	const char *const *enum_names;    /**< of an enum: names by value, then NULL */
	const char *default_text;         /**< of an absent name; NULL: none */
	const struct pw_section *section; /**< of an object or a list of objects */
};

/** A type of object with a fixed set of members. */
struct pw_section {
	const char *path;  /**< for example "databases[].servers[]"; "" for the root object */
	size_t size_bytes; /**< of the struct that holds the object */
	const struct pw_field *fields;
	size_t field_count;
	/** Checks the members against each other and sets derived fields; may be NULL. */
	void (*finish)(struct pw_document_parser *p, void *item, json_t *value,
		       const char *location);
};

extern const struct pw_field_ops pw_field_name;    /**< const char *, a name */
extern const struct pw_field_ops pw_field_address; /**< const char *, "IP:PORT" */
extern const struct pw_field_ops pw_field_u32;
extern const struct pw_field_ops pw_field_u64;
extern const struct pw_field_ops pw_field_bool;
extern const struct pw_field_ops pw_field_enum;     /**< an enum, written as its name */
extern const struct pw_field_ops pw_field_hex;      /**< uint8_t[max], in hexadecimal */
extern const struct pw_field_ops pw_field_key_id;   /**< char[PW_KEY_ID_HEX_DIGITS + 1] */
extern const struct pw_field_ops pw_field_names;    /**< char **, list of names */
extern const struct pw_field_ops pw_field_prefixes; /**< char **, list of statement prefixes */
extern const struct pw_field_ops pw_field_object;
extern const struct pw_field_ops pw_field_objects; /**< list of objects */

/** Reads an object as its section describes it; adds a finding for each unknown member. */
void pw_section_read(struct pw_document_parser *p, const struct pw_section *s, void *item,
		     json_t *value, const char *location);

#endif
