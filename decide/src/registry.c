#include "pw/decide/registry.h"

bool pw_registry_update(struct pw_registry_state *m, bool listed, uint64_t now_us)
{
	if (listed) {
		m->missing_since_us = 0;
		return true;
	}
	if (!m->missing_since_us)
		m->missing_since_us = now_us;
	return now_us - m->missing_since_us < PW_REGISTRY_GRACE_PERIOD_US;
}
