-- A cell of two shards gets gangs that are wider than a shard: workers move to the shard that needs them, also after the
-- owner of a shard was killed, and each task runs once.
dofile("scenarios/platform.lua")
local divided = "workers_per_shard = 6\n"
local cell = start_platform(12, 4, { divided, divided, divided, divided })

wait_shard_owners(cell)
local function submit_wide(node, number)
    local code, id = submit(node, number, { { count = 9, cpu = 16000, gang = true } }, 300)
    expect("gang " .. number .. " is accepted", code == 200)
    return id
end
local ids = {}
for number = 1, 6 do ids[number] = submit_wide(cell.nodes[number % #cell.nodes + 1], number) end
wait_completed(cell.nodes[1], ids, 30000)

local killed = owner_of_shard(cell, 0)
local others = {}
for _, node in ipairs(cell.nodes) do
    if node ~= killed then others[#others + 1] = node end
end
for number = 7, 10 do ids[number] = submit_wide(others[number % #others + 1], number) end
signal(killed.pid, "KILL")
wait_exit(killed.pid, 2000)
wait_until("another owner of shard 0", 5000, function() return owner_of_shard(cell, 0) ~= killed end)
wait_completed(others[1], ids, 40000)
expect_run_once(cell)
