-- The owner is killed just after the store has discarded its history and left the nodes' watches without an answer.
-- Every other node must accept jobs again within 3 s, the time after which an undisturbed node must serve.
dofile("scenarios/platform.lua")
local cell = start_platform(4, 3)
local code, first = submit(cell.nodes[1], 1, { { count = 2 } }, 100)
expect("a job is accepted", code == 200)
local owner = wait_until("a node to become owner", 5000, function() return owner_of(cell) end)
discard_history(cell, 200, "cut")
pause(400)
signal(owner.pid, "KILL")
wait_exit(owner.pid, 2000)
local killed_ms = now_ms()
local number, ids = 1, {}
for _, node in ipairs(cell.nodes) do
    if node ~= owner then
        wait_until(node.name .. " to accept a job", 20000, function()
            number = number + 1
            local status, id = submit(node, number, { { count = 1 } }, 50)
            if status == 200 then ids[#ids + 1] = id end
            return status == 200
        end)
        local after_ms = now_ms() - killed_ms
        print("  " .. node.name .. " accepts jobs " .. after_ms .. " ms after the owner's end")
        node.accepts_after_ms = after_ms
    end
end
for _, node in ipairs(cell.nodes) do
    if node ~= owner then
        expect(node.name .. " accepts jobs within 3 s", node.accepts_after_ms <= 3000)
        ids[#ids + 1] = first
        wait_completed(node, ids, 10000)
    end
end
expect_run_once(cell)
