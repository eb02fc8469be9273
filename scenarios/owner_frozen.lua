-- An owner is paused past its lease and wakes with starts in hand while another owns its shard.
local cell = started_cell()
under_load(cell, function()
    local victim = owner_of(cell, cell.shards[1].id)
    signal(victim.pid, "STOP")
    local others = {}
    for _, scheduler in ipairs(cell.schedulers) do
        if scheduler ~= victim then others[#others + 1] = scheduler end
    end
    local all = cell.schedulers
    cell.schedulers = others
    wait_for_owners(cell, 15000)
    signal(victim.pid, "CONT")
    cell.schedulers = all
    pause(3000)
end)
