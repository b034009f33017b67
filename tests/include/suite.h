/**
 * @file suite.h
 * Runs a test program: one suite with one test case.
 */
#ifndef PW_TESTS_SUITE_H
#define PW_TESTS_SUITE_H

#include <check.h>
#include <stdint.h>
#include <stdlib.h>

#define PW_ARRAY_LEN(a) (sizeof(a) / sizeof((a)[0]))

/**
 * Runs the tests of a test case and prints the totals.
 *
 * @param name name of the suite
 * @param tc   test case; the suite takes ownership
 * @return exit status of the program
 */
static inline int pw_suite_run(const char *name, TCase *tc)
{
	Suite *s = suite_create(name);
	SRunner *sr;
	int failed;

	tcase_set_timeout(tc, 100);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

#endif
