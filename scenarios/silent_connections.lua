-- Open connections to a worker, between schedulers and entries, and to the store go silent for good
-- while new ones work.
local cell = small_cell()
local links = {}
local function link(name, address_of, port)
    links[#links + 1] = { name = name, target = address_of, port = port }
    local one = links[#links]
    one.host = address(90, #links)
    one.pid = start("link-" .. name, { "standin-link", "--address=" .. one.host, "--port=" .. port,
        "--target=" .. address_of, "--target_port=" .. port })
    return one.host
end
-- The worker's address in the VM list is its link; the worker itself listens behind it.
local worker = cell.workers[1]
local behind = worker.address:match("(.*):")
local front = link("worker", behind, 7300)
local text = {}
for _, one in ipairs(cell.workers) do
    text[#text + 1] = string.format('[[vm]]\naddress = %q\nzone = %q\nrack = %q\n',
        one == worker and front .. ":7300" or one.address, one.zone, one.rack)
end
write_file("vms.toml", table.concat(text, "\n"))
local store_host = cell.store:match("(.*):")
cell.schedulers[1].store = link("store", store_host, 7100) .. ":7100"
local real_rpc = cell.schedulers[2].rpc
local rpc_link = link("rpc", cell.schedulers[2].host, 7400)
start_store(cell)
start_vm_list(cell)
for _, one in ipairs(cell.workers) do start_worker(cell, one) end
for _, one in ipairs(cell.schedulers) do start_scheduler(cell, one) end
-- Entries reach the second scheduler's owners by its real address and follow it through the link.
cell.schedulers[2].rpc = rpc_link .. ":7400"
start_entry(cell, cell.entries[1])
cell.schedulers[2].rpc = real_rpc
start_entry(cell, cell.entries[2])
wait_for_owners(cell, 20000)
must_apply(cell, "leisure", { guaranteed = part(cell.total, 0.5), ceiling = cell.total })
local a = under_load(cell, function()
    for _ = 1, 3 do
        for _, one in ipairs(links) do
            request { method = "POST", server = one.host .. ":7901", path = "/v1/mode?mode=silence" }
        end
        pause(1500)
    end
    wait_for_owners(cell, 15000)
end)
expect("silence costs no call more than 4 s", a.most <= 4000)
local code = apply(cell, "leisure", { guaranteed = part(cell.total, 0.25), ceiling = cell.total })
expect("contracts can still be applied", code == 200)
