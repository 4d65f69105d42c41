-- Generates a fleet and a sequence of faults from a seed: two or more at once,
-- with the guarantees checked after each step.
local generator = {}

local function pick(f, list)
	return list[f:random(#list)]
end

local function other(f, n, count)
	local m = f:random(count - 1)
	return m < n and m or m + 1
end

-- Each takes the fleet and its shape and sets one fault.
local faults = {
	stall = function(f, s)
		f:fault{kind = "stall", target = f:random(s.targets),
			ms = 500 + f:random(4000)}
	end,
	flap = function(f, s)
		f:fault{kind = "flap", target = f:random(s.targets),
			period = 100 + f:random(900), ms = 1000 + f:random(4000)}
	end,
	slow = function(f, s)
		f:fault{kind = "slow", target = f:random(s.targets),
			factor = 2 + f:random(10), ms = 1000 + f:random(3000)}
	end,
	errors = function(f, s)
		f:fault{kind = "errors", target = f:random(s.targets),
			rate = f:random(100) / 100, ms = 1000 + f:random(3000)}
	end,
	late = function(f, s)
		f:fault{kind = "late", target = f:random(s.targets),
			extra = 200 + f:random(1500), ms = 1000 + f:random(2000)}
	end,
	truncate = function(f, s)
		f:fault{kind = "truncate", target = f:random(s.targets),
			rate = f:random(100) / 100, ms = 1000 + f:random(3000)}
	end,
	restart_target = function(f, s)
		f:fault{kind = "restart_target", target = f:random(s.targets),
			ms = 200 + f:random(3000), cold = f:random(3000)}
	end,
	loss = function(f, s)
		local n = f:random(s.nodes)
		f:fault{kind = "loss", node = n, to = other(f, n, s.nodes),
			ms = 200 + f:random(5000)}
	end,
	silent = function(f, s)
		local n = f:random(s.nodes)
		f:fault{kind = "silent", node = n, to = other(f, n, s.nodes)}
	end,
	cut = function(f, s)
		local n = f:random(s.nodes)
		f:fault{kind = "cut", node = n, to = other(f, n, s.nodes)}
	end,
	delay = function(f, s)
		local n = f:random(s.nodes)
		f:fault{kind = "delay", node = n, to = other(f, n, s.nodes),
			extra = f:random(700), ms = 500 + f:random(3000)}
	end,
	pause = function(f, s)
		f:fault{kind = "pause", node = f:random(s.nodes),
			ms = 100 + f:random(6000)}
	end,
	restart = function(f, s)
		f:fault{kind = "restart", node = f:random(s.nodes),
			ms = 100 + f:random(3000)}
	end,
	stop = function(f, s)
		f:fault{kind = "stop", target = f:random(s.targets)}
	end,
	stop_node = function(f, s)
		local n = f:random(s.nodes)
		f:fault{kind = "stop_node", node = n}
		s.left[n] = true
	end,
	log = function(f, s)
		f:fault{kind = "log", mode = pick(f, {"down", "slow", "lost",
			"late"}), ms = 500 + f:random(6000)}
	end,
	load = function(f, s)
		f:load{service = s.services[1].name, rate = s.rate * 2,
			ms = 300 + f:random(2000), timeout = 100 + f:random(1500)}
	end,
}

local names = {}
for name in pairs(faults) do
	names[#names + 1] = name
end
table.sort(names)

local function shape(seed, options)
	local s = {nodes = 3 + seed % 3, left = {}}
	s.services = {{name = "a", floor = 50, weight = seed % 101}}
	if seed % 4 == 0 then
		s.services[2] = {name = "b", floor = 30}
	end
	s.per_node = 1 + seed % 2
	s.targets = s.nodes * #s.services * s.per_node
	s.mean = 5 + seed % 7 * 5
	s.slots = 2 + seed % 2
	-- A third of the capacity.
	s.rate = s.nodes * s.per_node * s.slots * 1000 / s.mean / 3
	s.rate = math.min(s.rate, options.rate or 150)
	return s
end

-- Runs one seed. options: off = a guard, faults = names to choose from,
-- record_max = attempts that an exit remembers.
-- Returns the guarantee that was broken and a text, or nil.
function generator.run(seed, options)
	local s = shape(seed, options)
	local f = fleet{seed = seed, nodes = s.nodes, zones = s.nodes,
		regions = 1 + seed % 2, services = s.services,
		targets = s.per_node, slots = s.slots, mean = s.mean,
		spread = pick({random = function() return 1 + seed % 3 end},
			{"constant", "exponential", "heavy"}),
		record_max = options.record_max or (seed % 5 == 0 and 8 or nil), off = options.off}
	f:run(1500)
	for _ = 1, 5 do
		for _, service in ipairs(s.services) do
			f:load{service = service.name, rate = s.rate, ms = 2000,
				get = f:random(100) / 100, large = 0.05, upload = 0.1,
				key = options.key or 0.1,
				["repeat"] = options.repeats or 0.6,
				leave = 0.03, timeout = 200 + f:random(2500)}
		end
		for _ = 1, 1 + f:random(3) do
			f:run(f:random(400))
			faults[pick(f, options.faults or names)](f, s)
		end
		f:run(2000)
		if f:breach() then
			return f:breach()
		end
	end
	f:run(options.settle or 9000)
	return f:breach()
end

return generator
