/**
 * Token requests and replies as bytes. Messages are bounded, and every field
 * of a message from another node is checked.
 */
#ifndef MASTICMUX_PRIVATE_QUOTA_CODEC_H
#define MASTICMUX_PRIVATE_QUOTA_CODEC_H

#include "masticmux/change.h"
#include "private/quota.h"

/** Accounts in one message. */
#define MMX_QUOTA_LINES_MAX 128
/** Tokens in one line. */
#define MMX_QUOTA_TOKENS_MAX 10000

/** What the receiver of a token request may do. */
typedef enum mmx_quota_hop_t {
	MMX_QUOTA_HOP_OWNER,   /**< it is the first owner, or relays to it */
	MMX_QUOTA_HOP_STANDBY, /**< the first owner did not answer the requester
				*/
	MMX_QUOTA_HOP_RELAYED, /**< it decides itself */
	MMX_QUOTA_HOP_PROBE,   /**< whether it hears from the first owner */
	MMX_QUOTA_HOP_ACTIVE,  /**< the sender is the active first owner */
	MMX_QUOTA_HOP_COUNT
} mmx_quota_hop_t;

extern const char *const mmx_quota_hop_string[MMX_QUOTA_HOP_COUNT];

/** One account of a token request. */
typedef struct mmx_quota_ask_t {
	char account[MMX_NAME_MAX + 1];
	mmx_quota_limit_t limit;
	uint32_t wanted;
	uint32_t prefetch; /**< used in the last 0.5 s; most tokens beyond */
	uint32_t given_back;
	uint32_t given_back_age_ms; /* of the oldest one since its issue */
	mmx_quota_hop_t hop;
} mmx_quota_ask_t;

/** The reply for one account, in the order of the token request. */
typedef struct mmx_quota_answer_t {
	uint32_t granted;
	uint32_t retry_after_ms; /**< 0 if nothing was refused */
	uint32_t use;		 /**< permille of the limit */
	bool heard;		 /**< heard from the first owner lately */
} mmx_quota_answer_t;

/** True for 1 to MMX_NAME_MAX bytes without control bytes: the operator chooses
 * the names of accounts. */
bool mmx_quota_is_valid_account(const char *name);

/**
 * Encodes a message.
 *
 * @param count   of lines, at most MMX_QUOTA_LINES_MAX
 * @param length  set to the number of bytes
 * @return to be freed with g_free()
 */
uint8_t *mmx_quota_asks_encode(const mmx_quota_ask_t *asks, size_t count,
			       size_t *length);
uint8_t *mmx_quota_answers_encode(const mmx_quota_answer_t *answers,
				  size_t count, size_t *length);

/**
 * Decodes a message.
 *
 * @param lines  room for MMX_QUOTA_LINES_MAX lines
 * @param count  set to their number
 * @return false if the message is malformed
 */
bool mmx_quota_asks_decode(const uint8_t *bytes, size_t length,
			   mmx_quota_ask_t *lines, size_t *count);
bool mmx_quota_answers_decode(const uint8_t *bytes, size_t length,
			      mmx_quota_answer_t *lines, size_t *count);

#endif
