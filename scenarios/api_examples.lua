-- Makes the exchanges that docs/API.md shows, and checks their status codes.
local cell = started_cell()
local entry, operators = cell.entries[1].http, cell.schedulers[1].operators
local function pretty(value)
    if type(value) ~= "table" then return type(value) == "string" and string.format("%q", value) or tostring(value) end
    local parts, keys = {}, {}
    if #value > 0 then
        for _, one in ipairs(value) do parts[#parts + 1] = pretty(one) end
        return "[" .. table.concat(parts, ", ") .. "]"
    end
    for key in pairs(value) do keys[#keys + 1] = key end
    table.sort(keys)
    for _, key in ipairs(keys) do parts[#parts + 1] = string.format("%q: %s", key, pretty(value[key])) end
    return "{" .. table.concat(parts, ", ") .. "}"
end
local out = io.open(OUT .. "/exchanges.md", "w")
local function show(title, fields, status)
    local code, answer = request(fields)
    expect(title .. ": " .. tostring(code), code == status)
    out:write("### " .. title .. "\n\n    " .. (fields.method or "GET") .. " " .. fields.path .. "\n")
    if fields.body then out:write("    " .. fields.body .. "\n") end
    out:write("\n    " .. code .. "\n    " .. pretty(answer) .. "\n\n")
    return answer
end
local function caller(method, path, body) return { method = method, server = entry, path = path, body = body, key = "leisure-key" } end
local function operator(method, path, body) return { method = method, server = operators, path = path, body = body, key = OPERATOR_KEY } end
local id = "0193" .. request_id():sub(5)
show("A call answered at once", caller("POST", "/v1/calls", CALL), 200)
local fresh = request_id()
show("A call with the caller's own id", caller("POST", "/v1/calls", '{"request_id":"' .. fresh .. '","first_attempt":true,"payload":"form 7"}'), 200)
show("The same call repeated gets the same answer", caller("POST", "/v1/calls", '{"request_id":"' .. fresh .. '","payload":"form 7"}'), 200)
show("The same id with other content", caller("POST", "/v1/calls", '{"request_id":"' .. fresh .. '","payload":"form 8"}'), 409)
show("A value out of bounds", caller("POST", "/v1/calls", '{"memory_mb":0}'), 400)
show("Above the contract's ceiling", caller("POST", "/v1/calls", '{"milli_cpus":900000}'), 422)
local job = show("A batch job", caller("POST", "/v1/jobs", '{"class":"batch","kind":"insurers","tasks":8,"idempotent":true,"milli_cpus":1000,"memory_mb":500,"payload":"{\\"run_ms\\":300}"}'), 202)
pause(100)
show("Its state", caller("GET", "/v1/jobs/" .. job.request_id), 200)
local gang = show("A gang", caller("POST", "/v1/jobs", '{"class":"gang","tasks":4,"milli_cpus":1000,"memory_mb":500,"payload":"{\\"run_ms\\":60000}"}'), 202)
wait("the gang to run", 10000, function()
    local view = job_state(cell, "leisure", gang.request_id)
    return view and view.state == "running"
end)
show("Cancelled while it runs", caller("DELETE", "/v1/jobs/" .. gang.request_id), 504)
show("An unknown job", caller("GET", "/v1/jobs/" .. id), 404)
show("A wrong key", { method = "POST", server = entry, path = "/v1/calls", body = "{}", key = "wrong" }, 401)
show("Operators: apply a contract", operator("PUT", "/v1/contracts/leisure?expected_version=1",
    contract_json("leisure", { change_id = "change-2", guaranteed = part(cell.total, 0.4), ceiling = cell.total })), 200)
show("Operators: a lost race", operator("PUT", "/v1/contracts/leisure?expected_version=1",
    contract_json("leisure", { change_id = "change-3", guaranteed = part(cell.total, 0.3), ceiling = cell.total })), 409)
show("Operators: guarantees above the cell", operator("PUT", "/v1/contracts/other",
    contract_json("other", { change_id = "change-4", guaranteed = cell.total, ceiling = cell.total })), 422)
show("Operators: status", operator("GET", "/v1/status"), 200)
show("Operators: an unknown request", operator("GET", "/v1/explain?customer=leisure&request_id=none"), 404)
out:close()
