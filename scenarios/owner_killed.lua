-- The owner of a shard dies between decisions, starts and answers; another one takes over.
local cell = started_cell()
local began, took
under_load(cell, function()
    local victim = owner_of(cell, cell.shards[1].id)
    signal(victim.pid, "KILL")
    wait_exit(victim.pid, 5000)
    began = now_ms()
    for i, scheduler in ipairs(cell.schedulers) do
        if scheduler == victim then table.remove(cell.schedulers, i) end
    end
    wait_for_owners(cell, 15000)
    took = now_ms() - began
end)
print("  every shard has an owner again after " .. took .. " ms")
expect("take-over within the membership lease and 4 s", took <= 2000 + 4000)
