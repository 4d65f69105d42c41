/**
 * Members of the fleet: what is known and said about one node.
 *
 * Plain data that the membership module, the codec and their users share.
 */
#ifndef MASTICMUX_MEMBER_H
#define MASTICMUX_MEMBER_H

#include "masticmux/settings.h"
#include "masticmux/types.h"

/** In order of precedence for one incarnation and refutation number. */
typedef enum mmx_member_state_t {
	MMX_MEMBER_ALIVE,
	MMX_MEMBER_UNREACHABLE, /**< some member cannot reach it */
	MMX_MEMBER_DEAD,
	MMX_MEMBER_LEFT, /**< announced by the member itself */
	MMX_MEMBER_STATE_COUNT
} mmx_member_state_t;

extern const char *const mmx_member_state_string[MMX_MEMBER_STATE_COUNT];

/** Record of a member, as it travels between nodes. */
typedef struct mmx_member_t {
	mmx_node_id_t id;
	mmx_incarnation_t incarnation;
	/** Raised by the member itself to refute reports about it; starts at 0
	 *  with each incarnation, so that attempts keep their incarnation. */
	uint32_t refutation;
	mmx_member_state_t state;
	uint64_t applied_offset; /**< configuration in force at the member */
	mmx_address_t nodes;	 /**< TCP and UDP between nodes */
	mmx_address_t operators; /**< port 0 when not known */
	char name[MMX_NAME_MAX + 1];
	char region[MMX_NAME_MAX + 1];
	char zone[MMX_NAME_MAX + 1];
} mmx_member_t;

/** What one member says about the state of another. */
typedef struct mmx_opinion_t {
	mmx_node_id_t subject;
	mmx_incarnation_t incarnation;
	uint32_t refutation;
	mmx_member_state_t state;
	mmx_node_id_t reporter; /**< 0 except for MMX_MEMBER_UNREACHABLE */
} mmx_opinion_t;

#endif
