/*
 * Randomized run of three proxy processes against the platform stand-in, whose servers answer
 * twice, cut, split, lose and refuse answers. What the callers sent and got is checked against the
 * servers' record of what ran. Each run has a seed.
 *
 * Usage: test_answers_fleet [--case INDEX]
 *
 * Without arguments, each load runs with one seed. INDEX is that of a load in the table below.
 *
 * Environment variables:
 *   PW_ANSWERS_SEED   first seed (1)
 *   PW_ANSWERS_RUNS   number of seeds for each load (1)
 *   PW_ANSWERS_MS     duration of the faults of each load (1000)
 *   PW_ANSWERS_BYTES  if set, data of all loads has any bytes
 *   PW_ANSWERS_LOGS   folder for the logs and the record of the runs with a violation
 *   PW_TEST_PROXY     another build of the proxy
 */
#include "suite.h"

#include <glib/gstdio.h>

#include "answers_caller.h"
#include "answers_check.h"
#include "platform_fleet.h"

#define FAULTS_MAX              4
#define CALLERS_PER_CLASS       3
#define RECORD_TIMEOUT_MS       30000L
#define SECOND_ANSWER_LATEST_MS 150

#define ANSWERS_CATALOG                                                                          \
	"{\"Version\":%d,\"Routes\":["                                                           \
	"{\"Name\":\"r1\",\"Host\":\"desk\",\"Type\":\"primary\",\"TimeoutMs\":1000,"            \
	"\"TargetLatencyMs\":4000,\"Priority\":1,\"Service\":\"core\",\"Public\":false},"        \
	"{\"Name\":\"r2\",\"Host\":\"views\",\"Type\":\"bounded_staleness\",\"TimeoutMs\":1000," \
	"\"TargetLatencyMs\":4000,\"Priority\":2,\"Service\":\"core\",\"MaxStalenessMs\":1500,"  \
	"\"Public\":false},"                                                                     \
	"{\"Name\":\"r3\",\"Host\":\"sync\",\"Type\":\"read_your_writes\",\"TimeoutMs\":1000,"   \
	"\"TargetLatencyMs\":4000,\"Priority\":2,\"Service\":\"core\",\"MaxStalenessMs\":2500,"  \
	"\"Public\":false}],\"Services\":[{\"Name\":\"core\",\"MaxConns\":22,"                   \
	"\"SyncReplicas\":0}],\"Limits\":{\"TxIdleMs\":3000},\"Tenants\":["                      \
	"{\"Name\":\"amber\",\"ApiKeys\":[" BOTH_KEYS "],\"RatePerS\":5000,\"Burst\":5000},"     \
	"{\"Name\":\"birch\",\"ApiKeys\":[\"birch-key\"],\"RatePerS\":5000,\"Burst\":5000}]}"

static const struct caller_class classes[] = {
	{ "desk", "amber", "amber-key", false }, { "sync", "amber", "other-key", false },
	{ "views", "amber", "amber-key", true }, { "sync", "birch", "birch-key", false },
	{ "desk", "birch", "birch-key", false },
};

#define CALLER_COUNT (CALLERS_PER_CLASS * G_N_ELEMENTS(classes))

struct fault {
	const char *name, *value;
};

struct answers_load {
	const char *label;
	bool any_bytes;  /* data of any bytes instead of words */
	bool large_data; /* now and then, near the limit of a message */
	struct fault faults[FAULTS_MAX];
	bool draws_faults; /* faults and their values are drawn with the seed */
};

static const struct answers_load loads[] = {
	{ .label = "no fault, words" },
	{ .label = "no fault, any bytes", .any_bytes = true, .large_data = true },
	{ .label = "run time and slots",
	  .any_bytes = true,
	  .large_data = true,
	  .faults = { { "work", "3" }, { "slots", "4" }, { "queue", "8" } } },
	{ .label = "all answers twice, at once",
	  .faults = { { "stutter", "every:1,delay_ms:0,of:all,part:whole" } } },
	{ .label = "signed answers twice, 1 ms late",
	  .faults = { { "stutter", "every:1,delay_ms:1,of:signed,part:whole" }, { "work", "3" } } },
	{ .label = "every 7th answer twice, at once",
	  .faults = { { "stutter", "every:7,delay_ms:0,of:all,part:whole" } } },
	{ .label = "every 7th answer twice, 5 ms late",
	  .faults = { { "stutter", "every:7,delay_ms:5,of:all,part:whole" }, { "work", "3" } } },
	{ .label = "every 7th signed answer twice, 20 ms late",
	  .faults = { { "stutter", "every:7,delay_ms:20,of:signed,part:whole" } } },
	{ .label = "every 7th signed answer twice, 100 ms late",
	  .faults = { { "stutter", "every:7,delay_ms:100,of:signed,part:whole" } } },
	{ .label = "rows of every 3rd answer again, 1 ms late",
	  .faults = { { "stutter", "every:3,delay_ms:1,of:signed,part:rows" } } },
	{ .label = "rows of every 2nd answer again, at once, reads without rows",
	  .faults = { { "stutter", "every:2,delay_ms:0,of:signed,part:rows" },
		      { "omit-empty-rows", "1" } } },
	{ .label = "rows of all answers again, 1 ms late, run time, reads without rows",
	  .faults = { { "stutter", "every:1,delay_ms:1,of:signed,part:rows" },
		      { "omit-empty-rows", "1" },
		      { "work", "3" } } },
	{ .label = "all answers twice, at once, reads without rows",
	  .faults = { { "stutter", "every:1,delay_ms:0,of:all,part:whole" },
		      { "omit-empty-rows", "1" } } },
	{ .label = "every 3rd answer again without its end, 1 ms late",
	  .faults = { { "stutter", "every:3,delay_ms:1,of:signed,part:head" } } },
	{ .label = "end of every 3rd answer again, 1 ms late",
	  .faults = { { "stutter", "every:3,delay_ms:1,of:all,part:ready" } } },
	{ .label = "errors twice, 1 ms late, and BUSY",
	  .faults = { { "stutter", "every:1,delay_ms:1,of:error,part:whole" },
		      { "busy", "every:4" } } },
	{ .label = "answers to the proxy's own statements twice, at once",
	  .faults = { { "stutter", "every:1,delay_ms:0,of:own,part:whole" } } },
	{ .label = "answers to BEGIN twice, 1 ms late",
	  .faults = { { "stutter", "every:1,delay_ms:1,of:begin,part:whole" } } },
	{ .label = "answers to STATUS twice, at once",
	  .faults = { { "stutter", "every:1,delay_ms:0,of:status,part:whole" } } },
	{ .label = "answers to STARTUP twice, 1 ms late",
	  .faults = { { "stutter", "every:1,delay_ms:1,of:startup,part:whole" } } },
	{ .label = "cut answers", .faults = { { "cut", "every:9" } } },
	{ .label = "split answers, any bytes",
	  .any_bytes = true,
	  .faults = { { "split", "bytes:5" } } },
	{ .label = "BUSY", .faults = { { "busy", "every:3" } } },
	{ .label = "refused values", .faults = { { "refuse-set", "60" } } },
	{ .label = "own answers twice, every 3rd SET fails",
	  .faults = { { "stutter", "every:1,delay_ms:0,of:own,part:whole" },
		      { "set-failures", "every:3" } } },
	{ .label = "BUSY that ends in the failed state",
	  .faults = { { "busy", "every:3" }, { "fail-state", "1" } } },
	{ .label = "failed SETs and BUSY that end in the failed state, errors twice, 1 ms late",
	  .faults = { { "stutter", "every:1,delay_ms:1,of:error,part:whole" },
		      { "busy", "every:7" },
		      { "set-failures", "every:5" },
		      { "fail-state", "1" } } },
	{ .label =
		  "BUSY that ends in the failed state, every 3rd answer twice, 5 ms late, run time",
	  .faults = { { "stutter", "every:3,delay_ms:5,of:all,part:whole" },
		      { "busy", "every:7" },
		      { "fail-state", "1" },
		      { "work", "3" } } },
	{ .label = "failures that end in the failed state, few connections",
	  .faults = { { "failures", "every:4" }, { "fail-state", "1" }, { "conn-limit", "12" } } },
	{ .label = "lost answers", .faults = { { "lose", "40" } } },
	{ .label = "second, cut and split answers, BUSY, any bytes",
	  .any_bytes = true,
	  .faults = { { "stutter", "every:5,delay_ms:5,of:all,part:whole" },
		      { "cut", "every:23" },
		      { "split", "bytes:40" },
		      { "busy", "every:11" } } },
	{ .label = "second and lost answers, run time, slots, any bytes",
	  .any_bytes = true,
	  .large_data = true,
	  .faults = { { "stutter", "every:3,delay_ms:1,of:all,part:whole" },
		      { "lose", "60" },
		      { "work", "3" },
		      { "slots", "4" } } },
	{ .label = "drawn faults, words", .draws_faults = true },
	{ .label = "drawn faults, any bytes", .any_bytes = true, .draws_faults = true },
	{ .label = "all answers twice, 1 ms late, failed SETs and statements",
	  .faults = { { "stutter", "every:1,delay_ms:1,of:all,part:whole" },
		      { "set-failures", "every:3" },
		      { "failures", "every:7" },
		      { "fail-state", "1" } } },
	{ .label = "all answers twice, 20 ms late, failed SETs and statements",
	  .faults = { { "stutter", "every:1,delay_ms:20,of:all,part:whole" },
		      { "set-failures", "every:3" },
		      { "failures", "every:7" },
		      { "fail-state", "1" } } },
};

static const char *const stutter_counts[] = { "1", "2", "3", "7" };
static const char *const stutter_delays_ms[] = { "0", "1", "5", "20", "100" };
static const char *const stutter_kinds[] = { "all",   "signed", "error",  "own",
					     "begin", "status", "startup" };
static const char *const stutter_parts[] = { "whole", "whole", "rows", "head", "ready" };

/* Faults that are drawn beside second answers, each with this share. */
static const struct {
	struct fault fault;
	double share;
} drawn_faults[] = {
	{ { "cut", "every:19" }, 0.3 },     { { "split", "bytes:60" }, 0.3 },
	{ { "busy", "every:7" }, 0.3 },     { { "refuse-set", "20" }, 0.2 },
	{ { "lose", "90" }, 0.15 },         { { "work", "3" }, 0.3 },
	{ { "slots", "4" }, 0.2 },          { { "omit-empty-rows", "1" }, 0.5 },
	{ { "failures", "every:7" }, 0.3 }, { { "set-failures", "every:5" }, 0.3 },
	{ { "fail-state", "1" }, 0.5 },
};

static const struct fault no_faults[] = {
	{ "stutter", "every:0" },
	{ "cut", "every:0" },
	{ "split", "bytes:0" },
	{ "busy", "every:0" },
	{ "refuse-set", "0" },
	{ "lose", "0" },
	{ "omit-empty-rows", "0" },
	{ "fail-state", "0" },
	{ "failures", "every:0" },
	{ "conn-limit", "0" },
	{ "set-failures", "every:0" },
	{ "work", "0" },
	{ "slots", "0" },
	{ "queue", "0" },
};

static const char *const counter_names[] = {
	"upstream_answers_extra_total",     "upstream_answers_foreign_total",
	"upstream_answers_uncertain_total", "upstream_answers_cut_total",
	"upstream_answers_lost_total",      "upstream_discarded_total",
};

static uint32_t first_seed, run_count, duration_ms;

static uint32_t environment_number(const char *name, uint32_t value)
{
	const char *text = g_getenv(name);

	return text ? (uint32_t)g_ascii_strtoull(text, NULL, 10) : value;
}

static void start_answers_fleet(void)
{
	char *text, *body;

	start_platform();
	text = g_strdup_printf(ANSWERS_CATALOG, ++catalog_version);
	body = http_request(platform->port, "/fault?name=config&value=1", text);
	ck_assert_ptr_nonnull(body);
	g_free(body);
	g_free(text);
	start_vms(VM_COUNT, platform->port);
}

static void inject_faults(const struct fault *faults, size_t count)
{
	for (size_t i = 0; i < count && faults[i].name; i++)
		inject_fault(faults[i].name, faults[i].value);
}

#define PICK(rand, list) ((list)[g_rand_int_range(rand, 0, G_N_ELEMENTS(list))])

static void inject_drawn_faults(uint32_t draw)
{
	GRand *rand = g_rand_new_with_seed(draw);
	char *stutter = g_strdup_printf("every:%s,delay_ms:%s,of:%s,part:%s",
					PICK(rand, stutter_counts), PICK(rand, stutter_delays_ms),
					PICK(rand, stutter_kinds), PICK(rand, stutter_parts));
	GString *text = g_string_new(stutter);

	inject_fault("stutter", stutter);
	for (size_t i = 0; i < G_N_ELEMENTS(drawn_faults); i++) {
		const struct fault *f = &drawn_faults[i].fault;

		if (g_rand_double(rand) >= drawn_faults[i].share)
			continue;
		inject_fault(f->name, f->value);
		g_string_append_printf(text, " %s=%s", f->name, f->value);
	}
	fprintf(stderr, "draw %u: stutter=%s\n", draw, text->str);
	g_string_free(text, TRUE);
	g_free(stutter);
	g_rand_free(rand);
}

static void start_callers(struct caller *callers, const struct answers_load *load, uint32_t seed)
{
	g_atomic_int_set(&phase, PHASE_FAULTS);
	for (uint32_t i = 0; i < CALLER_COUNT; i++) {
		callers[i] = (struct caller){
			.class = &classes[i % G_N_ELEMENTS(classes)],
			.index = i,
			.any_bytes = load->any_bytes || g_getenv("PW_ANSWERS_BYTES"),
			.large_data = load->large_data,
			.rand = g_rand_new_with_seed(seed * 1000 + i),
			.notes = g_ptr_array_new_with_free_func(note_free),
		};
		ck_assert_int_eq(pthread_create(&callers[i].thread, NULL, run_caller, &callers[i]),
				 0);
	}
}

static void join_callers(struct caller *callers)
{
	for (uint32_t i = 0; i < CALLER_COUNT; i++)
		pthread_join(callers[i].thread, NULL);
}

static void free_callers(struct caller *callers)
{
	for (uint32_t i = 0; i < CALLER_COUNT; i++) {
		g_ptr_array_unref(callers[i].notes);
		g_rand_free(callers[i].rand);
	}
}

/* Returns the body of GET /record, which may be large. */
static GString *fetch_record(void)
{
	CURL *e = curl_easy_init();
	GString *out = g_string_new(NULL);
	char *url = g_strdup_printf("http://127.0.0.1:%u/record", platform->port);
	long status = 0;

	curl_easy_setopt(e, CURLOPT_URL, url);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, RECORD_TIMEOUT_MS);
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, out);
	if (curl_easy_perform(e) == CURLE_OK)
		curl_easy_getinfo(e, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(e);
	g_free(url);
	ck_assert_int_eq(status, 200);
	return out;
}

/* Checks that most statements succeeded, and that all callers read and wrote after the faults. */
static void check_service(struct check *check, const struct caller *callers)
{
	if (check->success_count * 2 < check->expected_count)
		add_violation(check, RULE_SERVED, NULL, NULL, "less than half of the statements");
	for (uint32_t i = 0; i < CALLER_COUNT; i++) {
		const struct caller *c = &callers[i];

		for (uint32_t k = 0; k < c->unrequested_count; k++)
			add_violation(check, RULE_MIXED, NULL, NULL,
				      "a message while no request was outstanding");
		if (!c->has_read)
			add_violation(check, RULE_SERVED, NULL, NULL, "no read after the faults");
		if (!c->has_written)
			add_violation(check, RULE_SERVED, NULL, NULL, "no write after the faults");
	}
}

static struct check *check_callers(const struct answers_load *load, uint32_t seed,
				   const json_t *record, const struct caller *callers)
{
	struct check *check = check_new(load->label, seed, record);
	const char *accounts[CALLER_COUNT];

	for (uint32_t i = 0; i < CALLER_COUNT; i++) {
		accounts[i] = callers[i].class->account;
		check_add_notes(check, callers[i].notes);
	}
	check_run(check, accounts);
	check_service(check, callers);
	return check;
}

static uint32_t count_violations(const struct check *check)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < RULE_COUNT; i++)
		count += check->violations[i];
	return count;
}

static void print_figures(const struct check *check)
{
	GString *text = g_string_new(NULL);
	GHashTableIter it;
	gpointer code, count;

	g_string_append_printf(text,
			       "%s, seed %u: %u statements, %u runs, %u successes of %u, "
			       "%u errors, %u without an answer;",
			       check->load, check->seed, check->notes->len, check->runs->len,
			       check->success_count, check->expected_count, check->error_count,
			       check->no_answer_count);
	for (uint32_t i = 0; i < RULE_COUNT; i++)
		g_string_append_printf(text, " %s %u", rule_names[i], check->violations[i]);
	g_string_append(text, ";");
	g_hash_table_iter_init(&it, check->codes);
	while (g_hash_table_iter_next(&it, &code, &count))
		g_string_append_printf(text, " %s %u", (char *)code, GPOINTER_TO_UINT(count));
	g_string_append(text, ";");
	for (size_t k = 0; k < G_N_ELEMENTS(counter_names); k++) {
		uint32_t sum = 0;

		for (uint32_t i = 0; i < VM_COUNT; i++)
			sum += counter_value(&vms[i], counter_names[k]);
		g_string_append_printf(text, " %s %u", counter_names[k], sum);
	}
	fprintf(stderr, "%s\n%s", text->str, check->details->str);
	g_string_free(text, TRUE);
}

/* Saves the record and the logs of the VMs in PW_ANSWERS_LOGS. */
static void save_logs(uint32_t load_index, uint32_t seed, const GString *record)
{
	const char *folder = g_getenv("PW_ANSWERS_LOGS");
	char *path;

	if (!folder)
		return;
	path = g_strdup_printf("%s/load-%u-seed-%u-record.json", folder, load_index, seed);
	g_mkdir_with_parents(folder, 0755);
	(void)g_file_set_contents(path, record->str, (gssize)record->len, NULL);
	g_free(path);
	for (uint32_t i = 0; i < VM_COUNT; i++) {
		char *log = pw_harness_read_output(vms[i].process);

		path = g_strdup_printf("%s/load-%u-seed-%u-vm-%u.log", folder, load_index, seed,
				       i + 1);
		(void)g_file_set_contents(path, log ? log : "", -1, NULL);
		g_free(path);
		g_free(log);
	}
}

/*
 * Guards against answers of other statements, statements that no caller sent, and statements that
 * run in another context, when servers answer more or less than once.
 */
START_TEST(test_answers_belong_to_their_statements)
{
	uint32_t load_index = (uint32_t)_i % G_N_ELEMENTS(loads);
	uint32_t seed = first_seed + (uint32_t)_i / G_N_ELEMENTS(loads);
	const struct answers_load *load = &loads[load_index];
	static struct caller callers[CALLER_COUNT];
	struct check *check;
	GString *text;
	json_t *record;
	uint32_t violation_count, success_count;

	start_answers_fleet();
	inject_faults(load->faults, G_N_ELEMENTS(load->faults));
	if (load->draws_faults)
		inject_drawn_faults(2 * seed + load->any_bytes);
	start_callers(callers, load, seed);
	g_usleep(duration_ms * 1000);
	inject_faults(no_faults, G_N_ELEMENTS(no_faults));
	g_usleep(SECOND_ANSWER_LATEST_MS * 1000);
	g_atomic_int_set(&phase, PHASE_RECOVERY);
	join_callers(callers);
	text = fetch_record();
	record = json_loadb(text->str, text->len, 0, NULL);
	ck_assert_ptr_nonnull(record);
	check = check_callers(load, seed, record, callers);
	print_figures(check);
	violation_count = count_violations(check);
	success_count = check->success_count;
	if (violation_count)
		save_logs(load_index, seed, text);
	check_free(check);
	json_decref(record);
	g_string_free(text, TRUE);
	free_callers(callers);
	stop_fleet();
	ck_assert_msg(!violation_count, "%s, seed %u: %u violations", load->label, seed,
		      violation_count);
	ck_assert_uint_gt(success_count, CALLER_COUNT);
}
END_TEST

int main(int argc, char **argv)
{
	TCase *tc = tcase_create("answers fleet");
	int first_case = 0, last_case = G_N_ELEMENTS(loads) - 1;

	for (int i = 1; i < argc; i++) {
		if (strcmp(argv[i], "--case") == 0 && i + 1 < argc) {
			first_case = last_case = atoi(argv[++i]);
		} else {
			fprintf(stderr, "usage: %s [--case INDEX]\n", argv[0]);
			return EXIT_FAILURE;
		}
	}
	first_seed = environment_number("PW_ANSWERS_SEED", 1);
	run_count = environment_number("PW_ANSWERS_RUNS", 1);
	duration_ms = environment_number("PW_ANSWERS_MS", 1000);
	g_setenv("PW_GATEWAY_TASKS", "2", FALSE);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	for (uint32_t i = 0; i < run_count; i++)
		tcase_add_loop_test(tc, test_answers_belong_to_their_statements,
				    (int)(i * G_N_ELEMENTS(loads)) + first_case,
				    (int)(i * G_N_ELEMENTS(loads)) + last_case + 1);
	return pw_suite_run("answers fleet", tc);
}
