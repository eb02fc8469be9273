-- Nodes that reach neither the owner nor the store tell their clients that a job was not sent, at
-- once, instead of letting them wait for an answer that leaves the outcome open.
dofile("scenarios/platform.lua")
local cell = start_platform(4, 3)
local code, first = submit(cell.nodes[1], 1, { { count = 1 } }, 50)
expect("a job is accepted", code == 200)
wait_completed(cell.nodes[1], { first }, 5000)
local owner = wait("an owner is known", 5000, function() return owner_of(cell) end)
local other
for _, node in ipairs(cell.nodes) do
    if node ~= owner then other = node end
end
local function logged(node, event)
    local file = io.open(OUT .. "/" .. node.name .. ".log")
    local text = file:read("a")
    file:close()
    return text:find('"' .. event .. '"', 1, true) ~= nil
end
-- Without the store nobody sees the owner's lease end, so the others go on asking it.
store_fault(cell, "down")
signal(owner.pid, "STOP")
expect("a job that was sent stays in doubt", submit(other, 2, { { count = 1 } }, 50) == 504)
local began = now_ms()
expect("a new job was not sent", submit(other, 3, { { count = 1 } }, 50) == 503)
local took = now_ms() - began
print("  answered after " .. took .. " ms")
expect("its answer comes at once", took <= 150)
expect("the node is not ready", request { server = other.ready, path = "/api/ready", timeout_ms = 500 } ~= 200)
signal(owner.pid, "CONT")
store_fault(cell, "none")
wait_ready(other)
wait("a job is accepted again", 5000, function() return submit(other, 4, { { count = 1 } }, 50) == 200 end)
wait_completed(other, { string.format("%016x", 4) }, 10000)
expect("the silence is in the log", logged(other, "owner_path_silent"))
must_run_once(cell)
