/* XDR filters for the records that datagrams and directory sync share. On
 * decode they also check the values; false means malformed. */
#ifndef MASTICMUX_PRIVATE_GOSSIP_XDR_H
#define MASTICMUX_PRIVATE_GOSSIP_XDR_H

#include <rpc/types.h>
#include <rpc/xdr.h>

#include "masticmux/directory.h"
#include "masticmux/member.h"

bool mmx_xdr_member(XDR *xdrs, mmx_member_t *member);
bool mmx_xdr_opinion(XDR *xdrs, mmx_opinion_t *opinion);
bool mmx_xdr_target(XDR *xdrs, mmx_target_record_t *target);

#endif
