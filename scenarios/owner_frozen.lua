-- An owner is paused for longer than its lease and resumes with starts that it has not yet sent, when another
-- scheduler owns its shard. No call may run twice because of them.
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
