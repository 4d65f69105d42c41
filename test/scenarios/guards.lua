-- Each safety rule is turned off in turn; the generator must find that a
-- guarantee is broken. Guards against checks that see nothing.
local generator = require "generator"

local cases = {
	{off = "fence", seeds = 5, breaks = {"P4 at most once"}},
	{off = "watermark", seeds = 100, record_max = 2,
		faults = {"loss", "delay", "pause"},
		breaks = {"P4 at most once", "P3 not-run"}},
	{off = "incarnation", seeds = 60, faults = {"restart", "delay", "pause"},
		breaks = {"P4 at most once", "P3 not-run"}},
	{off = "draining", seeds = 200, faults = {"stop", "stall", "delay"},
		breaks = {"P5 leaving target"}},
	{off = "match", seeds = 5, breaks = {"P2 complete response",
		"P3 not-run", "P4 at most once", "accurate refusal"}},
	{off = "finish", seeds = 10, breaks = {"P6 planned stop"}},
	{off = "claim", seeds = 5, key = 0.5, repeats = 1,
		breaks = {"P4 at most once"}},
	{off = "takeover", seeds = 20, key = 0.5, repeats = 1,
		settle = 20000, breaks = {"P4 at most once"}},
}

for _, case in ipairs(cases) do
	scenario("without " .. case.off .. " a guarantee breaks", 1,
		function()
			local found
			for seed = 1, case.seeds do
				found = generator.run(seed, case)
				if found then
					break
				end
			end
			assert(found, "not found in " .. case.seeds .. " seeds")
			local expected = table.concat(case.breaks, ", ")
			assert(expected:find(found, 1, true), found)
		end)
end
