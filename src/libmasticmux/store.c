#include "private/store.h"

const char *const mmx_store_result_string[MMX_STORE_RESULT_COUNT] = {
	"done",
	"refused",
	"unknown",
};
