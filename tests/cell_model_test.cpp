#include "tests/cell_model.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <random>

using namespace flamingoseam;
using namespace flamingoseam::model;

namespace {

constexpr int request_ids = 40;

/// Chooses random steps from a seed.
class stepper {
public:
    explicit stepper(std::uint64_t seed) : engine_(seed) {}

    /// Makes one random step.
    void step(cell_model& cell)
    {
        static const std::vector<int> weights = {10, 1, 14, 12, 12, 2, 10, 8, 1, 5, 1};
        std::discrete_distribution<int> kind(weights.begin(), weights.end());
        switch (kind(engine_)) {
        case 0:
            submit(cell);
            break;
        case 1:
            cell.cancel(static_cast<int>(below(request_ids)));
            break;
        case 2:
            cell.step_link(below(cell.owners()), below(cell.workers()));
            break;
        case 3:
            cell.deliver_command(below(cell.commands() + 1));
            break;
        case 4:
            cell.deliver_answer(below(cell.answers() + 1));
            break;
        case 5:
            cell.lose_answer(below(cell.answers() + 1));
            break;
        case 6:
            cell.poll(below(cell.owners()), below(cell.workers()));
            break;
        case 7:
            cell.advance(milliseconds(1 + below(400)));
            break;
        case 8:
            cell.take_over();
            break;
        case 9:
            cell.write_journal(below(cell.owners()));
            break;
        default:
            cell.restart_worker(below(cell.workers()));
            break;
        }
    }

private:
    std::size_t below(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(engine_);
    }

    void submit(cell_model& cell)
    {
        static const std::array<work_class, 5> classes = {work_class::call, work_class::call,
                                                          work_class::batch, work_class::gang,
                                                          work_class::service};
        const auto id = static_cast<int>(below(request_ids));
        const auto newest = cell.owners() - 1;
        cell.submit(below(4) == 0 ? below(cell.owners()) : newest, id,
                    id % 2 == 0 ? "gate" : "studio", classes.at(below(classes.size())),
                    below(2) == 0);
    }

    std::mt19937_64 engine_;
};

/// Runs random steps and returns what went wrong, an empty text when nothing did.
std::string run(const model_options& options, std::uint64_t seed, int steps)
{
    cell_model cell(options);
    stepper random(seed);
    for (int i = 0; i < steps; ++i) {
        random.step(cell);
        auto fault = cell.fault();
        if (!fault.empty()) {
            return fault;
        }
    }
    cell.settle();
    return cell.fault();
}

/// Returns the first fault that a weakened design shows over many seeds.
std::string find_fault(const model_options& options)
{
    for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
        auto fault = run(options, seed, 400);
        if (!fault.empty()) {
            WARN("seed " << seed << ": " << fault);
            return fault;
        }
    }
    return {};
}

} // namespace

TEST_CASE("what must always hold, over interleavings of deaths, delays, losses and repeats")
{
    REQUIRE(rc::check("no fault", [](std::uint64_t seed) {
        const auto steps = *rc::gen::inRange(50, 600);
        const auto fault = run({}, seed, steps);
        if (!fault.empty()) {
            RC_FAIL(fault);
        }
    }));
}

TEST_CASE("each mechanism is needed: without it the same interleavings find a fault")
{
    SECTION("workers refuse older epochs")
    {
        CHECK_FALSE(find_fault({.check_epoch = false}).empty());
    }
    SECTION("workers refuse starts of a session that has lapsed")
    {
        CHECK_FALSE(find_fault({.check_session = false}).empty());
    }
    SECTION("an owner without a fresh renewal does not say not_run")
    {
        CHECK_FALSE(find_fault({.check_authority = false}).empty());
    }
    SECTION("an owner doubts repeats of what another one may have run")
    {
        CHECK_FALSE(find_fault({.check_ids = false}).empty());
    }
}
