#include "tests/lease/model_store.hpp"

namespace peridotspar
{

using kind = lease_answer::kind;

lease_answer model_store::perform(const lease_call& p_call)
{
    const bool exists = state_.record_.has_value();
    switch (p_call.kind_)
    {
    case lease_call::kind::read:
        return exists
                   ? lease_answer{kind::found, state_.revision_, state_.record_}
                   : lease_answer{kind::absent, 0, std::nullopt};
    case lease_call::kind::create:
        return exists ? lease_answer{kind::conflict, 0, std::nullopt}
                      : write(p_call.record_);
    case lease_call::kind::replace:
        break;
    }
    if (!exists)
    {
        return {kind::absent, 0, std::nullopt};
    }
    if (state_.revision_ != p_call.revision_)
    {
        return {kind::conflict, state_.revision_, state_.record_};
    }
    return write(p_call.record_);
}

void model_store::reset(const copy& p_copy)
{
    state_ = p_copy;
    ++epoch_;
}

lease_answer model_store::write(const lease_record& p_record)
{
    state_.record_ = p_record;
    state_.revision_ = ++state_.last_revision_;
    written_.emplace(p_record.token_, p_record.payload_);
    return {kind::written, state_.revision_, std::nullopt};
}

} // namespace peridotspar
