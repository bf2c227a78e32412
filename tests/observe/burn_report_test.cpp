#include "observe/burn_report.hpp"

#include <doctest/doctest.h>

using namespace peridotspar;

namespace
{

constexpr std::int64_t now_ms = 1'000'000'000'000;

request_record record(double p_first_token_ms,
                      const std::string& p_refusal = "")
{
    request_record made;
    made.class_ = "question";
    made.account_ = "kerb";
    made.backend_ = "e1";
    made.refusal_ = p_refusal;
    made.first_token_ms_ = p_first_token_ms;
    made.first_token_target_ms_ = 1800;
    made.token_gap_target_ms_ = 34;
    return made;
}

} // namespace

TEST_CASE("nodes' counts and histograms are added exactly")
{
    burn_recorder first;
    burn_recorder second;
    for (int i = 0; i < 18; ++i)
    {
        first.record_request(record(100), now_ms);
    }
    second.record_request(record(2500), now_ms);
    second.record_request(record(0, "overloaded"), now_ms);
    second.record_request(record(0, "over_cap"), now_ms);
    const auto report =
        merge_burn({{"n1", first.to_json("n1")}, {"n2", second.to_json("n2")}},
                   {"n3"}, 0.95, now_ms);
    REQUIRE(report.classes_.size() == 1);
    const auto& all = report.classes_[0].windows_.back();
    CHECK(all.counts_.total_ == 20);
    CHECK(all.counts_.good_ == 18);
    CHECK(all.counts_.over_cap_ == 1);
    CHECK(all.burn_rate_ == doctest::Approx(2.0));
    CHECK(all.budget_left_ == doctest::Approx(-1.0));
    CHECK(quantile_bound(report.classes_[0].first_token_, 0.9) == 100);
    CHECK(report.missing_nodes_ == std::vector<std::string>{"n3"});
    CHECK(to_text(report).find("NO ANSWER from node n3") != std::string::npos);
    CHECK(to_html(report).find("<svg") != std::string::npos);
}

TEST_CASE("windows hold only their minutes, and a broken record is missing")
{
    burn_recorder recorder;
    recorder.record_request(record(9000), now_ms);
    recorder.record_request(record(10), now_ms + 10 * 60'000);
    const auto report =
        merge_burn({{"n1", recorder.to_json("n1")}, {"n2", "{"}}, {}, 0.95,
                   now_ms + 10 * 60'000);
    const auto& windows = report.classes_[0].windows_;
    CHECK(windows[0].counts_.total_ == 1);
    CHECK(windows[1].counts_.total_ == 2);
    CHECK(report.missing_nodes_ == std::vector<std::string>{"n2"});
}
