-- Nodes are stopped one after the other while jobs come in: none is lost, none runs twice.
dofile("scenarios/platform.lua")
local cell = start_platform(4, 3)
local ids, number = {}, 0
local function submit_some(skip)
    for _ = 1, 6 do
        for _, node in ipairs(cell.nodes) do
            if node ~= skip then
                number = number + 1
                local code, id = submit(node, number, { { count = 2 } }, 200)
                if code == 200 then ids[#ids + 1] = id end
            end
        end
    end
end
submit_some(nil)
for _ = 1, 2 do
    local owner = owner_of(cell)
    signal(owner.pid, "TERM")
    submit_some(owner)
    expect("an orderly shutdown ends with 0", wait_exit(owner.pid, 8000) == 0)
    start_node(owner)
    wait_ready(owner)
end
expect("most jobs were accepted", #ids >= 30)
wait_completed(cell.nodes[1], ids, 20000)
must_run_once(cell)
