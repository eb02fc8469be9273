-- All workers of a rack are killed, then all workers of its zone and the scheduler that owns the zone's shard. The
-- workers of the other zone must continue to serve calls.
local cell = started_cell({
    zones = { { name = "corniche", racks = 2, workers_per_rack = 2 }, { name = "tanta", racks = 2, workers_per_rack = 2 } },
    schedulers = 3 })
under_load(cell, function()
    for _, worker in ipairs(cell.workers) do
        if worker.zone == "corniche" and worker.rack == "rack1" then signal(worker.pid, "KILL") end
    end
    pause(3000)
    local victim = owner_of(cell, "corniche-1") or cell.schedulers[1]
    for _, worker in ipairs(cell.workers) do
        if worker.zone == "corniche" then signal(worker.pid, "KILL") end
    end
    signal(victim.pid, "KILL")
    for i, scheduler in ipairs(cell.schedulers) do
        if scheduler == victim then table.remove(cell.schedulers, i) end
    end
    pause(6000)
end)
local load = load_start { entries = entry_addresses(cell), key = "leisure-key", body = CALL, connections = 4, count = 200 }
local outcomes = count_outcomes(cell, load_finish(load))
expect_consistent("after the loss of the zone", outcomes)
print("  served by the remaining zone: " .. outcomes.served .. " of 200")
