-- Functions that the scenarios share: they start a cell as a set of processes, send requests to it, inject
-- faults and evaluate the outcomes.

OPERATOR_KEY = "operator-key-of-the-tests"

local next_host = 1

function address(group, host)
    return string.format("127.%d.%d.%d", NET, group, host)
end

-- Calls `condition` every 20 ms until it returns a true value, and returns that value. Fails after `timeout_ms`.
function wait_until(description, timeout_ms, condition)
    local deadline_ms = now_ms() + timeout_ms
    while now_ms() < deadline_ms do
        local value = condition()
        if value then return value end
        pause(20)
    end
    error("timed out after " .. timeout_ms .. " ms waiting for: " .. description, 2)
end

-- Fails the scenario unless `condition` is true.
function expect(label, condition)
    if not condition then error("check failed: " .. label, 2) end
end

-- Returns a list of strings as an array in the notation that TOML and JSON share.
local function string_array(list)
    local quoted = {}
    for i, text in ipairs(list) do quoted[i] = string.format("%q", text) end
    return "[" .. table.concat(quoted, ", ") .. "]"
end

-- Writes the settings files of a cell and returns its description; starts no process.
-- options: zones = { {name, racks, workers_per_rack} }, the numbers of schedulers and entries, and the shape
-- (resources) of a worker, which a zone can override.
function new_cell(options)
    local cell = {
        options = options, workers = {}, schedulers = {}, entries = {}, keys = {},
        store = address(1, 1) .. ":7100", vm_list = address(1, 2) .. ":7200",
    }
    local shards, vms = {}, {}
    local count = 0
    for zone_index, zone in ipairs(options.zones) do
        local racks = {}
        for rack = 1, zone.racks do
            racks[#racks + 1] = "rack" .. rack
            for _ = 1, zone.workers_per_rack do
                count = count + 1
                local shape = zone.shape or options.shape
                local worker = { name = "worker" .. count, zone = zone.name, rack = "rack" .. rack,
                    address = address(20 + zone_index, count) .. ":7300", shape = shape }
                cell.workers[count] = worker
                vms[#vms + 1] = string.format('[[vm]]\naddress = %q\nzone = %q\nrack = %q\n',
                    worker.address, worker.zone, worker.rack)
            end
        end
        local per_shard = zone.racks_per_shard or zone.racks
        local first = 1
        while first <= zone.racks do
            local group = {}
            for rack = first, math.min(first + per_shard - 1, zone.racks) do
                group[#group + 1] = "rack" .. rack
            end
            shards[#shards + 1] = { id = zone.name .. "-" .. first, zone = zone.name, racks = group }
            first = first + per_shard
        end
    end
    cell.shards = shards
    local layout = {}
    for _, shard in ipairs(shards) do
        layout[#layout + 1] = string.format('[[shard]]\nid = %q\nzone = %q\nracks = %s\n',
            shard.id, shard.zone, string_array(shard.racks))
    end
    local total = { processors = 0, memory_gb = 0, accelerators = 0, slots = 0 }
    for _, worker in ipairs(cell.workers) do
        for key in pairs(total) do total[key] = total[key] + (worker.shape[key] or 0) end
    end
    cell.total = total
    layout[#layout + 1] = string.format(
        '[capacity]\nprocessors = %d\nmemory_gb = %d\naccelerators = %d\nslots = %d\n',
        total.processors, total.memory_gb, total.accelerators, total.slots)
    write_file("cell.toml", table.concat(layout, "\n"))
    write_file("vms.toml", table.concat(vms, "\n"))
    for i = 1, options.schedulers do
        cell.schedulers[i] = { name = "scheduler" .. i, host = address(2, i), rpc = address(2, i) .. ":7400",
            operators = address(2, i) .. ":7401" }
    end
    for i = 1, options.entries do
        cell.entries[i] = { name = "entry" .. i, host = address(3, i), http = address(3, i) .. ":8080" }
    end
    return cell
end

function start_store(cell)
    local host, port = cell.store:match("(.*):(.*)")
    cell.store_pid = start("store", { "standin-store", "--address=" .. host, "--port=" .. port })
    wait_until("the store to answer", 10000, function() return request { server = cell.store, path = "/v1/counters" } == 200 end)
end

function start_vm_list(cell)
    local host, port = cell.vm_list:match("(.*):(.*)")
    cell.vm_list_pid = start("vm_list", { "standin-vm-list", "--address=" .. host, "--port=" .. port,
        "--vms=" .. OUT .. "/vms.toml", "--lag_ms=" .. (cell.options.vm_lag_ms or 1000) })
end

function start_worker(cell, worker)
    local host, port = worker.address:match("(.*):(.*)")
    local shape = worker.shape
    worker.pid = start(worker.name, { "standin-worker", "--address=" .. host, "--port=" .. port,
        "--processors=" .. shape.processors, "--memory_gb=" .. shape.memory_gb,
        "--accelerators=" .. (shape.accelerators or 0), "--slots=" .. shape.slots,
        "--check_epoch=" .. (cell.options.check_epoch == false and "false" or "true") })
end

function start_scheduler(cell, scheduler)
    local peers = {}
    for _, other in ipairs(cell.schedulers) do
        if other ~= scheduler then peers[#peers + 1] = other.peer_rpc or other.rpc end
    end
    write_file(scheduler.name .. ".toml", string.format([[
address = %q
zone = %q
store = %q
vm_list = %q
peers = %s
operator_key_hashes = %s
span_file = %q
member_lease_ms = %d
worker_lease_ms = %d
drain_timeout_ms = %d
cell = "cell.toml"
]], scheduler.host, cell.shards[1].zone, scheduler.store or cell.store, cell.vm_list, string_array(peers),
        string_array({ hash_key(OPERATOR_KEY) }), OUT .. "/" .. scheduler.name .. ".spans",
        cell.options.member_lease_ms or 2000, cell.options.worker_lease_ms or 4000,
        cell.options.drain_timeout_ms or 20000))
    scheduler.pid = start(scheduler.name, { "flamingoseam-scheduler",
        "--settings=" .. OUT .. "/" .. scheduler.name .. ".toml" })
end

function start_entry(cell, entry)
    local rpcs = {}
    for _, scheduler in ipairs(cell.schedulers) do rpcs[#rpcs + 1] = scheduler.rpc end
    write_file(entry.name .. ".toml", string.format([[
address = %q
zone = %q
schedulers = %s
span_file = %q
call_timeout_ms = %d
]], entry.host, cell.shards[1].zone, string_array(rpcs), OUT .. "/" .. entry.name .. ".spans",
        cell.options.call_timeout_ms or 15000))
    entry.pid = start(entry.name, { "flamingoseam-entry", "--settings=" .. OUT .. "/" .. entry.name .. ".toml" })
end

function start_cell(cell)
    start_store(cell)
    start_vm_list(cell)
    for _, worker in ipairs(cell.workers) do start_worker(cell, worker) end
    for _, scheduler in ipairs(cell.schedulers) do start_scheduler(cell, scheduler) end
    for _, entry in ipairs(cell.entries) do start_entry(cell, entry) end
    wait_for_owners(cell, 20000)
end

-- Requests a scheduler's /v1/status. Returns the HTTP status and the body.
function request_status(cell, scheduler)
    return request { server = scheduler.operators, path = "/v1/status", key = OPERATOR_KEY, timeout_ms = 2000 }
end

-- Returns the owner and epoch of each shard as reported by the schedulers that answer, and whether every shard
-- has an owner that has received the reports of all its workers. Shards without such an owner are left out.
function owners(cell)
    local result, ready = {}, 0
    for _, scheduler in ipairs(cell.schedulers) do
        local code, view = request_status(cell, scheduler)
        if code == 200 then
            for _, shard in ipairs(view.shards) do
                if shard.owner == scheduler.rpc and shard.workers > 0 and not shard.recovering then
                    result[shard.shard] = { scheduler = scheduler, epoch = shard.epoch }
                end
            end
        end
    end
    for _ in pairs(result) do ready = ready + 1 end
    return result, ready == #cell.shards
end

function wait_for_owners(cell, timeout_ms)
    wait_until("an owner of every shard", timeout_ms, function()
        local _, ready = owners(cell)
        return ready
    end)
end

-- Waits until no shard has changed its owner for 5 s, which is longer than a new member waits for its first shard.
function wait_for_stable_owners(cell, timeout_ms)
    local function epochs()
        local list = {}
        for shard, owner in pairs(owners(cell)) do list[#list + 1] = shard .. "@" .. owner.epoch end
        table.sort(list)
        return table.concat(list, ",")
    end
    local previous, unchanged_since = "", now_ms()
    wait_until("shards to keep their owners", timeout_ms, function()
        local current = epochs()
        if current ~= previous then previous, unchanged_since = current, now_ms() end
        return now_ms() - unchanged_since > 5000
    end)
end

function contract_json(customer, terms)
    local function resources_json(value)
        return string.format('{"milli_cpus":%d,"memory_mb":%d,"accelerators":%d,"slots":%d}',
            value.processors * 1000, value.memory_gb * 1000, value.accelerators or 0, value.slots)
    end
    return string.format(
        '{"customer":%q,"change_id":%q,"author":%q,"key_hashes":%s,"zones":%s,"guaranteed":%s,"ceiling":%s,' ..
        '"longest_wait_ms":[%d,%d,%d,%d],"yield_order":%s,"yield_by":"checkpoint","yield_grace_ms":500,' ..
        '"weight":1,"queue_limit":%d,"retry_attempts":3,"retry_budget_percent":10,"retry_backoff_ms":20}',
        customer, terms.change_id or request_id(), terms.author or "operator",
        string_array({ hash_key(customer .. "-key") }), string_array(terms.zones or {}),
        resources_json(terms.guaranteed), resources_json(terms.ceiling), terms.call_ms or 2500, terms.service_ms or 60000,
        terms.gang_ms or 60000, terms.batch_ms or 3600000, string_array(terms.preemptible_classes or { "batch" }),
        terms.queue_limit or 1000)
end

-- Sends a contract to a scheduler (the first one, unless options.scheduler is set). Returns the HTTP status and
-- the answer.
function apply_contract(cell, customer, terms, options)
    options = options or {}
    local scheduler = options.scheduler or cell.schedulers[1]
    local path = "/v1/contracts/" .. customer
    if options.expected_version then path = path .. "?expected_version=" .. options.expected_version end
    return request { method = "PUT", server = scheduler.operators, path = path, key = OPERATOR_KEY,
        body = contract_json(customer, terms), timeout_ms = options.timeout_ms or 10000 }
end

-- Applies a contract and waits until every entry accepts the customer's key.
function apply_and_wait(cell, customer, terms)
    local code, answer = apply_contract(cell, customer, terms)
    expect("the contract of " .. customer .. " is applied (status " .. tostring(code) .. ")", code == 200)
    wait_until("all entries to accept the key of " .. customer, 5000, function()
        for _, entry in ipairs(cell.entries) do
            local entry_code = request { server = entry.http, path = "/v1/jobs/none", key = customer .. "-key" }
            if entry_code ~= 404 and entry_code ~= 200 then return false end
        end
        return true
    end)
    return answer
end

function entry_addresses(cell)
    local list = {}
    for i, entry in ipairs(cell.entries) do list[i] = entry.http end
    return list
end

-- Reads from the ledger of every stand-in worker all runs that it has ever started. Returns lists of runs by
-- request_id/task index.
function recorded_runs(cell)
    local runs = {}
    for _, worker in ipairs(cell.workers) do
        local code, entries = request { server = worker.address, path = "/v1/ledger", timeout_ms = 10000 }
        if code == 200 and type(entries) == "table" then
            for _, run in ipairs(entries) do
                local key = run.request_id .. "/" .. run.index
                runs[key] = runs[key] or {}
                table.insert(runs[key], { worker = worker, began = run.began_ms, ended = run.ended_ms,
                    state = run.state })
            end
        end
    end
    return runs
end

-- Counts the results of a load by outcome and compares them with the workers' ledgers:
--   served, refused (verdict not_run), unconfirmed (any other verdict), unanswered (no HTTP answer),
--   lost (served without a reason, but the output lacks the request's id), duplicated (run more often than
--   allowed), false_refusals (verdict not_run although a worker started the task).
-- options.idempotent: a task may run more than once, but not twice at the same time.
function count_outcomes(cell, results, options)
    options = options or {}
    local runs = recorded_runs(cell)
    local outcomes = { served = 0, refused = 0, unconfirmed = 0, unanswered = 0, lost = 0,
        duplicated = 0, false_refusals = 0 }
    local waits = {}
    for _, result in ipairs(results) do
        local started = runs[result.request_id .. "/0"] or {}
        if result.status == 0 then
            outcomes.unanswered = outcomes.unanswered + 1
            if outcomes.unanswered <= 2 then print("UNANSWERED", result.request_id, result.reason) end
        elseif result.verdict == "ran" then
            outcomes.served = outcomes.served + 1
            waits[#waits + 1] = result.wait_ms
            if not result.output:find(result.request_id, 1, true) and result.reason == "" then outcomes.lost = outcomes.lost + 1 end
        elseif result.verdict == "not_run" then
            outcomes.refused = outcomes.refused + 1
            if #started > 0 then
                outcomes.false_refusals = outcomes.false_refusals + 1
                print("STARTED BUT not_run", result.request_id, result.reason)
            end
        else
            outcomes.unconfirmed = outcomes.unconfirmed + 1
            outcomes.unconfirmed_reasons = outcomes.unconfirmed_reasons or {}
            outcomes.unconfirmed_reasons[result.reason] = (outcomes.unconfirmed_reasons[result.reason] or 0) + 1
        end
        if #started > 1 then
            if not options.idempotent then
                outcomes.duplicated = outcomes.duplicated + 1
                print("DUPLICATED", result.request_id, result.verdict, result.reason)
            else
                table.sort(started, function(a, b) return a.began < b.began end)
                for i = 2, #started do
                    if started[i - 1].ended == 0 or started[i - 1].ended > started[i].began then
                        outcomes.duplicated = outcomes.duplicated + 1
                        print("OVERLAPPING RUNS", result.request_id, started[i - 1].state, started[i - 1].began, started[i - 1].ended,
                            started[i].state, started[i].began, started[i].ended)
                    end
                end
            end
        end
    end
    table.sort(waits)
    outcomes.p50 = waits[math.max(1, math.ceil(#waits * 0.5))] or -1
    outcomes.p99 = waits[math.max(1, math.ceil(#waits * 0.99))] or -1
    outcomes.max_wait_ms = waits[#waits] or -1
    return outcomes
end

-- Returns how many starts the workers refused because they would exceed a worker's capacity.
function count_capacity_refusals(cell)
    local refused = 0
    for _, worker in ipairs(cell.workers) do
        local code, counts = request { server = worker.address, path = "/v1/counts" }
        if code == 200 then refused = refused + counts.refused_capacity end
    end
    return refused
end

function print_outcomes(title, outcomes)
    print(string.format("  %s: served %d, refused %d, unconfirmed %d, unanswered %d, lost %d, duplicated %d, false refusals %d, p50 %d ms, p99 %d ms, max %d ms",
        title, outcomes.served, outcomes.refused, outcomes.unconfirmed, outcomes.unanswered, outcomes.lost,
        outcomes.duplicated, outcomes.false_refusals,
        outcomes.p50, outcomes.p99, outcomes.max_wait_ms))
    for reason, count in pairs(outcomes.unconfirmed_reasons or {}) do
        print("    unconfirmed because of " .. reason .. ": " .. count)
    end
end

-- Prints the outcomes and checks that no answer was lost, no task duplicated and no refusal false.
function expect_consistent(title, outcomes)
    print_outcomes(title, outcomes)
    expect(title .. ": no answer is lost", outcomes.lost == 0)
    expect(title .. ": no task is duplicated", outcomes.duplicated == 0)
    expect(title .. ": no task that is reported as not_run was started", outcomes.false_refusals == 0)
end

SMALL = { processors = 16, memory_gb = 32, slots = 8 }
LARGE = { processors = 64, memory_gb = 128, slots = 8 }

function small_cell(options)
    options = options or {}
    options.zones = options.zones or {
        { name = "corniche", racks = 1, workers_per_rack = 2 },
        { name = "tanta", racks = 1, workers_per_rack = 2 } }
    options.schedulers = options.schedulers or 2
    options.entries = options.entries or 2
    options.shape = options.shape or SMALL
    return new_cell(options)
end

-- Returns the given share (0 to 1) of the resources `total`, rounded down.
function scaled_resources(total, share)
    return { processors = math.floor(total.processors * share), memory_gb = math.floor(total.memory_gb * share),
        accelerators = math.floor(total.accelerators * share), slots = math.floor(total.slots * share) }
end

CALL = '{"kind":"waiver","milli_cpus":500,"memory_mb":500,"payload":"{\\"run_ms\\":20,\\"text\\":\\"yes\\"}"}'
IDEMPOTENT_CALL = '{"kind":"thumbnail","idempotent":true,"milli_cpus":500,"memory_mb":500,"payload":"{\\"run_ms\\":20,\\"text\\":\\"done\\"}"}'

-- Runs `inject_faults` during two loads, one of non-idempotent and one of idempotent calls, and checks the
-- outcomes. Returns the outcomes of both.
function under_load(cell, inject_faults, options)
    options = options or {}
    local customer = options.customer or "leisure"
    local non_idempotent = load_start { entries = entry_addresses(cell), key = customer .. "-key",
        body = options.call or CALL, connections = options.connections or 8, interval_ms = 5, client_ids = 1 }
    local idempotent = load_start { entries = entry_addresses(cell), key = customer .. "-key",
        body = options.idempotent_call or IDEMPOTENT_CALL, connections = options.connections or 8, interval_ms = 5 }
    pause(500)
    inject_faults()
    pause(500)
    local first, second = load_finish(non_idempotent, true), load_finish(idempotent, true)
    -- Lets starts that reach a worker late get into its ledger as well.
    pause(500)
    local a = count_outcomes(cell, first)
    local b = count_outcomes(cell, second, { idempotent = true })
    expect_consistent("non-idempotent", a)
    expect_consistent("idempotent", b)
    expect("no worker was asked to run more than its capacity allows", count_capacity_refusals(cell) == 0)
    expect("both loads had calls that were served", a.served > 0 and b.served > 0)
    return a, b
end

-- Returns the scheduler that owns a shard.
function owner_of(cell, shard)
    return owners(cell)[shard].scheduler
end

-- Starts a small cell with a contract for the customer leisure.
function started_cell(options)
    local cell = small_cell(options)
    start_cell(cell)
    apply_and_wait(cell, "leisure", { guaranteed = scaled_resources(cell.total, 0.5), ceiling = cell.total })
    return cell
end

-- Sets the fault that the stand-in store injects, for example "mode=down"; "mode=none" ends it.
function set_store_fault(cell, query)
    request { method = "POST", server = cell.store, path = "/v1/fault?" .. query }
end

function submit_job(cell, customer, body, entry)
    return request { method = "POST", server = (entry or cell.entries[1]).http, path = "/v1/jobs",
        key = customer .. "-key", body = body, timeout_ms = 8000 }
end

-- Returns the state of a job from the first entry that has it, or nil.
function job_state(cell, customer, id)
    for _, entry in ipairs(cell.entries) do
        local code, view = request { server = entry.http, path = "/v1/jobs/" .. id, key = customer .. "-key",
            timeout_ms = 8000 }
        if code == 200 then return view end
    end
end

-- Waits until a job has ended and returns its state.
function wait_job_end(cell, customer, id, timeout_ms)
    return wait_until("the end of job " .. id, timeout_ms, function()
        local view = job_state(cell, customer, id)
        return view and view.state == "ended" and view
    end)
end
