#pragma once

#include "store/object_api.hpp"

#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace peridotspar
{

/// An in-memory object store that injects the faults a test chooses.
class fake_store
{
public:
    enum class fault
    {
        none,
        unavailable,   ///< The call fails without any effect.
        lost_response, ///< The write takes effect; its response is lost.
        lost_request,  ///< The write has no effect, but reports
                       ///< `unknown_effect`.
    };

    store_result<stored_object> get(const std::string& p_name)
    {
        std::lock_guard lock(mutex_);
        ++gets_;
        if (next_fault_ && next_fault_(false) == fault::unavailable)
        {
            return tl::unexpected(
                store_error{store_error_kind::unavailable, 0});
        }
        return objects_[p_name];
    }

    store_result<std::uint64_t> put(const std::string& p_name,
                                    std::uint64_t p_version,
                                    const std::string& p_value)
    {
        std::lock_guard lock(mutex_);
        ++puts_;
        const fault now = next_fault_ ? next_fault_(true) : fault::none;
        if (now == fault::unavailable)
        {
            return tl::unexpected(
                store_error{store_error_kind::unavailable, 0});
        }
        stored_object& object = objects_[p_name];
        if (now != fault::lost_request && object.version_ != p_version)
        {
            return tl::unexpected(
                store_error{store_error_kind::conflict, object.version_});
        }
        if (now != fault::lost_request)
        {
            object = {++last_version_, p_value};
        }
        if (now != fault::none)
        {
            return tl::unexpected(
                store_error{store_error_kind::unknown_effect, 0});
        }
        return object.version_;
    }

    /// Chooses the fault of each call; the argument says whether it is a write.
    std::function<fault(bool)> next_fault_;
    int gets_ = 0;
    int puts_ = 0;

private:
    std::mutex mutex_;
    std::map<std::string, stored_object> objects_;
    std::uint64_t last_version_ = 0;
};

static_assert(object_api<fake_store>);

} // namespace peridotspar
