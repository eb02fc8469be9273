-- Open connections to a worker, between schedulers and entries, and to the store become unresponsive for good, while
-- new connections work. No call may take more than 4 s.
local cell = small_cell()
local links = {}
local function start_link(name, target, port)
    links[#links + 1] = { name = name, target = target, port = port }
    local new_link = links[#links]
    new_link.host = address(90, #links)
    new_link.pid = start("link-" .. name, { "standin-link", "--address=" .. new_link.host, "--port=" .. port,
        "--target=" .. target, "--target_port=" .. port })
    return new_link.host
end
-- The VM list has the address of a link, which forwards to the worker, instead of the worker's own address.
local worker = cell.workers[1]
local worker_host = worker.address:match("(.*):")
local worker_link = start_link("worker", worker_host, 7300)
local vms = {}
for _, other in ipairs(cell.workers) do
    vms[#vms + 1] = string.format('[[vm]]\naddress = %q\nzone = %q\nrack = %q\n',
        other == worker and worker_link .. ":7300" or other.address, other.zone, other.rack)
end
write_file("vms.toml", table.concat(vms, "\n"))
local store_host = cell.store:match("(.*):")
cell.schedulers[1].store = start_link("store", store_host, 7100) .. ":7100"
local real_rpc = cell.schedulers[2].rpc
local rpc_link = start_link("rpc", cell.schedulers[2].host, 7400)
start_store(cell)
start_vm_list(cell)
for _, other in ipairs(cell.workers) do start_worker(cell, other) end
for _, scheduler in ipairs(cell.schedulers) do start_scheduler(cell, scheduler) end
-- The settings of the first entry have the link as the address of the second scheduler, but owners are known by their
-- real addresses, so it uses both. The second entry uses only the real address.
cell.schedulers[2].rpc = rpc_link .. ":7400"
start_entry(cell, cell.entries[1])
cell.schedulers[2].rpc = real_rpc
start_entry(cell, cell.entries[2])
wait_for_owners(cell, 20000)
apply_and_wait(cell, "leisure", { guaranteed = scaled_resources(cell.total, 0.5), ceiling = cell.total })
local a = under_load(cell, function()
    for _ = 1, 3 do
        for _, link in ipairs(links) do
            request { method = "POST", server = link.host .. ":7901", path = "/v1/mode?mode=silence" }
        end
        pause(1500)
    end
    wait_for_owners(cell, 15000)
end)
expect("no call takes more than 4 s", a.max_wait_ms <= 4000)
local code = apply_contract(cell, "leisure", { guaranteed = scaled_resources(cell.total, 0.25), ceiling = cell.total })
expect("contracts can still be applied", code == 200)
