#include "observe/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace peridotspar
{

struct metrics::families
{
    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter>& requests_ =
        prometheus::BuildCounter()
            .Name("peridotspar_requests_total")
            .Help("Requests by class, client account and result")
            .Register(registry_);
    prometheus::Family<prometheus::Counter>& attained_ =
        prometheus::BuildCounter()
            .Name("peridotspar_requests_attained_total")
            .Help("Requests that met their class's targets")
            .Register(registry_);
    prometheus::Family<prometheus::Histogram>& first_token_histograms_ =
        prometheus::BuildHistogram()
            .Name("peridotspar_first_token_ms")
            .Help("Time to the first token by class, in milliseconds")
            .Register(registry_);
    prometheus::Counter& wasted_tokens_ =
        prometheus::BuildCounter()
            .Name("peridotspar_wasted_tokens_total")
            .Help("Tokens generated but not delivered in a whole answer")
            .Register(registry_)
            .Add({});
    prometheus::Family<prometheus::Gauge>& gauges_ =
        prometheus::BuildGauge()
            .Name("peridotspar_state")
            .Help("Values read at the time of the scrape")
            .Register(registry_);
};

metrics::metrics() : families_(std::make_unique<families>()) {}

metrics::~metrics() = default;

void metrics::record_request(const request_record& p_record)
{
    const std::string result = p_record.refusal_reason_.empty()
                                   ? "answered"
                                   : p_record.refusal_reason_;
    families_->requests_
        .Add({{"class", p_record.class_},
              {"account", p_record.account_},
              {"result", result}})
        .Increment();
    if (!p_record.refusal_reason_.empty())
    {
        return;
    }
    const prometheus::Histogram::BucketBoundaries bounds(
        latency_bounds_ms.begin(), latency_bounds_ms.end());
    families_->first_token_histograms_.Add({{"class", p_record.class_}}, bounds)
        .Observe(p_record.first_token_ms_);
    if (p_record.first_token_ms_ <= p_record.first_token_target_ms_ &&
        p_record.token_gap_ms_ <= p_record.token_gap_target_ms_)
    {
        families_->attained_
            .Add({{"class", p_record.class_}, {"account", p_record.account_}})
            .Increment();
    }
}

void metrics::record_wasted_tokens(std::uint64_t p_token_count)
{
    families_->wasted_tokens_.Increment(static_cast<double>(p_token_count));
}

void metrics::set_gauge(const std::string& p_name, const std::string& p_kind,
                        double p_value)
{
    families_->gauges_.Add({{"name", p_name}, {"kind", p_kind}}).Set(p_value);
}

std::string metrics::to_text() const
{
    return prometheus::TextSerializer().Serialize(
        families_->registry_.Collect());
}

} // namespace peridotspar
