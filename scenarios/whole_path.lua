-- Calls are served end to end by a cell in which each daemon is its own process, and the trace of a call has a span
-- from the entry and one from the scheduler.
local cell = small_cell()
start_cell(cell)
apply_and_wait(cell, "leisure", { guaranteed = scaled_resources(cell.total, 0.5), ceiling = cell.total })
local load = load_start { entries = entry_addresses(cell), key = "leisure-key", body = CALL, connections = 4, count = 200 }
local outcomes = count_outcomes(cell, load_finish(load))
expect_consistent("calls", outcomes)
expect("every call is served", outcomes.served == 200)

local trace = "4bf92f3577b34da6a3ce929d0e0e4736"
local code = request { method = "POST", server = cell.entries[1].http, path = "/v1/calls", key = "leisure-key",
    body = CALL, traceparent = "00-" .. trace .. "-00f067aa0ba902b7-01" }
expect("the traced call is served", code == 200)
local function spans(name)
    local file = io.open(OUT .. "/" .. name .. ".spans")
    local found = {}
    for line in file and file:lines() or function() end do
        if line:find(trace, 1, true) then found[#found + 1] = line end
    end
    return found
end
local entry_spans = spans("entry1")
local scheduler_spans = wait_until("the scheduler to write its span", 2000, function()
    local all = spans("scheduler1")
    for _, line in ipairs(spans("scheduler2")) do all[#all + 1] = line end
    return #all > 0 and all
end)
expect("the entry has written one span, a child of the caller's", #entry_spans == 1 and entry_spans[1]:find("00f067aa0ba902b7", 1, true))
local entry_span_id = entry_spans[1]:match('"span_id":"(%x+)"')
expect("the scheduler has written one span, a child of the entry's", #scheduler_spans == 1
    and scheduler_spans[1]:find('"parent_id":"' .. entry_span_id, 1, true))
