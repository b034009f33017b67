#include "diff.h"

#include <stdbool.h>
#include <string.h>

struct ctl_diff {
	/** List of {"path", "old", "new"}; added values have no "old", removed ones no "new". */
	json_t *changes;
};

static void compare(struct ctl_diff *d, const char *path, json_t *old, json_t *new);

/* Returns whether the path leads into an account's key. Of a key, the diff shows only the id. */
static bool is_key_path(const char *path)
{
	return strstr(path, ".keys[") != NULL;
}

/*
 * Returns a copy of a value without the salts and hashes of keys. A string at a path inside a key
 * is itself a salt or hash.
 */
static json_t *redacted_copy(const char *path, json_t *value)
{
	json_t *copy, *item;
	const char *name;
	size_t i;

	if (is_key_path(path) && json_is_string(value))
		return json_string("(not shown)");
	if (json_is_array(value)) {
		copy = json_array();
		json_array_foreach (value, i, item)
			json_array_append_new(copy, redacted_copy(path, item));
		return copy;
	}
	if (!json_is_object(value))
		return json_incref(value);
	copy = json_object();
	json_object_foreach (value, name, item) {
		if (strcmp(name, "salt") != 0 && strcmp(name, "hash") != 0)
			json_object_set_new(copy, name, redacted_copy("", item));
	}
	return copy;
}

static void add_change(struct ctl_diff *d, const char *path, json_t *old, json_t *new)
{
	json_t *change = json_pack("{s:s}", "path", path);

	if (old)
		json_object_set_new(change, "old", redacted_copy(path, old));
	if (new)
		json_object_set_new(change, "new", redacted_copy(path, new));
	json_array_append_new(d->changes, change);
}

/* Returns the label that identifies an object in a list: its name, else its id, else NULL. */
static const char *label_of(json_t *item)
{
	const char *label = json_string_value(json_object_get(item, "name"));

	return label ? label : json_string_value(json_object_get(item, "id"));
}

static json_t *find_labelled(json_t *list, const char *label)
{
	json_t *item;
	size_t i;

	json_array_foreach (list, i, item) {
		if (g_strcmp0(label_of(item), label) == 0)
			return item;
	}
	return NULL;
}

static bool all_labelled(json_t *list)
{
	json_t *item;
	size_t i;

	json_array_foreach (list, i, item) {
		if (!label_of(item))
			return false;
	}
	return true;
}

static char *element_path(const char *path, const char *label)
{
	return g_strdup_printf("%s[%s]", path, label);
}

/* Returns the labels that occur in both lists, in the order of the first. */
static json_t *common_labels(json_t *list, json_t *other)
{
	json_t *labels = json_array();
	json_t *item;
	size_t i;

	json_array_foreach (list, i, item) {
		if (find_labelled(other, label_of(item)))
			json_array_append_new(labels, json_string(label_of(item)));
	}
	return labels;
}

/*
 * Adds a change if the elements that are in both lists have another order. The order of routes
 * matters: the first route that matches a statement is used.
 */
static void compare_order(struct ctl_diff *d, const char *path, json_t *old, json_t *new)
{
	json_t *before = common_labels(old, new);
	json_t *after = common_labels(new, old);
	char *order = g_strdup_printf("%s (order)", path);

	if (!json_equal(before, after))
		add_change(d, order, before, after);
	g_free(order);
	json_decref(before);
	json_decref(after);
}

static void compare_labelled(struct ctl_diff *d, const char *path, json_t *old, json_t *new)
{
	json_t *item;
	size_t i;

	json_array_foreach (old, i, item) {
		char *item_path = element_path(path, label_of(item));

		compare(d, item_path, item, find_labelled(new, label_of(item)));
		g_free(item_path);
	}
	json_array_foreach (new, i, item) {
		char *item_path = element_path(path, label_of(item));

		if (!find_labelled(old, label_of(item)))
			compare(d, item_path, NULL, item);
		g_free(item_path);
	}
	compare_order(d, path, old, new);
}

static void compare_member(struct ctl_diff *d, const char *path, const char *name, json_t *old,
			   json_t *new)
{
	char *item_path = path[0] ? g_strdup_printf("%s.%s", path, name) : g_strdup(name);

	compare(d, item_path, json_object_get(old, name), json_object_get(new, name));
	g_free(item_path);
}

static void compare_objects(struct ctl_diff *d, const char *path, json_t *old, json_t *new)
{
	const char *name;
	json_t *value;

	json_object_foreach (old, name, value)
		compare_member(d, path, name, old, new);
	json_object_foreach (new, name, value) {
		if (!json_object_get(old, name))
			compare_member(d, path, name, old, new);
	}
}

static void compare(struct ctl_diff *d, const char *path, json_t *old, json_t *new)
{
	if (json_equal(old, new))
		return;
	if (json_is_object(old) && json_is_object(new))
		compare_objects(d, path, old, new);
	else if (json_is_array(old) && json_is_array(new) && all_labelled(old) && all_labelled(new))
		compare_labelled(d, path, old, new);
	else
		add_change(d, path, old, new);
}

/* Parses a JSON text. Returns an empty object if the text is NULL or not JSON. */
static json_t *parse_or_empty(const char *text)
{
	json_t *root = text ? json_loads(text, 0, NULL) : NULL;

	return root ? root : json_object();
}

struct ctl_diff *ctl_diff_new(const char *old_text, const char *new_text)
{
	struct ctl_diff *d = g_new0(struct ctl_diff, 1);
	json_t *old = parse_or_empty(old_text);
	json_t *new = parse_or_empty(new_text);

	d->changes = json_array();
	compare(d, "", old, new);
	json_decref(old);
	json_decref(new);
	return d;
}

void ctl_diff_free(struct ctl_diff *d)
{
	if (!d)
		return;
	json_decref(d->changes);
	g_free(d);
}

size_t ctl_diff_count(const struct ctl_diff *d)
{
	return json_array_size(d->changes);
}

/* Writes the "old" or "new" value of a change, as `side` says, if the change has one. */
static void write_value(GString *out, char sign, json_t *change, const char *side)
{
	json_t *value = json_object_get(change, side);
	char *text;

	if (!value)
		return;
	text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT | JSON_ENSURE_ASCII);
	g_string_append_printf(out, "%c %s: %s\n", sign,
			       json_string_value(json_object_get(change, "path")), text);
	free(text);
}

void ctl_diff_write(const struct ctl_diff *d, GString *out)
{
	json_t *change;
	size_t i;

	json_array_foreach (d->changes, i, change) {
		write_value(out, '-', change, "old");
		write_value(out, '+', change, "new");
	}
}

json_t *ctl_diff_to_json(const struct ctl_diff *d)
{
	return json_incref(d->changes);
}
