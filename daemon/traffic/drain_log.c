#include "drain_log.h"

#include <inttypes.h>

#include "pw/core/clock.h"
#include "pw/core/event.h"
#include "pw/core/stream.h"

void pw_drain_counts_add_close(struct pw_drain_counts *n, bool is_closing, bool by_caller,
			       bool unanswered, bool crossed)
{
	n->unanswered += unanswered;
	n->crossed += crossed;
	if (is_closing)
		n->closed++;
	else if (by_caller)
		n->left++;
	else
		n->cut++;
}

void pw_drain_log_crossed(const struct pw_stream *s, const char *account, const char *database,
			  uint64_t started_us)
{
	if (!s->discarded_us || !pw_event_is_logged(PW_EVENT_REQUEST_CROSSED))
		return;
	pw_event_log(PW_EVENT_REQUEST_CROSSED,
		     "account=%s database=%s port=%u bytes=%u closed_ms=%" PRIu64
		     " after_us=%" PRIu64,
		     account ? account : "", database ? database : "", s->remote_port,
		     s->discarded_bytes, (s->shut_down_us - started_us) / PW_US_PER_MS,
		     s->discarded_us - s->shut_down_us);
}

void pw_drain_log_start(const struct pw_drain_start *s)
{
	pw_event_log(PW_EVENT_DRAIN_STARTED,
		     "task=%s index=%u sessions=%u statements=%u transactions=%u accepted=%u "
		     "ends_in_ms=%" PRIu64,
		     s->task, s->index, s->session_count, s->statement_count, s->transaction_count,
		     s->accepted_count, s->ends_in_us / PW_US_PER_MS);
}

void pw_drain_log_end(const struct pw_drain_counts *n, const char *task, uint32_t index,
		      uint64_t age_us)
{
	pw_event_log(PW_EVENT_DRAIN_ENDED,
		     "task=%s index=%u ms=%" PRIu64
		     " answered=%u refused=%u stopped=%u closed=%u left=%u cut=%u unanswered=%u "
		     "crossed=%u",
		     task, index, age_us / PW_US_PER_MS, n->answered, n->refused, n->stopped,
		     n->closed, n->left, n->cut, n->unanswered, n->crossed);
}
