#include "flamingoseam/node/candidate_order.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace flamingoseam;
using namespace flamingoseam::node;

namespace {

membership_view view_of(const std::vector<std::pair<std::string, double>>& nodes)
{
    membership_view view;
    for (const auto& [name, share] : nodes) {
        view.members[name] = {.name = name, .incarnation = "1", .processor_share = share};
    }
    return view;
}

} // namespace

// A weak machine used to own the jobs although stronger ones were available.
TEST_CASE("ownership prefers machines with a larger processor share")
{
    const auto view = view_of({{"a", 0.12}, {"b", 0.5}, {"c", 0.12}, {"d", 0.5}});

    SECTION("the largest shares come first in every epoch")
    {
        for (std::uint64_t epoch = 0; epoch < 20; ++epoch) {
            const auto order = candidate_order(view, epoch);
            REQUIRE(order.size() == 4);
            CHECK(order[1].processor_share == 0.5);
            CHECK(order[2].processor_share == 0.12);
        }
    }
    SECTION("members with equal shares come first in turn")
    {
        std::set<std::string> first;
        for (std::uint64_t epoch = 0; epoch < 40; ++epoch) {
            first.insert(candidate_order(view, epoch).front().name);
        }
        CHECK(first == std::set<std::string>{"b", "d"});
    }
    SECTION("a weak owner should be replaced by a stronger node, a strong one by none")
    {
        const auto stronger = find_stronger(view, view.members.at("a"), 3);
        REQUIRE(stronger);
        CHECK(stronger->processor_share == 0.5);
        CHECK_FALSE(find_stronger(view, view.members.at("b"), 3));
    }
    SECTION("an owner is not replaced by a node with nearly the same share")
    {
        const auto even = view_of({{"a", 0.25}, {"b", 0.3}});
        CHECK_FALSE(find_stronger(even, even.members.at("a"), 1));
    }
}

TEST_CASE("a member's record stores its processor share")
{
    const member original{.name = "a", .incarnation = "1", .processor_share = 0.12};
    CHECK(read_member(write_member(original)).processor_share == 0.12);

    SECTION("a record without a processor share is read as one whole processor")
    {
        const auto read =
            read_member(R"({"name":"a","incarnation":"1","address":"10.0.0.1","port":7720})");
        CHECK(read.processor_share == 1);
    }
}
