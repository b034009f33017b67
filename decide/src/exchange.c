#include "pw/decide/exchange.h"

void pw_exchange_begin(struct pw_exchange *x, uint32_t answer_count, bool rows_need_description)
{
	*x = (struct pw_exchange){
		.active = true,
		.answers_left = answer_count,
		.rows_need_description = rows_need_description,
		.state = x->state,
	};
}

static enum pw_exchange_verdict check_answer(struct pw_exchange *x,
					     const struct pw_exchange_message *m)
{
	switch (m->kind) {
	case PW_EXCHANGE_DESCRIPTION:
		x->described = true;
		break;
	case PW_EXCHANGE_ROW:
		if (x->rows_need_description && !x->described)
			return PW_EXCHANGE_FOREIGN;
		x->row_count++;
		break;
	case PW_EXCHANGE_COMPLETE:
		/* A write counts rows that it does not return. */
		if (m->has_row_count && x->row_count && x->row_count != m->row_count)
			return PW_EXCHANGE_FOREIGN;
		x->row_count = 0;
		x->described = false;
		break;
	case PW_EXCHANGE_END:
		if (x->row_count)
			return PW_EXCHANGE_FOREIGN;
		x->answers_left--;
		x->described = false;
		x->state = m->state;
		break;
	case PW_EXCHANGE_ERROR:
		x->row_count = 0;
		break;
	case PW_EXCHANGE_OTHER:
		break;
	}
	return PW_EXCHANGE_ANSWER;
}

/* The messages of the echo's answer: one row and its completion, or a refusal, and the end. */
static bool is_echo(const struct pw_exchange *x, const struct pw_exchange_message *m)
{
	static const enum pw_exchange_message_kind kinds[] = {
		PW_EXCHANGE_DESCRIPTION,
		PW_EXCHANGE_ROW,
		PW_EXCHANGE_COMPLETE,
		PW_EXCHANGE_END,
	};
	bool refused = x->state == PW_EXCHANGE_STATE_FAILED;

	if (refused)
		return x->echo_step == 0 ? m->kind == PW_EXCHANGE_ERROR && m->is_refusal
					 : m->kind == PW_EXCHANGE_END && m->state == x->state;
	if (m->kind != kinds[x->echo_step])
		return false;
	return m->kind == PW_EXCHANGE_ROW   ? m->has_token
	       : m->kind == PW_EXCHANGE_END ? m->state == x->state
					    : true;
}

enum pw_exchange_verdict pw_exchange_check(struct pw_exchange *x,
					   const struct pw_exchange_message *m)
{
	if (!x->active)
		return PW_EXCHANGE_FOREIGN;
	if (x->answers_left)
		return check_answer(x, m);
	if (!is_echo(x, m))
		return PW_EXCHANGE_FOREIGN;
	x->echo_step++;
	if (m->kind != PW_EXCHANGE_END)
		return PW_EXCHANGE_ECHO;
	x->active = false;
	return PW_EXCHANGE_CONFIRMED;
}
