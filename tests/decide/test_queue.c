/* Tests of the order in which waiting statements are served. */
#include "suite.h"

#include <string.h>

#include "pw/decide/queue.h"

#define WAITING_MAX 6

/* A waiting statement; `account` is a letter, `in_flight` counts its account's statements. */
struct item {
	char account;
	uint32_t priority, in_flight;
};

static const struct {
	const char *label;
	struct item items[WAITING_MAX]; /* in order of arrival; ends with account 0 */
	const char *order;              /* expected accounts in order of service */
} cases[] = {
	{ "nothing waits", { { 0 } }, "" },
	{ "the more urgent first", { { 'a', 2 }, { 'b', 1 } }, "ba" },
	{ "by arrival among equals", { { 'b', 1 }, { 'a', 1 } }, "ba" },
	{ "the account with fewer statements in flight first",
	  { { 'a', 1, 2 }, { 'b', 1, 1 } },
	  "ba" },
	{ "the only statement of an account does not wait for all those of another",
	  { { 'a', 1 }, { 'a', 1 }, { 'a', 1 }, { 'b', 1 } },
	  "abaa" },
	{ "round-robin, with statements in flight counted",
	  { { 'a', 1, 1 }, { 'a', 1, 1 }, { 'b', 1 }, { 'b', 1 }, { 'b', 1 } },
	  "babab" },
};

/* Guards against an account with many waiting statements that delays those of other accounts. */
START_TEST(test_order)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct pw_queue_entry));
	char order[WAITING_MAX + 1] = "";

	for (size_t i = 0; i < WAITING_MAX && cases[_i].items[i].account; i++) {
		const struct item *item = &cases[_i].items[i];
		const struct pw_queue_entry w = {
			.account = GINT_TO_POINTER(item->account),
			.priority = item->priority,
			.in_flight = item->in_flight,
		};

		g_array_append_val(list, w);
	}
	pw_queue_sort(list);
	for (guint i = 0; i < list->len; i++)
		order[i] = (char)GPOINTER_TO_INT(
			g_array_index(list, struct pw_queue_entry, i).account);
	ck_assert_msg(strcmp(order, cases[_i].order) == 0, "%s: %s", cases[_i].label, order);
	g_array_unref(list);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("queue");

	tcase_add_loop_test(tc, test_order, 0, PW_ARRAY_LEN(cases));
	return pw_suite_run("queue", tc);
}
