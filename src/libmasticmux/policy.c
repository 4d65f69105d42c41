#include "masticmux/policy.h"

#include <string.h>

const char *const mmx_method_string[MMX_METHOD_COUNT] = {
	"GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH", "OTHER",
};

const char *const mmx_policy_field_string[MMX_POLICY_FIELD_COUNT] = {
	"deadline_ms",	    "repeatable",    "floor_percent", "floor_slots",
	"detection_weight", "retry_percent", "warm_up_ms",
};

mmx_method_t mmx_method_parse(const char *text)
{
	int method;

	for (method = 0; method < MMX_METHOD_OTHER; method++)
		if (!strcmp(text, mmx_method_string[method]))
			return (mmx_method_t)method;
	return MMX_METHOD_OTHER;
}

void mmx_policy_apply(mmx_policy_t *policy,
		      const mmx_policy_override_t *override)
{
	const mmx_policy_t *values = &override->values;
	uint32_t fields = override->fields;

	if (fields & MMX_POLICY_BIT(MMX_POLICY_DEADLINE))
		policy->deadline = values->deadline;
	if (fields & MMX_POLICY_BIT(MMX_POLICY_REPEATABLE))
		policy->repeatable = values->repeatable;
	if (fields & MMX_POLICY_BIT(MMX_POLICY_FLOOR_PERCENT))
		policy->floor_percent = values->floor_percent;
	if (fields & MMX_POLICY_BIT(MMX_POLICY_FLOOR_SLOTS))
		policy->floor_slots = values->floor_slots;
	if (fields & MMX_POLICY_BIT(MMX_POLICY_DETECTION_WEIGHT))
		policy->detection_weight = values->detection_weight;
	if (fields & MMX_POLICY_BIT(MMX_POLICY_RETRY_PERCENT))
		policy->retry_percent = values->retry_percent;
	if (fields & MMX_POLICY_BIT(MMX_POLICY_WARM_UP))
		policy->warm_up = values->warm_up;
}
