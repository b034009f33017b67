#include "pw/core/transport.h"

#include <errno.h>
#include <sys/socket.h>

#include "pw/core/error.h"

static int32_t plain_result(ssize_t n)
{
	if (n >= 0)
		return (int32_t)n;
	return errno == EAGAIN || errno == EINTR ? PW_EAGAIN : PW_ESYSTEM;
}

static int32_t plain_read(struct pw_transport *t, int32_t fd, void *data, uint32_t size_bytes)
{
	(void)t;
	return plain_result(recv(fd, data, size_bytes, 0));
}

static int32_t plain_write(struct pw_transport *t, int32_t fd, const void *data,
			   uint32_t size_bytes)
{
	(void)t;
	return plain_result(send(fd, data, size_bytes, MSG_NOSIGNAL));
}

static void plain_shutdown(struct pw_transport *t)
{
	(void)t;
}

static void plain_free(struct pw_transport *t)
{
	(void)t;
}

static const struct pw_transport_ops plain_ops = {
	.name = "plain",
	.read = plain_read,
	.write = plain_write,
	.shutdown = plain_shutdown,
	.free = plain_free,
};

struct pw_transport pw_transport_plain = { .ops = &plain_ops };
