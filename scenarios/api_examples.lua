-- Makes the HTTP exchanges that docs/API.md shows, checks their status codes and writes them to exchanges.md.
local cell = started_cell()
local entry, operators = cell.entries[1].http, cell.schedulers[1].operators
local function to_json(value)
    if type(value) ~= "table" then return type(value) == "string" and string.format("%q", value) or tostring(value) end
    local parts, keys = {}, {}
    if #value > 0 then
        for _, element in ipairs(value) do parts[#parts + 1] = to_json(element) end
        return "[" .. table.concat(parts, ", ") .. "]"
    end
    for key in pairs(value) do keys[#keys + 1] = key end
    table.sort(keys)
    for _, key in ipairs(keys) do parts[#parts + 1] = string.format("%q: %s", key, to_json(value[key])) end
    return "{" .. table.concat(parts, ", ") .. "}"
end
local out = io.open(OUT .. "/exchanges.md", "w")
local function record_exchange(title, fields, status)
    local code, answer = request(fields)
    expect(title .. ": status " .. tostring(code), code == status)
    out:write("### " .. title .. "\n\n    " .. (fields.method or "GET") .. " " .. fields.path .. "\n")
    if fields.body then out:write("    " .. fields.body .. "\n") end
    out:write("\n    " .. code .. "\n    " .. to_json(answer) .. "\n\n")
    return answer
end
local function caller_request(method, path, body) return { method = method, server = entry, path = path, body = body, key = "leisure-key" } end
local function operator_request(method, path, body) return { method = method, server = operators, path = path, body = body, key = OPERATOR_KEY } end
local id = "0193" .. request_id():sub(5)
record_exchange("A call answered at once", caller_request("POST", "/v1/calls", CALL), 200)
local fresh = request_id()
record_exchange("A call with the caller's own id", caller_request("POST", "/v1/calls", '{"request_id":"' .. fresh .. '","first_attempt":true,"payload":"form 7"}'), 200)
record_exchange("The same call repeated gets the same answer", caller_request("POST", "/v1/calls", '{"request_id":"' .. fresh .. '","payload":"form 7"}'), 200)
record_exchange("The same id with other content", caller_request("POST", "/v1/calls", '{"request_id":"' .. fresh .. '","payload":"form 8"}'), 409)
record_exchange("A value out of bounds", caller_request("POST", "/v1/calls", '{"memory_mb":0}'), 400)
record_exchange("Above the contract's ceiling", caller_request("POST", "/v1/calls", '{"milli_cpus":900000}'), 422)
local job = record_exchange("A batch job", caller_request("POST", "/v1/jobs", '{"class":"batch","kind":"insurers","tasks":8,"idempotent":true,"milli_cpus":1000,"memory_mb":500,"payload":"{\\"run_ms\\":300}"}'), 202)
pause(100)
record_exchange("Its state", caller_request("GET", "/v1/jobs/" .. job.request_id), 200)
local gang = record_exchange("A gang", caller_request("POST", "/v1/jobs", '{"class":"gang","tasks":4,"milli_cpus":1000,"memory_mb":500,"payload":"{\\"run_ms\\":60000}"}'), 202)
wait_until("the gang to run", 10000, function()
    local view = job_state(cell, "leisure", gang.request_id)
    return view and view.state == "running"
end)
record_exchange("Cancelled while it runs", caller_request("DELETE", "/v1/jobs/" .. gang.request_id), 504)
record_exchange("An unknown job", caller_request("GET", "/v1/jobs/" .. id), 404)
record_exchange("A wrong key", { method = "POST", server = entry, path = "/v1/calls", body = "{}", key = "wrong" }, 401)
record_exchange("Operators: apply a contract", operator_request("PUT", "/v1/contracts/leisure?expected_version=1",
    contract_json("leisure", { change_id = "change-2", guaranteed = scaled_resources(cell.total, 0.4), ceiling = cell.total })), 200)
record_exchange("Operators: a lost race", operator_request("PUT", "/v1/contracts/leisure?expected_version=1",
    contract_json("leisure", { change_id = "change-3", guaranteed = scaled_resources(cell.total, 0.3), ceiling = cell.total })), 409)
record_exchange("Operators: guarantees above the cell", operator_request("PUT", "/v1/contracts/other",
    contract_json("other", { change_id = "change-4", guaranteed = cell.total, ceiling = cell.total })), 422)
record_exchange("Operators: status", operator_request("GET", "/v1/status"), 200)
record_exchange("Operators: an unknown request", operator_request("GET", "/v1/explain?customer=leisure&request_id=none"), 404)
out:close()
