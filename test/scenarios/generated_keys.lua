-- Seeds of the generator with many repeats under Idempotency-Keys, a log that
-- fails often and time to take over keys. Guards against a second run that the
-- mixed seeds are too short to show.
local generator = require "generator"
local options = {key = 0.5, repeats = 1, settle = 20000, faults = {"log", "log",
	"restart", "pause", "loss", "delay", "silent", "cut", "stall", "late",
	"restart_target", "stop_node"}}
local first = FIRST or 3170
local count = COUNT or 20
local failed = {}

for seed = first, first + count - 1 do
	if generator.run(seed, options) then
		failed[#failed + 1] = seed
	end
end
for i = 1, math.min(#failed, 5) do
	scenario("generated repeats", failed[i], function(seed)
		local guarantee, text = generator.run(seed, options)
		assert(not guarantee, (guarantee or "") .. ": " .. (text or ""))
	end)
end
scenario(count .. " generated seeds of repeats hold every guarantee", first,
	function()
		assert(#failed == 0, #failed .. " failed: " ..
			table.concat(failed, " ", 1, math.min(#failed, 20)))
	end)
