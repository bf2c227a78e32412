#include "daemon/lease_sync.hpp"

#include "core/log.hpp"
#include "platform/duty_documents.hpp"
#include "platform/names.hpp"
#include "platform/object_calls.hpp"

#include <algorithm>

namespace peridotspar
{

namespace
{

using namespace std::chrono_literals;

constexpr int ok = 200;
constexpr int created = 201;
constexpr int first_redirect = 300;
constexpr int not_found = 404;
constexpr int conflict = 409;
/// A call gets a third of the lease, so that a renewal whose answer is lost can
/// be read back and repeated before the lease ends.
constexpr int calls_per_lifetime = 3;
constexpr duration min_call_timeout = 200ms;

lease_answer to_found(const backend::client_response& p_response)
{
    lease_answer answer;
    const auto object = platform::parse_object(p_response.body_);
    const auto record = object ? platform::parse_lease(object->document_)
                               : tl::expected<lease_record, std::string>(
                                     tl::unexpected(object.error()));
    if (!object)
    {
        log_event(log_level::warning, "lease.unreadable")
            .with("error", object.error());
        answer.kind_ = lease_answer::kind::failed;
        return answer;
    }
    answer.kind_ = lease_answer::kind::found;
    answer.revision_ = object->revision_;
    if (!record)
    {
        // A record of another writer counts as one without a holder, which a
        // candidate replaces.
        log_event(log_level::warning, "lease.unreadable")
            .with("error", record.error());
    }
    answer.record_ = record.value_or(lease_record{});
    return answer;
}

lease_answer to_answer(lease_call::kind p_call,
                       const backend::client_response& p_response)
{
    const int status = p_response.status_;
    const bool is_read = p_call == lease_call::kind::read;
    lease_answer answer;
    if (status == 0)
    {
        answer.kind_ = p_response.unsent_ || is_read
                           ? lease_answer::kind::failed
                           : lease_answer::kind::unknown;
        return answer;
    }
    if (status >= ok && status < first_redirect)
    {
        answer = to_found(p_response);
        if (is_read)
        {
            return answer;
        }
        answer.kind_ = answer.kind_ == lease_answer::kind::found
                           ? lease_answer::kind::written
                           : lease_answer::kind::unknown;
        return answer;
    }
    if (status == not_found && is_read)
    {
        answer.kind_ = lease_answer::kind::absent;
        return answer;
    }
    const bool is_conflict = status == conflict || status == not_found;
    answer.kind_ =
        is_conflict ? lease_answer::kind::conflict : lease_answer::kind::failed;
    return answer;
}

} // namespace

lease_sync::lease_sync(backend::buffered_client& p_client, std::string p_store,
                       lease_options p_options)
    : client_(p_client),
      store_(std::move(p_store)),
      call_timeout_(std::max<duration>(
          min_call_timeout, p_options.lifetime_ / calls_per_lifetime)),
      keeper_(std::move(p_options))
{
}

std::string lease_sync::request_for(const lease_call& p_call) const
{
    const std::string_view kind = platform::names::duties_kind;
    const std::string_view name = platform::names::duty_holder_name;
    switch (p_call.kind_)
    {
    case lease_call::kind::read:
        return platform::get_request(store_, kind, name, false);
    case lease_call::kind::create:
        return platform::create_request(store_, kind, name,
                                        platform::format_lease(p_call.record_));
    case lease_call::kind::replace:
        break;
    }
    return platform::replace_request(store_, kind, name, p_call.revision_,
                                     platform::format_lease(p_call.record_));
}

void lease_sync::tick(time_point p_now, std::uint64_t p_unix_s)
{
    const auto call = keeper_.next(p_now, p_unix_s);
    if (!call)
    {
        return;
    }
    ++request_count_;
    client_.send(store_, request_for(*call), call_timeout_,
                 [this, id = call->id_, kind = call->kind_](
                     const backend::client_response& p_response)
                 { handle(id, kind, p_response); });
}

void lease_sync::handle(std::uint64_t p_call, lease_call::kind p_kind,
                        const backend::client_response& p_response)
{
    const auto answer = to_answer(p_kind, p_response);
    if (answer.kind_ == lease_answer::kind::failed ||
        answer.kind_ == lease_answer::kind::unknown)
    {
        log_event(log_level::info, "lease.call_failed")
            .with("call", p_kind == lease_call::kind::read ? "read" : "write")
            .with("status", p_response.status_)
            .with("unsent", p_response.unsent_);
    }
    keeper_.on_answer(p_call, answer, clock_.now());
}

} // namespace peridotspar
