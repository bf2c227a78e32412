#include "observe/entry_metrics.hpp"

#include "observe/latency_buckets.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace peridotspar
{

namespace
{

prometheus::Histogram::BucketBoundaries latency_bucket_bounds()
{
    return {latency_bounds_ms.begin(), latency_bounds_ms.end()};
}

} // namespace

std::string_view to_string(request_result p_result) noexcept
{
    switch (p_result)
    {
    case request_result::answered:
        return "answered";
    case request_result::refused:
        return "refused";
    case request_result::failed:
        return "failed";
    case request_result::caller_disconnected:
        return "gone";
    }
    return "failed";
}

struct entry_metrics::families
{
    prometheus::Family<prometheus::Histogram>&
    histogram(const std::string& p_name, const std::string& p_help)
    {
        return prometheus::BuildHistogram().Name(p_name).Help(p_help).Register(
            registry_);
    }
    prometheus::Family<prometheus::Counter>& counter(const std::string& p_name,
                                                     const std::string& p_help)
    {
        return prometheus::BuildCounter().Name(p_name).Help(p_help).Register(
            registry_);
    }

    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter>& requests_ =
        counter("peridotspar_entry_requests_total",
                "Requests by route, result and whether they were on time");
    prometheus::Family<prometheus::Counter>& account_requests_ =
        counter("peridotspar_entry_account_requests_total",
                "Requests by client account and result");
    prometheus::Family<prometheus::Counter>& resends_ =
        counter("peridotspar_entry_resends_total",
                "Sends of a request beyond its first, by route");
    prometheus::Family<prometheus::Histogram>& time_to_first_part_ =
        histogram("peridotspar_entry_first_answer_ms",
                  "Time to the first part of the answer by route");
    prometheus::Family<prometheus::Histogram>& longest_pauses_ =
        histogram("peridotspar_entry_longest_pause_ms",
                  "Longest pause of each stream by route");
    prometheus::Family<prometheus::Histogram>& wait_times_ =
        histogram("peridotspar_entry_wait_ms",
                  "Time until a request was first sent by route");
    prometheus::Family<prometheus::Gauge>& gauges_ =
        prometheus::BuildGauge()
            .Name("peridotspar_entry_state")
            .Help("Values read when the metrics are fetched")
            .Register(registry_);
};

entry_metrics::entry_metrics() : families_(std::make_unique<families>()) {}
entry_metrics::~entry_metrics() = default;

void entry_metrics::record(const request_outcome& p_outcome)
{
    const std::string result(to_string(p_outcome.result_));
    const std::string& route = p_outcome.route_;
    families_->requests_
        .Add({{"route", route},
              {"result", result},
              {"on_time", p_outcome.on_time_ ? "yes" : "no"}})
        .Increment();
    families_->account_requests_
        .Add({{"account", p_outcome.account_}, {"result", result}})
        .Increment();
    if (p_outcome.sends_ > 1)
    {
        families_->resends_.Add({{"route", route}})
            .Increment(p_outcome.sends_ - 1);
    }
    if (p_outcome.time_to_first_part_)
    {
        families_->time_to_first_part_
            .Add({{"route", route}}, latency_bucket_bounds())
            .Observe(to_ms(*p_outcome.time_to_first_part_));
    }
    if (p_outcome.longest_pause_)
    {
        families_->longest_pauses_
            .Add({{"route", route}}, latency_bucket_bounds())
            .Observe(to_ms(*p_outcome.longest_pause_));
    }
    families_->wait_times_.Add({{"route", route}}, latency_bucket_bounds())
        .Observe(to_ms(p_outcome.wait_time_));
}

void entry_metrics::set_gauge(const std::string& p_name, double p_value)
{
    families_->gauges_.Add({{"what", p_name}}).Set(p_value);
}

std::string entry_metrics::to_text() const
{
    return prometheus::TextSerializer().Serialize(
        families_->registry_.Collect());
}

} // namespace peridotspar
