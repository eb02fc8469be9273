-- Jobs of several steps are submitted at every node, and their owner is killed. All jobs must be completed and each
-- task must run once.
dofile("scenarios/platform.lua")
local cell = start_platform(6, 3)
local ids = {}
for number = 1, 40 do
    local node = cell.nodes[number % 3 + 1]
    local code, id = submit(node, number, { { count = 2 }, { count = 3, gang = number % 2 == 0 } }, 150)
    expect("job " .. number .. " is accepted", code == 200)
    ids[#ids + 1] = id
end
local owner = wait_until("a node to become owner", 5000, function() return owner_of(cell) end)
signal(owner.pid, "KILL")
wait_exit(owner.pid, 2000)
local other
for _, node in ipairs(cell.nodes) do
    if node ~= owner then other = node end
end
wait_completed(other, ids, 20000)

local code, id = submit(other, 41, { { count = 1 } }, 100)
expect("a job is accepted after the takeover", code == 200)
expect("a repeated submission is accepted as the same job", submit(other, 41, { { count = 1 } }, 100) == 200)
wait_completed(other, { id }, 5000)
expect("an unknown job is answered with 410", state_of(other, "ffffffffffffffff") == 410)
expect("an unknown queue is answered with 404", request { server = other.front, path = "/nothing/" .. id } == 404)
local status, page = request { server = other.metrics, path = "/metrics" }
expect("metrics are served", status == 200)
expect("the metrics contain the waiting time or the time of store calls", page:find("flamingoseam_wait_seconds", 1, true) ~= nil
    or page:find("flamingoseam_store_call_seconds", 1, true) ~= nil)
-- The log is written with a short delay after the decisions.
wait_until("flamingoseamctl to trace the job from the logs", 5000, function()
    local pid = start("trace", { "flamingoseamctl", "trace", id, OUT .. "/node1.log", OUT .. "/node2.log",
        OUT .. "/node3.log" })
    local found = wait_exit(pid, 5000) == 0
    local file = io.open(OUT .. "/trace.log")
    local trace = file:read("a")
    file:close()
    return found and trace:find("accepted", 1, true) and trace:find("completed", 1, true)
end)
expect_run_once(cell)
