-- The cell that ./run-cell starts: both deployments run mixed work of both customers while one scheduler and one
-- worker are killed. Prints a report at the end.
local cell = new_cell {
    zones = {
        { name = "corniche", racks = 2, workers_per_rack = 8, shape = LARGE },
        { name = "tanta", racks = 2, workers_per_rack = 8, shape = LARGE },
        { name = "fayoum", racks = 2, workers_per_rack = 8, shape = LARGE },
        { name = "ljubljana", racks = 2, workers_per_rack = 6, shape = SMALL },
        { name = "maribor", racks = 2, workers_per_rack = 6, shape = SMALL },
        { name = "koper", racks = 2, workers_per_rack = 6, shape = SMALL },
        { name = "celje", racks = 2, workers_per_rack = 6, shape = SMALL } },
    schedulers = 6, entries = 6, shape = SMALL, worker_lease_ms = 6000 }
print("starting " .. #cell.workers .. " workers, 6 schedulers, 6 entries, a store and a VM list")
start_cell(cell)
local servers = {}
for i, scheduler in ipairs(cell.schedulers) do servers[i] = scheduler.operators end
local function ctl(name, ...)
    local pid = start("ctl-" .. name, { "flamingoseamctl", "--servers=" .. table.concat(servers, ","),
        "--key=" .. OPERATOR_KEY, "--author=demo", ... })
    local code = wait_exit(pid, 15000)
    expect("flamingoseamctl " .. name .. " exits with 0, not " .. tostring(code), code == 0)
end
ctl("apply-leisure", "contract", "apply", "examples/leisure/contract.toml")
ctl("apply-portfolio", "contract", "apply", "examples/portfolio/contract.toml")
wait_until("all entries to accept the keys of both contracts", 5000, function()
    for _, entry in ipairs(cell.entries) do
        for _, key in ipairs { "leisure-utility-key", "galerija-portfelj-key" } do
            if request { server = entry.http, path = "/v1/jobs/none", key = key } ~= 404 then return false end
        end
    end
    return true
end)
local waiver_load = load_start { entries = entry_addresses(cell), key = "leisure-utility-key", connections = 24, interval_ms = 5,
    client_ids = 1, body = '{"kind":"waiver","milli_cpus":2000,"memory_mb":2000,"payload":"{\\"run_ms\\":40,\\"text\\":\\"ride\\"}"}' }
local thumbnail_load = load_start { entries = entry_addresses(cell), key = "galerija-portfelj-key", connections = 24, interval_ms = 5,
    body = '{"kind":"thumbnail","idempotent":true,"milli_cpus":1000,"memory_mb":1000,"payload":"{\\"run_ms\\":60,\\"text\\":\\"jpeg\\"}"}' }
local jobs = {}
local function submit(customer, body)
    local code, answer = submit_job(cell, customer, body, cell.entries[#jobs % 6 + 1])
    expect("a job is accepted: " .. tostring(answer.reason), code == 202)
    jobs[#jobs + 1] = { customer = customer, id = answer.request_id }
end
for _ = 1, 4 do
    submit("leisure-utility", '{"class":"batch","kind":"insurers","tasks":40,"idempotent":true,"milli_cpus":4000,"memory_mb":8000,"payload":"{\\"run_ms\\":1500}"}')
    submit("galerija-portfelj", '{"class":"batch","kind":"images","tasks":40,"idempotent":true,"milli_cpus":2000,"memory_mb":2000,"payload":"{\\"run_ms\\":1200}"}')
    submit("galerija-portfelj", '{"class":"gang","kind":"lookbook","tasks":6,"idempotent":true,"milli_cpus":4000,"memory_mb":6000,"payload":"{\\"run_ms\\":1500}"}')
end
pause(1500)
local reserved, capacity = 0, 0
for _, scheduler in ipairs(cell.schedulers) do
    local code, view = request_status(cell, scheduler)
    if code == 200 then
        for _, shard in ipairs(view.shards) do
            if shard.owner == scheduler.rpc then
                reserved = reserved + shard.reserved.slots
                capacity = capacity + shard.capacity.slots
            end
        end
    end
end
print("killing the owner of " .. cell.shards[1].id .. " and a worker of " .. cell.shards[2].id)
local victim = owner_of(cell, cell.shards[1].id)
signal(victim.pid, "KILL")
signal(cell.workers[17].pid, "KILL")
wait_exit(victim.pid, 5000)
wait_exit(cell.workers[17].pid, 5000)
start_worker(cell, cell.workers[17])
for i, scheduler in ipairs(cell.schedulers) do
    if scheduler == victim then table.remove(cell.schedulers, i) end
end
wait_for_owners(cell, 20000)
pause(2000)
local a = count_outcomes(cell, load_finish(waiver_load, true))
local b = count_outcomes(cell, load_finish(thumbnail_load, true), { idempotent = true })
local done, unknown = 0, 0
for _, job in ipairs(jobs) do
    local view = wait_job_end(cell, job.customer, job.id, 60000)
    done = done + (view.tasks.d or 0)
    unknown = unknown + (view.tasks.u or 0)
end
print("report")
expect_consistent("waiver checks (non-idempotent calls)", a)
expect_consistent("thumbnails (idempotent calls)", b)
print("  jobs: " .. #jobs .. " accepted, tasks done " .. done .. ", may have run " .. unknown)
print(string.format("  packing before the kill: %d of %d slots reserved", reserved, capacity))
for _, entry in ipairs(cell.entries) do
    local _, text = request { server = entry.http, path = "/metrics" }
    expect("an entry serves metrics", type(text) == "string" and text:find("flamingoseam_entry_answers_total", 1, true))
end
expect("every task is done or reported as may have run", done + unknown == 4 * 86)
ctl("status", "status")
