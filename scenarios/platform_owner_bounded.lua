-- A node that becomes the owner of many workers needs no more threads and address space than the settings' page names,
-- however many workers there are; otherwise a limit of the machine ends one owner after the other.
dofile("scenarios/platform.lua")

local WORKERS, NODES = 180, 2
local MOST_THREADS = 160
local MOST_ADDRESS_SPACE_KB = 1024 * 1024

local cell = start_platform(WORKERS, NODES)
local owner = wait_until("an owner", 5000, function() return owner_of(cell) end)
local ids = {}
for number = 1, 100 do
    local code, id = submit(cell.nodes[1], number, { { count = 4, cpu = 500 } }, 300)
    expect("the job is accepted", code == 200)
    ids[#ids + 1] = id
end
wait_completed(cell.nodes[1], ids, 20000)

local function field(node, name)
    return tonumber(process_stat(node.pid, "status"):match(name .. ":%s+(%d+)"))
end
local threads, address_space_kb = field(owner, "Threads"), field(owner, "VmSize")
print(string.format("  an owner of %d workers: %d threads, %d kB of address space, %d kB resident", WORKERS, threads,
    address_space_kb, field(owner, "VmRSS")))
expect("the owner's threads are bounded", threads <= MOST_THREADS)
expect("the owner's address space is bounded", address_space_kb <= MOST_ADDRESS_SPACE_KB)
expect_run_once(cell)
