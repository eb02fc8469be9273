-- Schedulers and entries are shut down in an orderly way under load with slow tasks: with a repeated signal, two at
-- the same time, and while the store is down. No call in progress may be cut off and every exit code must be 0.
local cell = started_cell({ schedulers = 3 })
local slow = CALL:gsub('run_ms\\":20', 'run_ms\\":800')
local function restart(daemon, start_daemon)
    signal(daemon.pid, "TERM")
    signal(daemon.pid, "TERM")
    local exit_code = wait_exit(daemon.pid, 30000)
    expect(daemon.name .. " exits with 0, not " .. tostring(exit_code), exit_code == 0)
    start_daemon(cell, daemon)
end
local a, b = under_load(cell, function()
    restart(cell.schedulers[1], start_scheduler)
    wait_for_owners(cell, 20000)
    signal(cell.schedulers[2].pid, "TERM")
    signal(cell.schedulers[3].pid, "TERM")
    for i = 2, 3 do
        local exit_code = wait_exit(cell.schedulers[i].pid, 30000)
        expect("schedulers that are stopped at the same time exit with 0, not " .. tostring(exit_code), exit_code == 0)
        start_scheduler(cell, cell.schedulers[i])
    end
    wait_for_owners(cell, 20000)
end, { call = slow })
expect("every call has an answer and a certain outcome", a.unconfirmed == 0 and b.unconfirmed == 0 and a.unanswered == 0 and b.unanswered == 0)
wait_for_stable_owners(cell, 30000)
a, b = under_load(cell, function()
    for _, entry in ipairs(cell.entries) do
        restart(entry, start_entry)
        wait_until("the entry to answer again", 5000, function() return request { server = entry.http, path = "/healthz" } == 200 end)
        pause(1000)
    end
end, { call = slow })
expect("every call that was answered has a certain outcome", a.unconfirmed == 0 and b.unconfirmed == 0)
set_store_fault(cell, "mode=down")
pause(500)
signal(cell.schedulers[1].pid, "TERM")
expect("a scheduler exits with 0 while the store is down", wait_exit(cell.schedulers[1].pid, 30000) == 0)
