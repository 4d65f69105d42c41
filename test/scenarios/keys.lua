-- Requests under one Idempotency-Key through several nodes.
local function start(seed, more)
	local shape = {seed = seed, nodes = 3, services = {{name = "a"}},
		mean = 50, spread = "constant"}
	for name, value in pairs(more or {}) do
		shape[name] = value
	end
	local f = fleet(shape)
	f:run(1500)
	return f
end

local function send(f, node, timeout)
	return f:request{node = node, key = true, key_name = "k",
		timeout = timeout or 1000}
end

local function expect(f, id, outcome, reason)
	f:check()
	local o, r = f:outcome(id)
	assert(o == outcome and r == reason, tostring(o) .. " " .. r)
end

-- Until the claim is in the log.
local function claimed(f)
	while f:stats().claim_records == 0 do
		f:run(1)
	end
end

scenario("a double click through two nodes runs once", 1, function(seed)
	local f = start(seed)
	local ids = {send(f, 1), send(f, 2)}
	f:run(1000)
	local late = send(f, 3)
	f:run(1000)
	assert(f:stats().executions == 1)
	local first = f:outcome(ids[1]) == "completed" and 1 or 2
	expect(f, ids[first], "completed", "none")
	expect(f, ids[3 - first], "unknown", "duplicate-in-progress")
	expect(f, late, "completed", "duplicate-completed")
end)

scenario("a node that dies after its claim does not lock the key", 2,
	function(seed)
		local f = start(seed)
		f:fault{kind = "stop", target = 1}
		f:run(1000)
		f:fault{kind = "log", mode = "slow", ms = 5000}
		send(f, 1, 4000)
		claimed(f)
		f:fault{kind = "restart", node = 1, ms = 20000}
		f:run(6000)
		local early = send(f, 2)
		f:run(4000)
		expect(f, early, "unknown", "duplicate-in-progress")
		assert(f:stats().executions == 0)
		local late = send(f, 2)
		f:run(1000)
		expect(f, late, "completed", "none")
		assert(f:stats().executions == 1)
	end)

scenario("a run is not repeated after its exit died", 3, function(seed)
	local f = start(seed, {mean = 300})
	f:fault{kind = "stop", target = 1}
	f:fault{kind = "stop", target = 3}
	f:run(1000)
	send(f, 1, 2000)
	f:run(100)
	assert(f:target(2).executions == 1)
	f:fault{kind = "restart", node = 2, ms = 500}
	f:run(3000)
	local soon = send(f, 3)
	f:run(8000)
	local late = send(f, 3)
	f:run(2000)
	expect(f, soon, "unknown", "path-lost")
	expect(f, late, "unknown", "path-lost")
	assert(f:stats().executions == 1)
end)

scenario("without the log nothing runs under a key", 4, function(seed)
	local f = start(seed)
	f:fault{kind = "log", mode = "down", ms = 6000}
	local id = send(f, 1, 5000)
	local other = f:request{node = 1, timeout = 1000}
	f:run(6100)
	expect(f, id, "not-run", "claim-unavailable")
	expect(f, other, "completed", "none")
	assert(f:stats().executions == 1)
	id = send(f, 2)
	f:run(1000)
	expect(f, id, "completed", "none")
end)

scenario("a healthy log makes every claim available", 5, function(seed)
	local f = start(seed, {slots = 10})
	f:load{rate = 60, ms = 20000, get = 0, key = 1, timeout = 1000}
	f:run(22000)
	f:check()
	local s = f:stats()
	assert(s.completed == s.requests, s["claim-unavailable"])
end)

scenario("a repeat runs after the holder was refused", 6, function(seed)
	local f = start(seed, {slots = 1, mean = 3000})
	f:load{rate = 20, ms = 1000, get = 0, timeout = 5000}
	f:run(1000)
	local refused = send(f, 1)
	f:run(1100)
	expect(f, refused, "not-run", "deadline-exceeded")
	f:run(9000)
	local id = send(f, 2, 8000)
	f:run(8000)
	expect(f, id, "completed", "none")
end)
