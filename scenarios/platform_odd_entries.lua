-- Another writer's entry in the list of workers, or a configuration, with bytes that can't be read ends no node.
dofile("scenarios/platform.lua")
local cell = start_platform(4, 3)
local NOT_UTF8 = "eyJzZXJ2aWNlIjoiYYAifQ==" -- {"service":"a\x80"} in base64

local function put(key, value)
    local code = request { method = "POST", server = cell.store, path = "/api/kv-txn", body = string.format(
        '{"precondition":[],"puts":[{"key":"%s","value":"%s"}],"remove":[]}', key, value) }
    expect("the store takes the record " .. key, code == 200)
end

local function expect_no_end()
    for _, node in ipairs(cell.nodes) do
        local code = wait_exit(node.pid, 1)
        expect(node.name .. " still runs, but ended with exit code " .. tostring(code), code == nil)
    end
end

-- Waits until each of the nodes has logged `text`; fails if one ends.
local function wait_logged(nodes, text)
    for _, node in ipairs(nodes) do
        wait_until(node.name .. " to log: " .. text, 5000, function()
            expect_no_end()
            for line in io.lines(OUT .. "/" .. node.name .. ".log") do
                if line:find(text, 1, true) then return true end
            end
        end)
    end
end

put("servers/odd", NOT_UTF8)
wait_logged({ owner_of(cell) }, "skipped the malformed entry of worker odd")
put("op/config", NOT_UTF8)
wait_logged(cell.nodes, "the version in force stays")
pause(3000)
expect_no_end()
local ids = {}
for number = 1, 6 do
    local code, id = submit(cell.nodes[number % 3 + 1], number, { { count = 1 } }, 50)
    expect("a job is accepted", code == 200)
    ids[#ids + 1] = id
end
wait_completed(cell.nodes[1], ids, 5000)
expect_run_once(cell)
