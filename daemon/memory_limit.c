#include "memory_limit.h"

#include <glib.h>
#include <malloc.h>
#include <string.h>
#include <sys/resource.h>

#define MEMINFO_PATH  "/proc/meminfo"
#define MEMINFO_TOTAL "MemTotal:"
#define BYTES_PER_KIB UINT64_C(1024)
#define BYTES_PER_MB  UINT64_C(1000000)
/* Assumed if the memory of the machine cannot be read. */
#define FALLBACK_BYTES        (160 * BYTES_PER_MB)
#define DESCRIPTORS_UNLIMITED UINT64_C(1000000)

/* Returns the memory of the machine in bytes. */
static uint64_t read_machine_bytes(void)
{
	char *text = NULL;
	const char *found;
	uint64_t kib = 0;

	if (!g_file_get_contents(MEMINFO_PATH, &text, NULL, NULL))
		return FALLBACK_BYTES;
	found = strstr(text, MEMINFO_TOTAL);
	if (found)
		kib = g_ascii_strtoull(found + strlen(MEMINFO_TOTAL), NULL, 10);
	g_free(text);
	return kib ? kib * BYTES_PER_KIB : FALLBACK_BYTES;
}

void pw_memory_limit_init(struct pw_memory_budget *b, const struct pw_process_settings *s,
			  uint32_t task_count)
{
	pw_memory_budget_init(
		b, s->memory_limit_mb ? s->memory_limit_mb * BYTES_PER_MB : read_machine_bytes(),
		task_count);
}

uint64_t pw_descriptor_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) || limit.rlim_cur == RLIM_INFINITY)
		return DESCRIPTORS_UNLIMITED;
	return limit.rlim_cur;
}

void pw_memory_limit_trim(struct pw_memory_budget *b)
{
	if (pw_memory_should_trim(b))
		(void)malloc_trim(0);
}
