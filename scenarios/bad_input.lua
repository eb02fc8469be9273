-- Malformed, oversized, wrongly typed and unauthorised requests are refused with a specific reason and the
-- verdict not_run, and valid calls that are in progress meanwhile are all served.
local cell = started_cell()
local function call(fields)
    fields.server = cell.entries[1].http
    fields.method = fields.method or "POST"
    fields.path = fields.path or "/v1/calls"
    fields.key = fields.key or "leisure-key"
    return request(fields)
end
local function expect_refused(label, status, code, answer, reason)
    expect(label .. " is refused with " .. status .. ", not " .. tostring(code), code == status)
    expect(label .. " has the verdict not_run", answer.verdict == "not_run")
    expect(label .. " has the right reason: " .. tostring(answer.reason), answer.reason == reason)
end
local valid_calls = load_start { entries = { cell.entries[1].http }, key = "leisure-key", body = CALL, connections = 4 }
local code, answer = call { body = '{"kind":' }
expect_refused("broken JSON", 400, code, answer, "bad_request")
code, answer = call { body = '[1,2]' }
expect_refused("an array", 400, code, answer, "bad_request")
code, answer = call { body = '{"milli_cpus":-5}' }
expect_refused("a negative number of processors", 400, code, answer, "bad_request")
expect("the error names key, value and bounds", answer.detail:find("milli_cpus is -5, must be from 1 to 1000000", 1, true))
code, answer = call { body = '{"colour":"red"}' }
expect_refused("an unknown key", 400, code, answer, "bad_request")
code, answer = call { body = '{"request_id":"7"}' }
expect_refused("an id that is not a UUID", 400, code, answer, "bad_request")
code, answer = call { body = '{"payload":"' .. string.rep("x", 300000) .. '"}' }
expect_refused("a large body", 413, code, answer, "body_too_large")
code, answer = call { method = "PUT", body = "{}" }
expect_refused("a wrong method", 405, code, answer, "bad_method")
code, answer = call { path = "/v1/nothing" }
expect_refused("a wrong path", 404, code, answer, "unknown_path")
code, answer = call { key = "somebody-else", body = CALL }
expect_refused("a wrong key", 401, code, answer, "unknown_key")
code, answer = call { body = '{"milli_cpus":900000}' }
expect_refused("a task above the ceiling", 422, code, answer, "above_ceiling")
code, answer = call { body = '{"milli_cpus":17000}' }
expect_refused("a task that is too large for every worker", 422, code, answer, "never_fits")
-- Two requests with the same id: with the same content they share one run, with other content the second one is
-- refused.
local id = request_id()
local body = '{"request_id":"' .. id .. '","payload":"{\\"run_ms\\":50}"}'
code, answer = call { body = body }
expect("the first request is served: " .. tostring(answer.reason), code == 200)
code, answer = call { body = body }
expect("the repeat gets the same answer", code == 200 and answer.output:find(id, 1, true))
code, answer = call { body = '{"request_id":"' .. id .. '","payload":"other"}' }
expect_refused("the same id with other content", 409, code, answer, "id_conflict")
expect("the task ran once", #recorded_runs(cell)[id .. "/0"] == 1)
-- Text in UTF-8 is returned unchanged.
code, answer = call { body = '{"payload":"{\\"text\\":\\"Ljubljana – čšž – الفيوم\\"}"}' }
expect("the text is returned unchanged", code == 200 and answer.output:find("čšž – الفيوم", 1, true))
-- The operators' interface accepts only an operator's key.
local status = request { server = cell.schedulers[1].operators, path = "/v1/status", key = "leisure-key" }
expect("a customer's key is not accepted as an operator's key", status == 401)
local outcomes = count_outcomes(cell, load_finish(valid_calls, true))
expect_consistent("valid calls", outcomes)
expect("every valid call was served", outcomes.refused == 0 and outcomes.unconfirmed == 0)
