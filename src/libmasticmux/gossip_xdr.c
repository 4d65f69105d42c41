#include "private/gossip_xdr.h"

#include <arpa/inet.h>
#include <string.h>

/* The state of a target shares a word with its slots. */
#define STATE_SHIFT 16
#define SLOTS_MASK 0xffffU

/* Names occur in logs and status pages, so control bytes are refused. */
static bool name_valid_(const char *name)
{
	const char *c;

	for (c = name; *c; c++) {
		if ((unsigned char)*c < 0x20 || *c == 0x7f)
			return false;
	}
	return c > name;
}

static bool xdr_name_(XDR *xdrs, char *name)
{
	return xdr_string(xdrs, &name, MMX_NAME_MAX) && name_valid_(name);
}

static bool xdr_address_(XDR *xdrs, mmx_address_t *address, bool optional)
{
	uint8_t binary[sizeof(struct in6_addr)];
	uint32_t port = address->port;
	char *host = address->host;

	if (!xdr_uint32_t(xdrs, &port) || port > UINT16_MAX)
		return false;
	address->port = (uint16_t)port;
	if (!port) {
		address->host[0] = 0;
		return optional;
	}
	return xdr_string(xdrs, &host, MMX_ADDRESS_MAX) &&
	       (inet_pton(AF_INET, host, binary) == 1 ||
		inet_pton(AF_INET6, host, binary) == 1);
}

static bool xdr_state_(XDR *xdrs, mmx_member_state_t *state)
{
	uint32_t value = *state;

	if (!xdr_uint32_t(xdrs, &value) || value >= MMX_MEMBER_STATE_COUNT)
		return false;
	*state = (mmx_member_state_t)value;
	return true;
}

bool mmx_xdr_member(XDR *xdrs, mmx_member_t *member)
{
	if (!xdr_name_(xdrs, member->name) ||
	    !xdr_uint64_t(xdrs, &member->incarnation) ||
	    !xdr_uint32_t(xdrs, &member->refutation) ||
	    !xdr_state_(xdrs, &member->state) ||
	    !xdr_uint64_t(xdrs, &member->applied_offset) ||
	    !xdr_address_(xdrs, &member->nodes, false) ||
	    !xdr_address_(xdrs, &member->operators, true) ||
	    !xdr_name_(xdrs, member->region) || !xdr_name_(xdrs, member->zone))
		return false;
	member->id = mmx_node_id(member->name);
	return member->incarnation != 0;
}

bool mmx_xdr_opinion(XDR *xdrs, mmx_opinion_t *opinion)
{
	return xdr_uint64_t(xdrs, &opinion->subject) &&
	       xdr_uint64_t(xdrs, &opinion->incarnation) &&
	       xdr_uint32_t(xdrs, &opinion->refutation) &&
	       xdr_state_(xdrs, &opinion->state) &&
	       xdr_uint64_t(xdrs, &opinion->reporter) &&
	       opinion->subject != 0 &&
	       (opinion->state == MMX_MEMBER_UNREACHABLE) ==
		       (opinion->reporter != 0);
}

bool mmx_xdr_target(XDR *xdrs, mmx_target_record_t *target)
{
	uint32_t packed =
		(uint32_t)target->state << STATE_SHIFT | target->slots;

	if (!xdr_uint64_t(xdrs, &target->id) ||
	    !xdr_uint64_t(xdrs, &target->node) ||
	    !xdr_uint64_t(xdrs, &target->incarnation) ||
	    !xdr_uint64_t(xdrs, &target->version) ||
	    !xdr_uint32_t(xdrs, &packed) || !xdr_name_(xdrs, target->name) ||
	    !xdr_name_(xdrs, target->service))
		return false;
	if (packed >> STATE_SHIFT >= MMX_TARGET_STATE_COUNT)
		return false;
	target->slots = (uint16_t)(packed & SLOTS_MASK);
	target->state = (mmx_target_state_t)(packed >> STATE_SHIFT);
	return target->slots > 0 && target->id && target->node &&
	       target->incarnation;
}
