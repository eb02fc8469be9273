-- While the store is away new jobs are refused and accepted ones go on; lost answers lose nothing.
dofile("scenarios/platform.lua")
local cell = start_platform(4, 2)
local node = cell.nodes[1]
local ids = {}
for number = 1, 10 do
    local code, id = submit(node, number, { { count = 2 } }, 1200)
    expect("a job is accepted", code == 200)
    ids[#ids + 1] = id
end
store_fault(cell, "down")
local refused, accepted = 0, 0
for number = 11, 20 do
    local code = submit(node, number, { { count = 1 } }, 100)
    refused = refused + (code == 503 and 1 or 0)
    accepted = accepted + (code == 200 and 1 or 0)
    pause(150)
end
expect("no job is accepted without the store", accepted == 0)
expect("jobs are refused while it is known to be away", refused >= 5)
store_fault(cell, "none")
wait_completed(node, ids, 15000)

store_fault(cell, "lossy")
local certain = {}
for number = 31, 60 do
    local code, id = submit(cell.nodes[number % 2 + 1], number, { { count = 1 } }, 50)
    if code == 200 then certain[#certain + 1] = id end
end
store_fault(cell, "none")
expect("most jobs are accepted although answers are lost", #certain >= 20)
wait_completed(node, certain, 15000)
must_run_once(cell)

-- Each owner tells its load once a second, whatever it has to do.
local lines = 0
for index in ipairs(cell.nodes) do
    local last
    for line in io.lines(OUT .. "/node" .. index .. ".log") do
        if line:find('"event":"owner_load"', 1, true) then
            local time = tonumber(line:match('"time_ms":(%d+)'))
            expect("lines of load are a second apart", last == nil or time - last >= 990)
            expect("they tell the loop's delay", line:find('"loop_delay_ms":%d+') ~= nil)
            last, lines = time, lines + 1
        end
    end
end
expect("an owner tells its load", lines >= 3)
