/**
 * @file pg_exchange.h
 * Translates messages of a server for the decision whether they are part of the answer that is due,
 * see pw/decide/exchange.h.
 */
#ifndef PW_CODEC_PG_EXCHANGE_H
#define PW_CODEC_PG_EXCHANGE_H

#include "pw/codec/pg.h"
#include "pw/decide/exchange.h"

#define PW_PG_TOKEN_SIZE 17

/** Chooses a token for an echo statement, which no other statement of any process has. */
void pw_pg_new_token(char token[PW_PG_TOKEN_SIZE]);

/** @param token of the echo statement in flight */
void pw_pg_get_exchange_message(struct pw_exchange_message *out, const struct pw_pg_frame *f,
				const char *token);

/** @return whether the server may send the message at any time, also while no answer is due */
bool pw_pg_is_asynchronous(const struct pw_pg_frame *f);

#endif
