-- A rack, then a whole zone goes with its scheduler: the other zone serves on.
local cell = started_cell({
    zones = { { name = "corniche", racks = 2, workers_per_rack = 2 }, { name = "tanta", racks = 2, workers_per_rack = 2 } },
    schedulers = 3 })
under_load(cell, function()
    for _, worker in ipairs(cell.workers) do
        if worker.zone == "corniche" and worker.rack == "rack1" then signal(worker.pid, "KILL") end
    end
    pause(3000)
    local gone = owner_of(cell, "corniche-1") or cell.schedulers[1]
    for _, worker in ipairs(cell.workers) do
        if worker.zone == "corniche" then signal(worker.pid, "KILL") end
    end
    signal(gone.pid, "KILL")
    for i, scheduler in ipairs(cell.schedulers) do
        if scheduler == gone then table.remove(cell.schedulers, i) end
    end
    pause(6000)
end)
local load = load_start { entries = entry_addresses(cell), key = "leisure-key", body = CALL, connections = 4, count = 200 }
local sums = account(cell, load_finish(load))
must_hold("after the loss", sums)
print("  served by the zone that is left: " .. sums.served .. " of 200")
