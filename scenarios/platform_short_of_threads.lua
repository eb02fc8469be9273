-- Nodes that have no address space left for the threads of an owner must not end when the owner is killed, and must
-- serve again when they have it. The owner that they replace, and each successor, would end in its turn.
dofile("scenarios/platform.lua")

local WORKERS, NODES = 48, 3
local SPARE_BYTES = 48 * 1024 * 1024 -- Beyond what a node uses that is no owner.

local function address_space(node)
    return 1024 * tonumber(process_stat(node.pid, "status"):match("VmSize:%s+(%d+) kB"))
end

local cell = start_platform(WORKERS, NODES)
local owner = wait_until("an owner", 5000, function() return owner_of(cell) end)
local others = {}
for _, node in ipairs(cell.nodes) do
    if node ~= owner then others[#others + 1] = node end
end
local ids = {}
for number = 1, 40 do
    local code, id = submit(others[1], number, { { count = 4, cpu = 500 }, { count = 2, cpu = 500 } }, 300)
    expect("the job is accepted before the fault", code == 200)
    ids[#ids + 1] = id
end

for _, node in ipairs(others) do limit(node.pid, "address_space", address_space(node) + SPARE_BYTES) end
signal(owner.pid, "KILL")
wait_exit(owner.pid, 2000)
for _, node in ipairs(others) do
    local code = wait_exit(node.pid, 3000)
    expect(node.name .. " does not end by itself, exit code " .. tostring(code), code == nil)
end

for _, node in ipairs(others) do limit(node.pid, "address_space") end
for _, node in ipairs(others) do wait_ready(node) end
wait_completed(others[1], ids, 20000)
expect_run_once(cell)
