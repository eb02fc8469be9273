#include "tests/cell_model.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <random>

using namespace flamingoseam;
using namespace flamingoseam::model;

namespace {

constexpr int request_ids = 40;

/// Generates random steps from a seed.
class random_stepper {
public:
    explicit random_stepper(std::uint64_t seed) : engine_(seed) {}

    /// Performs one random step.
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
            cell.send_command(below(cell.owners()), below(cell.workers()));
            break;
        case 3:
            cell.deliver_command(below(cell.commands() + 1));
            break;
        case 4:
            cell.deliver_answer(below(cell.answers() + 1));
            break;
        case 5:
            cell.drop_answer(below(cell.answers() + 1));
            break;
        case 6:
            cell.poll(below(cell.owners()), below(cell.workers()));
            break;
        case 7:
            cell.advance(milliseconds(1 + below(400)));
            break;
        case 8:
            cell.start_next_owner();
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

/// Runs random steps. Returns the first violation, or an empty string if there was none.
std::string run(const model_options& options, std::uint64_t seed, int steps)
{
    cell_model cell(options);
    random_stepper stepper(seed);
    for (int i = 0; i < steps; ++i) {
        stepper.step(cell);
        auto violation = cell.violation();
        if (!violation.empty()) {
            return violation;
        }
    }
    cell.run_until_settled();
    return cell.violation();
}

/// Returns the first violation found over many seeds with a protection switched off.
std::string find_violation(const model_options& options)
{
    for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
        auto violation = run(options, seed, 400);
        if (!violation.empty()) {
            WARN("seed " << seed << ": " << violation);
            return violation;
        }
    }
    return {};
}

} // namespace

TEST_CASE(
    "invariants of a shard hold for random interleavings of crashes, delays, losses and repeats")
{
    REQUIRE(rc::check("no violation", [](std::uint64_t seed) {
        const auto steps = *rc::gen::inRange(50, 600);
        const auto violation = run({}, seed, steps);
        if (!violation.empty()) {
            RC_FAIL(violation);
        }
    }));
}

TEST_CASE("each protection is needed: without it the same interleavings violate an invariant")
{
    SECTION("workers reject older epochs")
    {
        CHECK_FALSE(find_violation({.check_epoch = false}).empty());
    }
    SECTION("workers reject starts of an expired session")
    {
        CHECK_FALSE(find_violation({.check_session = false}).empty());
    }
    SECTION("an owner without a recent lease renewal does not answer not_run")
    {
        CHECK_FALSE(find_violation({.check_authority = false}).empty());
    }
    SECTION("an owner treats repeats of requests that another owner may have run as unconfirmed")
    {
        CHECK_FALSE(find_violation({.check_ids = false}).empty());
    }
}
