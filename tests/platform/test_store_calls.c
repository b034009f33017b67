/* Suite of the client of the platform's store and of its orders, against the stand-in. */
#include "suite.h"

#include <glib.h>
#include <string.h>

#include "harness.h"
#include "pw/core/clock.h"
#include "pw/core/error.h"
#include "pw/http/http.h"
#include "pw/platform/platform.h"

#define CALL_US (2 * PW_US_PER_S)

static struct pw_harness *harness;
static struct pw_harness_process *platform;
static struct pw_loop *loop;
static struct pw_store *store;
static struct pw_promoter *promoter;

/* A call whose results are collected; the loop stops with each. */
struct call {
	struct pw_store_call base;
	GPtrArray *results;
};

static void call_done(struct pw_store_call *base, struct pw_store_result *r)
{
	g_ptr_array_add(((struct call *)base)->results, r);
	pw_loop_stop(loop);
}

static const struct pw_store_call_ops call_ops = { .done = call_done };

static void free_result(gpointer data)
{
	pw_store_result_free(data);
}

static struct call *call_new(void)
{
	struct call *c = g_new0(struct call, 1);

	c->base.ops = &call_ops;
	c->results = g_ptr_array_new_with_free_func(free_result);
	return c;
}

static void call_free(struct call *c)
{
	g_ptr_array_unref(c->results);
	g_free(c);
}

static void expire(struct pw_timer *t, uint64_t now_us)
{
	(void)t;
	(void)now_us;
	pw_loop_stop(loop);
}

static const struct pw_timer_ops timer_ops = { .expire = expire };

/* The loop runs once; a stopped loop is replaced together with what uses it. */
static void open_client(void)
{
	char *url = g_strdup_printf("http://127.0.0.1:%u", platform->port);
	char *address = g_strdup_printf("127.0.0.1:%u", platform->port);
	const char *const endpoints[] = { url, NULL };

	ck_assert_int_eq(pw_loop_new(&loop), PW_OK);
	ck_assert_int_eq(pw_platform_store_new(&store, loop, endpoints), PW_OK);
	ck_assert_int_eq(pw_platform_promoter_new(&promoter, loop, address), PW_OK);
	g_free(url);
	g_free(address);
}

static void close_client(void)
{
	promoter->ops->free(promoter);
	store->ops->free(store);
	pw_loop_free(loop);
}

static void wait_ms(uint32_t ms)
{
	struct pw_timer t = { .ops = &timer_ops };

	pw_loop_timer_set(loop, &t, pw_clock_now_us() + ms * PW_US_PER_MS);
	pw_loop_run(loop);
	pw_loop_timer_clear(loop, &t);
}

static void setup(void)
{
	char *port, *group;
	uint16_t ports[4];

	harness = pw_harness_new();
	for (int i = 0; i < 4; i++)
		ports[i] = pw_harness_port();
	port = g_strdup_printf("%u", ports[0]);
	group = g_strdup_printf("core=%u,%u,%u", ports[1], ports[2], ports[3]);
	const char *const args[] = { port, group, NULL };

	platform = pw_harness_start(harness, "standins/standin-platform", ports[0], args, NULL);
	g_free(port);
	g_free(group);
	open_client();
}

static void teardown(void)
{
	close_client();
	pw_harness_free(harness);
}

/* Runs one call to its result. */
#define RUN(call, start)                                    \
	do {                                                \
		ck_assert_int_eq((start), PW_OK);           \
		wait_ms(3000);                              \
		ck_assert_uint_eq((call)->results->len, 1); \
		restart();                                  \
	} while (0)

static void restart(void)
{
	close_client();
	open_client();
}

static const struct pw_store_result *result_of(const struct call *c)
{
	return g_ptr_array_index(c->results, 0);
}

static int64_t put(const char *key, const char *value, int64_t expected, int64_t lease,
		   int32_t wanted)
{
	const struct pw_store_compare compare = {
		.key = key,
		.target = PW_STORE_MOD_REVISION,
		.revision = expected,
	};
	const struct pw_store_change change = {
		.key = key,
		.kind = PW_STORE_PUT,
		.value = value,
		.size_bytes = strlen(value),
		.lease_id = lease,
	};
	const struct pw_store_txn txn = { &compare, expected >= 0, &change, 1 };
	struct call *c = call_new();
	int64_t revision;

	RUN(c, store->ops->txn(store, &txn, CALL_US, &c->base));
	ck_assert_int_eq(result_of(c)->code, wanted);
	revision = result_of(c)->revision;
	if (wanted == PW_ECONFLICT) {
		const struct pw_store_txn_result *r =
			(const struct pw_store_txn_result *)result_of(c);

		ck_assert_uint_eq(r->kv_count, 1);
		ck_assert_str_eq(r->kvs[0].key, key);
		revision = r->kvs[0].mod_revision;
	}
	call_free(c);
	return revision;
}

/* A value comes back as written, at the revision of its change; a wrong condition changes nothing.
 */
START_TEST(test_txn)
{
	const struct pw_store_range req = { .key = "my/a" };
	const struct pw_store_range_result *r;
	int64_t revision = put("my/a", "first", 0, 0, PW_OK);
	struct call *c = call_new();

	ck_assert_int_eq(put("my/a", "second", 0, 0, PW_ECONFLICT), revision);
	revision = put("my/a", "third", revision, 0, PW_OK);
	RUN(c, store->ops->range(store, &req, CALL_US, &c->base));
	r = (const struct pw_store_range_result *)result_of(c);
	ck_assert_int_eq(r->base.code, PW_OK);
	ck_assert_uint_eq(r->kv_count, 1);
	ck_assert_str_eq(r->kvs[0].value, "third");
	ck_assert_int_eq(r->kvs[0].mod_revision, revision);
	ck_assert_int_ge(r->base.revision, revision);
	call_free(c);
}
END_TEST

START_TEST(test_missing_key)
{
	const struct pw_store_range req = { .key = "my/none" };
	struct call *c = call_new();

	RUN(c, store->ops->range(store, &req, CALL_US, &c->base));
	ck_assert_int_eq(result_of(c)->code, PW_OK);
	ck_assert_uint_eq(((const struct pw_store_range_result *)result_of(c))->kv_count, 0);
	call_free(c);
}
END_TEST

/* Keys with a prefix come in pages, each after the last key of the one before. */
START_TEST(test_pages)
{
	char *after = NULL;
	uint32_t seen = 0;
	bool more = true;

	for (int i = 0; i < 60; i++) {
		char *key = g_strdup_printf("page/%02d", i);

		(void)put(key, "v", 0, 0, PW_OK);
		g_free(key);
	}
	while (more) {
		const struct pw_store_range req = {
			.key = "page/",
			.prefix = true,
			.after = after,
			.stale = true,
		};
		const struct pw_store_range_result *r;
		struct call *c = call_new();

		RUN(c, store->ops->range(store, &req, CALL_US, &c->base));
		r = (const struct pw_store_range_result *)result_of(c);
		ck_assert_int_eq(r->base.code, PW_OK);
		seen += (uint32_t)r->kv_count;
		more = r->more;
		g_free(after);
		after = g_strdup(r->kvs[r->kv_count - 1].key);
		call_free(c);
	}
	g_free(after);
	ck_assert_uint_eq(seen, 60);
}
END_TEST

/* A key ends with its lease, and a lease that has ended cannot be renewed or used. */
START_TEST(test_lease)
{
	const struct pw_store_range req = { .key = "my/leased" };
	const struct pw_store_lease_result *r;
	struct call *c = call_new();
	int64_t lease;

	RUN(c, store->ops->lease_grant(store, 4 * PW_US_PER_S, CALL_US, &c->base));
	r = (const struct pw_store_lease_result *)result_of(c);
	ck_assert_int_eq(r->base.code, PW_OK);
	ck_assert_uint_eq(r->ttl_us, 4 * PW_US_PER_S);
	lease = r->lease_id;
	ck_assert_int_gt(lease, 0);
	call_free(c);
	(void)put("my/leased", "v", 0, lease, PW_OK);
	c = call_new();
	RUN(c, store->ops->lease_keep_alive(store, lease, CALL_US, &c->base));
	ck_assert_int_eq(result_of(c)->code, PW_OK);
	call_free(c);
	c = call_new();
	RUN(c, store->ops->lease_revoke(store, lease, CALL_US, &c->base));
	ck_assert_int_eq(result_of(c)->code, PW_OK);
	call_free(c);
	c = call_new();
	RUN(c, store->ops->lease_keep_alive(store, lease, CALL_US, &c->base));
	ck_assert_int_eq(result_of(c)->code, PW_ENOTFOUND);
	call_free(c);
	c = call_new();
	RUN(c, store->ops->range(store, &req, CALL_US, &c->base));
	ck_assert_uint_eq(((const struct pw_store_range_result *)result_of(c))->kv_count, 0);
	call_free(c);
	(void)put("my/leased", "v", -1, lease, PW_ENOTFOUND);
}
END_TEST

static void fault(const char *name, const char *value)
{
	char *url = g_strdup_printf("http://127.0.0.1:%u/fault?name=%s&value=%s", platform->port,
				    name, value);
	char *command = g_strdup_printf("curl -s -X POST '%s'", url);

	ck_assert_int_eq(system(command), 0);
	g_free(command);
	g_free(url);
}

/* A watch reports a change of its key only, and goes on after the answer. */
START_TEST(test_watch)
{
	int64_t revision = put("my/w", "1", 0, 0, PW_OK);
	const struct pw_store_watch req = { .key = "my/w", .start_revision = revision + 1 };
	const struct pw_store_watch_result *r;
	struct call *c = call_new();

	(void)put("my/wx", "other key of the prefix", 0, 0, PW_OK);
	revision = put("my/w", "2", revision, 0, PW_OK);
	ck_assert_int_eq(store->ops->watch(store, &req, CALL_US, &c->base), PW_OK);
	wait_ms(3000);
	ck_assert_uint_eq(c->results->len, 1);
	r = (const struct pw_store_watch_result *)result_of(c);
	ck_assert_int_eq(r->base.code, PW_OK);
	ck_assert(r->opened && !r->ended);
	ck_assert_uint_eq(r->event_count, 1);
	ck_assert_str_eq(r->events[0].kv.value, "2");
	ck_assert_int_eq(r->events[0].kv.mod_revision, revision);
	store->ops->cancel(store, &c->base);
	call_free(c);
}
END_TEST

/* A watch from before the history that is left ends; its owner reads again. */
START_TEST(test_lost_history)
{
	int64_t revision = put("my/h", "1", 0, 0, PW_OK);
	const struct pw_store_watch req = { .key = "my/h", .start_revision = revision + 1 };
	struct call *c = call_new();

	(void)put("my/h", "2", revision, 0, PW_OK);
	fault("compact", "1");
	ck_assert_int_eq(store->ops->watch(store, &req, CALL_US, &c->base), PW_OK);
	wait_ms(3000);
	ck_assert_uint_eq(c->results->len, 1);
	ck_assert_int_eq(result_of(c)->code, PW_ENOTFOUND);
	ck_assert(((const struct pw_store_watch_result *)result_of(c))->ended);
	call_free(c);
}
END_TEST

/* A store that is down has done nothing; one that is silent may have. */
START_TEST(test_down)
{
	const struct pw_store_change change = { .key = "my/d", .kind = PW_STORE_PUT };
	const struct pw_store_txn txn = { .changes = &change, .change_count = 1 };
	struct call *c = call_new();

	fault("store", "down");
	RUN(c, store->ops->txn(store, &txn, CALL_US, &c->base));
	ck_assert_int_eq(result_of(c)->code, PW_EUNAVAILABLE);
	ck_assert(!result_of(c)->effect_possible);
	call_free(c);
	fault("store", "silent");
	c = call_new();
	RUN(c, store->ops->txn(store, &txn, 300 * PW_US_PER_MS, &c->base));
	ck_assert_int_eq(result_of(c)->code, PW_ETIMEOUT);
	ck_assert(result_of(c)->effect_possible);
	call_free(c);
}
END_TEST

static const struct {
	const char *label;
	int rc;
	struct pw_store_range range;
} bad_ranges[] = {
	{ "no key", PW_EINVALID, { 0 } },
	{ "an old revision", PW_EINVALID, { .key = "my/a", .revision = 5 } },
};

START_TEST(test_bad_requests)
{
	struct pw_store_watch watch = { .key = "my/a" };
	struct call *c = call_new();

	for (size_t i = 0; i < PW_ARRAY_LEN(bad_ranges); i++)
		ck_assert_int_eq(store->ops->range(store, &bad_ranges[i].range, CALL_US, &c->base),
				 bad_ranges[i].rc);
	ck_assert_int_eq(store->ops->watch(store, &watch, CALL_US, &c->base), PW_EINVALID);
	call_free(c);
}
END_TEST

struct promotion {
	struct pw_promotion base;
	int32_t code;
	bool done;
};

static void promotion_done(struct pw_promotion *base, int32_t code, const char *message)
{
	struct promotion *p = (struct promotion *)base;

	(void)message;
	p->code = code;
	p->done = true;
	pw_loop_stop(loop);
}

static const struct pw_promotion_ops promotion_ops = { .done = promotion_done };

static const struct {
	const char *label, *server;
	int32_t code;
} orders[] = {
	{ "a replica", "i-core-2", PW_OK },
	{ "the present primary", "i-core-1", PW_OK },
	{ "a server that does not run", "i-core-9", PW_ECONFLICT },
};

START_TEST(test_promote)
{
	struct promotion p = { .base.ops = &promotion_ops };
	const struct pw_promotion_order o = {
		.group = "core",
		.server_id = orders[_i].server,
		.holder = "vm-1",
		.fence = 7,
		.timeout_us = CALL_US,
	};

	ck_assert_int_eq(promoter->ops->promote(promoter, &o, &p.base), PW_OK);
	wait_ms(3000);
	ck_assert_msg(p.done && p.code == orders[_i].code, "%s: %d", orders[_i].label, p.code);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("store calls");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, test_txn);
	tcase_add_test(tc, test_missing_key);
	tcase_add_test(tc, test_pages);
	tcase_add_test(tc, test_lease);
	tcase_add_test(tc, test_watch);
	tcase_add_test(tc, test_lost_history);
	tcase_add_test(tc, test_down);
	tcase_add_test(tc, test_bad_requests);
	tcase_add_loop_test(tc, test_promote, 0, PW_ARRAY_LEN(orders));
	return pw_suite_run("store calls", tc);
}
