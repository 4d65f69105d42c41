/* Messages with every member set, shared by the tests of wire and hostile. */
#ifndef MASTICMUX_TEST_WIRE_SAMPLES_H
#define MASTICMUX_TEST_WIRE_SAMPLES_H

#include "private/wire.h"

/* The kinds that travel, in a fixed order. */
#define MMX_TEST_WIRE_KINDS 8
extern const mmx_message_kind_t mmx_test_wire_kinds[MMX_TEST_WIRE_KINDS];

/* A valid message of that kind. */
mmx_message_t *mmx_test_wire_sample(mmx_message_kind_t kind);

/* Encodes arguments: fields, body, padding. Empties the message's body. */
struct evbuffer *mmx_test_wire_args(mmx_message_t *message);

#endif
