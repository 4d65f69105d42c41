-- Targets that misbehave are left out as far as the floor allows.
local function healthy(options)
	local f = fleet{seed = options.seed, nodes = options.nodes or 4,
		zones = options.zones, regions = options.regions,
		services = {{name = "a", floor = options.floor or 50,
			weight = options.weight or 100, warm_up = 2000}},
		targets = options.targets or 1, mean = options.mean or 10,
		off = options.off}
	f:run(1500)
	f:load{rate = options.rate or 200, ms = options.ms or 60000,
		get = options.get or 0.9, timeout = options.timeout or 2000}
	f:run(5000)
	return f
end

-- Requests that start at a target during a time.
local function starts(f, target, ms)
	local before = f:target(target).executions
	f:run(ms)
	return f:target(target).executions - before
end

local faults = {
	{name = "a stalled target gets requests only as trials",
		fault = {kind = "stall"}, settle = 3000, most = 12},
	{name = "a target that is slow by ten times is left out",
		fault = {kind = "slow", factor = 10}, settle = 5000, most = 25},
	{name = "a target with errors is left out",
		fault = {kind = "errors", rate = 0.6}, settle = 5000, most = 40},
	{name = "a flapping target is not used again at each recovery",
		fault = {kind = "flap", period = 700}, settle = 10000,
		most = 150},
}

for n, case in ipairs(faults) do
	scenario(case.name, n, function(seed)
		local f = healthy{seed = seed}
		local before = starts(f, 1, 5000)
		case.fault.target, case.fault.ms = 1, 30000
		f:fault(case.fault)
		f:run(case.settle)
		local during = starts(f, 1, 5000)
		f:check()
		assert(before > 100, "before: " .. before)
		assert(during <= case.most, "during: " .. during)
	end)
end

scenario("a target that recovers is used again", 11, function(seed)
	local f = healthy{seed = seed}
	f:fault{kind = "stall", target = 1, ms = 5000}
	f:run(5000)
	f:run(20000)
	local after = starts(f, 1, 5000)
	f:check()
	assert(after > 100, "after: " .. after)
end)

scenario("two bad targets of three don't break the floor", 12, function(seed)
	local f = healthy{seed = seed, nodes = 3, floor = 60, rate = 100}
	f:fault{kind = "errors", target = 1, rate = 1, ms = 20000}
	f:run(3000)
	f:fault{kind = "errors", target = 2, rate = 1, ms = 20000}
	f:run(15000)
	f:check()
end)

scenario("a planned stop counts against the floor", 13, function(seed)
	local f = healthy{seed = seed, floor = 70}
	f:fault{kind = "stall", target = 1, ms = 20000}
	f:run(5000)
	f:fault{kind = "stop", target = 2}
	f:run(10000)
	f:check()
end)

scenario("without floor a guarantee breaks", 14, function(seed)
	local f = healthy{seed = seed, nodes = 6, floor = 90, off = "floor"}
	f:fault{kind = "errors", target = 1, rate = 1, ms = 20000}
	f:run(20000)
	assert(f:breach() == "P1 floor", f:breach())
end)

scenario("a slowdown of the whole service ejects nothing", 15, function(seed)
	local f = healthy{seed = seed, rate = 100}
	for target = 1, 4 do
		f:fault{kind = "slow", target = target, factor = 5, ms = 20000}
	end
	f:run(8000)
	for target = 1, 4 do
		assert(f:target(target).executions > 0)
		local n = starts(f, target, 2500)
		assert(n > 15, "target " .. target .. ": " .. n)
	end
	f:check()
end)

scenario("one-way loss is held against the path, not the target", 16,
	function(seed)
		local f = healthy{seed = seed, get = 1}
		f:fault{kind = "loss", node = 1, to = 2, ms = 15000}
		f:run(3000)
		f:reset()
		local n = starts(f, 2, 8000)
		f:check()
		local s = f:stats()
		assert(n > 200, "the others no longer use it: " .. n)
		assert(s.completed >= 0.97 * s.requests,
			s.completed .. " of " .. s.requests)
	end)

scenario("entries with different views each keep the floor", 17,
	function(seed)
		local f = healthy{seed = seed, nodes = 5, floor = 60}
		for to = 2, 3 do
			f:fault{kind = "loss", node = 1, to = to, ms = 15000}
		end
		f:fault{kind = "stall", target = 4, ms = 15000}
		f:run(5000)
		f:fault{kind = "loss", node = 2, to = 5, ms = 8000}
		f:fault{kind = "errors", target = 1, rate = 1, ms = 8000}
		f:run(15000)
		f:check()
	end)
