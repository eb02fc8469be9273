-- The strongest node owns the jobs: a weak one takes over when it is gone, and gives them back.
dofile("scenarios/platform.lua")
local weak, strong = "processor_share = 0.12\n", "processor_share = 0.5\n"
local cell = start_platform(4, 3, { weak, strong, weak })
local strongest = cell.nodes[2]
wait("the strongest node owns the jobs", 8000, function() return owner_of(cell) == strongest end)

local ids = {}
for number = 1, 10 do
    local code, id = submit(cell.nodes[1], number, { { count = 3 } }, 1500)
    expect("job " .. number .. " is accepted", code == 200)
    ids[#ids + 1] = id
end
signal(strongest.pid, "KILL")
wait_exit(strongest.pid, 2000)
wait("a weak node owns the jobs", 4000, function() return owner_of(cell) ~= strongest end)

start_node(strongest)
wait_ready(strongest)
wait("the strongest node owns the jobs again", 8000, function() return owner_of(cell) == strongest end)
wait_completed(cell.nodes[3], ids, 20000)
must_run_once(cell)
