-- Which repeated runs the check of the record of runs reports: an end counts once the owner has acknowledged it, unless
-- the worker's lease lapsed between the two.
dofile("scenarios/run_record.lua")

local FILE = OUT .. "/runs.jsonl"

local function write_events(events)
    local file = assert(io.open(FILE, "w"))
    for _, event in ipairs(events) do
        local fields = {}
        for name, value in pairs(event) do
            fields[#fields + 1] = string.format(type(value) == "number" and '"%s":%d' or '"%s":"%s"', name, value)
        end
        file:write("{", table.concat(fields, ","), "}\n")
    end
    file:close()
end

local function event(time_ms, name, worker, run, how)
    return { time_ms = time_ms, event = name, worker = worker, task = run and "t", run = run, how = how }
end

-- Run 1 on w1 ends as done at 200 and is acknowledged at 400; run 2 begins on w2 at 300.
local function count_repeated(lapses)
    local events = {
        event(100, "begin", "w1", 1), event(200, "end", "w1", 1, "done"), event(300, "begin", "w2", 2),
        event(400, "acknowledged", "w1", 1, "done"), event(500, "end", "w2", 2, "done"),
    }
    for _, lapse in ipairs(lapses) do table.insert(events, lapse) end
    write_events(events)
    return #find_repeated_runs(read_runs(FILE, {}))
end

local function lapse(time_ms, worker) return event(time_ms, "lease_lapsed", worker) end

expect("a run after an end that is acknowledged later is found", count_repeated({}) == 1)
expect("a lapse between the end and its acknowledgement voids the end", count_repeated({ lapse(250, "w1") }) == 0)
expect("also after the second run has begun", count_repeated({ lapse(350, "w1") }) == 0)
expect("a later lapse voids nothing", count_repeated({ lapse(450, "w1") }) == 1)
expect("nor does an earlier one", count_repeated({ lapse(150, "w1") }) == 1)
expect("nor one in the same millisecond as the end", count_repeated({ lapse(200, "w1") }) == 1)
expect("nor one of another worker", count_repeated({ lapse(250, "w2") }) == 1)
expect("a lapse voids no overlap", (function()
    write_events({ event(100, "begin", "w1", 1), event(150, "begin", "w2", 2), lapse(170, "w1"),
        event(200, "end", "w1", 1, "done"), event(300, "end", "w2", 2, "done") })
    return #find_repeated_runs(read_runs(FILE, {}))
end)() == 1)
