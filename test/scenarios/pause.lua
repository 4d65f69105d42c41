-- Processes that stop for a while and go on.
scenario("requests that piled up during a pause are not run too late", 1,
	function(seed)
		local f = fleet{seed = seed, nodes = 2, slots = 30,
			services = {{name = "a"}}}
		f:run(1500)
		f:load{node = 1, rate = 50, ms = 10000, get = 0,
			timeout = 600}
		f:run(3000)
		f:fault{kind = "pause", node = 2, ms = 5000}
		f:run(4900)
		local before = f:target(2).executions
		f:run(110)
		local late = f:target(2).executions - before
		f:check()
		assert(late == 0, late .. " requests ran")
	end)

scenario("a pause does not end leases or planned stops", 2, function(seed)
	local f = fleet{seed = seed, nodes = 2, services = {{name = "a"}}}
	f:run(1500)
	f:fault{kind = "stop", target = 2}
	f:run(500)
	f:fault{kind = "pause", node = 2, ms = 6000}
	f:run(8000)
	local before = f:target(2).executions
	f:load{rate = 100, ms = 5000}
	f:run(6000)
	f:check()
	assert(f:target(2).executions == before, "target 2 was used again")
	assert(f:stats().completed == f:stats().requests)
end)
