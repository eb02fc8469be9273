-- A worker is paused for longer than its lease while starts are in its socket buffers, and then resumes.
local cell = started_cell()
under_load(cell, function()
    signal(cell.workers[1].pid, "STOP")
    pause(7000)
    signal(cell.workers[1].pid, "CONT")
    wait_for_owners(cell, 15000)
    pause(1000)
end)
