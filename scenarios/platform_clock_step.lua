-- TWICE: an owner takes a silent worker for empty by the time of day of the owner before it, whose clock had stepped.
--
-- The worker's runs end behind a cut. It is back before its lease lapses, so the ends that it lists then count.
dofile("scenarios/platform.lua")
dofile("scenarios/run_record.lua")
dofile("scenarios/platform_paths.lua")

local RECORD = OUT .. "/runs.jsonl"
local STEP_MS = 2400 -- Back on the owner, ahead on all other nodes.
local RUN_MS = 1500
local SHORT_RUN_MS = 200 -- A worker whose runs have just ended is polled often, so its silence is noticed soon.
local LEASE_MS = 6000 -- Of a worker, from its last start on.
local LEFT_MS = 800 -- Of the lease when the worker is back.

local cell = start_cell_with_paths(5, 3, RECORD, true)
local first = wait_until("a node to become owner", 8000, function() return owner_of(cell) end)
local code, short_job = submit(other_node(cell, first), 100, { { count = 80 } }, SHORT_RUN_MS)
expect("the job with short runs is accepted", code == 200)
local ids = submit_jobs(other_node(cell, first), 6, 20, RUN_MS)
ids[#ids + 1] = short_job
pause(500)

local cut = cell.workers[1]
local cut_ms = now_ms()
local back_ms = last_begin(RECORD, cut.id) + LEASE_MS - LEFT_MS
for _, node in ipairs(cell.nodes) do
    step_clock(node, node == first and -STEP_MS or STEP_MS)
    cut_path(node, cut)
end
wait_until("the owner to notice that " .. cut.id .. " is silent", 3000, function()
    return has_logged(first, "worker_silent", cut.id)
end)
pause(100) -- It stores that.
signal(first.pid, "KILL")
wait_exit(first.pid, 2000)
local second = wait_successor(cell, first, cut_ms)
pause(back_ms - now_ms())
restore_all_paths(cell)

wait_completed(second, ids, 20000)
expect(cut.id .. " listed ends in time", count_acknowledged(read_runs(RECORD, {}), cut.id, cut_ms, back_ms) > 0)
expect_no_repeated_runs(cell, RECORD, {})
