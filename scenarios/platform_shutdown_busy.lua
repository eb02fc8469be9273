-- A node is shut down while no other node can take over and clients keep using it. Guards against requests whose
-- connections end without an answer: each request that the node has read must be answered or refused.
dofile("scenarios/platform.lua")
local cell = start_platform(2, 1)
local node = cell.nodes[1]
local function start_clients()
    return load_start {
        entries = { node.front },
        path = "/jobs/" .. string.format("%016x", 1),
        body = '{"spec":"ms=50","steps":[{"count":1,"cpu":1000,"memMb":100,"estimatedMs":50}]}',
        connections = 8,
        interval_ms = 5,
        timeout_ms = 5000,
    }
end
local clients = { start_clients() }
pause(1000)
signal(node.pid, "TERM")
pause(350) -- So that requests arrive at different times, even if each waits for an owner.
clients[2] = start_clients()
expect("the node exits with 0 before it would be killed", wait_exit(node.pid, 6000) == 0)
local results = {}
for _, load in ipairs(clients) do
    for _, result in ipairs(load_finish(load, true)) do results[#results + 1] = result end
end
local read_within_ms = 100 -- A later one may have come when the connections were closed, and was never read.
local answered, cut_off, longest_ms = 0, 0, 0
for _, result in ipairs(results) do
    if result.status ~= 0 then
        answered = answered + 1
        longest_ms = math.max(longest_ms, result.wait_ms)
    elseif result.wait_ms > read_within_ms then
        cut_off = cut_off + 1
    end
end
print("  " .. answered .. " requests answered, the slowest after " .. longest_ms .. " ms; " .. cut_off .. " cut off")
expect("requests were answered", answered > 100)
expect("no request was cut off", cut_off == 0)
expect("requests without an owner are refused at once", longest_ms <= 500)
