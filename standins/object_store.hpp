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

/// Object store of the stand-in platform, kept in memory: versioned objects
/// with conditional writes and watches. All members are thread-safe.
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
        bool written_ = false;      ///< The version matched.
        std::uint64_t version_ = 0; ///< Version after the call; 0: no object.
    };

    [[nodiscard]] std::optional<object> get(const std::string& p_name) const;
    /// Returns the objects whose names start with `p_prefix`, sorted by name.
    [[nodiscard]] std::vector<object> list(const std::string& p_prefix) const;
    /// Writes the object if its current version is `p_version`; 0 means that it
    /// must not exist.
    write_result put(const std::string& p_name, std::uint64_t p_version,
                     std::string p_value);
    /// Removes the object if its current version is `p_version`.
    write_result remove(const std::string& p_name, std::uint64_t p_version);
    /// Waits for a version above `p_version`. Returns nothing after
    /// `p_timeout`.
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
