-- DRAIN: a worker that has announced that it leaves gets no run later than 2 s after the store accepted the
-- announcement, although the store has just discarded its history and cut the watches without a word.
dofile("scenarios/platform.lua")
local cell = start_platform(4, 2)
local node = cell.nodes[1]
local ids = {}
local function submit_for(length_ms)
    local until_ms = now_ms() + length_ms
    while now_ms() < until_ms do
        local code, id = submit(node, #ids + 1, { { count = 8 } }, 300)
        if code == 200 then ids[#ids + 1] = id end
        pause(50)
    end
end

submit_for(1000)
discard_history(cell, 1000)
submit_for(1500)
announce_leaving(cell, 1)
submit_for(5000)
local counts = run_counts(cell)
print("  starts: " .. counts.starts .. ", late on the leaving worker: " .. counts.late_on_leaving)
expect("most jobs are accepted", #ids >= 50)
expect("no run is started on the leaving worker after 2 s", counts.late_on_leaving == 0)
wait_completed(node, ids, 15000)
expect_run_once(cell)
