-- Verbs that scenarios share: build a cell of processes, ask it, break it, and count.

OPERATOR_KEY = "operator-key-of-the-tests"

local next_host = 1

function address(group, host)
    return string.format("127.%d.%d.%d", NET, group, host)
end

function wait(what, limit_ms, condition)
    local until_ms = now_ms() + limit_ms
    while now_ms() < until_ms do
        local value = condition()
        if value then return value end
        pause(20)
    end
    error("waited " .. limit_ms .. " ms in vain for: " .. what, 2)
end

function expect(what, condition)
    if not condition then error("does not hold: " .. what, 2) end
end

local function quoted(list)
    local parts = {}
    for i, text in ipairs(list) do parts[i] = string.format("%q", text) end
    return "[" .. table.concat(parts, ", ") .. "]"
end

-- options: zones = { {name, racks, workers_per_rack} }, schedulers, entries, and the worker's shape.
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
            shard.id, shard.zone, quoted(shard.racks))
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
    wait("the store", 10000, function() return request { server = cell.store, path = "/v1/counters" } == 200 end)
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
]], scheduler.host, cell.shards[1].zone, scheduler.store or cell.store, cell.vm_list, quoted(peers),
        quoted({ hash_key(OPERATOR_KEY) }), OUT .. "/" .. scheduler.name .. ".spans",
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
]], entry.host, cell.shards[1].zone, quoted(rpcs), OUT .. "/" .. entry.name .. ".spans",
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

function status(cell, scheduler)
    return request { server = scheduler.operators, path = "/v1/status", key = OPERATOR_KEY, timeout_ms = 2000 }
end

-- Returns owners by shard as those schedulers that answer see it, and whether every shard has
-- an owner who has heard from all its workers.
function owners(cell)
    local result, settled = {}, 0
    for _, scheduler in ipairs(cell.schedulers) do
        local code, view = status(cell, scheduler)
        if code == 200 then
            for _, shard in ipairs(view.shards) do
                if shard.owner == scheduler.rpc and shard.workers > 0 and not shard.recovering then
                    result[shard.shard] = { scheduler = scheduler, epoch = shard.epoch }
                end
            end
        end
    end
    for _ in pairs(result) do settled = settled + 1 end
    return result, settled == #cell.shards
end

function wait_for_owners(cell, limit_ms)
    wait("owners of all shards", limit_ms, function()
        local _, settled = owners(cell)
        return settled
    end)
end

-- Waits until no shard has changed hands for longer than a new member waits for its first one.
function wait_for_rest(cell, limit_ms)
    local function epochs()
        local list = {}
        for shard, one in pairs(owners(cell)) do list[#list + 1] = shard .. "@" .. one.epoch end
        table.sort(list)
        return table.concat(list, ",")
    end
    local seen, since = "", now_ms()
    wait("shards at rest", limit_ms, function()
        local now = epochs()
        if now ~= seen then seen, since = now, now_ms() end
        return now_ms() - since > 5000
    end)
end

function contract_json(customer, terms)
    local function amount(value)
        return string.format('{"milli_cpus":%d,"memory_mb":%d,"accelerators":%d,"slots":%d}',
            value.processors * 1000, value.memory_gb * 1000, value.accelerators or 0, value.slots)
    end
    return string.format(
        '{"customer":%q,"change_id":%q,"author":%q,"key_hashes":%s,"zones":%s,"guaranteed":%s,"ceiling":%s,' ..
        '"longest_wait_ms":[%d,%d,%d,%d],"yield_order":%s,"yield_by":"checkpoint","yield_grace_ms":500,' ..
        '"weight":1,"queue_limit":%d,"retry_attempts":3,"retry_budget_percent":10,"retry_backoff_ms":20}',
        customer, terms.change_id or request_id(), terms.author or "operator",
        quoted({ hash_key(customer .. "-key") }), quoted(terms.zones or {}),
        amount(terms.guaranteed), amount(terms.ceiling), terms.call_ms or 2500, terms.service_ms or 60000,
        terms.gang_ms or 60000, terms.batch_ms or 3600000, quoted(terms.yields or { "batch" }),
        terms.queue_limit or 1000)
end

function apply(cell, customer, terms, options)
    options = options or {}
    local scheduler = options.scheduler or cell.schedulers[1]
    local path = "/v1/contracts/" .. customer
    if options.expected_version then path = path .. "?expected_version=" .. options.expected_version end
    return request { method = "PUT", server = scheduler.operators, path = path, key = OPERATOR_KEY,
        body = contract_json(customer, terms), timeout_ms = options.timeout_ms or 10000 }
end

function must_apply(cell, customer, terms)
    local code, answer = apply(cell, customer, terms)
    expect("the contract of " .. customer .. " is applied (" .. tostring(code) .. ")", code == 200)
    wait("entries know " .. customer, 5000, function()
        for _, entry in ipairs(cell.entries) do
            local known = request { server = entry.http, path = "/v1/jobs/none", key = customer .. "-key" }
            if known ~= 404 and known ~= 200 then return false end
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

-- Reads what every worker has ever started. Returns runs by customer/request/index.
function ledger(cell)
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

-- Sorts results of a load and compares them with the workers' ledgers.
-- options.idempotent: a second run is allowed, two at one time are not.
function account(cell, results, options)
    options = options or {}
    local runs = ledger(cell)
    local sums = { served = 0, refused = 0, doubted = 0, unanswered = 0, lost = 0, doubled = 0, untrue = 0 }
    local waits = {}
    for _, one in ipairs(results) do
        local started = runs[one.request_id .. "/0"] or {}
        if one.status == 0 then
            sums.unanswered = sums.unanswered + 1
            if sums.unanswered <= 2 then print("UNANSWERED", one.request_id, one.reason) end
        elseif one.verdict == "ran" then
            sums.served = sums.served + 1
            waits[#waits + 1] = one.wait_ms
            if not one.output:find(one.request_id, 1, true) and one.reason == "" then sums.lost = sums.lost + 1 end
        elseif one.verdict == "not_run" then
            sums.refused = sums.refused + 1
            if #started > 0 then
                sums.untrue = sums.untrue + 1
                print("UNTRUE not_run", one.request_id, one.reason)
            end
        else
            sums.doubted = sums.doubted + 1
            sums.doubts = sums.doubts or {}
            sums.doubts[one.reason] = (sums.doubts[one.reason] or 0) + 1
        end
        if #started > 1 then
            if not options.idempotent then
                sums.doubled = sums.doubled + 1
                print("DOUBLED", one.request_id, one.verdict, one.reason)
            else
                table.sort(started, function(a, b) return a.began < b.began end)
                for i = 2, #started do
                    if started[i - 1].ended == 0 or started[i - 1].ended > started[i].began then
                        sums.doubled = sums.doubled + 1
                        print("TWO PLACES", one.request_id, started[i - 1].state, started[i - 1].began, started[i - 1].ended,
                            started[i].state, started[i].began, started[i].ended)
                    end
                end
            end
        end
    end
    table.sort(waits)
    sums.p50 = waits[math.max(1, math.ceil(#waits * 0.5))] or -1
    sums.p99 = waits[math.max(1, math.ceil(#waits * 0.99))] or -1
    sums.most = waits[#waits] or -1
    return sums
end

function over_capacity(cell)
    local refused = 0
    for _, worker in ipairs(cell.workers) do
        local code, counts = request { server = worker.address, path = "/v1/counts" }
        if code == 200 then refused = refused + counts.refused_capacity end
    end
    return refused
end

function report(title, sums)
    print(string.format("  %s: served %d, refused %d, doubted %d, unanswered %d, lost %d, doubled %d, untrue %d, p50 %d ms, p99 %d ms, longest %d ms",
        title, sums.served, sums.refused, sums.doubted, sums.unanswered, sums.lost, sums.doubled, sums.untrue,
        sums.p50, sums.p99, sums.most))
    for reason, count in pairs(sums.doubts or {}) do print("    doubted for " .. reason .. ": " .. count) end
end

function must_hold(title, sums)
    report(title, sums)
    expect(title .. ": nothing is lost", sums.lost == 0)
    expect(title .. ": nothing is doubled", sums.doubled == 0)
    expect(title .. ": not run is true", sums.untrue == 0)
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

function part(total, share)
    return { processors = math.floor(total.processors * share), memory_gb = math.floor(total.memory_gb * share),
        accelerators = math.floor(total.accelerators * share), slots = math.floor(total.slots * share) }
end

CALL = '{"kind":"waiver","milli_cpus":500,"memory_mb":500,"payload":"{\\"run_ms\\":20,\\"text\\":\\"yes\\"}"}'
IDEMPOTENT_CALL = '{"kind":"thumbnail","idempotent":true,"milli_cpus":500,"memory_mb":500,"payload":"{\\"run_ms\\":20,\\"text\\":\\"done\\"}"}'

-- Runs `break_it` while two loads go on: calls that must not run twice and calls that may.
-- Returns the accounts of both.
function under_load(cell, break_it, options)
    options = options or {}
    local customer = options.customer or "leisure"
    local once = load_start { entries = entry_addresses(cell), key = customer .. "-key",
        body = options.call or CALL, connections = options.connections or 8, interval_ms = 5, own_ids = 1 }
    local again = load_start { entries = entry_addresses(cell), key = customer .. "-key",
        body = options.idempotent_call or IDEMPOTENT_CALL, connections = options.connections or 8, interval_ms = 5 }
    pause(500)
    break_it()
    pause(500)
    local first, second = load_finish(once, true), load_finish(again, true)
    -- Late starts must show too.
    pause(500)
    local a = account(cell, first)
    local b = account(cell, second, { idempotent = true })
    must_hold("non-idempotent", a)
    must_hold("idempotent", b)
    expect("no worker was asked to hold more than it has", over_capacity(cell) == 0)
    expect("something was served", a.served > 0 and b.served > 0)
    return a, b
end

function owner_of(cell, shard)
    return owners(cell)[shard].scheduler
end

function started_cell(options)
    local cell = small_cell(options)
    start_cell(cell)
    must_apply(cell, "leisure", { guaranteed = part(cell.total, 0.5), ceiling = cell.total })
    return cell
end

function fault(cell, query)
    request { method = "POST", server = cell.store, path = "/v1/fault?" .. query }
end

function submit_job(cell, customer, body, entry)
    return request { method = "POST", server = (entry or cell.entries[1]).http, path = "/v1/jobs",
        key = customer .. "-key", body = body, timeout_ms = 8000 }
end

function job_state(cell, customer, id)
    for _, entry in ipairs(cell.entries) do
        local code, view = request { server = entry.http, path = "/v1/jobs/" .. id, key = customer .. "-key",
            timeout_ms = 8000 }
        if code == 200 then return view end
    end
end

function wait_job_end(cell, customer, id, limit_ms)
    return wait("the end of job " .. id, limit_ms, function()
        local view = job_state(cell, customer, id)
        return view and view.state == "ended" and view
    end)
end
