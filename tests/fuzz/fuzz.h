/**
 * @file fuzz.h
 * Driver of the fuzzing harnesses. A harness defines LLVMFuzzerTestOneInput(), its seeds and its
 * number of rounds. The compiler's fuzzer (PW_FUZZER) brings its own main(); without it, main()
 * here runs the harness on randomly mutated seeds for a fixed number of rounds.
 */
#ifndef PW_TESTS_FUZZ_H
#define PW_TESTS_FUZZ_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Maximum size of an input. */
#define FUZZ_MAX_BYTES 4096

/** The rounds end early after this time, so that the test also finishes on a slow machine. */
#define FUZZ_TIMEOUT_US (6 * G_USEC_PER_SEC)

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes);

/** Appends the seed inputs, each a GByteArray. */
void fuzz_add_seeds(GPtrArray *seeds);

/** Number of rounds without the compiler's fuzzer. */
extern const uint32_t fuzz_round_count;

/** Aborts with a message if the condition is false; a fuzzer reports this as a crash. */
#define FUZZ_CHECK(condition)                                                            \
	do {                                                                             \
		if (!(condition)) {                                                      \
			fprintf(stderr, "%s:%d: check failed: %s\n", __FILE__, __LINE__, \
				#condition);                                             \
			abort();                                                         \
		}                                                                        \
	} while (0)

/** Appends a copy of the data to the seeds. */
static inline void fuzz_add_seed(GPtrArray *seeds, const void *data, size_t size_bytes)
{
	GByteArray *b = g_byte_array_new();

	g_byte_array_append(b, data, (guint)size_bytes);
	g_ptr_array_add(seeds, b);
}

#ifndef PW_FUZZER

/* Returns a random number below `n`, or 0 if `n` is 0. */
static inline guint fuzz_random_below(GRand *r, guint n)
{
	return n ? (guint)g_rand_int_range(r, 0, (gint32)n) : 0;
}

/*
 * Mutates the input once: changes a byte, removes or repeats a part, or replaces the end by the end
 * of a seed.
 */
static inline void fuzz_mutate(GByteArray *b, GRand *r, const GPtrArray *seeds)
{
	static const uint8_t boundary_bytes[] = {
		0, 1, 0x7f, 0x80, 0xff, '"', '\'', '\\', '{', ';'
	};
	const GByteArray *other_seed = g_ptr_array_index(seeds, fuzz_random_below(r, seeds->len));
	guint offset = fuzz_random_below(r, b->len), part_bytes;

	switch (fuzz_random_below(r, 6)) {
	case 0:
		if (b->len)
			b->data[offset] = (uint8_t)g_rand_int(r);
		break;
	case 1:
		if (b->len)
			b->data[offset] =
				boundary_bytes[fuzz_random_below(r, sizeof(boundary_bytes))];
		break;
	case 2:
		if (b->len)
			b->data[offset] ^= (uint8_t)(1u << fuzz_random_below(r, 8));
		break;
	case 3:
		part_bytes = fuzz_random_below(r, b->len - offset + 1);
		if (part_bytes)
			g_byte_array_remove_range(b, offset, MIN(part_bytes, 16));
		break;
	case 4:
		part_bytes = fuzz_random_below(r, b->len - offset + 1);
		if (part_bytes && b->len + part_bytes <= FUZZ_MAX_BYTES) {
			uint8_t *copy = g_memdup2(b->data + offset, part_bytes);

			g_byte_array_append(b, copy, part_bytes);
			g_free(copy);
		}
		break;
	default:
		part_bytes = fuzz_random_below(r, other_seed->len + 1);
		g_byte_array_set_size(b, offset);
		g_byte_array_append(b, other_seed->data + other_seed->len - part_bytes, part_bytes);
		if (b->len > FUZZ_MAX_BYTES)
			g_byte_array_set_size(b, FUZZ_MAX_BYTES);
		break;
	}
}

static inline void fuzz_run_input(const GByteArray *b)
{
	/* A copy of the exact size (but not NULL), so that sanitizers detect reads past its end. */
	uint8_t *data = g_malloc(b->len + !b->len);

	memcpy(data, b->data, b->len);
	LLVMFuzzerTestOneInput(data, b->len);
	g_free(data);
}

/* `program SEED` runs the rounds with another seed of the random number generator; default: 1. */
int main(int argc, char **argv)
{
	guint32 seed = argc > 1 ? (guint32)strtoul(argv[1], NULL, 10) : 1;
	GPtrArray *seeds = g_ptr_array_new_with_free_func((GDestroyNotify)g_byte_array_unref);
	GRand *r = g_rand_new_with_seed(seed);
	gint64 end_us = g_get_monotonic_time() + FUZZ_TIMEOUT_US;
	uint32_t round = 0;

	fuzz_add_seeds(seeds);
	for (guint i = 0; i < seeds->len; i++)
		fuzz_run_input(g_ptr_array_index(seeds, i));
	for (; round < fuzz_round_count && g_get_monotonic_time() < end_us; round++) {
		const GByteArray *seed_input =
			g_ptr_array_index(seeds, fuzz_random_below(r, seeds->len));
		GByteArray *b = g_byte_array_new();

		if (seed_input->len)
			g_byte_array_append(b, seed_input->data, seed_input->len);
		for (guint k = 1 + fuzz_random_below(r, 6); k > 0; k--)
			fuzz_mutate(b, r, seeds);
		fuzz_run_input(b);
		g_byte_array_unref(b);
	}
	printf("%u rounds with seed %u\n", round, seed);
	g_rand_free(r);
	g_ptr_array_unref(seeds);
	return EXIT_SUCCESS;
}

#endif
#endif
