-- TWICE: an owner is replaced by a second one and this, which still runs, by a third one.
--
-- The first owner loses the store, the other nodes and one worker of four; the other nodes reach only that worker. As
-- the majority of the workers answers the first owner, it renews their leases. The second owner knows that the first
-- one starts nothing any more, but not that it renews no lease; the third one asks only the second one to stop.
dofile("scenarios/platform.lua")
dofile("scenarios/run_record.lua")
dofile("scenarios/platform_paths.lua")

local RECORD = OUT .. "/runs.jsonl"
local SECOND_OWNER_MS = 3000 -- The second owner owns the jobs for so long.
local CUT_MS = 16500
-- The runs end before and after the time at which the third owner would take the first one's workers for empty.
local RUNS_MS = { 11000, 15000 }
local NOTED_MS = 2000 -- After the completion of the jobs all ends have been noted.

local cell = start_cell_with_paths(4, 3, RECORD, false, true)
local first = wait_until("a node to become owner", 8000, function() return owner_of(cell) end)
local jobs = {}
for i, length_ms in ipairs(RUNS_MS) do
    local code
    code, jobs[i] = submit(other_node(cell, first), i, { { count = 8 } }, length_ms)
    expect("the jobs are accepted", code == 200)
end
pause(700)

local cut_ms = now_ms()
cut_store_path(first)
for _, node in ipairs(cell.nodes) do
    if node == first then
        for other = 1, #cell.nodes do hold_peer(node, other, true) end
        cut_path(node, cell.workers[4])
    else
        for other = 1, #cell.nodes do
            if cell.nodes[other] == first then hold_peer(node, other, true) end
        end
        for i = 1, 3 do cut_path(node, cell.workers[i]) end
    end
end
local second = wait_successor(cell, first, cut_ms)
pause(SECOND_OWNER_MS)
signal(second.pid, "TERM")
local third = wait_successor(cell, second, cut_ms)
expect("the third owner is another node than the first one", third ~= first)
pause(cut_ms + CUT_MS - now_ms())
for _, node in ipairs(cell.nodes) do
    if node ~= second then
        for other = 1, #cell.nodes do hold_peer(node, other, false) end
    end
end
restore_all_paths(cell)

wait_completed(third, jobs, 30000)
pause(NOTED_MS)
expect_no_repeated_runs(cell, RECORD, {})
