/**
 * @file peer.h
 * Encoding and decoding of the messages between VMs. On the wire, they are in protobuf format.
 */
#ifndef PW_CODEC_PEER_H
#define PW_CODEC_PEER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "pw/decide/member.h"
#include "pw/decide/quota.h"
#include "pw/decide/revision.h"

#define PW_PEER_PROTOCOL_VERSION 1

/** Maximum size of a message: room for a document of PW_DOCUMENT_MAX_BYTES and its envelope. */
#define PW_PEER_MAX_BYTES ((size_t)2 * 1024 * 1024)

/*
 * Maximum number of items in one list of a message. An item takes as little as two bytes on the
 * wire but about 100 in memory, so limiting the size of a message does not bound its memory. The
 * protocol is designed for fleets of up to 7,300 members.
 */
#define PW_PEER_MAX_MEMBERS 16384 /**< members, previous members or echoes */
#define PW_PEER_MAX_HINTS   36864 /**< one per account and two per server of a full document */

/** Maximum of memory that unpacking one message may take. */
#define PW_PEER_MAX_MEMORY_BYTES ((size_t)16 * 1024 * 1024)

/** Kind of a message, with the fields of struct pw_peer_message that it sets. */
enum pw_peer_kind {
	PW_PEER_HEARTBEAT, /**< `heartbeat`, `hints`, `report` */
	PW_PEER_TABLE_FETCH,
	PW_PEER_TABLE, /**< `table` */
	PW_PEER_DOCUMENT_FETCH,
	PW_PEER_DOCUMENT,     /**< `document_revision`, `document_text` */
	PW_PEER_ANNOUNCEMENT, /**< `report` */
	PW_PEER_QUOTA_ASK,    /**< `ask` */
	PW_PEER_QUOTA_GRANT,  /**< `grant` */
	PW_PEER_QUOTA_ACK,    /**< `ack` */
	PW_PEER_VOTE,         /**< `database`, `term`, `suspects_primary` */
	PW_PEER_RECORD,       /**< `database`, `term`, `primary_address` */
	PW_PEER_CANCEL,       /**< `process_id`, `secret` */
};

/** A message. Only `kind`, `sender`, `incarnation` and the fields listed at its kind are set. */
struct pw_peer_message {
	enum pw_peer_kind kind;
	char sender[PW_MEMBER_NAME_SIZE];
	uint64_t incarnation; /**< of the sender */
	struct pw_heartbeat heartbeat;
	GArray *hints; /**< struct pw_quota_hint */
	struct pw_revision_report report;
	struct pw_member_table table;
	uint64_t document_revision;
	GBytes *document_text;
	struct pw_quota_ask ask;
	struct pw_quota_grant grant;
	struct pw_quota_ack ack;
	char database[PW_MEMBER_NAME_SIZE];
	char primary_address[PW_MEMBER_ADDRESS_SIZE]; /**< IP:PORT of the promoted server */
	uint64_t term;         /**< of the promotion, or of the primary that the vote is about */
	bool suspects_primary; /**< the sender of the vote suspects the primary */
	uint32_t process_id;   /**< of the session whose request is cancelled */
	uint32_t secret;       /**< cancel key of that session */
};

void pw_peer_message_init(struct pw_peer_message *m, enum pw_peer_kind kind);
void pw_peer_message_dispose(struct pw_peer_message *m);

/** Appends the encoded message. */
void pw_peer_encode(GByteArray *out, const struct pw_peer_message *m);

/**
 * Decodes a message. Unknown fields are ignored.
 *
 * @param out initialised by this function; the caller disposes of it only if the function succeeds
 * @return 0; PW_EINVALID if the message is malformed, has another version or an unknown kind, a
 *         list or string that is too long, or a string that is not UTF-8 or contains quotes,
 *         backslashes or control characters; PW_EOVERFLOW above PW_PEER_MAX_BYTES
 */
int pw_peer_decode(struct pw_peer_message *out, const void *data, size_t size_bytes);

/** Appends the member table in the encoding that the store holds. */
void pw_peer_table_encode(GByteArray *out, const struct pw_member_table *t);

/**
 * Decodes a member table.
 *
 * @param out initialised by the caller
 * @return 0, or PW_EINVALID with `out` unchanged
 */
int pw_peer_table_decode(struct pw_member_table *out, const void *data, size_t size_bytes);

#endif
