#include "pw/core/error.h"

#include <stdarg.h>
#include <stdio.h>

#define MESSAGE_MAX_BYTES 512

static _Thread_local char last_message[MESSAGE_MAX_BYTES];

int pw_error_set(int code, const char *format, ...)
{
	va_list ap;

	va_start(ap, format);
	vsnprintf(last_message, sizeof(last_message), format, ap);
	va_end(ap);
	return code;
}

const char *pw_error_message(void)
{
	return last_message;
}
