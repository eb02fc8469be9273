-- One scheduler loses its connection to the store while the others keep theirs. A contract that is applied
-- meanwhile must reach it through its peers and be in force within 4 s, and the others must take over its shards
-- without running a call twice.
local cell = small_cell({ schedulers = 3 })
local link_host = address(90, 1)
local link = start("link", { "standin-link", "--address=" .. link_host, "--port=7100",
    "--target=" .. cell.store:match("(.*):"), "--target_port=7100" })
cell.schedulers[1].store = link_host .. ":7100"
start_cell(cell)
apply_and_wait(cell, "leisure", { guaranteed = scaled_resources(cell.total, 0.5), ceiling = cell.total })
local function version_at(scheduler)
    local code, view = request { server = scheduler.operators, path = "/v1/contracts/leisure", key = OPERATOR_KEY,
        timeout_ms = 1000 }
    return code == 200 and view.version or 0
end
under_load(cell, function()
    request { method = "POST", server = link_host .. ":7901", path = "/v1/mode?mode=cut" }
    local started_ms = now_ms()
    local code, answer = apply_contract(cell, "leisure", { guaranteed = scaled_resources(cell.total, 0.4), ceiling = cell.total },
        { scheduler = cell.schedulers[2] })
    expect("the contract is applied", code == 200)
    expect("the disconnected scheduler has confirmed it as well: " .. answer.message, #answer.unconfirmed == 0)
    expect("the disconnected scheduler has version 2", version_at(cell.schedulers[1]) == 2)
    print("  in force on all schedulers, including the disconnected one, after " .. (now_ms() - started_ms) .. " ms")
    expect("within 4 s", now_ms() - started_ms <= 4000)
    pause(5000)
    request { method = "POST", server = link_host .. ":7901", path = "/v1/mode?mode=pass" }
    pause(3000)
    wait_for_owners(cell, 15000)
end)
expect("the version is not replaced by an older one", version_at(cell.schedulers[1]) == 2)
