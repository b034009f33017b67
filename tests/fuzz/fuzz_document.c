/*
 * Fuzzing of the service document: the look-ups of a valid document work, its text can be parsed
 * again, and every refusal comes with a finding.
 */
#include "fuzz.h"

#include "pw/codec/document.h"
#include "pw/core/error.h"

const uint32_t fuzz_round_count = 60000;

static void check_lookups(const struct pw_document *d)
{
	static const char *const statements[] = { "", "select 1", "insert into t", "x" };

	for (uint32_t i = 0; i < d->database_count; i++) {
		FUZZ_CHECK(pw_document_find_database(d, d->databases[i].name) == &d->databases[i]);
		for (size_t k = 0; k < G_N_ELEMENTS(statements); k++) {
			const struct pw_document_route *r =
				pw_document_find_route(d, &d->databases[i], statements[k]);

			FUZZ_CHECK(!r || r->database == &d->databases[i]);
		}
	}
	for (uint32_t i = 0; i < d->account_count; i++)
		FUZZ_CHECK(pw_document_find_account(d, d->accounts[i].name) == &d->accounts[i]);
	for (uint32_t i = 0; i < d->draining_count; i++)
		FUZZ_CHECK(pw_document_is_draining(d, d->draining[i]));
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes)
{
	const struct pw_document *d = NULL, *reparsed = NULL;
	struct pw_findings *f = NULL;
	char normalised[PW_DOCUMENT_STATEMENT_BYTES];
	int rc;

	pw_document_normalise_statement(normalised, sizeof(normalised), (const char *)data,
					size_bytes);
	pw_findings_new(&f);
	rc = pw_document_parse(&d, (const char *)data, size_bytes, 1, f);
	FUZZ_CHECK((rc == PW_OK) == (d != NULL) && !d == (pw_findings_count(f) > 0));
	if (d) {
		check_lookups(d);
		FUZZ_CHECK(!pw_document_parse(&reparsed, d->text, d->text_size_bytes, 2, f));
		pw_document_unref(reparsed);
	}
	pw_document_unref(d);
	pw_findings_free(f);
	return 0;
}

void fuzz_add_seeds(GPtrArray *seeds)
{
	static const char without_databases[] =
		"{\"service\":\"s\",\"version\":1,\"databases\":[]}";
	static const char complete[] =
		"{\"service\":\"s\",\"version\":1,\"databases\":[{\"name\":\"db\",\"kind\":\"pw\","
		"\"durability\":\"term\",\"servers\":[{\"name\":\"a\",\"address\":\"[::1]:5501\","
		"\"availability_zone\":\"z\",\"connections\":20,\"slots\":3,\"leaving\":true}]}],"
		"\"routes\":[{\"name\":\"r\",\"database\":\"db\",\"match\":[\"select\",\"\"],"
		"\"access\":\"keyed\",\"kind\":\"read\",\"stale_age_ms\":5,\"repeatable\":true,"
		"\"session\":\"strict\",\"timeout_ms\":7}],\"accounts\":[{\"name\":\"a\","
		"\"rate_per_s\":1,\"burst\":9,\"max_connections\":4,\"databases\":[\"db\"],"
		"\"keys\":[{\"id\":\"0000000a\",\"salt\":\"000102030405060708090a0b0c0d0e0f\","
		"\"hash\":\"000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f\"}]}],"
		"\"limits\":{\"queue_per_account\":5,\"account_memory_bytes\":1048576},"
		"\"draining\":[\"vm-1\",\"vm-2\"]}";
	static const char too_deep[] = "[[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]]";

	fuzz_add_seed(seeds, without_databases, sizeof(without_databases) - 1);
	fuzz_add_seed(seeds, complete, sizeof(complete) - 1);
	fuzz_add_seed(seeds, too_deep, sizeof(too_deep) - 1);
}
