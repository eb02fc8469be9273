-- Owners are stopped and restarted one after the other while jobs are submitted. No accepted job may be lost and no
-- task may run twice.
dofile("scenarios/platform.lua")
local cell = start_platform(4, 3)
local ids, number = {}, 0
local function submit_jobs(excluded)
    for _ = 1, 6 do
        for _, node in ipairs(cell.nodes) do
            if node ~= excluded then
                number = number + 1
                local code, id = submit(node, number, { { count = 2 } }, 200)
                if code == 200 then ids[#ids + 1] = id end
            end
        end
    end
end
submit_jobs(nil)
for _ = 1, 2 do
    local owner = owner_of(cell)
    signal(owner.pid, "TERM")
    submit_jobs(owner)
    expect("an orderly shutdown exits with 0", wait_exit(owner.pid, 8000) == 0)
    start_node(owner)
    wait_ready(owner)
end
expect("most jobs were accepted", #ids >= 30)
wait_completed(cell.nodes[1], ids, 20000)
expect_run_once(cell)
