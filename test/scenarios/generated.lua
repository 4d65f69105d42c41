-- Seeds of the generator. Those that fail run again, one by one, to show their
-- trace.
local generator = require "generator"
local first = FIRST or 1
local count = COUNT or 200
local failed = {}

for seed = first, first + count - 1 do
	if generator.run(seed, {}) then
		failed[#failed + 1] = seed
	end
end
for i = 1, math.min(#failed, 5) do
	scenario("generated faults", failed[i], function(seed)
		local guarantee, text = generator.run(seed, {})
		assert(not guarantee, (guarantee or "") .. ": " .. (text or ""))
	end)
end
scenario(count .. " generated seeds hold every guarantee", first, function()
	assert(#failed == 0, #failed .. " failed: " ..
		table.concat(failed, " ", 1, math.min(#failed, 20)))
end)
