#pragma once

#include "backend/buffered_client.hpp"
#include "lease/lease_keeper.hpp"

#include <cstdint>
#include <string>

namespace peridotspar
{

/// Makes the store calls that a `lease_keeper` asks for. Not thread-safe: use
/// it only on the thread of the client's I/O context.
class lease_sync
{
public:
    /// `p_store`: IP:PORT.
    lease_sync(backend::buffered_client& p_client, std::string p_store,
               lease_options p_options);

    /// Calls the store if that is due. `p_unix_s`: true time in seconds.
    void tick(time_point p_now, std::uint64_t p_unix_s);
    [[nodiscard]] lease_keeper& keeper() { return keeper_; }
    [[nodiscard]] const lease_keeper& keeper() const { return keeper_; }
    [[nodiscard]] std::uint64_t request_count() const { return request_count_; }

private:
    [[nodiscard]] std::string request_for(const lease_call& p_call) const;
    void handle(std::uint64_t p_call, lease_call::kind p_kind,
                const backend::client_response& p_response);

    backend::buffered_client& client_;
    std::string store_;
    duration call_timeout_;
    lease_keeper keeper_;
    boot_clock clock_;
    std::uint64_t request_count_ = 0;
};

} // namespace peridotspar
