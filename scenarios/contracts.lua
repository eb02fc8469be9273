-- Two operators apply a contract at the same time; an answer of the store is lost; a scheduler is paused while it
-- has an old version, and later restarted while the store is down. An accepted version must be in force on all
-- schedulers within 4 s and must never be replaced by an older one.
local cell = started_cell({ schedulers = 3 })
local function version_at(scheduler)
    local code, view = request { server = scheduler.operators, path = "/v1/contracts/leisure", key = OPERATOR_KEY,
        timeout_ms = 1000 }
    return code == 200 and view.version or 0
end
local function terms(share)
    return { guaranteed = scaled_resources(cell.total, share), ceiling = cell.total }
end

-- Two operators both expect version 1, so only one of them can succeed.
local first_code, first_answer = apply_contract(cell, "leisure", terms(0.4),
    { scheduler = cell.schedulers[1], expected_version = 1 })
local second_code, second_answer = apply_contract(cell, "leisure", terms(0.3),
    { scheduler = cell.schedulers[2], expected_version = 1 })
expect("the first change is accepted", first_code == 200 and first_answer.current.version == 2)
expect("the second change is refused, with the author of the accepted version and the differences",
    second_code == 409 and #second_answer.differences > 0
    and second_answer.message:find("version 2 by operator", 1, true))

-- The store carries out the write, but its answer is lost.
set_store_fault(cell, "mode=lose_answers&count=1")
local code, answer = apply_contract(cell, "leisure", terms(0.35))
expect("after a lost answer the version is read from the store and not written again", code == 200 and answer.current.version == 3)
set_store_fault(cell, "mode=none")

-- A change is in force on all schedulers within 4 s.
local started_ms = now_ms()
code, answer = apply_contract(cell, "leisure", terms(0.45))
expect("the change is applied and all schedulers have confirmed it", code == 200 and #answer.unconfirmed == 0)
print("  in force on all schedulers after " .. (now_ms() - started_ms) .. " ms")
expect("within 4 s", now_ms() - started_ms <= 4000)

-- A scheduler misses a change while it is paused. When it resumes, it must not decide under the old version.
local paused = cell.schedulers[3]
signal(paused.pid, "STOP")
pause(2500)
code, answer = apply_contract(cell, "leisure", { guaranteed = scaled_resources(cell.total, 0), ceiling = { processors = 0, memory_gb = 0, slots = 0 } },
    { timeout_ms = 12000 })
expect("the change is applied and the paused scheduler is reported as unconfirmed", code == 200 and #answer.unconfirmed == 1)
signal(paused.pid, "CONT")
local resumed_ms = now_ms()
local load = load_start { entries = entry_addresses(cell), key = "leisure-key", body = CALL, connections = 8, count = 200 }
for _, result in ipairs(load_finish(load)) do
    expect("no call is started under the old version: " .. result.verdict .. " " .. result.reason,
        result.verdict ~= "ran")
end
wait_until("the resumed scheduler to have the new version", 4000, function() return version_at(paused) == 5 end)
print("  the resumed scheduler has the new version after " .. (now_ms() - resumed_ms) .. " ms")

-- A scheduler that is restarted while the store is down gets the contract from its peers.
set_store_fault(cell, "mode=down")
signal(paused.pid, "KILL")
wait_exit(paused.pid, 5000)
start_scheduler(cell, paused)
wait_until("the restarted scheduler to have the newest version from its peers", 6000, function()
    return version_at(paused) == 5
end)
for _, scheduler in ipairs(cell.schedulers) do
    expect("no scheduler has an older version", version_at(scheduler) == 5)
end
