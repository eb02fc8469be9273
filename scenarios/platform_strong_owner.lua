-- The node with the largest share of processors owns the jobs. A smaller node takes over when it is killed, and
-- hands the jobs back when it has been restarted.
dofile("scenarios/platform.lua")
local small, large = "processor_share = 0.12\n", "processor_share = 0.5\n"
local cell = start_platform(4, 3, { small, large, small })
local largest_node = cell.nodes[2]
wait_until("the largest node to own the jobs", 8000, function() return owner_of(cell) == largest_node end)

local ids = {}
for number = 1, 10 do
    local code, id = submit(cell.nodes[1], number, { { count = 3 } }, 1500)
    expect("job " .. number .. " is accepted", code == 200)
    ids[#ids + 1] = id
end
signal(largest_node.pid, "KILL")
wait_exit(largest_node.pid, 2000)
wait_until("a small node to own the jobs", 4000, function() return owner_of(cell) ~= largest_node end)

start_node(largest_node)
wait_ready(largest_node)
wait_until("the largest node to own the jobs again", 8000, function() return owner_of(cell) == largest_node end)
wait_completed(cell.nodes[3], ids, 20000)
expect_run_once(cell)
