-- A worker is paused past its lease with starts in its socket buffers, then wakes.
local cell = started_cell()
under_load(cell, function()
    signal(cell.workers[1].pid, "STOP")
    pause(7000)
    signal(cell.workers[1].pid, "CONT")
    wait_for_owners(cell, 15000)
    pause(1000)
end)
