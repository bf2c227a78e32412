#include "standins/object_store.hpp"

namespace peridotspar
{

std::optional<object_store::object>
object_store::get(const std::string& p_name) const
{
    std::lock_guard lock(mutex_);
    const auto found = objects_.find(p_name);
    if (found == objects_.end())
    {
        return std::nullopt;
    }
    return found->second;
}

std::vector<object_store::object>
object_store::list(const std::string& p_prefix) const
{
    std::lock_guard lock(mutex_);
    std::vector<object> found;
    for (auto i = objects_.lower_bound(p_prefix);
         i != objects_.end() && i->first.starts_with(p_prefix); ++i)
    {
        found.push_back(i->second);
    }
    return found;
}

object_store::write_result object_store::put(const std::string& p_name,
                                             std::uint64_t p_version,
                                             std::string p_value)
{
    std::lock_guard lock(mutex_);
    const auto found = objects_.find(p_name);
    const std::uint64_t current =
        found == objects_.end() ? 0 : found->second.version_;
    if (current != p_version)
    {
        return {false, current};
    }
    const std::uint64_t next = ++last_version_;
    objects_[p_name] = {p_name, next, std::move(p_value)};
    changed_.notify_all();
    return {true, next};
}

object_store::write_result object_store::remove(const std::string& p_name,
                                                std::uint64_t p_version)
{
    std::lock_guard lock(mutex_);
    const auto found = objects_.find(p_name);
    if (found == objects_.end() || found->second.version_ != p_version)
    {
        return {false, found == objects_.end() ? 0 : found->second.version_};
    }
    objects_.erase(found);
    return {true, 0};
}

std::optional<object_store::object>
object_store::watch(const std::string& p_name, std::uint64_t p_version,
                    std::chrono::milliseconds p_timeout) const
{
    std::unique_lock lock(mutex_);
    const auto newer = [&]
    {
        const auto found = objects_.find(p_name);
        return found != objects_.end() && found->second.version_ > p_version;
    };
    if (!changed_.wait_for(lock, p_timeout, newer))
    {
        return std::nullopt;
    }
    return objects_.at(p_name);
}

} // namespace peridotspar
