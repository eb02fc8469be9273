-- The store is down for several seconds, then slow, then available again to all daemons at the same time. During the
-- outage calls continue under the last contracts received and jobs are refused; afterwards the requests to the store
-- must stay within its rates.
local cell = started_cell({ schedulers = 3 })
local refused, code, answer
under_load(cell, function()
    set_store_fault(cell, "mode=down")
    pause(4000)
    code, answer = submit_job(cell, "leisure", '{"class":"batch","tasks":2,"idempotent":true}')
    local call_code, call_answer = request { method = "POST", server = cell.entries[1].http, path = "/v1/calls",
        key = "leisure-key", body = CALL }
    expect("a call is served while the store is down", call_code == 200 and call_answer.verdict == "ran")
    set_store_fault(cell, "mode=slow&delay_ms=400")
    pause(2000)
    set_store_fault(cell, "mode=none")
    local _, before = request { server = cell.store, path = "/v1/counters" }
    pause(1000)
    local _, after = request { server = cell.store, path = "/v1/counters" }
    print(string.format("  in the second after the outage: %d reads, %d writes, %d renewals, %d watches",
        after.reads - before.reads, after.writes - before.writes, after.leases - before.leases,
        after.watches - before.watches))
    expect("reads and watches stay within the store's rate", after.reads - before.reads + after.watches - before.watches < 2000)
    expect("writes and lease renewals stay within the store's rate", after.writes - before.writes + after.leases - before.leases < 300)
    wait_for_owners(cell, 15000)
end)
expect("a job is refused while the store is down: " .. code .. " " .. tostring(answer.reason), code == 503 and answer.reason == "store_unavailable")
expect("the refusal has a verdict about the outcome", answer.verdict == "not_run" or answer.verdict == "may_have_run")
local later_code = submit_job(cell, "leisure", '{"class":"batch","tasks":2,"idempotent":true}')
expect("jobs are accepted again", later_code == 202)
