/* Compares the tables of docs/events.md with the events, counters and histograms of the code. */
#include "suite.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "pw/core/counter.h"
#include "pw/core/event.h"
#include "pw/core/histogram.h"

/* Columns of the tables of events, and of those of counters and histograms. */
#define EVENT_COLUMNS  6
#define METRIC_COLUMNS 2

/*
 * Returns the rows of the table below a heading, each as an array of cells without backquotes and
 * surrounding spaces.
 */
static GPtrArray *read_table(const char *heading)
{
	GPtrArray *rows = g_ptr_array_new_with_free_func((GDestroyNotify)g_strfreev);
	char *page, **lines;
	bool is_in_section = false;
	uint32_t table_line_count = 0;

	ck_assert(g_file_get_contents(PW_SOURCE_DIR "/docs/events.md", &page, NULL, NULL));
	lines = g_strsplit(page, "\n", -1);
	for (char **line = lines; *line; line++) {
		char **cells;

		if (g_str_has_prefix(*line, "## "))
			is_in_section = strcmp(*line + 3, heading) == 0;
		if (!is_in_section || (*line)[0] != '|')
			continue;
		/* The first two lines hold the column names and the delimiter row. */
		if (table_line_count++ < 2)
			continue;
		cells = g_strsplit(*line + 1, "|", -1);
		for (char **cell = cells; *cell; cell++) {
			g_strdelimit(*cell, "`", ' ');
			g_strstrip(*cell);
		}
		g_ptr_array_add(rows, cells);
	}
	g_strfreev(lines);
	g_free(page);
	return rows;
}

static const char *level_name(GLogLevelFlags level)
{
	switch (level) {
	case G_LOG_LEVEL_CRITICAL:
		return "critical";
	case G_LOG_LEVEL_WARNING:
		return "warning";
	case G_LOG_LEVEL_MESSAGE:
		return "notice";
	case G_LOG_LEVEL_INFO:
		return "info";
	default:
		return "debug";
	}
}

/*
 * Checks that a row has all cells and none is empty. The array has one more piece: the text after
 * the last bar.
 */
static void check_cells(char **cells, uint32_t count)
{
	ck_assert_msg(g_strv_length(cells) == count + 1, "row of %s: wrong number of cells",
		      cells[0]);
	for (uint32_t i = 0; i < count; i++)
		ck_assert_msg(cells[i][0] != '\0', "row of %s: cell %u is empty", cells[0], i);
}

/*
 * Guards against an event that is undocumented, or documented but gone. The rows are in the order
 * of the code, so that a missing row or event shows in a comparison by index.
 */
START_TEST(test_events)
{
	GPtrArray *rows = read_table("Events");

	for (guint i = 0; i < MAX(rows->len, (guint)PW_EVENT_COUNT); i++) {
		const struct pw_event_info *info;
		char **cells;
		char number[16];

		ck_assert_msg(i < rows->len, "no row for %s", pw_event_info(i)->name);
		cells = g_ptr_array_index(rows, i);
		ck_assert_msg(i < PW_EVENT_COUNT, "no event for the row of %s", cells[0]);
		info = pw_event_info(i);
		g_snprintf(number, sizeof(number), "%u", info->number);
		check_cells(cells, EVENT_COLUMNS);
		ck_assert_str_eq(cells[0], number);
		ck_assert_str_eq(cells[1], info->name);
		ck_assert_str_eq(cells[2], level_name(info->level));
	}
	g_ptr_array_unref(rows);
}
END_TEST

/* Guards against a counter that is undocumented, or documented but gone. */
START_TEST(test_counters)
{
	GPtrArray *rows = read_table("Counters");

	for (guint i = 0; i < MAX(rows->len, (guint)PW_COUNTER_COUNT); i++) {
		char **cells;

		ck_assert_msg(i < rows->len, "no row for %s", pw_counter_info(i)->name);
		cells = g_ptr_array_index(rows, i);
		ck_assert_msg(i < PW_COUNTER_COUNT, "no counter for the row of %s", cells[0]);
		check_cells(cells, METRIC_COLUMNS);
		ck_assert_str_eq(cells[0], pw_counter_info(i)->name);
	}
	g_ptr_array_unref(rows);
}
END_TEST

/* Guards against a histogram that is undocumented, or documented but gone. */
START_TEST(test_histograms)
{
	GPtrArray *rows = read_table("Histograms");

	for (guint i = 0; i < MAX(rows->len, (guint)PW_HISTOGRAM_COUNT); i++) {
		char **cells;

		ck_assert_msg(i < rows->len, "no row for %s", pw_histogram_info(i)->name);
		cells = g_ptr_array_index(rows, i);
		ck_assert_msg(i < PW_HISTOGRAM_COUNT, "no histogram for the row of %s", cells[0]);
		check_cells(cells, METRIC_COLUMNS);
		ck_assert_str_eq(cells[0], pw_histogram_info(i)->name);
	}
	g_ptr_array_unref(rows);
}
END_TEST

/* Guards against a number or name that two events or two counters share. */
START_TEST(test_unique)
{
	for (guint i = 0; i < PW_EVENT_COUNT; i++) {
		for (guint k = 0; k < i; k++) {
			ck_assert_uint_ne(pw_event_info(i)->number, pw_event_info(k)->number);
			ck_assert_str_ne(pw_event_info(i)->name, pw_event_info(k)->name);
		}
	}
	for (guint i = 0; i < PW_COUNTER_COUNT; i++) {
		for (guint k = 0; k < i; k++)
			ck_assert_str_ne(pw_counter_info(i)->name, pw_counter_info(k)->name);
	}
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("catalogue");

	tcase_add_test(tc, test_events);
	tcase_add_test(tc, test_counters);
	tcase_add_test(tc, test_histograms);
	tcase_add_test(tc, test_unique);
	return pw_suite_run("catalogue", tc);
}
