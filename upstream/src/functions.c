#include "pw/upstream/upstream.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "pw/core/error.h"
#include "pw/core/number.h"

/* Columns of the row that pw_status() returns, in their order. */
enum status_column {
	COLUMN_ROLE,
	COLUMN_TERM,
	COLUMN_LOG_TERM,
	COLUMN_LSN,
	COLUMN_TERM_START_LSN,
	COLUMN_PRIMARY_SILENCE_MS,
	COLUMN_DATA_AGE_MS,
	COLUMN_COUNT,
};

static const char *const column_names[COLUMN_COUNT] = {
	"role", "term", "log_term", "lsn", "term_start_lsn", "primary_silence_ms", "data_age_ms",
};

static const struct {
	const char *name;
	enum pw_server_role role;
} roles[] = {
	{ "primary", PW_SERVER_PRIMARY },
	{ "replica", PW_SERVER_REPLICA },
	{ "fenced", PW_SERVER_FENCED },
};

static const char *functions_status(const struct pw_upstream *u)
{
	(void)u;
	return "SELECT * FROM pw_status()";
}

/*
 * Formats a call of a control function, whose arguments are a term and a text. Quotes in the text
 * are doubled, since they would end the literal; a backslash has no special meaning in standard
 * strings.
 */
static char *format_call(const char *function, uint64_t term, const char *text)
{
	GString *s = g_string_new(NULL);

	g_string_printf(s, "SELECT * FROM %s(%" PRIu64 ",'", function, term);
	for (; *text; text++) {
		if (*text == '\'')
			g_string_append_c(s, '\'');
		g_string_append_c(s, *text);
	}
	g_string_append(s, "')");
	return g_string_free(s, FALSE);
}

static char *functions_echo(const struct pw_upstream *u, const char *token)
{
	(void)u;
	return g_strdup_printf("SELECT * FROM pw_echo('%s')", token);
}

static char *functions_fence(const struct pw_upstream *u, uint64_t term, const char *promoter)
{
	(void)u;
	return format_call("pw_fence", term, promoter);
}

static char *functions_promote(const struct pw_upstream *u, uint64_t term, const char *promoter)
{
	(void)u;
	return format_call("pw_promote", term, promoter);
}

static char *functions_follow(const struct pw_upstream *u, uint64_t term, const char *address)
{
	(void)u;
	return format_call("pw_follow", term, address);
}

static int parse_role(enum pw_server_role *out, const char *text)
{
	for (size_t i = 0; text && i < G_N_ELEMENTS(roles); i++) {
		if (!strcmp(text, roles[i].name)) {
			*out = roles[i].role;
			return PW_OK;
		}
	}
	return pw_error_set(PW_EINVALID, "status row: role is \"%s\"", text ? text : "NULL");
}

static int parse_number(uint64_t *out, const char *const *values, enum status_column column)
{
	const char *text = values[column];

	if (!text || !pw_number_parse(out, text, 0, UINT64_MAX))
		return pw_error_set(PW_EINVALID, "status row: %s is \"%s\"", column_names[column],
				    text ? text : "NULL");
	return PW_OK;
}

static int functions_parse_status(const struct pw_upstream *u, struct pw_server_status *out,
				  const char *const *values, uint16_t count)
{
	struct pw_server_status s;

	(void)u;
	if (count != COLUMN_COUNT)
		return pw_error_set(PW_EINVALID, "status row has %u columns, not %d", count,
				    COLUMN_COUNT);
	if (parse_role(&s.role, values[COLUMN_ROLE]) ||
	    parse_number(&s.term, values, COLUMN_TERM) ||
	    parse_number(&s.log_term, values, COLUMN_LOG_TERM) ||
	    parse_number(&s.lsn, values, COLUMN_LSN) ||
	    parse_number(&s.term_start_lsn, values, COLUMN_TERM_START_LSN) ||
	    parse_number(&s.primary_silence_ms, values, COLUMN_PRIMARY_SILENCE_MS) ||
	    parse_number(&s.data_age_ms, values, COLUMN_DATA_AGE_MS))
		return PW_EINVALID;
	*out = s;
	return PW_OK;
}

static const struct pw_upstream_ops functions_ops = {
	.name = "functions",
	.status_column_count = COLUMN_COUNT,
	.status_statement = functions_status,
	.echo_statement = functions_echo,
	.fence_statement = functions_fence,
	.promote_statement = functions_promote,
	.follow_statement = functions_follow,
	.parse_status = functions_parse_status,
};

const struct pw_upstream pw_upstream_sql_functions = { .ops = &functions_ops };
