#include "pw/decide/registry.h"

bool pw_registry_update(struct pw_registry_state *state, bool listed, uint64_t now_us)
{
	if (listed) {
		state->missing_since_us = 0;
		return true;
	}
	if (!state->missing_since_us)
		state->missing_since_us = now_us;
	return now_us - state->missing_since_us < PW_REGISTRY_GRACE_PERIOD_US;
}
