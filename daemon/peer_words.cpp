#include "daemon/peer_words.hpp"

#include <algorithm>

namespace peridotspar
{

peer_state state_of(const entry_wire::digest& p_digest, time_point p_heard)
{
    peer_state state;
    state.name_ = node_id(p_digest.node);
    state.started_ms_ = p_digest.started_ms;
    state.sequence_ = p_digest.sequence;
    state.callers_ = p_digest.callers;
    state.peers_ = p_digest.peers;
    state.domain_ = failure_domain_id(p_digest.domain);
    state.ready_ = p_digest.ready;
    state.leaving_ = p_digest.leaving;
    state.config_version_ = p_digest.config_version;
    state.in_contact_ = p_digest.in_contact;
    state.servers_revision_ = p_digest.servers_revision;
    state.heard_ = p_heard;
    return state;
}

entry_wire::sent_request words_of(const dispatch::sent_report& p_note)
{
    entry_wire::sent_request sent;
    sent.server = p_note.server_;
    sent.reading_us = static_cast<std::int32_t>(p_note.prefill_time_.count());
    sent.tokens = static_cast<std::int64_t>(p_note.tokens_);
    sent.pause_ms = static_cast<std::int32_t>(to_ms(p_note.pause_target_));
    for (const auto& part : p_note.parts_)
    {
        entry_wire::prompt_part told;
        told.key = static_cast<std::int64_t>(part.id_);
        told.tokens = static_cast<std::int32_t>(part.tokens_);
        sent.parts.push_back(told);
    }
    return sent;
}

entry_wire::running words_of(const dispatch::server_load& p_count)
{
    entry_wire::running told;
    told.all_requests = static_cast<std::int32_t>(p_count.requests_);
    told.tokens = static_cast<std::int64_t>(p_count.tokens_);
    told.unread_us = p_count.pending_prefill_.count();
    for (const auto& [pause, count] : p_count.stream_counts_)
    {
        const auto pause_ms = static_cast<std::int32_t>(to_ms(pause));
        told.streams[pause_ms] += static_cast<std::int32_t>(count);
    }
    return told;
}

dispatch::server_load count_of(const entry_wire::running& p_told)
{
    const auto natural = [](std::int32_t p_number)
    { return static_cast<unsigned>(std::max(p_number, 0)); };
    dispatch::server_load count;
    count.requests_ = natural(p_told.all_requests);
    count.tokens_ =
        static_cast<std::uint64_t>(std::max<std::int64_t>(p_told.tokens, 0));
    count.pending_prefill_ =
        duration(std::max<std::int64_t>(p_told.unread_us, 0));
    for (const auto& [pause_ms, streams] : p_told.streams)
    {
        count.stream_counts_[std::chrono::milliseconds(pause_ms)] =
            natural(streams);
    }
    return count;
}

entry_wire::waiting_work words_of(const dispatch::queue_summary& p_sum)
{
    entry_wire::waiting_work told;
    told.at_service = p_sum.service_.value();
    told.priority = static_cast<std::int32_t>(p_sum.priority_);
    told.target_ms = static_cast<std::int32_t>(to_ms(p_sum.answer_target_));
    told.reading_us = p_sum.prefill_time_.count();
    return told;
}

dispatch::queue_summary sum_of(const entry_wire::waiting_work& p_told)
{
    return {routing::service_name(p_told.at_service),
            static_cast<unsigned>(std::max(p_told.priority, 0)),
            std::chrono::milliseconds(p_told.target_ms),
            duration(std::max<std::int64_t>(p_told.reading_us, 0))};
}

dispatch::sent_report note_of(const entry_wire::sent_request& p_sent)
{
    dispatch::sent_report note;
    note.server_ = p_sent.server;
    note.prefill_time_ = duration(std::max(p_sent.reading_us, 0));
    note.tokens_ =
        static_cast<std::uint64_t>(std::max<std::int64_t>(p_sent.tokens, 0));
    note.pause_target_ = std::chrono::milliseconds(p_sent.pause_ms);
    for (const auto& part : p_sent.parts)
    {
        note.parts_.push_back({static_cast<std::uint64_t>(part.key),
                               static_cast<std::uint32_t>(part.tokens)});
    }
    return note;
}

} // namespace peridotspar
