-- The VM list no longer has two workers that are alive and run tasks. No task that runs on them may be started on
-- another worker before it has ended.
local cell = started_cell({ vm_lag_ms = 100, zones = { { name = "tanta", racks = 1, workers_per_rack = 4 } } })
local slow = IDEMPOTENT_CALL:gsub('run_ms\\":20', 'run_ms\\":6000')
local code, job = submit_job(cell, "leisure",
    '{"class":"service","tasks":4,"idempotent":true,"milli_cpus":500,"memory_mb":500,"payload":"{\\"run_ms\\":600000}"}')
expect("the service is accepted", code == 202)
wait_until("the service to run", 5000, function()
    local view = job_state(cell, "leisure", job.request_id)
    return view and view.state == "running"
end)
under_load(cell, function()
    for i = 1, 2 do
        request { method = "POST", server = cell.vm_list, path = "/v1/set?state=gone&address=" .. cell.workers[i].address }
    end
    pause(11000)
end, { idempotent_call = slow, connections = 4 })
local overlapping_runs = 0
for _, runs in pairs(recorded_runs(cell)) do
    table.sort(runs, function(a, b) return a.began < b.began end)
    for i = 2, #runs do
        if runs[i - 1].ended == 0 or runs[i - 1].ended > runs[i].began then overlapping_runs = overlapping_runs + 1 end
    end
end
expect("no task runs twice at the same time: " .. overlapping_runs, overlapping_runs == 0)
