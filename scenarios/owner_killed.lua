-- The owner of a shard is killed between decisions, starts and answers. Another scheduler must take over within the
-- membership lease and 4 s.
local cell = started_cell()
local killed_ms, takeover_ms
under_load(cell, function()
    local victim = owner_of(cell, cell.shards[1].id)
    signal(victim.pid, "KILL")
    wait_exit(victim.pid, 5000)
    killed_ms = now_ms()
    for i, scheduler in ipairs(cell.schedulers) do
        if scheduler == victim then table.remove(cell.schedulers, i) end
    end
    wait_for_owners(cell, 15000)
    takeover_ms = now_ms() - killed_ms
end)
print("  every shard has an owner again after " .. takeover_ms .. " ms")
expect("the shard is taken over within the membership lease and 4 s", takeover_ms <= 2000 + 4000)
