-- While the store is down, new jobs are refused and accepted jobs continue. When the store loses answers, no
-- accepted job may be lost.
dofile("scenarios/platform.lua")
local cell = start_platform(4, 2)
local node = cell.nodes[1]
local ids = {}
for number = 1, 10 do
    local code, id = submit(node, number, { { count = 2 } }, 1200)
    expect("a job is accepted", code == 200)
    ids[#ids + 1] = id
end
set_store_fault(cell, "down")
local refused, accepted = 0, 0
for number = 11, 20 do
    local code = submit(node, number, { { count = 1 } }, 100)
    refused = refused + (code == 503 and 1 or 0)
    accepted = accepted + (code == 200 and 1 or 0)
    pause(150)
end
expect("no job is accepted without the store", accepted == 0)
expect("jobs are refused once the node has noticed that the store is down", refused >= 5)
set_store_fault(cell, "none")
wait_completed(node, ids, 15000)

set_store_fault(cell, "lossy")
local accepted_ids = {}
for number = 31, 60 do
    local code, id = submit(cell.nodes[number % 2 + 1], number, { { count = 1 } }, 50)
    if code == 200 then accepted_ids[#accepted_ids + 1] = id end
end
set_store_fault(cell, "none")
expect("most jobs are accepted although answers are lost", #accepted_ids >= 20)
wait_completed(node, accepted_ids, 15000)
expect_run_once(cell)

-- Each owner logs its load once per second, no matter how busy it is.
local load_events = 0
for index in ipairs(cell.nodes) do
    local last_ms
    for line in io.lines(OUT .. "/node" .. index .. ".log") do
        if line:find('"event":"owner_load"', 1, true) then
            local time_ms = tonumber(line:match('"time_ms":(%d+)'))
            expect("two owner_load events are at least 990 ms apart", last_ms == nil or time_ms - last_ms >= 990)
            expect("an owner_load event has the delay of the loop", line:find('"loop_delay_ms":%d+') ~= nil)
            last_ms, load_events = time_ms, load_events + 1
        end
    end
end
expect("owners log their load", load_events >= 3)
