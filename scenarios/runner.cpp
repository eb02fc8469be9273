/// Runs one scenario: a Lua script that starts processes on loopback addresses, injects faults and
/// checks the results. The exit code is 0 if all checks pass, 1 if one fails, 2 on wrong usage.
#include "flamingoseam/contract/key.hpp"
#include "flamingoseam/core/error.hpp"
#include "flamingoseam/http/http_client.hpp"
#include "flamingoseam/http/json.hpp"
#include "flamingoseam/job/request_id.hpp"
#include "flamingoseam/node/shard.hpp"
#include "scenarios/load.hpp"
#include "scenarios/processes.hpp"
#include "tests/shifted_clock.hpp"

#include <gflags/gflags.h>
#include <lua.hpp>
#include <sodium.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <limits>
#include <memory>
#include <thread>

DEFINE_string(programs, "build", "folder of the programs that scenarios start");
DEFINE_string(scripts, "scenarios", "folder that contains cell.lua");
DEFINE_string(out, "out", "folder for settings, logs and spans");
DEFINE_int32(net, 10, "second octet of the loopback addresses, 127.NET.x.y");
DEFINE_uint64(seed, 1, "seed of the script's random numbers, passed to it as SEED");

namespace {

using namespace flamingoseam;
using namespace flamingoseam::scenario;

/// The processes and loads of the running script.
struct context {
    process_table processes;
    std::map<int, std::unique_ptr<load>> loads;
    int next_load = 1;
    std::map<std::string, std::unique_ptr<shifted_clock>> clocks; ///< By name.
};

context& context_of(lua_State* lua)
{
    return *static_cast<context*>(lua_touserdata(lua, lua_upvalueindex(1)));
}

std::string string_field(lua_State* lua, int table, const char* name, const std::string& fallback)
{
    lua_getfield(lua, table, name);
    std::string value = fallback;
    if (lua_isstring(lua, -1) != 0) {
        value = lua_tostring(lua, -1);
    }
    lua_pop(lua, 1);
    return value;
}

lua_Integer integer_field(lua_State* lua, int table, const char* name, lua_Integer fallback)
{
    lua_getfield(lua, table, name);
    const auto value = lua_isnil(lua, -1) ? fallback : lua_tointeger(lua, -1);
    lua_pop(lua, 1);
    return value;
}

std::vector<std::string> string_list(lua_State* lua, int table)
{
    std::vector<std::string> values;
    const auto count = luaL_len(lua, table);
    for (lua_Integer i = 1; i <= count; ++i) {
        lua_geti(lua, table, i);
        values.emplace_back(lua_tostring(lua, -1));
        lua_pop(lua, 1);
    }
    return values;
}

void push_json(lua_State* lua, const cxxtools::SerializationInfo& info)
{
    using category = cxxtools::SerializationInfo::Category;
    if (info.category() == category::Object || info.category() == category::Array) {
        lua_newtable(lua);
        for (std::size_t i = 0; i < info.memberCount(); ++i) {
            const auto& member = info.getMember(static_cast<unsigned>(i));
            push_json(lua, member);
            if (info.category() == category::Array) {
                lua_rawseti(lua, -2, static_cast<lua_Integer>(i) + 1);
            } else {
                lua_setfield(lua, -2, member.name().c_str());
            }
        }
        return;
    }
    if (info.isNull()) {
        lua_pushnil(lua);
    } else if (info.typeName() == "bool") {
        bool value = false;
        info >>= value;
        lua_pushboolean(lua, value ? 1 : 0);
    } else if (info.typeName() == "int") {
        std::int64_t value = 0;
        info >>= value;
        lua_pushinteger(lua, value);
    } else {
        cxxtools::String value;
        info >>= value;
        lua_pushstring(lua, cxxtools::Utf8Codec::encode(value).c_str());
    }
}

/// Holds any JSON value without converting it.
struct any_json {
    cxxtools::SerializationInfo info;
};

void operator>>=(const cxxtools::SerializationInfo& info, any_json& value)
{
    value.info = info;
}

shifted_clock& clock_named(context& scenario, const std::string& name)
{
    auto& clock = scenario.clocks[name];
    if (!clock) {
        clock = std::make_unique<shifted_clock>(FLAGS_out + "/" + name + ".clock");
    }
    return *clock;
}

/// start(NAME, COMMAND, CLOCK) starts a program and returns its id. With CLOCK, a name, its time of
/// day is the machine's with the offset that shift_clock() sets.
int lua_start(lua_State* lua)
{
    auto& scenario = context_of(lua);
    const std::string name = luaL_checkstring(lua, 1);
    auto command = string_list(lua, 2);
    command.at(0) = FLAGS_programs + "/" + command.at(0);
    std::vector<std::string> variables;
    if (lua_isstring(lua, 3) != 0) {
        variables = clock_named(scenario, lua_tostring(lua, 3))
                        .environment(FLAGS_programs + "/libshifted_clock.so");
    }
    lua_pushinteger(lua, scenario.processes.start(name, command, variables));
    return 1;
}

/// shift_clock(CLOCK, OFFSET_MS) sets how far a clock is ahead of the machine's time of day.
int lua_shift_clock(lua_State* lua)
{
    clock_named(context_of(lua), luaL_checkstring(lua, 1))
        .set_offset(milliseconds(luaL_checkinteger(lua, 2)));
    return 0;
}

int lua_signal(lua_State* lua)
{
    static const std::map<std::string, int> numbers = {
        {"TERM", SIGTERM}, {"KILL", SIGKILL}, {"STOP", SIGSTOP}, {"CONT", SIGCONT}};
    context_of(lua).processes.signal(static_cast<pid_t>(luaL_checkinteger(lua, 1)),
                                     numbers.at(luaL_checkstring(lua, 2)));
    return 0;
}

/// limit(PID, RESOURCE, MOST) bounds a resource of a process; without MOST it lifts the bound.
int lua_limit(lua_State* lua)
{
    static const std::map<std::string, int> resources = {{"address_space", RLIMIT_AS},
                                                         {"descriptors", RLIMIT_NOFILE}};
    const auto most =
        static_cast<rlim_t>(luaL_optinteger(lua, 3, std::numeric_limits<lua_Integer>::max()));
    context_of(lua).processes.limit(static_cast<pid_t>(luaL_checkinteger(lua, 1)),
                                    resources.at(luaL_checkstring(lua, 2)), most);
    return 0;
}

int lua_wait_exit(lua_State* lua)
{
    const auto code = context_of(lua).processes.wait_exit(
        static_cast<pid_t>(luaL_checkinteger(lua, 1)), milliseconds(luaL_checkinteger(lua, 2)));
    if (code) {
        lua_pushinteger(lua, *code);
    } else {
        lua_pushnil(lua);
    }
    return 1;
}

int lua_request(lua_State* lua)
{
    http_client client(endpoint_from_string(string_field(lua, 1, "server", "")));
    const http_call call{.method = string_field(lua, 1, "method", "GET"),
                         .path = string_field(lua, 1, "path", "/"),
                         .body = string_field(lua, 1, "body", ""),
                         .authorization = "Bearer " + string_field(lua, 1, "key", ""),
                         .traceparent = string_field(lua, 1, "traceparent", ""),
                         .timeout = milliseconds(integer_field(lua, 1, "timeout_ms", 5000))};
    try {
        const auto answer = client.call(call);
        lua_pushinteger(lua, answer.status);
        const bool is_json = answer.body.starts_with('{') || answer.body.starts_with('[');
        if (is_json) {
            push_json(lua, from_json<any_json>(answer.body).info);
        } else {
            lua_pushstring(lua, answer.body.c_str());
        }
    } catch (const error& cause) {
        lua_pushinteger(lua, 0);
        lua_pushstring(lua, cause.what());
    }
    return 2;
}

int lua_load_start(lua_State* lua)
{
    load_options options;
    lua_getfield(lua, 1, "entries");
    for (const auto& text : string_list(lua, lua_gettop(lua))) {
        options.entries.push_back(endpoint_from_string(text));
    }
    lua_pop(lua, 1);
    options.path = string_field(lua, 1, "path", "/v1/calls");
    options.body = string_field(lua, 1, "body", "{}");
    options.key = string_field(lua, 1, "key", "");
    options.connections = static_cast<int>(integer_field(lua, 1, "connections", 1));
    options.count = static_cast<int>(integer_field(lua, 1, "count", 0));
    options.interval = milliseconds(integer_field(lua, 1, "interval_ms", 0));
    options.timeout = milliseconds(integer_field(lua, 1, "timeout_ms", 30'000));
    options.first_job = integer_field(lua, 1, "first_job", 0);
    options.client_ids = integer_field(lua, 1, "client_ids", 0) != 0;
    auto& scenario = context_of(lua);
    scenario.loads[scenario.next_load] = std::make_unique<load>(options);
    lua_pushinteger(lua, scenario.next_load++);
    return 1;
}

int lua_load_finish(lua_State* lua)
{
    auto& scenario = context_of(lua);
    const auto id = static_cast<int>(luaL_checkinteger(lua, 1));
    if (lua_toboolean(lua, 2) != 0) {
        scenario.loads.at(id)->stop();
    }
    const auto results = scenario.loads.at(id)->finish();
    scenario.loads.erase(id);
    lua_newtable(lua);
    lua_Integer index = 1;
    for (const auto& result : results) {
        lua_newtable(lua);
        lua_pushstring(lua, result.request_id.c_str());
        lua_setfield(lua, -2, "request_id");
        lua_pushinteger(lua, result.status);
        lua_setfield(lua, -2, "status");
        lua_pushstring(lua, result.verdict.c_str());
        lua_setfield(lua, -2, "verdict");
        lua_pushstring(lua, result.reason.c_str());
        lua_setfield(lua, -2, "reason");
        lua_pushstring(lua, result.output.c_str());
        lua_setfield(lua, -2, "output");
        lua_pushinteger(lua, result.wait_ms);
        lua_setfield(lua, -2, "wait_ms");
        lua_pushinteger(lua, result.began_ms);
        lua_setfield(lua, -2, "began_ms");
        lua_rawseti(lua, -2, index++);
    }
    return 1;
}

int lua_pause(lua_State* lua)
{
    std::this_thread::sleep_for(milliseconds(luaL_checkinteger(lua, 1)));
    return 0;
}

int lua_now_ms(lua_State* lua)
{
    lua_pushinteger(lua, wall_now().count());
    return 1;
}

int lua_write_file(lua_State* lua)
{
    std::ofstream(FLAGS_out + "/" + luaL_checkstring(lua, 1)) << luaL_checkstring(lua, 2);
    return 0;
}

int lua_hash_key(lua_State* lua)
{
    lua_pushstring(lua, hash_key(luaL_checkstring(lua, 1)).c_str());
    return 1;
}

int lua_request_id(lua_State* lua)
{
    lua_pushstring(lua, make_request_id(wall_now()).c_str());
    return 1;
}

/// shard_of_job(ID, COUNT) returns the shard of a job without a wide gang.
int lua_shard_of_job(lua_State* lua)
{
    const auto shards = node::possible_shards(luaL_checkstring(lua, 1),
                                              static_cast<std::size_t>(luaL_checkinteger(lua, 2)));
    lua_pushinteger(lua, static_cast<lua_Integer>(shards.front()));
    return 1;
}

int lua_process_stat(lua_State* lua)
{
    std::ifstream in("/proc/" + std::to_string(luaL_checkinteger(lua, 1)) + "/" +
                     luaL_checkstring(lua, 2));
    const std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    lua_pushstring(lua, text.c_str());
    return 1;
}

/// Calls a function that is registered for scripts and converts its exceptions to Lua errors.
template <lua_CFunction Function> int call_guarded(lua_State* lua)
{
    std::string text;
    try {
        return Function(lua);
    } catch (const std::exception& cause) {
        text = cause.what();
    }
    return luaL_error(lua, "%s", text.c_str());
}

template <lua_CFunction Function>
void register_function(lua_State* lua, context& scenario, const char* name)
{
    lua_pushlightuserdata(lua, &scenario);
    lua_pushcclosure(lua, call_guarded<Function>, 1);
    lua_setglobal(lua, name);
}

int run(const std::string& script)
{
    context scenario{.processes = process_table(FLAGS_out), .loads = {}, .clocks = {}};
    std::unique_ptr<lua_State, decltype(&lua_close)> lua(luaL_newstate(), &lua_close);
    luaL_openlibs(lua.get());
    register_function<lua_start>(lua.get(), scenario, "start");
    register_function<lua_shift_clock>(lua.get(), scenario, "shift_clock");
    register_function<lua_signal>(lua.get(), scenario, "signal");
    register_function<lua_limit>(lua.get(), scenario, "limit");
    register_function<lua_wait_exit>(lua.get(), scenario, "wait_exit");
    register_function<lua_request>(lua.get(), scenario, "request");
    register_function<lua_load_start>(lua.get(), scenario, "load_start");
    register_function<lua_load_finish>(lua.get(), scenario, "load_finish");
    register_function<lua_pause>(lua.get(), scenario, "pause");
    register_function<lua_now_ms>(lua.get(), scenario, "now_ms");
    register_function<lua_write_file>(lua.get(), scenario, "write_file");
    register_function<lua_hash_key>(lua.get(), scenario, "hash_key");
    register_function<lua_request_id>(lua.get(), scenario, "request_id");
    register_function<lua_shard_of_job>(lua.get(), scenario, "shard_of_job");
    register_function<lua_process_stat>(lua.get(), scenario, "process_stat");
    lua_pushinteger(lua.get(), FLAGS_net);
    lua_setglobal(lua.get(), "NET");
    lua_pushstring(lua.get(), FLAGS_out.c_str());
    lua_setglobal(lua.get(), "OUT");
    lua_pushinteger(lua.get(), static_cast<lua_Integer>(FLAGS_seed));
    lua_setglobal(lua.get(), "SEED");
    const auto cell_script = FLAGS_scripts + "/cell.lua";
    const bool failed = luaL_dofile(lua.get(), cell_script.c_str()) != LUA_OK ||
                        luaL_dofile(lua.get(), script.c_str()) != LUA_OK;
    if (failed) {
        std::cout << "FAILED " << script << ": " << lua_tostring(lua.get(), -1) << " (seed "
                  << FLAGS_seed << ", logs in " << FLAGS_out << ")\n";
        return 1;
    }
    std::cout << "passed " << script << '\n';
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Runs a scenario.\nusage: scenario-runner [flags] SCRIPT.lua");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    if (argc != 2 || sodium_init() < 0) {
        std::cerr << "expected exactly one script; see --help\n";
        return 2;
    }
    std::filesystem::create_directories(FLAGS_out);
    return run(argv[1]);
}
