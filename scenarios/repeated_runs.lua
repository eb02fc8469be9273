-- Which repeated runs the check of the record of runs reports: an end counts once the owner has acknowledged it, unless
-- the worker's lease lapsed between the two. A task of which several runs may take place is not started over a second
-- after that.
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

-- Returns the lines for a run on w1 from 100 to 200, which is acknowledged at 300 by token 5001, and a run on w2 from
-- `began_ms` on, whose order was sent `age_ms` before (nil: not known).
local function lines_of(began_ms, age_ms, is_speculative)
    local acknowledged = event(300, "acknowledged", "w1", 1, "done")
    acknowledged.token, acknowledged.life = 5001, 77
    local begin = event(began_ms, "begin", "w2", 2)
    begin.token, begin.age_ms = 6001, age_ms
    write_events({ event(100, "begin", "w1", 1), event(200, "end", "w1", 1, "done"), acknowledged, begin })
    return find_repeated_runs(read_runs(FILE, {}), nil, function() return is_speculative end)
end

local function has(lines, text) return #lines == 1 and lines[1]:find(text, 1, true) ~= nil end

expect("a run at once with another is found", has(lines_of(150, 1, false), "t at once: "))
expect("a start after a noted end is found", has(lines_of(1300, 1, false), "t again: "))
expect("and one over a second later, too", has(lines_of(1301, 1, false), "t again, after it was noted: "))
expect("several runs of a speculative step may take place", #lines_of(150, 1, true) == 0)
expect("also for a second after the end was noted", #lines_of(1300, 1, true) == 0)
expect("not later", has(lines_of(1301, 1, true), "t after it was noted: "))
expect("the line says who noted the end", has(lines_of(1301, 1, false), "noted 300 in life 77 by token 5001"))
expect("and who ordered the second run", has(lines_of(1301, 1, false), "token 6001 (epoch and base 6), not late: 1 ms"))
expect("and if the order was late", has(lines_of(1301, 1501, false), "late: 1501 ms") and
    not has(lines_of(1301, 1501, false), "not late"))
expect("as far as that is known", has(lines_of(1301, nil, false), "late: unknown"))
