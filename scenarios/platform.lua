-- Functions for scenarios that run nodes against the stand-in of the users' platform.

-- Returns the body of a job whose steps run one after the other. `fail_percent`, if given, is the share of runs that
-- fail.
function job_body(steps, length_ms, fail_percent)
    local step_json = {}
    for i, step in ipairs(steps) do
        step_json[i] = string.format('{"count":%d,"cpu":%d,"memMb":100,"estimatedMs":%d%s%s}', step.count,
            step.cpu or 1000, length_ms, (step.gang and ',"gang":true' or "") ..
            (step.speculative and ',"speculative":true' or "") ..
            (step.max_per_worker and ',"maxPerServer":' .. step.max_per_worker or ""),
            i > 1 and string.format(',"after":[%d]', i - 2) or "")
    end
    local spec = "ms=" .. length_ms .. (fail_percent and " fail=" .. fail_percent or "")
    return string.format('{"spec":"%s","steps":[%s]}', spec, table.concat(step_json, ","))
end

-- Writes the settings of a node and returns its description; starts no process.
function new_platform_node(number, store, permissions, settings)
    local host = address(5, number)
    local node = { name = "node" .. number, front = host .. ":8080", ready = host .. ":8081",
        metrics = host .. ":8090" }
    write_file(node.name .. ".toml", string.format([[
name = %q
zone = "zone"
front = %q
ready = %q
rpc = "%s:8082"
metrics = %q
store = %q
permissions = %q
]], node.name, node.front, node.ready, host, node.metrics, store, permissions) .. (settings or ""))
    return node
end

-- Starts the stand-in platform and the nodes and waits until they are ready. `settings[i]`, if given, is appended to
-- the settings of node i.
function start_platform(workers, nodes, settings)
    local cell = { store = address(1, 1) .. ":7100", nodes = {} }
    local hosts = {}
    for i = 1, workers do hosts[i] = address(20, i) end
    cell.pid = start("platform", { "standin-platform", "--address=" .. address(1, 1),
        "--worker_addresses=" .. table.concat(hosts, ",") })
    for i = 1, nodes do
        cell.nodes[i] = new_platform_node(i, cell.store, cell.store, settings and settings[i])
    end
    for _, node in ipairs(cell.nodes) do start_node(node) end
    for _, node in ipairs(cell.nodes) do wait_ready(node) end
    return cell
end

-- Starts a worker as a process of its own, which appends to the file `record`. `worker` has its id, its host and, if
-- nodes reach it through a link, the address under which it is registered. Its service may be named, too, and how long
-- its tickets are valid, if it needs any.
function start_platform_worker(cell, worker, record)
    worker.pid = start(worker.id, { "standin-platform-worker", "--id=" .. worker.id, "--address=" .. worker.host,
        "--registered_address=" .. (worker.registered or worker.host .. ":7100"), "--store=" .. cell.store,
        "--record=" .. record, "--service=" .. (worker.service or "service"),
        "--ticket_validity_ms=" .. (worker.ticket_validity_ms or 0) })
end

-- Starts a node, with a clock of its own if `node.clock` names one (see step_clock).
function start_node(node)
    node.pid = start(node.name, { "flamingoseam-node", "--settings=" .. OUT .. "/" .. node.name .. ".toml" }, node.clock)
end

-- Sets how far the time of day of a node that has a clock of its own is ahead of the machine's, behind it if negative.
function step_clock(node, offset_ms) shift_clock(node.clock, offset_ms) end

function wait_ready(node)
    wait_until(node.name .. " to be ready", 10000, function()
        return request { server = node.ready, path = "/api/ready", timeout_ms = 500 } == 200
    end)
end

-- Submits a job whose id is made from `number`. Returns the HTTP status and the id.
function submit(node, number, steps, length_ms)
    local id = string.format("%016x", number)
    local code = request { method = "POST", server = node.front, path = "/jobs/" .. id,
        body = job_body(steps, length_ms), timeout_ms = 4000 }
    return code, id
end

-- Returns the state of a job, or the HTTP status if it is not 200.
function state_of(node, id)
    local code, answer = request { server = node.front, path = "/jobs/" .. id, timeout_ms = 3000 }
    return code == 200 and answer.state or code
end

function wait_completed(node, ids, timeout_ms)
    for _, id in ipairs(ids) do
        wait_until("job " .. id .. " to be completed", timeout_ms, function() return state_of(node, id) == "completed" end)
    end
end

-- Returns the counts of runs that the stand-in platform keeps.
function run_counts(cell)
    local _, counts = request { server = cell.store, path = "/standin/ledger" }
    return counts
end

function expect_run_once(cell)
    local counts = run_counts(cell)
    expect("no task ran twice at the same time", counts.doubled == 0)
    expect("no task was started again after it was done", counts.started_again == 0)
    return counts
end

-- Sets the fault that the stand-in store injects: "down", "lossy" or, for no fault, "none".
function set_store_fault(cell, mode)
    request { server = cell.store, path = "/standin/fault?mode=" .. mode }
end

-- Returns the node whose log has the owner_begins event with the newest epoch, or nil. In a cell of several shards
-- `shard` tells which one, as the log does: " of shard 0 of 2".
function owner_of(cell, shard)
    local owner, newest = nil, -1
    for _, node in ipairs(cell.nodes) do
        local file = io.open(OUT .. "/" .. node.name .. ".log")
        for line in file and file:lines() or function() end do
            local epoch = line:match('"detail":"epoch (%d+)' .. (shard or "") .. '","event":"owner_begins"')
            if epoch and tonumber(epoch) > newest then owner, newest = node, tonumber(epoch) end
        end
        if file then file:close() end
    end
    return owner
end

-- Checks whether the log of a node has an event with this detail.
function has_logged(node, event, detail)
    local file = assert(io.open(OUT .. "/" .. node.name .. ".log"))
    local log = file:read("a")
    file:close()
    return log:find('"detail":"' .. detail .. '","event":"' .. event .. '"', 1, true) ~= nil
end

-- Makes the stand-in store discard its history after `mute_ms`, during which watches get no answer. The watches that
-- wait then are never answered (how = "cut"), or at the end of their wait (how = "hold").
function discard_history(cell, mute_ms, how)
    request { server = cell.store, path = "/standin/compact?mute_ms=" .. mute_ms .. "&how=" .. how }
end

-- Lets worker `number` announce in the store that it leaves.
function announce_leaving(cell, number)
    request { server = cell.store, path = "/standin/leave?number=" .. number }
end

-- Returns the node that owns a shard of a cell of two, or nil.
function owner_of_shard(cell, shard)
    return owner_of(cell, " of shard " .. shard .. " of 2")
end

-- Waits until the two shards of a cell have owners on different nodes, and returns these.
function wait_shard_owners(cell)
    wait_until("the shards to have different owners", 8000, function()
        local first, second = owner_of_shard(cell, 0), owner_of_shard(cell, 1)
        return first and second and first ~= second
    end)
    return owner_of_shard(cell, 0), owner_of_shard(cell, 1)
end

-- Returns how many shards a cell has, by the log of one of its nodes.
local function shard_count(node)
    local count = 1
    for line in io.lines(OUT .. "/" .. node.name .. ".log") do
        count = tonumber(line:match('"detail":"(%d+) shards","event":"layout_known"')) or count
    end
    return count
end

local RUNS_PER_EPOCH = 1000

-- Returns a function of a task and a run that returns the name of the node that ordered the run: the owner of the job's
-- shard in the epoch from which the run has its number.
function find_orderers(cell)
    local count, owners = shard_count(cell.nodes[1]), {}
    for _, node in ipairs(cell.nodes) do
        for line in io.lines(OUT .. "/" .. node.name .. ".log") do
            local epoch = line:match('"detail":"(epoch %d+[^"]*)","event":"owner_begins"')
            if epoch then owners[epoch] = node.name end
        end
    end
    return function(task, run)
        local epoch = "epoch " .. 1 + (run.number - 1) // RUNS_PER_EPOCH
        local shard = count > 1 and shard_of_job(task:match("^[^.]*"), count)
        if shard then epoch = epoch .. " of shard " .. shard .. " of " .. count end
        return string.format("%s in %s", owners[epoch] or "?", epoch)
    end
end
