-- LOST: jobs that were accepted before the operators send their queue to another service run there once the workers of
-- the earlier service are gone, also if the owner is killed meanwhile and for the second step of a job.
dofile("scenarios/platform.lua")

-- Beside the run times: the change (2 s), the end of the leases of workers that have ended (7 s), and 3 s until a start.
local MAX_WAIT_MS = 12000
local RUN_MS = 2000

local cell = start_platform(2, 3) -- Two workers of the service "service".
local workers = 0
local function start_workers(service, count)
    local started = {}
    for i = 1, count do
        workers = workers + 1
        started[i] = { id = "x" .. workers, host = address(30, workers), service = service }
        start_platform_worker(cell, started[i], OUT .. "/runs")
    end
    return started
end
local function set_service(name) request { server = cell.store, path = "/standin/route?service=" .. name } end

local function serving_node()
    for _, node in ipairs(cell.nodes) do
        if not node.killed then return node end
    end
end

-- Submits jobs of which each task needs a whole worker.
local submitted = 0
local function submit_wide(count, steps)
    local ids = {}
    for i = 1, count do
        submitted = submitted + 1
        local code, id = submit(serving_node(), submitted, steps, RUN_MS)
        expect("job " .. submitted .. " is accepted", code == 200)
        ids[i] = id
    end
    return ids
end
local whole = { count = 1, cpu = 16000 }

-- Sends the queue from one service to another, ends all workers of the first one, and waits for the jobs.
local function move_queue(from, to, jobs, while_moving)
    set_service(to)
    if while_moving then while_moving() end
    for number, worker in ipairs(from) do
        if worker.pid then signal(worker.pid, "KILL") else announce_leaving(cell, number) end
    end
    wait_completed(serving_node(), jobs, MAX_WAIT_MS + 3 * RUN_MS)
end

local first = { {}, {} }
local second = start_workers("second", 8)
wait_completed(cell.nodes[1], submit_wide(1, { whole }), 10000)

print("  the queue moves while jobs wait")
move_queue(first, "second", submit_wide(8, { whole }))

print("  the owner is killed 1 s after the change")
local third = start_workers("third", 16)
move_queue(second, "third", submit_wide(16, { whole }), function()
    pause(1000)
    local owner = owner_of(cell)
    owner.killed = true
    signal(owner.pid, "KILL")
end)

print("  the first step has run on the earlier service, the second one is a gang")
start_workers("fourth", 8)
local jobs = submit_wide(1, { whole, { count = 4, cpu = 16000, gang = true } })
pause(RUN_MS / 2)
move_queue(third, "fourth", jobs)
