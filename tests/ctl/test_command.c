/* Tests the commands of pimentowingctl with a store in memory and a fake administration API. */
#include "suite.h"

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "command.h"
#include "pw/core/clock.h"
#include "pw/core/error.h"

#define DATABASE                                                                     \
	"{\"name\":\"db\",\"kind\":\"pw\",\"servers\":[{\"name\":\"a\",\"address\":" \
	"\"127.0.0.1:5501\",\"availability_zone\":\"z\",\"connections\":20,\"slots\":3}]}"
#define ROUTE(name, match)                                               \
	"{\"name\":\"" name "\",\"database\":\"db\",\"match\":[\"" match \
	"\"],\"access\":\"keyed\",\"kind\":\"read\"}"
#define DOCUMENT(rate, routes)                                                              \
	"{\"service\":\"s\",\"version\":1,\"databases\":[" DATABASE "],\"routes\":[" routes \
	"],\"accounts\":[{\"name\":\"amber\",\"rate_per_s\":" rate ",\"burst\":9}]}"

#define TWO_ROUTES             ROUTE("r1", "select a") "," ROUTE("r2", "select")
#define REVERSED_ROUTES        ROUTE("r2", "select") "," ROUTE("r1", "select a")
#define DOCUMENT_RATE_1        DOCUMENT("1", TWO_ROUTES)
#define DOCUMENT_RATE_2        DOCUMENT("2", TWO_ROUTES)
#define DOCUMENT_RATE_3        DOCUMENT("3", TWO_ROUTES)
#define DOCUMENT_OTHER_SERVICE "{\"service\":\"t\",\"version\":1,\"databases\":[" DATABASE "]}"

enum fault {
	NO_FAULT,
	RACE,          /**< another operator writes directly before each `put` */
	RACE_ONCE,     /**< another operator writes directly before the first `put` */
	LOST_RESPONSE, /**< `put` takes effect, but its response is lost */
	LOST_WRITE,    /**< `put` takes no effect and gets no response */
	DOWN,          /**< `get` gets no response, and therefore `put` is not called */
};

/** Injects faults into the store in memory. */
struct faulty_store {
	struct ctl_document_store base;
	struct ctl_document_store *memory;
	enum fault fault;
	uint32_t put_count; /**< number of calls of `put` */
};

static int faulty_get(struct ctl_document_store *s, char **text, uint64_t *revision,
		      uint64_t requested_revision)
{
	struct faulty_store *f = (struct faulty_store *)s;

	if (f->fault == DOWN)
		return pw_error_set(PW_EUNAVAILABLE, "the store does not answer");
	return f->memory->ops->get(f->memory, text, revision, requested_revision);
}

static void write_as_other_operator(struct faulty_store *f)
{
	char *text;
	uint64_t revision;

	if (f->memory->ops->get(f->memory, &text, &revision, 0) != PW_OK)
		return;
	g_free(text);
	f->memory->ops->put(f->memory, &revision, DOCUMENT_RATE_3, revision);
}

static int faulty_put(struct ctl_document_store *s, uint64_t *revision, const char *text,
		      uint64_t expected_revision)
{
	struct faulty_store *f = (struct faulty_store *)s;
	int rc;

	f->put_count++;
	if (f->fault == RACE || (f->fault == RACE_ONCE && f->put_count == 1))
		write_as_other_operator(f);
	if (f->fault == LOST_WRITE)
		return pw_error_set(PW_EUNAVAILABLE, "no answer");
	rc = f->memory->ops->put(f->memory, revision, text, expected_revision);
	return f->fault == LOST_RESPONSE ? pw_error_set(PW_EUNAVAILABLE, "no answer") : rc;
}

static const struct ctl_document_store_ops faulty_ops = { .get = faulty_get, .put = faulty_put };

/** Client of two proxies whose revision rises by one with each call of `sleep`. */
struct fake_api_client {
	struct ctl_api_client base;
	uint64_t revision;
	const char *replica_sets; /**< JSON text; NULL: none */
};

static int fake_get_status(struct ctl_api_client *a, struct ctl_proxy_status *out,
			   const char *address)
{
	struct fake_api_client *f = (struct fake_api_client *)a;

	if (strcmp(address, "127.0.0.1:9") == 0)
		return pw_error_set(PW_EUNAVAILABLE, "%s: no answer", address);
	*out = (struct ctl_proxy_status){
		.vm = g_strdup(strcmp(address, "127.0.0.1:1") == 0 ? "vm1" : "vm2"),
		.revision = f->revision,
		.fresh = true,
		.replica_sets = f->replica_sets ? json_loads(f->replica_sets, 0, NULL) : NULL,
	};
	return PW_OK;
}

#define EXPLAINED(server)                                                                      \
	"{\"vm\":\"vm1\",\"waiting\":2,\"server\":" server                                     \
	",\"connection\":null,\"reason\":\"waits\","                                           \
	"\"servers\":[{\"server\":\"a\",\"primary\":true,\"usable\":false,\"caught_up\":true," \
	"\"in_flight\":3,\"expected_us\":12500,\"failure_permille\":15,\"distance\":\"zone\"," \
	"\"connection\":\"new\",\"blocked\":\"paused\"}]}"

static int fake_explain(struct ctl_api_client *a, json_t **out, const char *address,
			const struct ctl_explain_query *q)
{
	(void)a;
	if (strcmp(address, "127.0.0.1:9") == 0)
		return pw_error_set(PW_EUNAVAILABLE, "%s: no answer", address);
	*out = json_loads(strcmp(q->kind, "odd") == 0 ? "{}" : EXPLAINED("null"), 0, NULL);
	return PW_OK;
}

static int fake_forget_replica(struct ctl_api_client *a, const char *address, const char *database,
			       const char *server)
{
	(void)a;
	if (strcmp(address, "127.0.0.1:9") == 0)
		return pw_error_set(PW_EUNAVAILABLE, "%s: no answer", address);
	if (g_strcmp0(server, "i-late") == 0)
		return pw_error_set(PW_ETIMEOUT, "%s: the store did not answer", address);
	if (g_strcmp0(server, "i-raced") == 0)
		return pw_error_set(PW_ECONFLICT, "%s: try again", address);
	return PW_OK;
}

static void fake_sleep(struct ctl_api_client *a, uint64_t duration_us)
{
	((struct fake_api_client *)a)->revision++;
}

static const struct ctl_api_client_ops fake_ops = {
	.get_status = fake_get_status,
	.explain = fake_explain,
	.forget_replica = fake_forget_replica,
	.sleep = fake_sleep,
};

struct fixture {
	struct faulty_store store;
	struct fake_api_client api;
	struct ctl_context ctl;
	char path[32]; /**< path of the operator's file */
};

static char *api_addresses[] = { (char *)"127.0.0.1:1", (char *)"127.0.0.1:2", NULL };
static char *partly_unreachable_addresses[] = { (char *)"127.0.0.1:1", (char *)"127.0.0.1:9",
						NULL };

static void fixture_init(struct fixture *x, const char *const *stored, const char *file)
{
	int fd;

	*x = (struct fixture){
		.store = { .base = { .ops = &faulty_ops } },
		.api = { .base = { .ops = &fake_ops } },
		.path = "/tmp/pw-test-XXXXXX",
	};
	x->ctl.store = &x->store.base;
	x->ctl.api = &x->api.base;
	x->ctl.out = g_string_new(NULL);
	x->ctl.err = g_string_new(NULL);
	x->ctl.settings.service = (char *)"s";
	x->ctl.settings.api_addresses = api_addresses;
	x->ctl.settings.wait_timeout_us = PW_US_PER_S;
	ck_assert_int_eq(ctl_document_store_memory_open(&x->store.memory), PW_OK);
	for (size_t i = 0; stored && stored[i]; i++) {
		uint64_t revision;

		ck_assert_int_eq(
			x->store.memory->ops->put(x->store.memory, &revision, stored[i], i), PW_OK);
	}
	fd = mkostemp(x->path, O_CLOEXEC);
	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(write(fd, file, strlen(file)), (ssize_t)strlen(file));
	close(fd);
}

static void fixture_dispose(struct fixture *x)
{
	unlink(x->path);
	x->store.memory->ops->free(x->store.memory);
	g_string_free(x->ctl.out, TRUE);
	g_string_free(x->ctl.err, TRUE);
}

static char *stored_text(struct fixture *x, uint64_t *revision)
{
	char *text = NULL;

	*revision = 0;
	x->store.memory->ops->get(x->store.memory, &text, revision, 0);
	return text;
}

static const struct {
	const char *label;
	const char *stored[3];
	const char *file;
	enum fault fault;
	uint64_t base_revision; /**< value of --revision; 0: not given */
	enum ctl_exit status;
	uint64_t revision; /**< of the stored document afterwards */
	const char *out;   /**< whole standard output; NULL: not checked */
	const char *err;   /**< part of standard error; "": none is written */
} apply_cases[] = {
	{ "first document", { NULL }, DOCUMENT_RATE_1, NO_FAULT, 0, CTL_DONE, 1, NULL, "" },
	{ "one changed value",
	  { DOCUMENT_RATE_1 },
	  DOCUMENT_RATE_2,
	  NO_FAULT,
	  0,
	  CTL_DONE,
	  2,
	  "- accounts[amber].rate_per_s: 1\n+ accounts[amber].rate_per_s: 2\nrevision 2\n",
	  "" },
	{ "same document as the stored one",
	  { DOCUMENT_RATE_1 },
	  DOCUMENT_RATE_1,
	  NO_FAULT,
	  0,
	  CTL_DONE,
	  1,
	  "revision 1, no changes\n",
	  "" },
	{ "changed order of routes",
	  { DOCUMENT_RATE_1 },
	  DOCUMENT("1", REVERSED_ROUTES),
	  NO_FAULT,
	  0,
	  CTL_DONE,
	  2,
	  "- routes (order): [\"r1\",\"r2\"]\n+ routes (order): [\"r2\",\"r1\"]\nrevision 2\n",
	  "" },
	{ "invalid document",
	  { DOCUMENT_RATE_1 },
	  "{}",
	  NO_FAULT,
	  0,
	  CTL_FINDINGS,
	  1,
	  "",
	  "service: missing" },
	{ "document of another service",
	  { DOCUMENT_RATE_1 },
	  DOCUMENT_OTHER_SERVICE,
	  NO_FAULT,
	  0,
	  CTL_FINDINGS,
	  1,
	  "",
	  "service: is not" },
	{ "another operator writes first",
	  { DOCUMENT_RATE_1 },
	  DOCUMENT_RATE_2,
	  RACE,
	  0,
	  CTL_CONFLICT,
	  2,
	  "",
	  "- accounts[amber].rate_per_s: 1\n+ accounts[amber].rate_per_s: 3\n" },
	{ "base is the newest revision",
	  { DOCUMENT_RATE_1 },
	  DOCUMENT_RATE_2,
	  NO_FAULT,
	  1,
	  CTL_DONE,
	  2,
	  NULL,
	  "" },
	{ "base is older than the newest revision",
	  { DOCUMENT_RATE_1, DOCUMENT_RATE_3 },
	  DOCUMENT_RATE_2,
	  NO_FAULT,
	  1,
	  CTL_CONFLICT,
	  2,
	  "",
	  "revision 1 is now 2; nothing was applied\nChanges of the other operator:\n- acc" },
	{ "base cannot be read, as after a compaction",
	  { DOCUMENT_RATE_1 },
	  DOCUMENT_RATE_2,
	  NO_FAULT,
	  9,
	  CTL_CONFLICT,
	  1,
	  "",
	  "nothing was applied\n" },
	{ "change stored, response lost",
	  { DOCUMENT_RATE_1 },
	  DOCUMENT_RATE_2,
	  LOST_RESPONSE,
	  0,
	  CTL_DONE,
	  2,
	  NULL,
	  "" },
	{ "change not stored, no response",
	  { DOCUMENT_RATE_1 },
	  DOCUMENT_RATE_2,
	  LOST_WRITE,
	  0,
	  CTL_UNAVAILABLE,
	  1,
	  "",
	  "may have taken effect" },
	{ "store does not respond",
	  { DOCUMENT_RATE_1 },
	  DOCUMENT_RATE_2,
	  DOWN,
	  0,
	  CTL_UNAVAILABLE,
	  1,
	  "",
	  "does not answer" },
};

/*
 * Guards against a change that silently overwrites another operator's change, which happens if the
 * base revision is not compared, and against a wrong report of the outcome.
 */
START_TEST(test_apply)
{
	struct fixture x;
	uint64_t revision;
	char *args[] = { NULL, NULL };
	enum ctl_exit status;

	fixture_init(&x, apply_cases[_i].stored, apply_cases[_i].file);
	args[0] = x.path;
	x.store.fault = apply_cases[_i].fault;
	x.ctl.settings.revision = apply_cases[_i].base_revision;
	status = ctl_apply_command.ops->run(&ctl_apply_command, &x.ctl, args);
	ck_assert_msg(status == apply_cases[_i].status, "%s: status %d: %s", apply_cases[_i].label,
		      (int)status, x.ctl.err->str);
	g_free(stored_text(&x, &revision));
	ck_assert_msg(revision == apply_cases[_i].revision, "case: %s", apply_cases[_i].label);
	if (apply_cases[_i].out)
		ck_assert_str_eq(x.ctl.out->str, apply_cases[_i].out);
	ck_assert_msg(strstr(x.ctl.err->str, apply_cases[_i].err) != NULL, "%s: %s",
		      apply_cases[_i].label, x.ctl.err->str);
	if (apply_cases[_i].err[0] == '\0')
		ck_assert_str_eq(x.ctl.err->str, "");
	fixture_dispose(&x);
}
END_TEST

static const struct {
	const char *label;
	char **addresses;
	uint64_t timeout_us;
	enum ctl_exit status;
} wait_cases[] = {
	{ "all proxies reach the revision", api_addresses, 60 * PW_US_PER_S, CTL_DONE },
	{ "a proxy does not answer", partly_unreachable_addresses, 10 * PW_US_PER_MS, CTL_FAILED },
};

/* Guards against --wait reporting success before every proxy has the revision. */
START_TEST(test_wait)
{
	static const char *const stored[] = { DOCUMENT_RATE_1, NULL };
	struct fixture x;
	char *args[] = { NULL, NULL };

	fixture_init(&x, stored, DOCUMENT_RATE_2);
	args[0] = x.path;
	x.ctl.settings.wait = true;
	x.ctl.settings.wait_timeout_us = wait_cases[_i].timeout_us;
	x.ctl.settings.api_addresses = wait_cases[_i].addresses;
	ck_assert_msg(ctl_apply_command.ops->run(&ctl_apply_command, &x.ctl, args) ==
			      wait_cases[_i].status,
		      "case: %s", wait_cases[_i].label);
	ck_assert_uint_ge(x.api.revision, 2);
	fixture_dispose(&x);
}
END_TEST

static const struct {
	const char *label;
	const char *account;
	enum fault fault;
	enum ctl_exit status;
	size_t key_count; /**< number of keys of account amber in the store afterwards */
} key_new_cases[] = {
	{ "key added", "amber", NO_FAULT, CTL_DONE, 1 },
	{ "one concurrent change", "amber", RACE_ONCE, CTL_DONE, 1 },
	{ "a concurrent change in every attempt", "amber", RACE, CTL_CONFLICT, 0 },
	{ "key stored, response lost", "amber", LOST_RESPONSE, CTL_DONE, 1 },
	{ "key not stored, no response", "amber", LOST_WRITE, CTL_UNAVAILABLE, 0 },
	{ "unknown account", "birch", NO_FAULT, CTL_FAILED, 0 },
};

/*
 * Guards against a key that is printed but not stored, and against one that is stored but not
 * printed, for example after a conflict or a lost response. Also guards against storing the key's
 * text.
 */
START_TEST(test_key_new)
{
	static const char *const stored[] = { DOCUMENT_RATE_1, NULL };
	struct fixture x;
	struct pw_findings *f;
	const struct pw_document *d;
	const struct pw_document_account *amber;
	uint64_t revision;
	char *args[] = { (char *)(uintptr_t)key_new_cases[_i].account, NULL };
	char *text;

	fixture_init(&x, stored, "");
	x.store.fault = key_new_cases[_i].fault;
	ck_assert_msg(ctl_key_new_command.ops->run(&ctl_key_new_command, &x.ctl, args) ==
			      key_new_cases[_i].status,
		      "%s: %s", key_new_cases[_i].label, x.ctl.err->str);
	text = stored_text(&x, &revision);
	pw_findings_new(&f);
	ck_assert_int_eq(pw_document_parse(&d, text, strlen(text), revision, f), PW_OK);
	amber = pw_document_find_account(d, "amber");
	ck_assert_uint_eq(amber->key_count, key_new_cases[_i].key_count);
	if (key_new_cases[_i].status == CTL_DONE) {
		const char *id;

		ck_assert_int_eq(strncmp(x.ctl.out->str, "key pwk_", 8), 0);
		ck_assert_int_eq(pw_key_verify(&id, amber->keys, amber->key_count,
					       x.ctl.out->str + 4, PW_KEY_TEXT_CHARACTERS),
				 PW_OK);
		ck_assert_ptr_null(strstr(text, PW_KEY_PREFIX));
	} else {
		ck_assert_ptr_null(strstr(x.ctl.out->str, PW_KEY_PREFIX));
	}
	ck_assert_ptr_null(strstr(x.ctl.err->str, PW_KEY_PREFIX));
	pw_document_unref(d);
	pw_findings_free(f);
	g_free(text);
	fixture_dispose(&x);
}
END_TEST

#define KEY(id)                                                                      \
	"{\"id\":\"" id "\",\"salt\":\"00000000000000000000000000000000\",\"hash\":" \
	"\"0000000000000000000000000000000000000000000000000000000000000000\"}"
#define DOCUMENT_WITH_KEYS                                                                 \
	"{\"service\":\"s\",\"version\":1,\"databases\":[" DATABASE                        \
	"],\"accounts\":[{\"name\":\"amber\",\"rate_per_s\":1,\"burst\":9,\"keys\":[" KEY( \
		"0000000a") "," KEY("0000000b") "]},{\"name\":\"birch\",\"rate_per_s\":1," \
						"\"burst\":9}]}"

static const struct {
	const char *account;
	const char *id;
	enum ctl_exit status;
	const char *remaining_id; /**< id of the only remaining key; NULL: both remain */
} withdraw_cases[] = {
	{ "amber", "0000000a", CTL_DONE, "0000000b" },
	{ "amber", "0000000b", CTL_DONE, "0000000a" },
	{ "amber", "0000000c", CTL_FAILED, NULL },
	{ "birch", "0000000a", CTL_FAILED, NULL },
	{ "cedar", "0000000a", CTL_FAILED, NULL },
};

/*
 * Guards against removing another key than the one with the given id, and against removing it from
 * another account than the given one.
 */
START_TEST(test_key_withdraw)
{
	static const char *const stored[] = { DOCUMENT_WITH_KEYS, NULL };
	struct fixture x;
	struct pw_findings *f;
	const struct pw_document *d;
	const struct pw_document_account *amber;
	uint64_t revision;
	char *args[] = { (char *)(uintptr_t)withdraw_cases[_i].account,
			 (char *)(uintptr_t)withdraw_cases[_i].id, NULL };
	char *text;

	fixture_init(&x, stored, "");
	ck_assert_int_eq(ctl_key_withdraw_command.ops->run(&ctl_key_withdraw_command, &x.ctl, args),
			 withdraw_cases[_i].status);
	text = stored_text(&x, &revision);
	pw_findings_new(&f);
	ck_assert_int_eq(pw_document_parse(&d, text, strlen(text), revision, f), PW_OK);
	amber = pw_document_find_account(d, "amber");
	ck_assert_uint_eq(amber->key_count, withdraw_cases[_i].remaining_id ? 1 : 2);
	if (withdraw_cases[_i].remaining_id)
		ck_assert_str_eq(amber->keys[0].id, withdraw_cases[_i].remaining_id);
	pw_document_unref(d);
	pw_findings_free(f);
	g_free(text);
	fixture_dispose(&x);
}
END_TEST

#define DOCUMENT_DRAINING(list) \
	"{\"service\":\"s\",\"version\":1,\"databases\":[" DATABASE "],\"draining\":[" list "]}"
#define DOCUMENT_NOT_DRAINING "{\"service\":\"s\",\"version\":1,\"databases\":[" DATABASE "]}"

static const struct {
	const char *label;
	const struct ctl_command *command;
	const char *stored;
	enum fault fault;
	const char *vm;
	bool json;
	enum ctl_exit status;
	uint64_t revision;        /**< of the stored document afterwards */
	const char *draining_vms; /**< draining VMs afterwards, separated by commas */
	const char *out;
} drain_cases[] = {
	{ "first VM drained", &ctl_drain_command, DOCUMENT_NOT_DRAINING, NO_FAULT, "vm2", false,
	  CTL_DONE, 2, "vm2", "VM vm2 is draining\nrevision 2\n" },
	{ "second VM drained", &ctl_drain_command, DOCUMENT_DRAINING("\"vm1\""), NO_FAULT, "vm2",
	  true, CTL_DONE, 2, "vm1,vm2", "{\"vm\":\"vm2\",\"draining\":true,\"revision\":2}\n" },
	{ "VM is draining already", &ctl_drain_command, DOCUMENT_DRAINING("\"vm2\""), NO_FAULT,
	  "vm2", false, CTL_DONE, 1, "vm2", "VM vm2 is draining\nrevision 1\n" },
	{ "one of two VMs undrained", &ctl_undrain_command, DOCUMENT_DRAINING("\"vm1\",\"vm2\""),
	  NO_FAULT, "vm1", false, CTL_DONE, 2, "vm2", "VM vm1 is in service\nrevision 2\n" },
	{ "undrained VM is not in the list", &ctl_undrain_command, DOCUMENT_DRAINING("\"vm1\""),
	  NO_FAULT, "vm2", false, CTL_DONE, 1, "vm1", "VM vm2 is in service\nrevision 1\n" },
	{ "undrain without a list in the document", &ctl_undrain_command, DOCUMENT_NOT_DRAINING,
	  NO_FAULT, "vm2", false, CTL_DONE, 1, "", "VM vm2 is in service\nrevision 1\n" },
	{ "invalid VM name", &ctl_drain_command, DOCUMENT_NOT_DRAINING, NO_FAULT, "a b", false,
	  CTL_FINDINGS, 1, "", "" },
	{ "one concurrent change", &ctl_drain_command, DOCUMENT_NOT_DRAINING, RACE_ONCE, "vm2",
	  false, CTL_DONE, 3, "vm2", "VM vm2 is draining\nrevision 3\n" },
	{ "a concurrent change in every attempt", &ctl_drain_command, DOCUMENT_NOT_DRAINING, RACE,
	  "vm2", false, CTL_CONFLICT, 6, "", "" },
	{ "change stored, response lost", &ctl_drain_command, DOCUMENT_NOT_DRAINING, LOST_RESPONSE,
	  "vm2", false, CTL_DONE, 2, "vm2", "VM vm2 is draining\nrevision 2\n" },
	{ "change not stored, no response", &ctl_drain_command, DOCUMENT_NOT_DRAINING, LOST_WRITE,
	  "vm2", false, CTL_UNAVAILABLE, 1, "", "" },
	{ "store does not respond", &ctl_drain_command, DOCUMENT_NOT_DRAINING, DOWN, "vm2", false,
	  CTL_UNAVAILABLE, 1, "", "" },
};

/*
 * Guards against reporting a VM as draining that is not, after a conflict or a lost response, and
 * against overwriting changes of other operators.
 */
START_TEST(test_drain)
{
	const char *const stored[] = { drain_cases[_i].stored, NULL };
	const struct ctl_command *c = drain_cases[_i].command;
	char *args[] = { (char *)(uintptr_t)drain_cases[_i].vm, NULL };
	const struct pw_document *d;
	struct pw_findings *f;
	uint64_t revision;
	struct fixture x;
	char *text, *draining_vms;

	fixture_init(&x, stored, "");
	x.ctl.settings.json = drain_cases[_i].json;
	x.store.fault = drain_cases[_i].fault;
	ck_assert_msg(c->ops->run(c, &x.ctl, args) == drain_cases[_i].status, "%s: %s",
		      drain_cases[_i].label, x.ctl.err->str);
	ck_assert_str_eq(x.ctl.out->str, drain_cases[_i].out);
	x.store.fault = NO_FAULT;
	text = stored_text(&x, &revision);
	ck_assert_msg(revision == drain_cases[_i].revision, "case: %s", drain_cases[_i].label);
	pw_findings_new(&f);
	ck_assert_int_eq(pw_document_parse(&d, text, strlen(text), revision, f), PW_OK);
	draining_vms = d->draining ? g_strjoinv(",", d->draining) : g_strdup("");
	ck_assert_str_eq(draining_vms, drain_cases[_i].draining_vms);
	pw_document_unref(d);
	pw_findings_free(f);
	g_free(draining_vms);
	g_free(text);
	fixture_dispose(&x);
}
END_TEST

static const struct {
	const struct ctl_command *command;
	const char *argument;
	char **addresses;
	bool json;
	enum ctl_exit status;
	const char *out;
} output_cases[] = {
	{ &ctl_status_command, NULL, api_addresses, false, CTL_DONE,
	  "127.0.0.1:1 vm=vm1 revision=0 fresh\n127.0.0.1:2 vm=vm2 revision=0 fresh\n" },
	{ &ctl_status_command, NULL, partly_unreachable_addresses, true, CTL_FAILED,
	  "{\"proxies\":[{\"address\":\"127.0.0.1:1\",\"vm\":\"vm1\",\"revision\":0,\"fresh\":true,"
	  "\"draining\":false},{\"address\":\"127.0.0.1:9\",\"error\":\"127.0.0.1:9: no "
	  "answer\"}]}\n" },
	{ &ctl_show_command, NULL, api_addresses, false, CTL_DONE, DOCUMENT_OTHER_SERVICE },
	{ &ctl_show_command, NULL, api_addresses, true, CTL_DONE,
	  "{\"revision\":1,\"document\":" DOCUMENT_OTHER_SERVICE "}\n" },
};

/* Guards against changed output of `status` and `show`, which programs parse. */
START_TEST(test_output)
{
	static const char *const stored[] = { DOCUMENT_OTHER_SERVICE, NULL };
	struct fixture x;
	char *args[] = { (char *)(uintptr_t)output_cases[_i].argument, NULL };
	const struct ctl_command *c = output_cases[_i].command;

	fixture_init(&x, stored, "");
	x.ctl.settings.api_addresses = output_cases[_i].addresses;
	x.ctl.settings.json = output_cases[_i].json;
	ck_assert_int_eq(c->ops->run(c, &x.ctl, args), output_cases[_i].status);
	ck_assert_str_eq(x.ctl.out->str, output_cases[_i].out);
	fixture_dispose(&x);
}
END_TEST

static char *first_address[] = { (char *)"127.0.0.1:1", NULL };

static const struct {
	const char *label;
	const char *kind;
	char **addresses;
	bool json;
	enum ctl_exit status;
	const char *out; /**< part of standard output */
	const char *err; /**< part of standard error; "": none is written */
} explain_cases[] = {
	{ "table", "read", first_address, false, CTL_DONE,
	  "127.0.0.1:1 vm=vm1 server=- connection=- waiting=2: waits\n  SERVER", "" },
	{ "figures of a server", "read", first_address, false, CTL_DONE,
	  "  a                    primary  no      yes             3        12.5       1.5 zone "
	  "         new        paused\n",
	  "" },
	{ "JSON", "read", first_address, true, CTL_DONE, "{\"proxies\":[{\"vm\":\"vm1\"", "" },
	{ "a proxy that does not answer", "read", partly_unreachable_addresses, false, CTL_FAILED,
	  "127.0.0.1:1 vm=vm1", "127.0.0.1:9: no answer" },
	{ "an answer without the figures", "odd", first_address, false, CTL_FAILED, "",
	  "not a valid explanation" },
};

/* Guards against figures in wrong columns, and against a failed answer that is not shown. */
START_TEST(test_explain)
{
	struct fixture x;
	char *args[] = { (char *)"amber", (char *)"db", (char *)(uintptr_t)explain_cases[_i].kind,
			 NULL };

	fixture_init(&x, NULL, "");
	x.ctl.settings.api_addresses = explain_cases[_i].addresses;
	x.ctl.settings.json = explain_cases[_i].json;
	ck_assert_int_eq(ctl_explain_command.ops->run(&ctl_explain_command, &x.ctl, args),
			 explain_cases[_i].status);
	ck_assert_msg(strstr(x.ctl.out->str, explain_cases[_i].out) &&
			      strstr(x.ctl.err->str, explain_cases[_i].err) &&
			      (explain_cases[_i].err[0] || !x.ctl.err->len),
		      "%s:\n%s%s", explain_cases[_i].label, x.ctl.out->str, x.ctl.err->str);
	fixture_dispose(&x);
}
END_TEST

static const struct {
	const char *label;
	const char *replica_sets;
	const char *out; /**< part of standard output */
} replica_set_cases[] = {
	{ "no database with synchronous replication", "{}",
	  "127.0.0.1:1 vm=vm1 revision=0 fresh\n" },
	{ "a set", "{\"db\":{\"primary\":\"a\",\"servers\":[\"a\",\"b\"],\"waits_for\":null}}",
	  "  db primary=a servers=a,b\n" },
	{ "a change that waits",
	  "{\"db\":{\"primary\":\"a\",\"servers\":[\"a\",\"b\",\"c\"],\"waits_for\":[\"b\",\"c\"]}"
	  "}",
	  "  db primary=a servers=a,b,c waits-for=b,c\n" },
	{ "no set is known", "{\"db\":{\"primary\":\"a\",\"servers\":null,\"waits_for\":[]}}",
	  "  db primary=a servers=unknown waits-for=\n" },
	{ "malformed", "{\"db\":7}", "  db primary=- servers=unknown\n" },
};

/* Guards against an operator who is not told what a change of primary waits for. */
START_TEST(test_status_has_replica_sets)
{
	struct fixture x;
	char *args[] = { NULL };

	fixture_init(&x, NULL, "");
	x.ctl.settings.api_addresses = first_address;
	x.api.replica_sets = replica_set_cases[_i].replica_sets;
	ck_assert_int_eq(ctl_status_command.ops->run(&ctl_status_command, &x.ctl, args), CTL_DONE);
	ck_assert_msg(strstr(x.ctl.out->str, replica_set_cases[_i].out), "%s:\n%s",
		      replica_set_cases[_i].label, x.ctl.out->str);
	fixture_dispose(&x);
}
END_TEST

static char *unreachable_first_addresses[] = { (char *)"127.0.0.1:9", (char *)"127.0.0.1:1", NULL };
static char *unreachable_address[] = { (char *)"127.0.0.1:9", NULL };

static const struct {
	const char *label;
	const char *server;
	char **addresses;
	bool json;
	enum ctl_exit status;
	const char *out; /**< part of standard output */
	const char *err; /**< part of standard error; "": none is written */
} forget_cases[] = {
	{ "done", "i-1", first_address, false, CTL_DONE, "db no longer waits for i-1", "" },
	{ "JSON", "i-1", first_address, true, CTL_DONE, "\"forgotten\":\"i-1\"", "" },
	{ "unknown set", "unknown", first_address, false, CTL_DONE, "not registered", "" },
	{ "the next proxy does it", "i-1", unreachable_first_addresses, false, CTL_DONE,
	  "no longer waits for i-1", "127.0.0.1:9: no answer" },
	{ "no proxy does it", "i-1", unreachable_address, false, CTL_FAILED, "", "no answer" },
	{ "another writer", "i-raced", first_address, false, CTL_CONFLICT, "", "try again" },
	{ "outcome not known", "i-late", first_address, false, CTL_FAILED, "",
	  "the store did not answer" },
};

/* Guards against a server that counts as forgotten although no proxy has confirmed it. */
START_TEST(test_replica_forget)
{
	struct fixture x;
	char *args[] = { (char *)"db", (char *)(uintptr_t)forget_cases[_i].server, NULL };

	fixture_init(&x, NULL, "");
	x.ctl.settings.api_addresses = forget_cases[_i].addresses;
	x.ctl.settings.json = forget_cases[_i].json;
	ck_assert_int_eq(
		ctl_replica_forget_command.ops->run(&ctl_replica_forget_command, &x.ctl, args),
		forget_cases[_i].status);
	ck_assert_msg(strstr(x.ctl.out->str, forget_cases[_i].out) &&
			      strstr(x.ctl.err->str, forget_cases[_i].err) &&
			      (forget_cases[_i].err[0] || !x.ctl.err->len),
		      "%s:\n%s%s", forget_cases[_i].label, x.ctl.out->str, x.ctl.err->str);
	fixture_dispose(&x);
}
END_TEST

static void check_manual_mentions(const char *page, const char *word)
{
	char **parts = g_strsplit(word, "-", -1);
	char *escaped = g_strjoinv("\\-", parts);

	ck_assert_msg(strstr(page, escaped) != NULL, "the manual lacks %s", escaped);
	g_strfreev(parts);
	g_free(escaped);
}

/* Guards against a command, a flag or an environment variable missing from the manual page. */
START_TEST(test_manual)
{
	const struct ctl_command *c;
	char *page;

	ck_assert(g_file_get_contents(PW_SOURCE_DIR "/docs/pimentowingctl.1", &page, NULL, NULL));
	for (size_t i = 0; (c = ctl_command_at(i)) != NULL; i++)
		check_manual_mentions(page, c->name);
	for (size_t i = 0; i < ctl_settings_spec.setting_count; i++) {
		const struct pw_setting *s = &ctl_settings_spec.settings[i];
		char *flag = s->flag ? g_strconcat("--", s->flag, NULL) : NULL;

		if (flag)
			check_manual_mentions(page, flag);
		if (s->env_variable)
			check_manual_mentions(page, s->env_variable);
		g_free(flag);
	}
	g_free(page);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("command");

	tcase_add_loop_test(tc, test_apply, 0, PW_ARRAY_LEN(apply_cases));
	tcase_add_loop_test(tc, test_wait, 0, PW_ARRAY_LEN(wait_cases));
	tcase_add_loop_test(tc, test_key_new, 0, PW_ARRAY_LEN(key_new_cases));
	tcase_add_loop_test(tc, test_key_withdraw, 0, PW_ARRAY_LEN(withdraw_cases));
	tcase_add_loop_test(tc, test_drain, 0, PW_ARRAY_LEN(drain_cases));
	tcase_add_loop_test(tc, test_output, 0, PW_ARRAY_LEN(output_cases));
	tcase_add_loop_test(tc, test_explain, 0, PW_ARRAY_LEN(explain_cases));
	tcase_add_loop_test(tc, test_status_has_replica_sets, 0, PW_ARRAY_LEN(replica_set_cases));
	tcase_add_loop_test(tc, test_replica_forget, 0, PW_ARRAY_LEN(forget_cases));
	tcase_add_test(tc, test_manual);
	return pw_suite_run("command", tc);
}
