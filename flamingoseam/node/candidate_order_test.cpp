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

TEST_CASE("a weak machine owned the jobs beside strong ones")
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
    SECTION("equal ones take turns")
    {
        std::set<std::string> first;
        for (std::uint64_t epoch = 0; epoch < 40; ++epoch) {
            first.insert(candidate_order(view, epoch).front().name);
        }
        CHECK(first == std::set<std::string>{"b", "d"});
    }
    SECTION("a weak owner finds a stronger node, a strong one none")
    {
        const auto stronger = find_stronger(view, view.members.at("a"), 3);
        REQUIRE(stronger);
        CHECK(stronger->processor_share == 0.5);
        CHECK_FALSE(find_stronger(view, view.members.at("b"), 3));
    }
    SECTION("nodes of nearly the same size leave the owner where it is")
    {
        const auto even = view_of({{"a", 0.25}, {"b", 0.3}});
        CHECK_FALSE(find_stronger(even, even.members.at("a"), 1));
    }
}

TEST_CASE("a member's record keeps its share of a processor")
{
    const member one{.name = "a", .incarnation = "1", .processor_share = 0.12};
    CHECK(read_member(write_member(one)).processor_share == 0.12);

    SECTION("a record without it counts as a whole processor")
    {
        const auto read =
            read_member(R"({"name":"a","incarnation":"1","address":"10.0.0.1","port":7720})");
        CHECK(read.processor_share == 1);
    }
}
