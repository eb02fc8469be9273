-- A worker is listed as leaving, late: after a few seconds it gets nothing new, and what it runs
-- ends or moves.
local cell = started_cell({ vm_lag_ms = 1000 })
local code, job = submit_job(cell, "leisure",
    '{"class":"service","tasks":4,"idempotent":true,"milli_cpus":500,"memory_mb":500,"payload":"{\\"run_ms\\":600000}"}')
expect("the service is accepted", code == 202)
pause(500)
local leaving
under_load(cell, function()
    leaving = now_ms()
    request { method = "POST", server = cell.vm_list, path = "/v1/set?state=leaving&address=" .. cell.workers[1].address }
    pause(6000)
end)
local late, running, moved = 0, 0, 0
for _, runs in pairs(ledger(cell)) do
    for _, run in ipairs(runs) do
        if run.worker == cell.workers[1] then
            if run.began > leaving + 4000 then late = late + 1 end
            if run.ended == 0 then running = running + 1 end
            if run.state == "checkpointed" then moved = moved + 1 end
        end
    end
end
print("  starts after 4 s: " .. late .. ", still running: " .. running .. ", moved: " .. moved)
expect("nothing new after a few seconds", late == 0)
expect("nothing is left on it", running == 0)
