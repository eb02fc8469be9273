-- A cell of two shards has two owners on different nodes. One of them is killed: the jobs of its shard go on under
-- another owner, those of the other shard are not interrupted, and each task runs once.
dofile("scenarios/platform.lua")
local cell = start_platform(6, 4, { "workers_per_shard = 3\n", "workers_per_shard = 3\n", "workers_per_shard = 3\n",
    "workers_per_shard = 3\n" })

local first, second = wait_shard_owners(cell)
local others = {}
for _, node in ipairs(cell.nodes) do
    if node ~= first then others[#others + 1] = node end
end

local ids = {}
for number = 1, 60 do
    local code, id = submit(others[number % #others + 1], number, { { count = 2 }, { count = 3, gang = number % 2 == 0 } }, 300)
    expect("job " .. number .. " is accepted", code == 200)
    ids[#ids + 1] = id
end
signal(first.pid, "KILL")
wait_exit(first.pid, 2000)
wait_until("another owner of shard 0", 5000, function() return owner_of_shard(cell, 0) ~= first end)
expect("shard 1 keeps its owner", owner_of_shard(cell, 1) == second)
wait_completed(others[1], ids, 20000)
for number = 61, 70 do
    local code, id = submit(others[number % #others + 1], number, { { count = 2 } }, 100)
    expect("job " .. number .. " is accepted after the takeover", code == 200)
    wait_completed(others[1], { id }, 5000)
end
local status, answer = request { server = others[1].front, path = "/jobs/", timeout_ms = 3000 }
expect("the waiting jobs of both shards are counted", status == 200 and answer.pending == 0)
expect("an unknown job is answered with 410", state_of(others[1], "ffffffffffffffff") == 410)
expect_run_once(cell)
