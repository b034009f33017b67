#include "pw/codec/pg_exchange.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "pw/core/clock.h"
#include "pw/core/error.h"
#include "pw/core/number.h"

#define SQLSTATE_FAILED_TRANSACTION "25P02"

void pw_pg_new_token(char token[PW_PG_TOKEN_SIZE])
{
	snprintf(token, PW_PG_TOKEN_SIZE, "%016" PRIx64, pw_clock_random_u64());
}

/* Reads the row count at the end of a command tag, for example "SELECT 3". */
static void read_row_count(struct pw_exchange_message *out, const struct pw_pg_frame *f)
{
	struct pw_pg_reader r;
	const char *tag, *count;

	pw_pg_reader_init(&r, f);
	tag = pw_pg_get_string(&r);
	count = strrchr(tag, ' ');
	out->has_row_count = count && pw_number_parse(&out->row_count, count + 1, 0, UINT64_MAX);
}

static bool row_has_token(const struct pw_pg_frame *f, const char *token)
{
	char *value = NULL;
	bool equal =
		pw_pg_read_data_row(&value, f, 1) == PW_OK && value && strcmp(value, token) == 0;

	g_free(value);
	return equal;
}

static enum pw_exchange_state read_state(const struct pw_pg_frame *f)
{
	struct pw_pg_reader r;

	pw_pg_reader_init(&r, f);
	switch ((char)pw_pg_get_u8(&r)) {
	case 'I':
		return PW_EXCHANGE_STATE_IDLE;
	case 'T':
		return PW_EXCHANGE_STATE_IN_TRANSACTION;
	default:
		return PW_EXCHANGE_STATE_FAILED;
	}
}

void pw_pg_get_exchange_message(struct pw_exchange_message *out, const struct pw_pg_frame *f,
				const char *token)
{
	*out = (struct pw_exchange_message){ .kind = PW_EXCHANGE_OTHER };
	switch (f->type) {
	case 'T':
		out->kind = PW_EXCHANGE_DESCRIPTION;
		break;
	case 'D':
		out->kind = PW_EXCHANGE_ROW;
		out->has_token = row_has_token(f, token);
		break;
	case 'C':
		out->kind = PW_EXCHANGE_COMPLETE;
		read_row_count(out, f);
		break;
	case 'I': /* EmptyQueryResponse */
	case 's': /* PortalSuspended */
		out->kind = PW_EXCHANGE_COMPLETE;
		break;
	case 'E':
		out->kind = PW_EXCHANGE_ERROR;
		out->is_refusal =
			g_strcmp0(pw_pg_get_error_field(f, 'C'), SQLSTATE_FAILED_TRANSACTION) == 0;
		break;
	case 'Z':
		out->kind = PW_EXCHANGE_END;
		out->state = read_state(f);
		break;
	default:
		break;
	}
}

bool pw_pg_is_asynchronous(const struct pw_pg_frame *f)
{
	/* ParameterStatus, NotificationResponse, NoticeResponse */
	return strchr("SAN", f->type) != NULL;
}
