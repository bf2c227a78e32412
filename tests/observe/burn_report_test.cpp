#include "observe/burn_report.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;

namespace
{

constexpr std::int64_t now_ms = 1'000'000'000'000;

request_record make_record(double p_first_token_ms,
                           const std::string& p_refusal = "")
{
    request_record record;
    record.class_ = "question";
    record.account_ = "kerb";
    record.backend_ = "e1";
    record.refusal_reason_ = p_refusal;
    record.first_token_ms_ = p_first_token_ms;
    record.first_token_target_ms_ = 1800;
    record.token_gap_target_ms_ = 34;
    return record;
}

} // namespace

TEST_CASE("merge_burn_records adds the counts and histograms of all nodes")
{
    burn_recorder first_node;
    burn_recorder second_node;
    for (int i = 0; i < 18; ++i)
    {
        first_node.record(make_record(100), now_ms);
    }
    second_node.record(make_record(2500), now_ms);
    second_node.record(make_record(0, "overloaded"), now_ms);
    second_node.record(make_record(0, "over_cap"), now_ms);
    const auto report = merge_burn_records(
        {{"n1", first_node.to_json("n1")}, {"n2", second_node.to_json("n2")}},
        {"n3"}, 0.95, now_ms);
    REQUIRE(report.classes_.size() == 1);
    const auto& since_start = report.classes_[0].windows_.back();
    CHECK(since_start.counts_.total_ == 20);
    CHECK(since_start.counts_.good_ == 18);
    CHECK(since_start.counts_.over_cap_ == 1);
    CHECK(since_start.burn_rate_ == doctest::Approx(2.0));
    CHECK(since_start.budget_left_ == doctest::Approx(-1.0));
    CHECK(quantile_upper_bound(report.classes_[0].first_token_histogram_,
                               0.9) == 100);
    CHECK(report.missing_nodes_ == std::vector<std::string>{"n3"});
    CHECK(to_text(report).find("NO ANSWER from node n3") != std::string::npos);
    CHECK(to_html(report).find("<svg") != std::string::npos);
}

TEST_CASE("windows count only their own minutes, and a node with an invalid "
          "record is missing")
{
    burn_recorder recorder;
    recorder.record(make_record(9000), now_ms);
    recorder.record(make_record(10), now_ms + 10 * 60'000);
    const auto report =
        merge_burn_records({{"n1", recorder.to_json("n1")}, {"n2", "{"}}, {},
                           0.95, now_ms + 10 * 60'000);
    const auto& windows = report.classes_[0].windows_;
    CHECK(windows[0].counts_.total_ == 1);
    CHECK(windows[1].counts_.total_ == 2);
    CHECK(report.missing_nodes_ == std::vector<std::string>{"n2"});
}
