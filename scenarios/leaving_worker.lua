-- The VM list reports with a delay that a worker is leaving. At most 4 s after the change the worker must get no
-- new tasks, and its running tasks must end or move to another worker.
local cell = started_cell({ vm_lag_ms = 1000 })
local code, job = submit_job(cell, "leisure",
    '{"class":"service","tasks":4,"idempotent":true,"milli_cpus":500,"memory_mb":500,"payload":"{\\"run_ms\\":600000}"}')
expect("the service is accepted", code == 202)
pause(500)
local leaving_ms
under_load(cell, function()
    leaving_ms = now_ms()
    request { method = "POST", server = cell.vm_list, path = "/v1/set?state=leaving&address=" .. cell.workers[1].address }
    pause(6000)
end)
local late, running, moved = 0, 0, 0
for _, runs in pairs(recorded_runs(cell)) do
    for _, run in ipairs(runs) do
        if run.worker == cell.workers[1] then
            if run.began > leaving_ms + 4000 then late = late + 1 end
            if run.ended == 0 then running = running + 1 end
            if run.state == "checkpointed" then moved = moved + 1 end
        end
    end
end
print("  starts after 4 s: " .. late .. ", still running: " .. running .. ", moved: " .. moved)
expect("no task is started on the leaving worker after 4 s", late == 0)
expect("no task runs on the leaving worker any more", running == 0)
