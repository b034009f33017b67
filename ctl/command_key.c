#include "change.h"

#include <string.h>

#include "pw/core/error.h"

/** Adds a key to an account, or removes one. */
struct key_edit {
	struct ctl_edit edit;
	const char *account;
	const char *removed_id;         /**< id of the key to remove; NULL to add one */
	const struct pw_key *added_key; /**< NULL to remove a key */
};

static json_t *find_account(json_t *root, const char *name)
{
	json_t *account;
	size_t i;

	json_array_foreach (json_object_get(root, "accounts"), i, account) {
		if (g_strcmp0(json_string_value(json_object_get(account, "name")), name) == 0)
			return account;
	}
	pw_error_set(PW_ENOTFOUND, "the document has no account %s", name);
	return NULL;
}

static char *hex_encode(const uint8_t *bytes, size_t size_bytes)
{
	GString *s = g_string_new(NULL);

	for (size_t i = 0; i < size_bytes; i++)
		g_string_append_printf(s, "%02x", bytes[i]);
	return g_string_free(s, FALSE);
}

static int add_key(struct ctl_edit *e, json_t *root)
{
	struct key_edit *k = (struct key_edit *)e;
	json_t *account = find_account(root, k->account);
	char *salt, *hash;

	if (!account)
		return PW_ENOTFOUND;
	if (!json_object_get(account, "keys"))
		json_object_set_new(account, "keys", json_array());
	salt = hex_encode(k->added_key->stored.salt, sizeof(k->added_key->stored.salt));
	hash = hex_encode(k->added_key->stored.hash, sizeof(k->added_key->stored.hash));
	json_array_append_new(json_object_get(account, "keys"),
			      json_pack("{s:s, s:s, s:s}", "id", k->added_key->stored.id, "salt",
					salt, "hash", hash));
	g_free(salt);
	g_free(hash);
	return PW_OK;
}

static int remove_key(struct ctl_edit *e, json_t *root)
{
	struct key_edit *k = (struct key_edit *)e;
	json_t *account = find_account(root, k->account);
	json_t *keys = json_object_get(account, "keys");
	json_t *key;
	size_t i;

	if (!account)
		return PW_ENOTFOUND;
	json_array_foreach (keys, i, key) {
		if (g_strcmp0(json_string_value(json_object_get(key, "id")), k->removed_id) == 0) {
			json_array_remove(keys, i);
			return PW_OK;
		}
	}
	return pw_error_set(PW_ENOTFOUND, "account %s has no key with this id", k->account);
}

static enum ctl_exit wait_for_proxies(struct ctl_context *ctl, uint64_t revision)
{
	if (ctl_change_wait_for_proxies(ctl, revision) == PW_OK)
		return CTL_DONE;
	ctl_report_error(ctl, PW_ETIMEOUT);
	return CTL_FAILED;
}

static void report_new_key(struct ctl_context *ctl, const struct pw_key *key, uint64_t revision)
{
	if (ctl->settings.json)
		ctl_write_json(ctl, json_pack("{s:s, s:s, s:I}", "id", key->stored.id, "key",
					      key->text, "revision", (json_int_t)revision));
	else
		g_string_append_printf(ctl->out,
				       "key %s\nid %s\nrevision %" G_GUINT64_FORMAT
				       "\nThe key is not stored and not shown again.\n",
				       key->text, key->stored.id, revision);
}

static enum ctl_exit run_key_new(const struct ctl_command *c, struct ctl_context *ctl, char **args)
{
	static const struct ctl_edit_ops edit_ops = { .apply = add_key };
	struct pw_key key;
	struct key_edit e = {
		.edit = { .ops = &edit_ops },
		.account = args[0],
		.added_key = &key,
	};
	uint64_t revision = 0;
	enum ctl_exit status;
	int rc = pw_key_generate(&key);

	if (rc != PW_OK)
		return ctl_report_error(ctl, rc);
	status = ctl_change_apply_edit(ctl, &e.edit, &revision);
	if (status == CTL_DONE) {
		report_new_key(ctl, &key, revision);
		status = wait_for_proxies(ctl, revision);
	}
	pw_key_wipe(&key);
	return status;
}

static enum ctl_exit run_key_withdraw(const struct ctl_command *c, struct ctl_context *ctl,
				      char **args)
{
	static const struct ctl_edit_ops edit_ops = { .apply = remove_key };
	struct key_edit e = {
		.edit = { .ops = &edit_ops },
		.account = args[0],
		.removed_id = args[1],
	};
	uint64_t revision = 0;
	enum ctl_exit status = ctl_change_apply_edit(ctl, &e.edit, &revision);

	if (status != CTL_DONE)
		return status;
	if (ctl->settings.json)
		ctl_write_json(ctl, json_pack("{s:I}", "revision", (json_int_t)revision));
	else
		g_string_append_printf(ctl->out, "revision %" G_GUINT64_FORMAT "\n", revision);
	return wait_for_proxies(ctl, revision);
}

static const struct ctl_command_ops key_new_ops = { .needs_store = true,
						    .supports_wait = true,
						    .run = run_key_new };
static const struct ctl_command_ops key_withdraw_ops = { .needs_store = true,
							 .supports_wait = true,
							 .run = run_key_withdraw };

const struct ctl_command ctl_key_new_command = {
	.ops = &key_new_ops,
	.name = "key new",
	.arguments = "ACCOUNT",
	.summary = "add a key to an account and print it once",
	.argument_count = 1,
};

const struct ctl_command ctl_key_withdraw_command = {
	.ops = &key_withdraw_ops,
	.name = "key withdraw",
	.arguments = "ACCOUNT ID",
	.summary = "remove a key from an account",
	.argument_count = 2,
};
