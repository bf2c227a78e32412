#pragma once

#include "observe/burn_recorder.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace peridotspar
{

/// The Prometheus metrics of a node. Thread-safe.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Counts a finished request, and its latency if it was answered.
    void record_request(const request_record& p_record);
    /// Counts tokens that were generated but not delivered in a complete
    /// response.
    void record_wasted_tokens(std::uint64_t p_token_count);
    /// Sets the gauge `peridotspar_state` with the labels `name` and `kind`,
    /// such as a count of store calls.
    void set_gauge(const std::string& p_name, const std::string& p_kind,
                   double p_value);
    /// All metrics in the Prometheus text format.
    [[nodiscard]] std::string to_text() const;

private:
    struct families;
    std::unique_ptr<families> families_;
};

} // namespace peridotspar
