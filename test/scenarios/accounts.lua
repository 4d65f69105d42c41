-- Floors and ceilings of client accounts. 2 targets, 5 slots, 20 ms: 500
-- requests/s.
local function shared(seed, accounts)
	local f = fleet{seed = seed, nodes = 2, slots = 5, mean = 20,
		spread = "constant", services = {{name = "a", warm_up = 0}},
		accounts = accounts}
	f:run(1500)
	return f
end

scenario("a burst of one account does not take another's floor", 1,
	function(seed)
		local f = shared(seed, {{name = "steady", floor = 40},
			{name = "burst"}})
		f:load{account = "burst", rate = 1500, ms = 12000, get = 0.5}
		f:run(2000)
		local sent, ok = 0, 0
		local ids = {}
		for _ = 1, 1000 do
			ids[#ids + 1] = f:request{account = "steady",
				node = f:random(2), timeout = 500}
			f:run(7)
		end
		f:run(2000)
		f:check()
		for _, id in ipairs(ids) do
			sent = sent + 1
			if f:outcome(id) == "completed" then
				ok = ok + 1
			end
		end
		assert(ok >= 0.99 * sent, ok .. " of " .. sent)
	end)

scenario("an account stays below its ceiling on an idle fleet", 2,
	function(seed)
		local f = shared(seed, {{name = "capped", ceiling = 40}})
		f:load{account = "capped", rate = 600, ms = 12000, get = 0.5,
			timeout = 500}
		f:run(2000)
		f:reset()
		f:run(8000)
		f:check()
		local s = f:stats()
		-- 40% of 500/s for 8 s.
		assert(s.executions <= 1.05 * 1600, s.executions)
		assert(s.executions >= 0.9 * 1600, s.executions)
		assert(s["account-limit"] > 0)
	end)
