-- Runs every subcommand of flamingoseamctl and checks its output and exit code, also for wrong arguments, and
-- checks that the daemons reject wrong settings.
local cell = started_cell()
local servers = {}
for i, scheduler in ipairs(cell.schedulers) do servers[i] = scheduler.operators end
local count = 0
local function run(program, expected, ...)
    count = count + 1
    local name = "run" .. count
    local code = wait_exit(start(name, { program, ... }), 15000)
    local file = io.open(OUT .. "/" .. name .. ".log")
    local text = file:read("a")
    file:close()
    expect(table.concat({ ... }, " ") .. " exits with " .. expected .. ", not " .. tostring(code) .. ": " .. text, code == expected)
    return text
end
local function ctl(expected, ...)
    return run("flamingoseamctl", expected, "--servers=" .. table.concat(servers, ","), "--key=" .. OPERATOR_KEY, "--author=tester", ...)
end
local function expect_contains(text, expected)
    expect("'" .. expected .. "' is in: " .. text, text:find(expected, 1, true))
end
local function contract_file(name, slots)
    write_file(name, string.format(
        'customer = "studio"\nkey_hashes = [%q]\n[guaranteed]\nslots = 1\nprocessors = 1\nmemory_gb = 1\n[ceiling]\nslots = %d\nprocessors = 8\nmemory_gb = 8\n',
        hash_key("studio-key"), slots))
    return OUT .. "/" .. name
end
local eight, nine = contract_file("eight.toml", 8), contract_file("nine.toml", 9)
expect_contains(ctl(0, "contract", "check", eight), "good")
expect_contains(ctl(0, "contract", "apply", eight), "version 1 is in force on 2 of 2 schedulers")
expect_contains(ctl(0, "contract", "diff", nine), "ceiling.slots: 8 -> 9")
expect_contains(ctl(0, "--expected_version=1", "contract", "apply", nine), "version 2")
expect_contains(ctl(3, "--expected_version=1", "contract", "apply", eight), "version 2 by tester")
expect_contains(ctl(0, "contract", "get", "studio"), "\"version\"")
expect_contains(ctl(0, "contract", "list"), "leisure")
expect_contains(ctl(0, "contract", "history", "studio"), "tester")
expect_contains(ctl(0, "status"), "serving")
expect_contains(ctl(0, "--output=json", "status"), "\"epoch\"")
expect_contains(ctl(0, "workers", cell.shards[1].id), "active")
local code, job = submit_job(cell, "leisure", '{"class":"batch","tasks":60,"idempotent":true,"milli_cpus":8000,"memory_mb":500,"payload":"{\\"run_ms\\":60000}"}')
expect("a job is accepted", code == 202)
wait_until("the job to wait for free capacity", 5000, function()
    local view = job_state(cell, "leisure", job.request_id)
    return view and view.state == "waiting" and view.held_by ~= "window"
end)
expect_contains(ctl(0, "explain", "leisure", job.request_id), "held by")
expect_contains(ctl(0, "cancel", "leisure", job.request_id), "cancelled")
wait_job_end(cell, "leisure", job.request_id, 10000)
expect_contains(ctl(0, "explain", "leisure", job.request_id), "is ended")
ctl(0, "drain", cell.workers[1].address)
expect_contains(ctl(0, "workers", cell.shards[1].id), "leaving")
expect_contains(ctl(1, "drain", "127.0.0.1:1"), "unknown_worker")
expect_contains(ctl(1, "contract", "get", "nobody"), "no_contract")
ctl(2, "nonsense")
expect_contains(run("flamingoseamctl", 1, "--servers=" .. servers[1], "--key=wrong", "status"), "unknown_key")
-- With --check a daemon only checks its settings, prints what is wrong and exits.
expect_contains(run("flamingoseam-scheduler", 0, "--settings=" .. OUT .. "/scheduler1.toml", "--check"), "good")
write_file("bad.toml", 'address = "127.0.0.1"\nzone = "z"\nschedulers = ["127.0.0.1:7400"]\nport = 70000\n')
expect_contains(run("flamingoseam-entry", 1, "--settings=" .. OUT .. "/bad.toml", "--check"), "port: is 70000, must be from 1 to 65535")
write_file("bad.toml", 'address = "127.0.0.1"\nzone = "z"\nschedulers = ["127.0.0.1:7400"]\ncolour = 1\n')
expect_contains(run("flamingoseam-entry", 1, "--settings=" .. OUT .. "/bad.toml", "--check"), "colour: is not a known key")
