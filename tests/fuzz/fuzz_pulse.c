/*
 * Fuzzing of the pulses, records of primaries and member entries of a fleet: what was decoded can
 * be encoded and decoded without change.
 */
#include "fuzz.h"

#include "pw/codec/primaries.h"
#include "pw/codec/pulse.h"
#include "pw/core/error.h"

const uint32_t fuzz_round_count = 200000;

static void check_pulse(const uint8_t *data, size_t size_bytes)
{
	uint8_t first[PW_PULSE_RECORD_MAX_BYTES], second[PW_PULSE_RECORD_MAX_BYTES];
	struct pw_pulse p, decoded;
	size_t encoded_bytes;

	if (pw_pulse_decode(&p, data, size_bytes))
		return;
	encoded_bytes = pw_pulse_encode(first, &p);
	if (encoded_bytes) {
		FUZZ_CHECK(encoded_bytes <=
			   (p.primaries_record ? PW_PULSE_RECORD_MAX_BYTES : PW_PULSE_MAX_BYTES));
		FUZZ_CHECK(!pw_pulse_decode(&decoded, first, encoded_bytes));
		FUZZ_CHECK(pw_pulse_encode(second, &decoded) == encoded_bytes &&
			   !memcmp(first, second, encoded_bytes));
		pw_pulse_dispose(&decoded);
	}
	pw_pulse_dispose(&p);
}

static void check_primaries(const char *text, size_t size_bytes)
{
	struct pw_primaries *p, *decoded;
	char *first, *second;

	if (pw_primaries_decode(&p, text, size_bytes, 1))
		return;
	first = pw_primaries_encode(p);
	FUZZ_CHECK(!pw_primaries_decode(&decoded, first, strlen(first), 1));
	second = pw_primaries_encode(decoded);
	FUZZ_CHECK(strcmp(first, second) == 0);
	g_free(first);
	g_free(second);
	pw_primaries_unref(p);
	pw_primaries_unref(decoded);
}

static void check_member(const char *text, size_t size_bytes)
{
	struct pw_fleet_member *m, *decoded;
	char *first, *second;

	if (pw_fleet_member_decode(&m, text, size_bytes))
		return;
	first = pw_fleet_member_encode(m);
	FUZZ_CHECK(!pw_fleet_member_decode(&decoded, first, strlen(first)));
	second = pw_fleet_member_encode(decoded);
	FUZZ_CHECK(strcmp(first, second) == 0);
	g_free(first);
	g_free(second);
	pw_fleet_member_free(m);
	pw_fleet_member_free(decoded);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes)
{
	check_pulse(data, size_bytes);
	check_primaries((const char *)data, size_bytes);
	check_member((const char *)data, size_bytes);
	return 0;
}

void fuzz_add_seeds(GPtrArray *seeds)
{
	const struct pw_fleet_member m = {
		.name = (char *)(uintptr_t) "vm-1",
		.address = (char *)(uintptr_t) "10.0.0.1:7000",
		.availability_zone = (char *)(uintptr_t) "zone-1",
		.incarnation = UINT64_MAX,
	};
	struct pw_primaries *record = pw_primaries_new();
	uint8_t data[PW_PULSE_RECORD_MAX_BYTES];
	struct pw_pulse p;
	char *text;

	pw_pulse_init(&p);
	p.sender = g_strdup("vm-1");
	p.address = g_strdup("10.0.0.1:7000");
	p.incarnation = UINT64_MAX;
	p.confirmed_revision = 410;
	p.needs_permit = true;
	p.primaries_record = g_strdup("{\"fence\":1,\"primaries\":[]}");
	pw_pulse_add_group(&p, "orders", 3, 250, true);
	pw_pulse_add_account(&p, "amber", 1.5F, 0.5F);
	fuzz_add_seed(seeds, data, pw_pulse_encode(data, &p));
	pw_pulse_dispose(&p);
	pw_primaries_set(record, "orders", "i-1", NULL, 3);
	pw_primaries_set(record, "bills", "i-2", NULL, UINT64_MAX);
	text = pw_primaries_encode(record);
	fuzz_add_seed(seeds, text, strlen(text));
	g_free(text);
	pw_primaries_unref(record);
	text = pw_fleet_member_encode(&m);
	fuzz_add_seed(seeds, text, strlen(text));
	g_free(text);
}
