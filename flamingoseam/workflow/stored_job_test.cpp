#include "flamingoseam/workflow/stored_job.hpp"

#include <catch2/catch.hpp>

using namespace flamingoseam;
using namespace flamingoseam::workflow;

namespace {

const std::string good_id = "5c0e7a21d94b36f8";
const std::string odd_id = "00000000000000ff";

std::string good_specification()
{
    job_record job;
    job.spec = {.id = good_id, .queue = "q", .payload = "text", .steps = {step_spec{}}};
    job.spec.steps[0].tasks = 2;
    job.terms = {.name = "q", .service = "s"};
    return write_specification(job);
}

std::string specification_with_tasks(const std::string& tasks)
{
    auto text = good_specification();
    const std::string usual = R"("tasks":2)";
    return text.replace(text.find(usual), usual.size(), R"("tasks":)" + tasks);
}

/// Returns the specification of a job whose only step follows another one.
std::string specification_with_predecessor(const std::string& step)
{
    auto text = good_specification();
    const std::string tasks = R"("tasks":2)";
    return text.replace(text.find(tasks), tasks.size(), R"("after":[)" + step + "]," + tasks);
}

} // namespace

TEST_CASE("a stored job that can't be read does not keep a node from taking over the others")
{
    const auto expect_unreadable = [](const std::string& specification,
                                      const std::string& progress) {
        std::map<std::string, std::string> specifications{{good_id, good_specification()}};
        std::map<std::string, std::string> progresses;
        if (!specification.empty()) {
            specifications[odd_id] = specification;
        }
        if (!progress.empty()) {
            progresses[odd_id] = progress;
        }
        INFO(specification.substr(0, 80) << " " << progress.substr(0, 80));
        const auto stored = read_jobs(specifications, progresses);
        REQUIRE(stored.jobs.size() == 1);
        CHECK(stored.jobs[0].spec.id == good_id);
        CHECK(stored.jobs[0].spec.steps.at(0).tasks == 2);
        REQUIRE(stored.unreadable.size() == 1);
        CHECK(stored.unreadable[0].id == odd_id);
        CHECK_FALSE(stored.unreadable[0].reason.empty());
    };
    const auto nested = std::string(100'000, '[') + std::string(100'000, ']');

    SECTION("an odd specification")
    {
        for (const auto& text :
             {std::string("{"), std::string("[]"), std::string("\xff"), nested,
              specification_with_tasks("1e30"), specification_with_tasks("0"),
              specification_with_tasks("2000000000"), specification_with_tasks(nested),
              specification_with_predecessor("0"), specification_with_predecessor("7"),
              specification_with_predecessor("-1")}) {
            expect_unreadable(text, "");
        }
    }
    SECTION("an odd progress")
    {
        for (const auto& text :
             {std::string("{"), std::string(R"({"phase":"odd"})"),
              std::string(R"({"phase":"running","steps":[{"done":"00","failed_runs":[[7,[1]]]}]})"),
              std::string(
                  R"({"phase":"running","steps":[{"done":"00","checkpoints":[[1e30,""]]}]})"),
              R"({"phase":"running","steps":[{"done":"00","checkpoints":)" + nested + "}]}"}) {
            expect_unreadable(good_specification(), text);
        }
    }
    SECTION("an odd end of a job whose specification was removed")
    {
        expect_unreadable("", R"({"phase":1})");
    }
}

TEST_CASE("a stored list of leased workers says what their leases are")
{
    const std::vector<worker_entry> workers = {{.id = "a"},
                                               {.id = "b", .renewal = lease_renewal::withheld},
                                               {.id = "c", .renewal = lease_renewal::expired}};
    const auto read = read_leased_workers(write_leased_workers(workers));
    REQUIRE(read.size() == workers.size());
    for (std::size_t index = 0; index < workers.size(); ++index) {
        CHECK(read[index].id == workers[index].id);
        CHECK(read[index].renewal == workers[index].renewal);
    }

    SECTION("the time of a silence in a list of an earlier version counts as withheld")
    {
        const auto earlier = read_leased_workers(
            R"([["a",1,"127.0.0.1",1,"s","z",0,0],["b",1,"127.0.0.1",2,"s","z",1765000000000,0]])");
        REQUIRE(earlier.size() == 2);
        CHECK(earlier[0].renewal == lease_renewal::renewed);
        CHECK(earlier[1].renewal == lease_renewal::withheld);
    }
}
