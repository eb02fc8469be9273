-- Measures resource use with the real daemons and prints points (series, x, y), to which
-- capacity-report fits lines.
local seconds = 3

local function cpu_seconds(pid)
    local fields = {}
    for word in process_stat(pid, "stat"):gsub("%b()", "x"):gmatch("%S+") do fields[#fields + 1] = word end
    return (tonumber(fields[14]) + tonumber(fields[15])) / 100
end

local function resident_mb(pid)
    return tonumber(process_stat(pid, "status"):match("VmRSS:%s*(%d+)")) / 1024
end

local function point(series, x, y)
    print(string.format("point,%s,%g,%g", series, x, y))
end

local function store_calls(cell)
    local _, counts = request { server = cell.store, path = "/v1/counters" }
    return counts
end

-- Returns the processor share of a process and the rates of the calls to the store, measured over
-- length_ms.
local function observe(cell, pid, length_ms)
    local before, cpu, began = store_calls(cell), cpu_seconds(pid), now_ms()
    pause(length_ms)
    local after, spent = store_calls(cell), (now_ms() - began) / 1000
    return (cpu_seconds(pid) - cpu) / spent, {
        reads = (after.reads - before.reads) / spent, writes = (after.writes - before.writes) / spent,
        leases = (after.leases - before.leases) / spent, watches = (after.watches - before.watches) / spent,
        waiting = after.waiting_watches }
end

local function stop_cell(cell)
    local pids = { cell.store_pid, cell.vm_list_pid }
    for _, group in ipairs { cell.workers, cell.schedulers, cell.entries } do
        for _, process in ipairs(group) do pids[#pids + 1] = process.pid end
    end
    for _, pid in ipairs(pids) do signal(pid, "KILL") end
    for _, pid in ipairs(pids) do wait_exit(pid, 5000) end
end

local function cell_of(workers, schedulers, zone_count)
    local zones = {}
    for i = 1, zone_count or 1 do
        zones[i] = { name = "zone" .. i, racks = 1, workers_per_rack = workers / (zone_count or 1) }
    end
    local cell = new_cell { zones = zones, schedulers = schedulers, entries = 1, shape = LARGE }
    start_cell(cell)
    return cell
end

-- Workers: processor time and memory of the scheduler when idle, and the takeover time after the
-- owner is killed.
for _, count in ipairs { 12, 24, 48, 96 } do
    local cell = cell_of(count, 2)
    apply_and_wait(cell, "leisure", { guaranteed = scaled_resources(cell.total, 0.9), ceiling = cell.total })
    pause(1000)
    local owner = owner_of(cell, cell.shards[1].id)
    local share, calls = observe(cell, owner.pid, seconds * 1000)
    point("cpu_idle_by_workers", count, share * 100)
    point("rss_by_workers", count, resident_mb(owner.pid))
    point("store_calls_by_workers", count, calls.reads + calls.writes + calls.leases + calls.watches)
    local code = submit_job(cell, "leisure", string.format(
        '{"class":"service","tasks":%d,"idempotent":true,"milli_cpus":1000,"memory_mb":1000,"payload":"{\\"run_ms\\":600000}"}',
        count * 4))
    expect("a service is accepted", code == 202)
    pause(1500)
    point("rss_by_tasks", count * 4, resident_mb(owner.pid))
    share = observe(cell, owner.pid, seconds * 1000)
    point("cpu_idle_by_tasks", count * 4, share * 100)
    signal(owner.pid, "KILL")
    wait_exit(owner.pid, 5000)
    local began = now_ms()
    for i, scheduler in ipairs(cell.schedulers) do
        if scheduler == owner then table.remove(cell.schedulers, i) end
    end
    wait_for_owners(cell, 20000)
    point("takeover_ms_by_workers", count, now_ms() - began)
    cell.schedulers[#cell.schedulers + 1] = owner
    owner.pid = cell.schedulers[1].pid
    stop_cell(cell)
end

-- Starts per second: processor time of the scheduler and the entry.
do
    local cell = cell_of(48, 1)
    apply_and_wait(cell, "leisure", { guaranteed = scaled_resources(cell.total, 0.9), ceiling = cell.total })
    local body = CALL:gsub('run_ms\\":20', 'run_ms\\":5')
    for _, connections in ipairs { 1, 4, 8, 16, 32 } do
        local scheduler, entry = cell.schedulers[1].pid, cell.entries[1].pid
        local load = load_start { entries = entry_addresses(cell), key = "leisure-key", body = body, connections = connections }
        pause(500)
        local before, before_entry, began = cpu_seconds(scheduler), cpu_seconds(entry), now_ms()
        pause(seconds * 1000)
        local spent = (now_ms() - began) / 1000
        local cpu, cpu_entry = cpu_seconds(scheduler) - before, cpu_seconds(entry) - before_entry
        local results = load_finish(load, true)
        local rate = 0
        for _, result in ipairs(results) do
            if result.began_ms >= began and result.began_ms < began + spent * 1000 then rate = rate + 1 end
        end
        rate = rate / spent
        point("cpu_by_starts_per_s", rate, cpu / spent * 100)
        point("entry_cpu_by_starts_per_s", rate, cpu_entry / spent * 100)
    end
    point("entry_rss", 32, resident_mb(cell.entries[1].pid))
    stop_cell(cell)
end

-- Teams: memory of the scheduler and the entry, and the time of an apply until all have confirmed it.
do
    local cell = cell_of(12, 2)
    local base = scaled_resources(cell.total, 0.001)
    for i = 1, 660 do
        local began = now_ms()
        local code = apply_contract(cell, "team" .. i, { guaranteed = { processors = 0, memory_gb = 0, slots = 0 }, ceiling = cell.total })
        expect("applied", code == 200)
        if i == 1 or i % 165 == 0 then
            pause(1000)
            point("rss_by_teams", i, resident_mb(cell.schedulers[1].pid))
            point("entry_rss_by_teams", i, resident_mb(cell.entries[1].pid))
            local share = observe(cell, cell.schedulers[1].pid, seconds * 1000)
            point("cpu_idle_by_teams", i, share * 100)
            began = now_ms()
            apply_contract(cell, "team1", { guaranteed = { processors = 0, memory_gb = 0, slots = 0 }, ceiling = cell.total })
            point("apply_ms_by_teams", i, now_ms() - began)
        end
    end
    local before = store_calls(cell)
    local began = now_ms()
    for _ = 1, 100 do
        apply_contract(cell, "team2", { guaranteed = { processors = 0, memory_gb = 0, slots = 0 }, ceiling = cell.total })
    end
    local after = store_calls(cell)
    point("store_calls_per_change", 2, (after.reads + after.writes - before.reads - before.writes) / 100)
    point("apply_ms_mean", 2, (now_ms() - began) / 100)
    stop_cell(cell)
end

-- Schedulers: calls to the store, waiting watches, and the time until a contract is in force.
for _, count in ipairs { 2, 4, 6, 8 } do
    local cell = cell_of(24, count, 8)
    apply_and_wait(cell, "leisure", { guaranteed = scaled_resources(cell.total, 0.5), ceiling = cell.total })
    pause(1500)
    local share, calls = observe(cell, cell.schedulers[1].pid, seconds * 1000)
    point("store_reads_by_schedulers", count, calls.reads + calls.watches)
    point("store_writes_by_schedulers", count, calls.writes + calls.leases)
    point("waiting_watches_by_schedulers", count, calls.waiting)
    point("cpu_idle_by_schedulers", count, share * 100)
    local max_ms = 0
    for _ = 1, 20 do
        local began = now_ms()
        apply_contract(cell, "leisure", { guaranteed = scaled_resources(cell.total, 0.5), ceiling = cell.total })
        max_ms = math.max(max_ms, now_ms() - began)
    end
    point("apply_ms_by_schedulers", count, max_ms)
    stop_cell(cell)
end

-- Bytes between a scheduler and one worker, counted by a proxy between them.
do
    local cell = new_cell { zones = { { name = "zone1", racks = 1, workers_per_rack = 1 } }, schedulers = 1, entries = 1, shape = LARGE }
    local worker = cell.workers[1]
    local host = address(90, 1)
    local pid = start("link", { "standin-link", "--address=" .. host, "--port=7300",
        "--target=" .. worker.address:match("(.*):"), "--target_port=7300" })
    write_file("vms.toml", string.format('[[vm]]\naddress = "%s:7300"\nzone = "zone1"\nrack = "rack1"\n', host))
    start_cell(cell)
    apply_and_wait(cell, "leisure", { guaranteed = scaled_resources(cell.total, 0.9), ceiling = cell.total })
    local function bytes()
        local _, counts = request { method = "POST", server = host .. ":7901", path = "/v1/mode?mode=pass" }
        return counts.bytes
    end
    for _, interval in ipairs { 0, 2000, 1000, 500, 250, 100 } do
        local load = interval > 0 and load_start { entries = entry_addresses(cell), key = "leisure-key", body = CALL,
            interval_ms = interval }
        pause(300)
        local before, began = bytes(), now_ms()
        pause(seconds * 2000)
        local moved, spent = bytes() - before, (now_ms() - began) / 1000
        local rate = 0
        if load then
            for _, result in ipairs(load_finish(load, true)) do
                if result.began_ms >= began and result.began_ms < began + spent * 1000 then rate = rate + 1 end
            end
        end
        point("worker_bytes_by_starts_per_s", rate / spent, moved / spent)
    end
    stop_cell(cell)
    signal(pid, "KILL")
end
