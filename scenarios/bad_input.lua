-- Broken, oversized, mistyped and unauthorised requests get a clear error that says not run, and lose
-- nothing else.
local cell = started_cell()
local function call(fields)
    fields.server = cell.entries[1].http
    fields.method = fields.method or "POST"
    fields.path = fields.path or "/v1/calls"
    fields.key = fields.key or "leisure-key"
    return request(fields)
end
local function refused(what, status, code, answer, reason)
    expect(what .. " is refused with " .. status .. ", not " .. tostring(code), code == status)
    expect(what .. " says not run", answer.verdict == "not_run")
    expect(what .. " says why: " .. tostring(answer.reason), answer.reason == reason)
end
local good = load_start { entries = { cell.entries[1].http }, key = "leisure-key", body = CALL, connections = 4 }
local code, answer = call { body = '{"kind":' }
refused("broken JSON", 400, code, answer, "bad_request")
code, answer = call { body = '[1,2]' }
refused("an array", 400, code, answer, "bad_request")
code, answer = call { body = '{"milli_cpus":-5}' }
refused("a negative size", 400, code, answer, "bad_request")
expect("the error names key, value and bounds", answer.detail:find("milli_cpus is -5, must be from 1 to 1000000", 1, true))
code, answer = call { body = '{"colour":"red"}' }
refused("an unknown key", 400, code, answer, "bad_request")
code, answer = call { body = '{"request_id":"7"}' }
refused("an id that is no UUID", 400, code, answer, "bad_request")
code, answer = call { body = '{"payload":"' .. string.rep("x", 300000) .. '"}' }
refused("a large body", 413, code, answer, "body_too_large")
code, answer = call { method = "PUT", body = "{}" }
refused("a wrong method", 405, code, answer, "bad_method")
code, answer = call { path = "/v1/nothing" }
refused("a wrong path", 404, code, answer, "unknown_path")
code, answer = call { key = "somebody-else", body = CALL }
refused("a wrong key", 401, code, answer, "unknown_key")
code, answer = call { body = '{"milli_cpus":900000}' }
refused("a task above the ceiling", 422, code, answer, "above_ceiling")
code, answer = call { body = '{"milli_cpus":17000}' }
refused("a task that no worker could hold", 422, code, answer, "never_fits")
-- Two callers with one id: the same content shares one run, other content is refused.
local id = request_id()
local body = '{"request_id":"' .. id .. '","payload":"{\\"run_ms\\":50}"}'
code, answer = call { body = body }
expect("the first is served: " .. tostring(answer.reason), code == 200)
code, answer = call { body = body }
expect("the repeat gets the same answer", code == 200 and answer.output:find(id, 1, true))
code, answer = call { body = '{"request_id":"' .. id .. '","payload":"other"}' }
refused("the same id with other content", 409, code, answer, "id_conflict")
expect("it ran once", #ledger(cell)[id .. "/0"] == 1)
-- UTF-8 comes back as it went.
code, answer = call { body = '{"payload":"{\\"text\\":\\"Ljubljana – čšž – الفيوم\\"}"}' }
expect("text survives", code == 200 and answer.output:find("čšž – الفيوم", 1, true))
-- The operators' interface wants its own key.
local status = request { server = cell.schedulers[1].operators, path = "/v1/status", key = "leisure-key" }
expect("a customer's key is no operator's key", status == 401)
local sums = account(cell, load_finish(good, true))
must_hold("calls meanwhile", sums)
expect("every one was served", sums.refused == 0 and sums.doubted == 0)
