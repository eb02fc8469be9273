-- A node that can reach neither the owner nor the store must answer new submissions immediately with the status
-- for a job that was not sent, instead of letting clients wait for an answer that leaves the outcome open.
dofile("scenarios/platform.lua")
local cell = start_platform(4, 3)
local code, first = submit(cell.nodes[1], 1, { { count = 1 } }, 50)
expect("a job is accepted", code == 200)
wait_completed(cell.nodes[1], { first }, 5000)
local owner = wait_until("a node to become owner", 5000, function() return owner_of(cell) end)
local other
for _, node in ipairs(cell.nodes) do
    if node ~= owner then other = node end
end
local function has_logged(node, event)
    local file = io.open(OUT .. "/" .. node.name .. ".log")
    local text = file:read("a")
    file:close()
    return text:find('"' .. event .. '"', 1, true) ~= nil
end
-- Without the store the other nodes don't notice that the owner's lease has ended, so they keep sending to it.
set_store_fault(cell, "down")
signal(owner.pid, "STOP")
expect("the outcome of a job that was sent is unconfirmed", submit(other, 2, { { count = 1 } }, 50) == 504)
local sent_ms = now_ms()
expect("a new job was not sent", submit(other, 3, { { count = 1 } }, 50) == 503)
local answer_ms = now_ms() - sent_ms
print("  answered after " .. answer_ms .. " ms")
expect("the answer comes within 150 ms", answer_ms <= 150)
expect("the node is not ready", request { server = other.ready, path = "/api/ready", timeout_ms = 500 } ~= 200)
signal(owner.pid, "CONT")
set_store_fault(cell, "none")
wait_ready(other)
wait_until("a job to be accepted again", 5000, function() return submit(other, 4, { { count = 1 } }, 50) == 200 end)
wait_completed(other, { string.format("%016x", 4) }, 10000)
expect("the unresponsive owner is logged", has_logged(other, "owner_path_silent"))
expect_run_once(cell)
