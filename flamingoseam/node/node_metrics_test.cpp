#include "flamingoseam/node/node_metrics.hpp"
#include "flamingoseam/store/measured_store.hpp"
#include "tests/descriptor_limit.hpp"

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
    SECTION("count the reports of waiting steps by reason")
    {
        metrics.count_event("steps_wait", "no room");
        CHECK_THAT(metrics.text(0),
                   Catch::Contains("flamingoseam_step_wait_reports_total{reason=\"no room\"} 1"));
    }
    SECTION("show the longest wait for each reason, and none for one that has gone")
    {
        metrics.set_long_waits({{"no room", {.steps = 2, .longest = milliseconds(12'500)}}});
        CHECK_THAT(
            metrics.text(0),
            Catch::Contains("flamingoseam_longest_step_wait_seconds{reason=\"no room\"} 12.5"));
        metrics.set_long_waits({});
        CHECK_THAT(metrics.text(0),
                   Catch::Contains("flamingoseam_longest_step_wait_seconds{reason=\"no room\"} 0"));
    }
    SECTION("report how long jobs waited, by priority")
    {
        metrics.observe_first_start({.priority = 1, .length = milliseconds(300)});
        const auto text = metrics.text(0);
        CHECK(text.find("flamingoseam_wait_seconds_bucket{priority=\"1\",le=\"0.5\"} 1") !=
              std::string::npos);
        CHECK(text.find("flamingoseam_wait_seconds_bucket{priority=\"1\",le=\"0.25\"} 0") !=
              std::string::npos);
    }
    SECTION("report the waiting times of steps and permission requests")
    {
        metrics.observe_step({.waited = milliseconds(200)});
        metrics.observe_pass(milliseconds(20));
        metrics.observe_permission({.priority = 1,
                                    .queue_time = milliseconds(300),
                                    .call_time = milliseconds(20),
                                    .answered = true});
        const auto text = metrics.text(0);
        for (const auto* line :
             {"flamingoseam_step_wait_seconds_bucket{le=\"0.1\"} 0",
              "flamingoseam_step_wait_seconds_bucket{le=\"0.25\"} 1",
              "flamingoseam_pass_seconds_bucket{le=\"0.01\"} 0",
              "flamingoseam_pass_seconds_bucket{le=\"0.05\"} 1",
              "flamingoseam_permission_wait_seconds_bucket{priority=\"1\",le=\"0.25\"} 0",
              "flamingoseam_permission_wait_seconds_bucket{priority=\"1\",le=\"0.5\"} 1",
              "flamingoseam_permission_call_seconds_count{outcome=\"answered\"} 1"}) {
            CHECK_THAT(text, Catch::Contains(line));
        }
    }
    SECTION("report what the process uses and its limits")
    {
        const descriptor_limit limit(20);
        const auto text = metrics.text(0);
        for (const auto* name : {"threads", "descriptors", "resident_bytes", "address_space_bytes",
                                 "descriptor_limit"}) {
            CHECK_THAT(text, Catch::Contains("flamingoseam_node{name=\"" + std::string(name)));
        }
        CHECK_THAT(text, !Catch::Contains("flamingoseam_node{name=\"threads\"} 0"));
    }
    SECTION("report an owner's load")
    {
        metrics.set_load({.state = {.overdue_jobs = 2,
                                    .waiting_steps = 5,
                                    .changes = 6,
                                    .oldest_change_age = milliseconds(250),
                                    .permissions = {.requests = 8, .oldest_age = milliseconds(500)},
                                    .repeated_requests = 3},
                          .max_queued = 4});
        const auto text = metrics.text(0);
        for (const auto* line : {"flamingoseam_node{name=\"overdue_jobs\"} 2",
                                 "flamingoseam_node{name=\"waiting_steps\"} 5",
                                 "flamingoseam_node{name=\"loop_queue\"} 4",
                                 "flamingoseam_node{name=\"changes_waiting\"} 6",
                                 "flamingoseam_node{name=\"oldest_change_seconds\"} 0.25",
                                 "flamingoseam_node{name=\"permissions_queued\"} 8",
                                 "flamingoseam_node{name=\"oldest_permission_seconds\"} 0.5",
                                 "flamingoseam_repeated_permission_requests_total 3"}) {
            CHECK_THAT(text, Catch::Contains(line));
        }
    }
    SECTION("report the load of each queue on the permission service")
    {
        metrics.set_queues({{.queue = "reviews",
                             .oldest_unanswered = milliseconds(1'500),
                             .permission_calls = 3,
                             .permission_service = milliseconds(500),
                             .call_slot_refusals = 7,
                             .preempted_runs = 2}});
        const auto text = metrics.text(0);
        for (const auto* line :
             {"flamingoseam_permission_requests_total{queue=\"reviews\"} 3",
              "flamingoseam_permission_service_seconds_total{queue=\"reviews\"} 0.5",
              "flamingoseam_permission_lane_refusals_total{queue=\"reviews\"} 7",
              "flamingoseam_yielded_runs_total{queue=\"reviews\"} 2",
              "flamingoseam_oldest_unanswered_seconds{queue=\"reviews\"} 1.5"}) {
            CHECK_THAT(text, Catch::Contains(line));
        }
        metrics.set_queues({});
        CHECK_THAT(metrics.text(0), Catch::Contains("unanswered_seconds{queue=\"reviews\"} 0"));
    }
    SECTION("report the current state of an owner")
    {
        metrics.set_owner({.is_owner = true, .open_jobs = 7, .unconfirmed_runs = 2});
        const auto text = metrics.text(3);
        CHECK(text.find("flamingoseam_node{name=\"open_jobs\"} 7") != std::string::npos);
        CHECK(text.find("flamingoseam_node{name=\"log_lines_left_out\"} 3") != std::string::npos);
    }
}
