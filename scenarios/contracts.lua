-- Operators race; an answer of the store is lost; a scheduler is paused with an old version; another
-- is restarted with the store down. An accepted version is in force within 4 s and never reverts.
local cell = started_cell({ schedulers = 3 })
local function version_at(scheduler)
    local code, view = request { server = scheduler.operators, path = "/v1/contracts/leisure", key = OPERATOR_KEY,
        timeout_ms = 1000 }
    return code == 200 and view.version or 0
end
local function terms(share)
    return { guaranteed = part(cell.total, share), ceiling = cell.total }
end

-- A race: both saw version 1.
local first, one = apply(cell, "leisure", terms(0.4), { scheduler = cell.schedulers[1], expected_version = 1 })
local second, two = apply(cell, "leisure", terms(0.3), { scheduler = cell.schedulers[2], expected_version = 1 })
expect("the first operator wins", first == 200 and one.current.version == 2)
expect("the second one is told who won and what differs", second == 409 and #two.differences > 0
    and two.message:find("version 2 by operator", 1, true))

-- The store's answer is lost although the write took effect.
fault(cell, "mode=lose_answers&count=1")
local code, answer = apply(cell, "leisure", terms(0.35))
expect("a lost answer is read back, not written twice", code == 200 and answer.current.version == 3)
fault(cell, "mode=none")

-- In force everywhere within 4 s, also where the store is out of reach.
local began = now_ms()
code, answer = apply(cell, "leisure", terms(0.45))
expect("applied", code == 200 and #answer.unconfirmed == 0)
print("  in force on all schedulers after " .. (now_ms() - began) .. " ms")
expect("within 4 s", now_ms() - began <= 4000)

-- A paused scheduler misses a change, wakes, and must not decide under the old version.
local paused = cell.schedulers[3]
signal(paused.pid, "STOP")
pause(2500)
code, answer = apply(cell, "leisure", { guaranteed = part(cell.total, 0), ceiling = { processors = 0, memory_gb = 0, slots = 0 } },
    { timeout_ms = 12000 })
expect("applied, and the paused scheduler is named", code == 200 and #answer.unconfirmed == 1)
signal(paused.pid, "CONT")
local woke = now_ms()
local load = load_start { entries = entry_addresses(cell), key = "leisure-key", body = CALL, connections = 8, count = 200 }
for _, result in ipairs(load_finish(load)) do
    expect("no call is started under the old version: " .. result.verdict .. " " .. result.reason,
        result.verdict ~= "ran")
end
wait("the woken scheduler has the new version", 4000, function() return version_at(paused) == 5 end)
print("  the woken scheduler has the new version after " .. (now_ms() - woke) .. " ms")

-- Restarted with the store down: the contract comes from its peers.
fault(cell, "mode=down")
signal(paused.pid, "KILL")
wait_exit(paused.pid, 5000)
start_scheduler(cell, paused)
wait("the restarted scheduler has the newest version from its peers", 6000, function()
    return version_at(paused) == 5
end)
for _, scheduler in ipairs(cell.schedulers) do
    expect("no scheduler went back", version_at(scheduler) == 5)
end
