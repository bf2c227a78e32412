#pragma once

#include "observe/burn_recorder.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace peridotspar
{

/// The node's Prometheus metrics. Any thread may call it.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    void record_request(const request_record& p_record);
    void record_wasted_tokens(std::uint64_t p_token_count);
    /// Sets a value that is read elsewhere, such as a count of store calls.
    void set_gauge(const std::string& p_name, const std::string& p_kind,
                   double p_value);
    /// All metrics in the text format of Prometheus.
    [[nodiscard]] std::string to_text() const;

private:
    struct families;
    std::unique_ptr<families> families_;
};

} // namespace peridotspar
