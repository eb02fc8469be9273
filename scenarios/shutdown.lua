-- Schedulers and entries are ended in order under load with slow tasks, twice in a row and two at
-- once, once with the store down: no call in progress is cut and every exit code is 0.
local cell = started_cell({ schedulers = 3 })
local slow = CALL:gsub('run_ms\\":20', 'run_ms\\":800')
local function restart(daemon, start_again)
    signal(daemon.pid, "TERM")
    signal(daemon.pid, "TERM")
    local exit = wait_exit(daemon.pid, 30000)
    expect(daemon.name .. " ends with 0, not " .. tostring(exit), exit == 0)
    start_again(cell, daemon)
end
local a, b = under_load(cell, function()
    restart(cell.schedulers[1], start_scheduler)
    wait_for_owners(cell, 20000)
    signal(cell.schedulers[2].pid, "TERM")
    signal(cell.schedulers[3].pid, "TERM")
    for i = 2, 3 do
        local exit = wait_exit(cell.schedulers[i].pid, 30000)
        expect("two at once end with 0, not " .. tostring(exit), exit == 0)
        start_scheduler(cell, cell.schedulers[i])
    end
    wait_for_owners(cell, 20000)
end, { call = slow })
expect("no call was cut or refused", a.doubted == 0 and b.doubted == 0 and a.unanswered == 0 and b.unanswered == 0)
wait_for_rest(cell, 30000)
a, b = under_load(cell, function()
    for _, entry in ipairs(cell.entries) do
        restart(entry, start_entry)
        wait("the entry is back", 5000, function() return request { server = entry.http, path = "/healthz" } == 200 end)
        pause(1000)
    end
end, { call = slow })
expect("no call was doubted", a.doubted == 0 and b.doubted == 0)
fault(cell, "mode=down")
pause(500)
signal(cell.schedulers[1].pid, "TERM")
expect("ends with the store down", wait_exit(cell.schedulers[1].pid, 30000) == 0)
