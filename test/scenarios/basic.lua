-- Requests through a healthy fleet, and single faults.
local services = {{name = "a"}}

scenario("a healthy fleet answers everything", 1, function(seed)
	local f = fleet{seed = seed, nodes = 3, services = services}
	f:run(1000)
	f:load{rate = 100, ms = 5000, large = 0.1}
	f:run(8000)
	f:check()
	local s = f:stats()
	assert(s.completed == s.requests and s.ok == s.requests,
		s.ok .. " of " .. s.requests)
end)
