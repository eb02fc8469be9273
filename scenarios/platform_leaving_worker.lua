-- DRAIN: a worker that has announced that it leaves gets no run later than 2 s after the store accepted the
-- announcement, although the store discards its history at that time and does not answer the watches that wait.
dofile("scenarios/platform.lua")
local cell = start_platform(6, 2)
local node = cell.nodes[1]
local ids, attempts = {}, 0
local function submit_for(length_ms)
    local until_ms = now_ms() + length_ms
    while now_ms() < until_ms do
        attempts = attempts + 1
        local code, id = submit(node, attempts, { { count = 8 } }, 300)
        if code == 200 then ids[#ids + 1] = id end
        pause(50)
    end
end

submit_for(500)
local late = 0
local rounds = {
    { how = "cut", announced_after_ms = 1500 },
    { how = "hold", announced_after_ms = 1500 },
    { how = "cut", announced_after_ms = 500 },
}
for worker, round in ipairs(rounds) do
    discard_history(cell, 1000, round.how)
    submit_for(round.announced_after_ms)
    announce_leaving(cell, worker)
    submit_for(4000)
    local counts = run_counts(cell)
    print("  " .. round.how .. ", announced after " .. round.announced_after_ms .. " ms: starts: " .. counts.starts .. ", late on leaving workers: " .. counts.late_on_leaving)
    late = counts.late_on_leaving
end
expect("no run is started on a leaving worker after 2 s", late == 0)
expect("work goes on all the time", attempts >= 40)
expect("at least nine in ten jobs are accepted", #ids >= 0.9 * attempts)
wait_completed(node, ids, 15000)
expect_run_once(cell)
