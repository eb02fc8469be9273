-- The owner of accepted jobs and a worker are killed. Each task must still be done once or be reported as may have
-- run, no non-idempotent task may run twice, and a repeated submission must refer to the same job.
local cell = started_cell({ schedulers = 3 })
local ids = {}
local function submit(body)
    local id = request_id()
    local code, answer = submit_job(cell, "leisure", '{"request_id":"' .. id .. '",' .. body:sub(2))
    expect("accepted: " .. tostring(answer.reason), code == 202)
    ids[#ids + 1] = { id = id, idempotent = body:find('"idempotent":true', 1, true) ~= nil }
end
for _ = 1, 6 do
    submit('{"class":"batch","tasks":30,"idempotent":true,"milli_cpus":500,"memory_mb":500,"payload":"{\\"run_ms\\":300}"}')
    submit('{"class":"batch","tasks":10,"milli_cpus":500,"memory_mb":500,"payload":"{\\"run_ms\\":300}"}')
    submit('{"class":"gang","tasks":4,"idempotent":true,"milli_cpus":2000,"memory_mb":500,"payload":"{\\"run_ms\\":500}"}')
end
pause(700)
local victim = owner_of(cell, cell.shards[1].id)
signal(victim.pid, "KILL")
wait_exit(victim.pid, 5000)
local worker = cell.workers[2]
signal(worker.pid, "KILL")
wait_exit(worker.pid, 5000)
start_worker(cell, worker)
-- Repeats a submission while the shard has no owner or has just got a new one.
local code, answer = submit_job(cell, "leisure", '{"request_id":"' .. ids[1].id
    .. '","class":"batch","tasks":30,"idempotent":true,"milli_cpus":500,"memory_mb":500,"payload":"{\\"run_ms\\":300}"}')
expect("a repeated submission refers to the same job: " .. tostring(answer.reason), code == 202 or answer.verdict == "may_have_run")
for i, scheduler in ipairs(cell.schedulers) do
    if scheduler == victim then table.remove(cell.schedulers, i) end
end
local done, unknown = 0, 0
local runs
for _, job in ipairs(ids) do
    local view = wait_job_end(cell, "leisure", job.id, 60000)
    done = done + (view.tasks.d or 0)
    unknown = unknown + (view.tasks.u or 0)
    expect("all tasks of an idempotent job are done", not job.idempotent or (view.tasks.u or 0) == 0)
end
runs = recorded_runs(cell)
local run_twice = 0
for _, job in ipairs(ids) do
    for index = 0, 29 do
        local list = runs[job.id .. "/" .. index] or {}
        -- A run that ended with a checkpoint does not count, since the task continues from it in another run.
        local non_checkpointed_runs = 0
        for _, run in ipairs(list) do
            if run.state ~= "checkpointed" then non_checkpointed_runs = non_checkpointed_runs + 1 end
        end
        if not job.idempotent and non_checkpointed_runs > 1 then
            run_twice = run_twice + 1
            for _, run in ipairs(list) do
                print("RAN TWICE", job.id, index, run.worker.name, run.state, run.began, run.ended)
            end
        end
    end
end
print("  tasks done " .. done .. ", reported as may have run " .. unknown .. ", run twice " .. run_twice)
expect("no non-idempotent task ran twice", run_twice == 0)
expect("every task is done or reported as may have run", done + unknown == 6 * 44)
