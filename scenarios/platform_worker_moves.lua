-- Workers are restarted one after the other under their ids at other addresses. Guards against workers that are never
-- used again because the session with the old address reports a failure after the new session has begun.
dofile("scenarios/platform.lua")
local cell = start_platform(0, 0)
local RECORD = OUT .. "/runs.jsonl"
local function start_worker(worker) start_platform_worker(cell, worker, RECORD) end
local workers = {}
for i = 1, 3 do
    workers[i] = { id = "w" .. i, host = address(20, i) }
    start_worker(workers[i])
end
local node = new_platform_node(1, cell.store, cell.store)
start_node(node)
wait_ready(node)
local code, first = submit(node, 1, { { count = 6, max_per_worker = 2 } }, 50)
expect("a job is accepted", code == 200)
wait_completed(node, { first }, 10000)
for i, worker in ipairs(workers) do
    signal(worker.pid, "KILL")
    wait_exit(worker.pid, 2000)
    worker.host = address(21, i)
    pause(300)
    start_worker(worker)
    pause(3000)
end
local ids = {}
for number = 2, 11 do
    local status, id = submit(node, number, { { count = 6, max_per_worker = 2 } }, 50)
    if status == 200 then ids[#ids + 1] = id end
    pause(100)
end
expect("jobs are accepted after the restarts", #ids > 0)
wait_completed(node, ids, 14000)
