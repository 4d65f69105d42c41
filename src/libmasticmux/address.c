#include "masticmux/address.h"

#include <arpa/inet.h>
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PORT_MAX 65535
#define PORT_DIGITS_MAX 5

/* The first byte of an IPv4 loopback address. */
#define LOOPBACK_NET 127
/* The first byte from which IPv4 addresses are multicast or reserved. */
#define MULTICAST_NET 224

static bool parse_port_(const char *text, uint16_t *port)
{
	size_t length = strspn(text, "0123456789");
	unsigned long value;

	if (!length || length > PORT_DIGITS_MAX || text[length] ||
	    text[0] == '0')
		return false;
	value = strtoul(text, NULL, 10);
	if (value > PORT_MAX)
		return false;
	*port = (uint16_t)value;
	return true;
}

/* Writes the host in the form of inet_ntop(), so that equal hosts compare. */
static bool parse_host_(const char *text, size_t length, bool is_v6, char *host)
{
	char copy[MMX_ADDRESS_MAX + 1];
	struct in6_addr v6;
	struct in_addr v4;

	if (length > MMX_ADDRESS_MAX)
		return false;
	memcpy(copy, text, length);
	copy[length] = '\0';
	if (!is_v6)
		return inet_pton(AF_INET, copy, &v4) == 1 &&
		       inet_ntop(AF_INET, &v4, host, MMX_ADDRESS_MAX + 1);
	/* A mapped IPv4 address would be a second name of the same host. */
	return inet_pton(AF_INET6, copy, &v6) == 1 &&
	       !IN6_IS_ADDR_V4MAPPED(&v6) &&
	       inet_ntop(AF_INET6, &v6, host, MMX_ADDRESS_MAX + 1);
}

bool mmx_address_parse(const char *text, mmx_address_t *address)
{
	mmx_address_t parsed = {.port = 0};
	bool is_v6 = text[0] == '[';
	const char *host = is_v6 ? text + 1 : text;
	const char *end = strchr(host, is_v6 ? ']' : ':');
	const char *port;

	if (!end || (is_v6 && end[1] != ':'))
		return false;
	port = is_v6 ? end + 2 : end + 1;
	if (!parse_host_(host, (size_t)(end - host), is_v6, parsed.host) ||
	    !parse_port_(port, &parsed.port))
		return false;
	*address = parsed;
	return true;
}

void mmx_address_format(const mmx_address_t *address, char *buffer, size_t size)
{
	bool is_v6 = strchr(address->host, ':') != NULL;

	assert(size >= MMX_ADDRESS_TEXT_MAX + 1);
	snprintf(buffer, size, is_v6 ? "[%s]:%u" : "%s:%u", address->host,
		 (unsigned int)address->port);
}

bool mmx_address_is_equal(const mmx_address_t *left, const mmx_address_t *right)
{
	return left->port == right->port && !strcmp(left->host, right->host);
}

bool mmx_address_is_loopback(const mmx_address_t *address)
{
	struct in6_addr v6;
	struct in_addr v4;

	if (inet_pton(AF_INET, address->host, &v4) == 1)
		return ntohl(v4.s_addr) >> 24 == LOOPBACK_NET;
	return inet_pton(AF_INET6, address->host, &v6) == 1 &&
	       IN6_IS_ADDR_LOOPBACK(&v6);
}

bool mmx_address_is_wildcard(const mmx_address_t *address)
{
	struct in6_addr v6;
	struct in_addr v4;

	if (inet_pton(AF_INET, address->host, &v4) == 1)
		return v4.s_addr == INADDR_ANY;
	return inet_pton(AF_INET6, address->host, &v6) == 1 &&
	       IN6_IS_ADDR_UNSPECIFIED(&v6);
}

bool mmx_address_is_multicast(const mmx_address_t *address)
{
	struct in6_addr v6;
	struct in_addr v4;

	if (inet_pton(AF_INET, address->host, &v4) == 1)
		return ntohl(v4.s_addr) >> 24 >= MULTICAST_NET;
	return inet_pton(AF_INET6, address->host, &v6) == 1 &&
	       IN6_IS_ADDR_MULTICAST(&v6);
}

socklen_t mmx_address_to_sockaddr(const mmx_address_t *address,
				  struct sockaddr_storage *out)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)out;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)out;

	memset(out, 0, sizeof(*out));
	if (inet_pton(AF_INET, address->host, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons(address->port);
		return sizeof(*v4);
	}
	if (inet_pton(AF_INET6, address->host, &v6->sin6_addr) == 1) {
		v6->sin6_family = AF_INET6;
		v6->sin6_port = htons(address->port);
		return sizeof(*v6);
	}
	return 0;
}
