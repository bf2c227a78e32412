#include "core/log_budget.hpp"

#include <utility>

namespace peridotspar
{

log_budget::verdict log_budget::take(const std::string& p_kind,
                                     std::int64_t p_second)
{
    const std::lock_guard lock(mutex_);
    use& used = uses_[p_kind];
    verdict told;
    if (used.second_ != p_second)
    {
        told.left_out_ = std::exchange(used.left_out_, 0);
        used.second_ = p_second;
        used.lines_ = 0;
    }
    told.may_write_ = used.lines_ < most_;
    if (told.may_write_)
    {
        ++used.lines_;
    }
    else
    {
        ++used.left_out_;
    }
    return told;
}

} // namespace peridotspar
