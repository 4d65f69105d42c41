-- Offered load above capacity, and cold targets.
local services = {{name = "a", warm_up = 5000}}

local cases = {
	{name = "short deadlines", timeout = 200, spread = "constant"},
	{name = "long deadlines", timeout = 2000, spread = "constant"},
	{name = "varying service times", timeout = 1000,
		spread = "exponential"},
}

for n, case in ipairs(cases) do
	scenario("goodput at twice the capacity, " .. case.name, n,
		function(seed)
			-- 4 targets, 3 slots, 20 ms: 600 requests/s.
			local f = fleet{seed = seed, nodes = 4, mean = 20,
				services = services, spread = case.spread}
			f:run(1500)
			f:load{rate = 1200, ms = 20000, get = 0.5,
				timeout = case.timeout}
			f:run(5000)
			f:reset()
			f:run(10000)
			f:check()
			local s = f:stats()
			assert(s.ok >= 0.9 * 6000, "goodput " .. s.ok / 6000)
			assert(s.slowest_refusal < 10,
				"refusal after " .. s.slowest_refusal .. " ms")
			-- Requests that wait in a queue and expire there.
			assert(s["deadline-exceeded"] < 0.05 * s.requests,
				"expired: " .. s["deadline-exceeded"])
		end)
end

scenario("a cold target is not given its whole load at once", 4,
	function(seed)
		local f = fleet{seed = seed, nodes = 2, services = services,
			slots = 10, mean = 20, spread = "constant"}
		f:run(1500)
		f:fault{kind = "restart_target", target = 1, ms = 500,
			cold = 5000}
		f:run(600)
		f:load{rate = 900, ms = 12000, get = 1, timeout = 300}
		local most = {}
		for step = 1, 12 do
			local before = f:target(1).executions
			f:run(500)
			most[step] = f:target(1).executions - before
		end
		f:check()
		assert(most[1] <= 100, "in the first 0.5 s: " .. most[1])
		assert(most[12] > 2 * most[1],
			most[1] .. " to " .. most[12])
	end)
