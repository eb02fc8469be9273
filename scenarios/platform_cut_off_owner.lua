-- TWICE: an owner that was cut off starts tasks again, which are done or run elsewhere, on a worker in a new life.
--
-- The worker restarts under its id, so it knows no fencing token, and the earlier owner reaches it before the owner
-- that has taken over. All other paths of the earlier owner are still cut then.
dofile("scenarios/platform.lua")
dofile("scenarios/run_record.lua")
dofile("scenarios/platform_paths.lua")

local RECORD = OUT .. "/runs.jsonl"
local CUT_MS = 8500 -- Longer than it takes until all leases of workers have certainly expired.
local LEAD_MS = 800 -- For this long only the earlier owner reaches the restarted worker.

local cell = start_cell_with_paths(5, 3, RECORD)
local first = wait_until("a node to become owner", 8000, function() return owner_of(cell) end)
local ids = submit_jobs(other_node(cell, first), 12, 40, 1500)
pause(700)

local cut_ms = now_ms()
cut_store_path(first)
for _, worker in ipairs(cell.workers) do cut_path(first, worker) end
-- The owner tries to store this job before it notices that its workers don't answer. That write, as any that is in
-- flight under load, keeps it from recording in the store that they are silent.
local code, id = submit(other_node(cell, first), 100, { { count = 40 } }, 1500)
if code == 200 then ids[#ids + 1] = id end
local second = wait_successor(cell, first, cut_ms)
pause(cut_ms + CUT_MS - now_ms())

local restarted = cell.workers[#cell.workers]
for _, node in ipairs(cell.nodes) do cut_path(node, restarted) end
pause(300)
signal(restarted.pid, "KILL")
wait_exit(restarted.pid, 2000)
local killed = { { worker = restarted.id, time_ms = now_ms() } }
start_platform_worker(cell, restarted, RECORD)
wait_until(restarted.id .. " to answer", 3000, function()
    return request { server = restarted.registered, timeout_ms = 500 } ~= 0
end)
restore_path(first, restarted)
pause(LEAD_MS)
for _, node in ipairs(cell.nodes) do restore_path(node, restarted) end
pause(1000)
restore_all_paths(cell)

wait_completed(second, ids, 14000)
expect_no_repeated_runs(cell, RECORD, killed)
