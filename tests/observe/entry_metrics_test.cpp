#include "observe/entry_metrics.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;
using namespace std::chrono_literals;

TEST_CASE("entry_metrics counts requests by route, account and result")
{
    entry_metrics metrics;
    request_outcome outcome;
    outcome.route_ = "r1";
    outcome.account_ = "acc";
    outcome.on_time_ = true;
    outcome.time_to_first_part_ = 120ms;
    outcome.sends_ = 3;
    metrics.record(outcome);
    outcome.result_ = request_result::refused;
    outcome.on_time_ = false;
    metrics.record(outcome);
    metrics.set_gauge("open", 7);
    const std::string text = metrics.to_text();
    const auto contains = [&](const std::string& p_part)
    { return text.find(p_part) != std::string::npos; };
    CHECK(contains("peridotspar_entry_requests_total{on_time=\"yes\","
                   "result=\"answered\",route=\"r1\"} 1"));
    CHECK(contains("peridotspar_entry_account_requests_total{account=\"acc\","
                   "result=\"refused\"} 1"));
    CHECK(contains("peridotspar_entry_resends_total{route=\"r1\"} 4"));
    CHECK(contains("peridotspar_entry_first_answer_ms_bucket{route=\"r1\","
                   "le=\"200\"} 2"));
    CHECK(contains("peridotspar_entry_state{what=\"open\"} 7"));
}
