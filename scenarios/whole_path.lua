-- One request is served end to end, each part its own process.
local cell = small_cell()
start_cell(cell)
must_apply(cell, "leisure", { guaranteed = part(cell.total, 0.5), ceiling = cell.total })
local load = load_start { entries = entry_addresses(cell), key = "leisure-key", body = CALL, connections = 4, count = 200 }
local sums = account(cell, load_finish(load))
must_hold("calls", sums)
expect("every call is served", sums.served == 200)
