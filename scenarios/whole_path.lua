-- One request is served end to end, each part its own process, and its trace has a span for each hop.
local cell = small_cell()
start_cell(cell)
must_apply(cell, "leisure", { guaranteed = part(cell.total, 0.5), ceiling = cell.total })
local load = load_start { entries = entry_addresses(cell), key = "leisure-key", body = CALL, connections = 4, count = 200 }
local sums = account(cell, load_finish(load))
must_hold("calls", sums)
expect("every call is served", sums.served == 200)

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
local at_entry = spans("entry1")
local at_schedulers = wait("the scheduler's span", 2000, function()
    local all = spans("scheduler1")
    for _, line in ipairs(spans("scheduler2")) do all[#all + 1] = line end
    return #all > 0 and all
end)
expect("one span at the entry, below the caller's", #at_entry == 1 and at_entry[1]:find("00f067aa0ba902b7", 1, true))
local entry_span = at_entry[1]:match('"span_id":"(%x+)"')
expect("one span at the scheduler, below the entry's", #at_schedulers == 1
    and at_schedulers[1]:find('"parent_id":"' .. entry_span, 1, true))
