-- Workers are killed while they run tasks and are restarted without their state, one of them with fewer resources
-- than before.
local cell = started_cell()
under_load(cell, function()
    local worker = cell.workers[1]
    signal(worker.pid, "KILL")
    wait_exit(worker.pid, 5000)
    worker.old_runs = true
    worker.shape = { processors = 4, memory_gb = 8, slots = 2 }
    start_worker(cell, worker)
    local other = cell.workers[3]
    signal(other.pid, "KILL")
    wait_exit(other.pid, 5000)
    pause(6000)
    start_worker(cell, other)
    wait_for_owners(cell, 15000)
end)
