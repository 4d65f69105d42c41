/**
 * Addresses: numeric IP address and port, as settings and messages name them.
 */
#ifndef MASTICMUX_ADDRESS_H
#define MASTICMUX_ADDRESS_H

#include <sys/socket.h>

#include "masticmux/types.h"

#define MMX_ADDRESS_MAX 63
/** Longest formatted address: host, brackets, colon and port, bytes. */
#define MMX_ADDRESS_TEXT_MAX (MMX_ADDRESS_MAX + 8)

/** IP address and port; the host is numeric, without brackets for IPv6. */
typedef struct mmx_address_t {
	char host[MMX_ADDRESS_MAX + 1];
	uint16_t port; /**< 1..65535; 0 when the address is not set */
} mmx_address_t;

/**
 * Parses "host:port" or "[v6]:port" with a numeric host. The host is stored in
 * its shortest form; an IPv6 address that stands for an IPv4 one is refused.
 *
 * @return false when the text is not such an address; the address is unchanged
 */
bool mmx_address_parse(const char *text, mmx_address_t *address);

/** Formats an address; asserts at least MMX_ADDRESS_TEXT_MAX + 1 bytes. */
void mmx_address_format(const mmx_address_t *address, char *buffer,
			size_t size);

/** True for the same host and port. */
bool mmx_address_is_equal(const mmx_address_t *left,
			  const mmx_address_t *right);

/** True for 127.0.0.0/8 and ::1. */
bool mmx_address_is_loopback(const mmx_address_t *address);

/** True for 0.0.0.0 and ::, which stand for every address of the instance. */
bool mmx_address_is_wildcard(const mmx_address_t *address);

/** True for addresses that no single host has: 224.0.0.0/3 and ff00::/8. */
bool mmx_address_is_multicast(const mmx_address_t *address);

/**
 * Fills a socket address of IPv4 or IPv6.
 *
 * @return its length in bytes, or 0 when the host is not numeric
 */
socklen_t mmx_address_to_sockaddr(const mmx_address_t *address,
				  struct sockaddr_storage *out);

#endif
