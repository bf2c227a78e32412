#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace peridotspar
{

/// The stand-in platform's objects: versions, conditional writes, watches.
/// Every member may be called from any thread.
class object_store
{
public:
    struct object
    {
        std::string name_;
        std::uint64_t version_ = 0;
        std::string value_;
    };
    struct write_result
    {
        bool written_ = false;
        std::uint64_t version_ = 0; ///< The object's version afterwards.
    };

    [[nodiscard]] std::optional<object> get(const std::string& p_name) const;
    /// Objects whose names start with `p_prefix`, in order of name.
    [[nodiscard]] std::vector<object> list(const std::string& p_prefix) const;
    /// Writes if the object's version is `p_version` (0: it must not exist).
    write_result put(const std::string& p_name, std::uint64_t p_version,
                     std::string p_value);
    write_result remove(const std::string& p_name, std::uint64_t p_version);
    /// Waits for a version above `p_version`.
    [[nodiscard]] std::optional<object>
    watch(const std::string& p_name, std::uint64_t p_version,
          std::chrono::milliseconds p_timeout) const;

private:
    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    std::map<std::string, object> objects_;
    std::uint64_t last_version_ = 0;
};

} // namespace peridotspar
