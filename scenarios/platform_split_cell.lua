-- TWICE: an owner that is cut off from the store and from all workers but one goes on starting tasks on that worker.
--
-- The owner that takes over reaches all workers but that one, and starts its tasks elsewhere when the worker's lease
-- must have expired. The earlier owner still renews that lease.
dofile("scenarios/platform.lua")
dofile("scenarios/run_record.lua")
dofile("scenarios/platform_paths.lua")

local RECORD = OUT .. "/runs.jsonl"
local CUT_MS = 12000
local LONG_RUN_MS = 13000 -- These runs go on until all paths are restored.

local cell = start_cell_with_paths(4, 3, RECORD)
local first = wait_until("a node to become owner", 8000, function() return owner_of(cell) end)
local code, long_job = submit(other_node(cell, first), 100, { { count = 8 } }, LONG_RUN_MS)
expect("the job with long runs is accepted", code == 200)
local ids = submit_jobs(other_node(cell, first), 2, 40, 1500)
ids[#ids + 1] = long_job
pause(700)

-- The first owner reaches only the worker that has the first of the long runs, and only it does.
local long_run = read_runs(RECORD, {})[long_job .. ".0.0.0"][1]
local function is_remote(worker) return worker.id == long_run.worker end

local cut_ms = now_ms()
cut_store_path(first)
for _, node in ipairs(cell.nodes) do
    for _, worker in ipairs(cell.workers) do
        if (node == first) ~= is_remote(worker) then cut_path(node, worker) end
    end
end
local second = wait_successor(cell, first, cut_ms)
pause(cut_ms + CUT_MS - now_ms())
restore_all_paths(cell)

wait_completed(second, ids, 20000)
expect_no_repeated_runs(cell, RECORD, {})
