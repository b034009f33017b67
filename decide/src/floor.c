#include "pw/decide/floor.h"

void pw_floor_probes_init(struct pw_floor_probes *probes, uint32_t server_count)
{
	*probes = (struct pw_floor_probes){ .server_count = server_count };
}

void pw_floor_probes_record(struct pw_floor_probes *probes, uint32_t server,
			    const struct pw_server_status *s, uint64_t sent_us)
{
	if (sent_us < probes->sent_us[server])
		return;
	probes->status[server] = *s;
	probes->sent_us[server] = sent_us;
}

static uint32_t count_at_term(const struct pw_floor_probes *probes, uint64_t since_us,
			      uint64_t term)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < probes->server_count; i++)
		n += probes->sent_us[i] >= since_us && probes->status[i].term == term;
	return n;
}

bool pw_floor_probes_upper_bound(const struct pw_floor_probes *probes, uint64_t since_us,
				 struct pw_position *out)
{
	/* A sending time of 0 marks a server that has not answered. */
	if (!since_us)
		since_us = 1;
	for (uint32_t i = 0; i < probes->server_count; i++) {
		const struct pw_server_status *s = &probes->status[i];

		if (probes->sent_us[i] < since_us || s->role != PW_SERVER_PRIMARY ||
		    !pw_is_majority(count_at_term(probes, since_us, s->term), probes->server_count))
			continue;
		*out = pw_server_position(s);
		return true;
	}
	return false;
}

void pw_floor_init(struct pw_floor *f, enum pw_floor_mode mode, uint64_t now_us)
{
	*f = (struct pw_floor){ .mode = mode, .probe_since_us = now_us };
}

void pw_floor_apply_token(struct pw_floor *f, const struct pw_position *token)
{
	f->mode = PW_FLOOR_PER_CONNECTION;
	if (!token)
		return;
	f->position = pw_position_max(&f->position, token);
	f->known = true;
}

void pw_floor_record_write(struct pw_floor *f, const struct pw_position *p)
{
	f->position = pw_position_max(&f->position, p);
}

uint64_t pw_floor_probe_since_us(const struct pw_floor *f, uint64_t read_us)
{
	if (f->mode == PW_FLOOR_STRICT)
		return read_us;
	return f->known ? 0 : f->probe_since_us;
}

enum pw_floor_decision pw_floor_check(struct pw_floor *f, const struct pw_floor_probes *probes,
				      uint64_t read_us, const struct pw_position *server_position)
{
	uint64_t since_us = pw_floor_probe_since_us(f, read_us);
	struct pw_position bound;

	if (since_us) {
		if (!pw_floor_probes_upper_bound(probes, since_us, &bound))
			return PW_FLOOR_NEEDS_PROBE;
		f->position = pw_position_max(&f->position, &bound);
		f->known = true;
	}
	return pw_position_compare(server_position, &f->position) >= 0 ? PW_FLOOR_MAY_READ
								       : PW_FLOOR_SERVER_BEHIND;
}

bool pw_floor_check_lost_writes(struct pw_floor *f, const struct pw_position *start)
{
	if (!pw_position_is_lost(&f->position, start))
		return false;
	f->position = *start;
	return true;
}
