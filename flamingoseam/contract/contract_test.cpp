#include "flamingoseam/contract/contract.hpp"
#include "flamingoseam/contract/contract_table.hpp"
#include "flamingoseam/contract/key.hpp"
#include "flamingoseam/core/error.hpp"
#include "flamingoseam/http/json.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace flamingoseam;

namespace {

const std::string good = R"(
customer = "leisure"
key_hashes = ["ab"]
zones = ["tanta"]
[guaranteed]
processors = 10
memory_gb = 20
slots = 4
[ceiling]
processors = 20
memory_gb = 40
slots = 8
[longest_wait]
call_ms = 500
[yield]
order = ["batch", "gang"]
by = "stop"
)";

std::string replaced(const std::string& from, const std::string& to)
{
    auto text = good;
    text.replace(text.find(from), from.size(), to);
    return text;
}

std::string error_of(const std::string& text)
{
    try {
        read_contract_text("file.toml", text);
    } catch (const config_error& cause) {
        return cause.what();
    }
    return "none";
}

} // namespace

TEST_CASE("read_contract_text")
{
    SECTION("reads every key")
    {
        const auto terms = read_contract_text("file.toml", good);
        CHECK(terms.customer == "leisure");
        CHECK(terms.guaranteed.milli_cpus == 10'000);
        CHECK(terms.ceiling.slots == 8);
        CHECK(terms.max_wait_of(work_class::call) == milliseconds(500));
        CHECK(terms.is_preemptible(work_class::gang));
        CHECK_FALSE(terms.is_preemptible(work_class::service));
        CHECK(terms.preemption == preemption_method::stop);
    }
    SECTION("errors name file, key, value and bounds")
    {
        CHECK(error_of(replaced("zones", "zone")) ==
              "[config_error.201] file.toml: zone: is not a known key");
        CHECK(error_of(replaced("processors = 10", "processors = \"x\"")) ==
              "[config_error.202] file.toml: guaranteed.processors: is 'x', expected a whole "
              "number");
        CHECK(error_of(replaced("slots = 4", "slots = -4")) ==
              "[config_error.203] file.toml: guaranteed.slots: is -4, must be from 0 to 10000000");
        CHECK(error_of(replaced("customer = \"leisure\"", "")) ==
              "[config_error.204] file.toml: customer: is required and must not be empty");
        CHECK(error_of("customer = ").starts_with("[config_error.205] file.toml: "));
        CHECK(error_of(replaced("slots = 4", "slots = 9"))
                  .starts_with("[config_error.206] file.toml: guaranteed: is above the ceiling"));
        CHECK(error_of(replaced("\"gang\"", "\"call\""))
                  .starts_with("[config_error.206] file.toml: yield.order: names call"));
    }
}

TEST_CASE("a contract is unchanged after a round trip through JSON")
{
    auto terms = read_contract_text("file.toml", good);
    terms.version = 7;
    terms.author = "Žiga";
    CHECK(from_json<contract>(to_json(terms)).longest_wait == terms.longest_wait);
    terms.author = "ziga";
    CHECK(from_json<contract>(to_json(terms)) == terms);
}

TEST_CASE("diff names each field that differs")
{
    const auto left = read_contract_text("file.toml", good);
    auto right = left;
    CHECK(diff(left, right).empty());
    right.ceiling.slots = 9;
    CHECK(diff(left, right) == std::vector<std::string>{"ceiling.slots: 8 -> 9"});
}

TEST_CASE("check_guarantees")
{
    const auto terms = read_contract_text("file.toml", good);
    CHECK_NOTHROW(check_guarantees({terms, terms}, terms.guaranteed * 2));
    CHECK_THROWS_AS(check_guarantees({terms, terms, terms}, terms.guaranteed * 2), config_error);
}

TEST_CASE("the version of a customer's contract never decreases, in any order of deliveries")
{
    REQUIRE(rc::check("version", [](const std::vector<std::uint8_t>& versions) {
        contract_table table;
        std::uint64_t newest = 0;
        for (const auto version : versions) {
            contract terms;
            terms.customer = "leisure";
            terms.version = version;
            table.apply({.value = terms, .revision = version});
            newest = std::max<std::uint64_t>(newest, version);
            RC_ASSERT(table.find("leisure")->version == newest);
        }
    }));
}

TEST_CASE("keys")
{
    CHECK(hash_key("a") != hash_key("b"));
    CHECK(is_known_key("a", {hash_key("b"), hash_key("a")}));
    CHECK_FALSE(is_known_key("", {hash_key("")}));
    CHECK(bearer_key("Bearer abc") == "abc");
    CHECK(bearer_key("Basic abc").empty());
}
