/* The Lua side of the scenarios. */
#ifndef MASTICMUX_TEST_LUA_API_H
#define MASTICMUX_TEST_LUA_API_H

#include <lua.h>

#include "world.h"

/* Registers fleet() and the methods of a fleet. */
void lua_api_open(lua_State *lua);

/* The fleet made last, or NULL. */
world_t *lua_api_world(void);
void lua_api_set_trace(bool traced);
void lua_api_close(void);

#endif
