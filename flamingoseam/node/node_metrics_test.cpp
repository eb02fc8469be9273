#include "flamingoseam/node/node_metrics.hpp"
#include "flamingoseam/store/measured_store.hpp"

#include <catch2/catch.hpp>

using namespace flamingoseam;
using namespace flamingoseam::node;

TEST_CASE("the metrics of a node")
{
    node_metrics metrics;

    SECTION("count events by name and refusals by reason")
    {
        metrics.count_event("accepted", "queue");
        metrics.count_event("refused", "store_unavailable");
        metrics.count_event("refused", "store_unavailable");
        const auto text = metrics.text(0);
        CHECK(text.find("flamingoseam_events_total{event=\"accepted\"} 1") != std::string::npos);
        CHECK(text.find("flamingoseam_refusals_total{reason=\"store_unavailable\"} 2") !=
              std::string::npos);
    }
    SECTION("tell how long jobs waited, by priority")
    {
        metrics.observe_first_start({.priority = 1, .length = milliseconds(300)});
        const auto text = metrics.text(0);
        CHECK(text.find("flamingoseam_wait_seconds_bucket{priority=\"1\",le=\"0.5\"} 1") !=
              std::string::npos);
        CHECK(text.find("flamingoseam_wait_seconds_bucket{priority=\"1\",le=\"0.25\"} 0") !=
              std::string::npos);
    }
    SECTION("tell what is true now")
    {
        metrics.set_owner({.is_owner = true, .open_jobs = 7, .doubtful_runs = 2});
        const auto text = metrics.text(3);
        CHECK(text.find("flamingoseam_node{name=\"open_jobs\"} 7") != std::string::npos);
        CHECK(text.find("flamingoseam_node{name=\"log_lines_left_out\"} 3") != std::string::npos);
    }
}
