#include "membership/load_exchange.hpp"

#include <algorithm>
#include <utility>

namespace peridotspar
{

namespace
{

using namespace std::chrono_literals;

/// Least time between a node's reports of a stripe, and the time after which
/// an unchanged load is reported again. Reports also show that a node lives.
constexpr duration report_interval = 150ms;
constexpr duration report_refresh = 500ms;
/// The same for publications of a stripe's total.
constexpr duration publication_interval = 350ms;
constexpr duration publication_refresh = 500ms;
/// A home lists nodes that it hasn't heard for this long, three reports and
/// more. It must have been a home for as long.
constexpr duration silence_limit = 1800ms;
/// Age of a publication up to which it counts in the judgement of silent nodes.
constexpr duration observation_lifetime = 1200ms;
/// Dead nodes are listed for this long, so that all nodes judge alike.
constexpr duration dead_listing_time = 2s;
/// More silent nodes are listed in turn, to keep within a datagram.
constexpr std::size_t max_listed = 128;
/// A node that hears nothing for this long takes all others for dead.
constexpr duration isolation_limit = 2500ms;
/// A report that isn't repeated isn't summed after this.
constexpr duration report_lifetime = 2500ms;
/// A new home waits for the nodes' reports before it publishes sums.
constexpr duration home_hold_off = 500ms;
/// A total from another node than the home is taken if the last is older.
constexpr duration total_replacement_age = 1s;
constexpr duration total_lifetime = 4s;
constexpr duration judgement_interval = 50ms;
constexpr duration probe_interval = 1s;
/// A node that was met by several others at once is told to all by the first of
/// them; the others wait and hear of it.
constexpr duration max_spread_delay = 300ms;
constexpr std::size_t candidates_per_probe = 2;
constexpr std::size_t max_candidates = 64;
/// A difference of records must last this long, since records on their way
/// cause one for a moment.
constexpr duration record_difference_limit = 1s;
/// Later than this after its start a node asks those of whom it hears from
/// others only, so that no one is taken for live long after its death because
/// its record is still handed on.
constexpr duration joining_time = 1s;
/// More than these are taken for live as heard: when many nodes start or a cut
/// ends, each asking each other one would be a burst of its own.
constexpr unsigned max_questions_per_s = 8;
/// A node that others don't know and that doesn't answer is dead after this.
constexpr duration answer_limit = 700ms;
constexpr duration notice_interval = 500ms;
/// Keeps requests and answers within a datagram below one MTU.
constexpr std::size_t keys_per_request = 64;
constexpr std::size_t records_per_update = 12;
/// Publications wait while a node has sent more than this. Reports and records
/// don't: they are small, and a node without reports would be taken for dead.
constexpr double max_bytes_per_s = 22'000;
/// Part of a second's budget that may be saved for a burst.
constexpr double burst_s = 0.5;

} // namespace

load_exchange::load_exchange(const node_record& p_self, time_point p_now,
                             spreading_options p_options)
    : nodes_(p_self, p_options),
      now_(p_now),
      random_(p_self.key().value() +
              static_cast<std::uint64_t>(p_self.version_.started_ms_)),
      started_at_(p_now),
      heard_any_at_(p_now),
      probed_at_(p_now - probe_interval),
      probed_(random_()),
      refilled_at_(p_now),
      allowance_bytes_(max_bytes_per_s * burst_s)
{
}

void load_exchange::add_candidate(const std::string& p_address)
{
    const bool is_known = p_address.empty() ||
                          nodes_.find(key_of(p_address)) != nullptr ||
                          std::find(candidates_.begin(), candidates_.end(),
                                    p_address) != candidates_.end();
    if (!is_known)
    {
        candidates_.push_back(p_address);
    }
}

void load_exchange::update_self(node_record p_record)
{
    const node_record& own = nodes_.self().record_;
    p_record.address_ = own.address_;
    p_record.version_ = own.version_;
    const bool spreads = is_urgent(p_record);
    if (spreads)
    {
        ++p_record.version_.sequence_;
    }
    nodes_.set_self(p_record);
    if (spreads)
    {
        spread(p_record);
    }
}

bool load_exchange::is_urgent(const node_record& p_record) const
{
    node_record same_versions = p_record;
    const node_record& own = nodes_.self().record_;
    same_versions.config_version_ = own.config_version_;
    same_versions.servers_revision_ = own.servers_revision_;
    return same_versions != own ||
           std::all_of(
               nodes_.live().begin(), nodes_.live().end(),
               [&p_record](const known_node* p_node)
               {
                   const node_record& known = p_node->record_;
                   return known.config_version_ < p_record.config_version_ ||
                          known.servers_revision_ < p_record.servers_revision_;
               });
}

void load_exchange::set_load(std::uint32_t p_engine, const engine_load& p_load)
{
    stripe& part = stripes_[p_engine % stripe_count];
    if (p_load == engine_load{})
    {
        part.own_.erase(p_engine);
    }
    else
    {
        part.own_[p_engine] = p_load;
    }
    part.own_changed_ = true;
}

void load_exchange::receive(const std::string& p_from,
                            const exchange_message& p_message, time_point p_now)
{
    now_ = p_now;
    heard_any_at_ = p_now;
    if (known_node* sender = nodes_.find(key_of(p_from)))
    {
        sender->heard_at_ = p_now;
    }
    std::visit([&](const auto& p_content) { handle(p_from, p_content); },
               p_message);
}

void load_exchange::handle(const std::string& p_from,
                           const load_report& p_report)
{
    known_node* sender = nodes_.find(key_of(p_from));
    if (sender == nullptr)
    {
        send({p_from}, dead_notice{});
        return;
    }
    // A restart that this node hasn't heard of, or one with a clock set back.
    const node_version& known = sender->record_.version_;
    const node_version& reported = p_report.record_version_;
    const bool is_other_start = known.started_ms_ != reported.started_ms_;
    if (!sender->live_ || is_other_start || known < reported)
    {
        send_dead_notice(*sender);
    }
    if (!sender->live_ || is_other_start || p_report.stripe_ >= stripe_count)
    {
        return;
    }
    const node_version version{reported.started_ms_, p_report.sequence_};
    stripe& part = stripes_[p_report.stripe_];
    stored_report& stored = part.reports_[sender->key_];
    if (version <= stored.version_)
    {
        return;
    }
    part.sum_changed_ |= stored.loads_ != p_report.loads_;
    stored = {version, now_, p_report.loads_};
}

void load_exchange::handle(const std::string& p_from,
                           const load_publication& p_sent)
{
    known_node* home = nodes_.find(p_sent.home_);
    const known_node* sender = nodes_.find(key_of(p_from));
    if (sender == nullptr || home == nullptr || home == &nodes_.self() ||
        p_sent.stripe_ >= stripe_count)
    {
        return;
    }
    const bool is_other_start =
        p_sent.version_.started_ms_ != home->record_.version_.started_ms_;
    if (sender == home && (is_other_start || !home->live_))
    {
        send_dead_notice(*home);
    }
    if (is_other_start)
    {
        return;
    }
    observer& known = observers_[p_sent.home_];
    node_version& version = known.versions_[p_sent.stripe_];
    if (p_sent.version_ <= version)
    {
        return;
    }
    version = p_sent.version_;
    take_total(p_sent);
    known.received_at_ = now_;
    known.observes_ = p_sent.observes_;
    for (const node_key key : p_sent.silent_)
    {
        known.listed_at_[key] = now_;
    }
    compare_records(home->record_.address_, known, p_sent.records_hash_);
    const auto targets =
        nodes_.forward_to(p_sent.forwarding_, p_sent.stripe_,
                          p_sent.version_.sequence_, p_sent.home_);
    if (!targets.empty())
    {
        load_publication forwarded = p_sent;
        forwarded.forwarding_ = {};
        send(targets, std::move(forwarded));
    }
}

void load_exchange::take_total(const load_publication& p_sent)
{
    stripe& part = stripes_[p_sent.stripe_];
    const time_point as_of = now_ - p_sent.age_;
    const bool is_expected = p_sent.home_ == part.home_;
    if (!p_sent.has_loads_ ||
        (!is_expected && now_ - part.received_at_ < total_replacement_age))
    {
        return;
    }
    part.publisher_ = p_sent.home_;
    part.total_ = p_sent.loads_;
    part.received_at_ = now_;
    part.as_of_ = as_of;
}

void load_exchange::compare_records(const std::string& p_home, observer& r_home,
                                    std::uint64_t p_hash)
{
    if (p_hash == nodes_.records_hash())
    {
        r_home.differs_since_.reset();
        return;
    }
    if (!r_home.differs_since_)
    {
        r_home.differs_since_ = now_;
    }
    if (now_ - std::max(*r_home.differs_since_, requested_at_) >
        record_difference_limit)
    {
        request_records(p_home);
    }
}

void load_exchange::request_records(const std::string& p_from)
{
    requested_at_ = now_;
    record_request request;
    for (const known_node* node : nodes_.live())
    {
        request.held_.push_back({node->key_, node->record_.version_});
        if (request.held_.size() == keys_per_request)
        {
            request.last_ = node->key_;
            send({p_from}, request);
            request = {node_key(node->key_.value() + 1), {}, {}};
        }
    }
    request.last_ = node_key(~std::uint64_t{0});
    send({p_from}, request);
}

void load_exchange::handle(const std::string& p_from,
                           const record_request& p_request)
{
    std::map<node_key, node_version> held;
    for (const auto& item : p_request.held_)
    {
        held[item.key_] = item.version_;
    }
    record_update answer;
    answer.hearsay_ = true;
    for (const known_node* node : nodes_.live())
    {
        const auto found = held.find(node->key_);
        const bool is_asked_for =
            node->key_ >= p_request.first_ && node->key_ <= p_request.last_;
        if (is_asked_for &&
            (found == held.end() || found->second < node->record_.version_))
        {
            answer.records_.push_back(node->record_);
        }
        if (answer.records_.size() == records_per_update)
        {
            send({p_from}, answer);
            answer.records_.clear();
        }
    }
    if (!answer.records_.empty())
    {
        send({p_from}, std::move(answer));
    }
    send_differences(p_from, held);
}

void load_exchange::send_differences(
    const std::string& p_to, const std::map<node_key, node_version>& p_held)
{
    record_update answer;
    answer.hearsay_ = true;
    for (const auto& [key, version] : p_held)
    {
        const known_node* node = nodes_.find(key);
        if (node == nullptr || node->record_.version_ < version)
        {
            answer.wanted_.push_back({key, version});
        }
        else if (!node->live_)
        {
            answer.dead_.push_back({key, node->record_.version_});
        }
    }
    if (!answer.wanted_.empty() || !answer.dead_.empty())
    {
        send({p_to}, std::move(answer));
    }
}

void load_exchange::handle(const std::string& p_from,
                           const record_update& p_update)
{
    const bool was_alone = nodes_.live().size() == 1;
    const bool is_hearsay =
        p_update.hearsay_ && now_ - started_at_ > joining_time;
    for (const auto& record : p_update.records_)
    {
        const known_node* known = nodes_.find(record.key());
        const bool is_news =
            known == nullptr || known->record_.version_ < record.version_;
        if (is_hearsay && is_news && p_from != record.address_ && may_ask())
        {
            send_own_record(record.address_, true);
            continue;
        }
        merge_record(p_from, record, p_update.spread_wanted_);
    }
    for (const auto& item : p_update.dead_)
    {
        const known_node* node = nodes_.find(item.key_);
        if (node != nullptr && node != &nodes_.self() && node->live_ &&
            node->record_.version_ <= item.version_)
        {
            mark_dead(node->key_);
        }
    }
    record_update answer;
    answer.hearsay_ = true;
    for (const auto& item : p_update.wanted_)
    {
        known_node* node = nodes_.find(item.key_);
        if (node != nullptr && node->live_)
        {
            ask_if_doubtful(*node);
            answer.records_.push_back(node->record_);
        }
        if (answer.records_.size() == records_per_update)
        {
            send({p_from}, answer);
            answer.records_.clear();
        }
    }
    if (!answer.records_.empty())
    {
        send({p_from}, std::move(answer));
    }
    if (p_update.answer_wanted_)
    {
        send_own_record(p_from, false);
    }
    if (was_alone && nodes_.live().size() > 1)
    {
        request_records(p_from);
    }
    if (p_update.records_.size() == 1)
    {
        const node_record& record = p_update.records_.front();
        const auto targets =
            nodes_.forward_to(p_update.forwarding_, record.key().value(),
                              record.version_.sequence_, record.key());
        if (!targets.empty())
        {
            send(targets,
                 record_update{{record}, {}, {}, false, false, false, {}});
        }
    }
}

bool load_exchange::may_ask()
{
    if (now_ - asking_since_ >= 1s)
    {
        asking_since_ = now_;
        asked_ = 0;
    }
    return asked_++ < max_questions_per_s;
}

void load_exchange::ask_if_doubtful(known_node& r_node)
{
    const bool is_heard = r_node.heard_at_ > r_node.recorded_at_ &&
                          now_ - r_node.heard_at_ < silence_limit;
    if (&r_node != &nodes_.self() && !is_heard &&
        r_node.asked_at_ <= r_node.heard_at_)
    {
        r_node.asked_at_ = now_;
        send_own_record(r_node.record_.address_, true);
    }
}

void load_exchange::merge_record(const std::string& p_from,
                                 const node_record& p_record, bool p_spread)
{
    if (p_record.key() == nodes_.self().key_)
    {
        if (p_record.version_ > nodes_.self().record_.version_)
        {
            raise_own_version(p_record.version_);
        }
        return;
    }
    if (nodes_.merge(p_record, now_))
    {
        std::erase(candidates_, p_record.address_);
        if (p_spread)
        {
            spreads_[p_record.key()] =
                now_ + duration(random_() % max_spread_delay.count());
        }
        return;
    }
    if (p_from != p_record.address_)
    {
        spreads_.erase(p_record.key());
    }
    // The sender takes the node for live. If it is, it says so.
    known_node* known = nodes_.find(p_record.key());
    if (!known->live_ && (known->record_.version_ == p_record.version_ ||
                          p_from == p_record.address_))
    {
        send_dead_notice(*known);
    }
}

void load_exchange::handle(const std::string& p_from,
                           const dead_notice& p_notice)
{
    if (p_notice.version_ >= nodes_.self().record_.version_)
    {
        raise_own_version(p_notice.version_);
    }
    // A node that didn't know this one hears the rest from its peers.
    const bool spread_wanted = p_notice.version_ != node_version{};
    send({p_from},
         record_update{
             {nodes_.self().record_}, {}, {}, false, false, spread_wanted, {}});
}

void load_exchange::raise_own_version(const node_version& p_above)
{
    if (now_ - raised_at_ < notice_interval)
    {
        return;
    }
    raised_at_ = now_;
    node_record own = nodes_.self().record_;
    if (p_above.started_ms_ > own.version_.started_ms_)
    {
        own.version_.started_ms_ = p_above.started_ms_ + 1;
    }
    own.version_.sequence_ =
        std::max(own.version_.sequence_, p_above.sequence_) + 1;
    nodes_.set_self(own);
    spread(own);
}

void load_exchange::send(std::vector<std::string> p_to,
                         exchange_message p_message)
{
    queue_.push_back({std::move(p_to), std::move(p_message)});
}

template <class Message>
void load_exchange::send_to_all(Message p_message, std::uint64_t p_salt)
{
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::vector<std::string>>
        targets;
    for (auto& relay : nodes_.relays(p_salt))
    {
        targets[{relay.forwarding_.part_, relay.forwarding_.parts_}].push_back(
            std::move(relay.address_));
    }
    for (auto& [part, addresses] : targets)
    {
        p_message.forwarding_ = {part.first, part.second};
        send(std::move(addresses), p_message);
    }
}

void load_exchange::spread(const node_record& p_record)
{
    send_to_all(record_update{{p_record}, {}, {}, false, false, false, {}},
                p_record.key().value());
}

void load_exchange::spread_met_nodes()
{
    for (auto it = spreads_.begin(); it != spreads_.end();)
    {
        if (it->second > now_)
        {
            ++it;
            continue;
        }
        const known_node* node = nodes_.find(it->first);
        if (node != nullptr && node->live_)
        {
            spread(node->record_);
        }
        it = spreads_.erase(it);
    }
}

void load_exchange::send_own_record(const std::string& p_to,
                                    bool p_answer_wanted)
{
    send(
        {p_to},
        record_update{
            {nodes_.self().record_}, {}, {}, p_answer_wanted, false, true, {}});
}

void load_exchange::send_dead_notice(known_node& r_node)
{
    if (now_ - r_node.noticed_at_ >= notice_interval)
    {
        r_node.noticed_at_ = now_;
        send({r_node.record_.address_}, dead_notice{r_node.record_.version_});
    }
}

std::vector<outgoing_message> load_exchange::due(time_point p_now)
{
    now_ = p_now;
    refill_allowance();
    if (p_now - judged_at_ >= judgement_interval)
    {
        judged_at_ = p_now;
        judge_silent_nodes();
    }
    update_homes();
    spread_met_nodes();
    if (p_now - probed_at_ >= probe_interval)
    {
        probed_at_ = p_now;
        probe();
    }
    report_loads();
    publish_totals();
    return std::exchange(queue_, {});
}

void load_exchange::record_sent_bytes(std::size_t p_bytes)
{
    // Urgent messages may overdraw the budget by a second's worth.
    allowance_bytes_ = std::max(allowance_bytes_ - static_cast<double>(p_bytes),
                                -max_bytes_per_s);
}

void load_exchange::refill_allowance()
{
    allowance_bytes_ = std::min(
        allowance_bytes_ + max_bytes_per_s * to_seconds(now_ - refilled_at_),
        max_bytes_per_s * burst_s);
    refilled_at_ = now_;
}

void load_exchange::update_homes()
{
    if (homes_generation_ == nodes_.generation())
    {
        return;
    }
    homes_generation_ = nodes_.generation();
    const node_key own_key = nodes_.self().key_;
    for (std::uint32_t number = 0; number < stripe_count; ++number)
    {
        stripe& part = stripes_[number];
        const node_key home = nodes_.home_of(number).key_;
        if (home == part.home_)
        {
            continue;
        }
        if (home == own_key)
        {
            part.home_since_ = now_;
        }
        part.home_ = home;
        part.reported_at_ = {};
    }
    if (!nodes_.is_home(own_key))
    {
        home_since_.reset();
    }
    else if (!home_since_)
    {
        home_since_ = now_;
    }
}

std::vector<node_key> load_exchange::silent_nodes() const
{
    std::vector<node_key> silent;
    if (!home_since_ || now_ - *home_since_ < silence_limit)
    {
        return silent;
    }
    for (const known_node* node : nodes_.live())
    {
        if (node != &nodes_.self() && now_ - node->heard_at_ >= silence_limit)
        {
            silent.push_back(node->key_);
        }
    }
    return silent;
}

void load_exchange::judge_silent_nodes()
{
    if (now_ - heard_any_at_ >= isolation_limit)
    {
        for (const known_node* node : std::vector(nodes_.live()))
        {
            if (node != &nodes_.self())
            {
                mark_dead(node->key_);
            }
        }
        return;
    }
    const bool observes_itself =
        home_since_ && now_ - *home_since_ >= silence_limit;
    std::size_t observers = observes_itself ? 1 : 0;
    std::map<node_key, std::size_t> counts;
    for (const node_key key : silent_nodes())
    {
        ++counts[key];
    }
    const time_point oldest = now_ - observation_lifetime;
    for (auto& [home, known] : observers_)
    {
        std::erase_if(known.listed_at_, [oldest](const auto& p_item)
                      { return p_item.second < oldest; });
        if (!known.observes_ || known.received_at_ < oldest)
        {
            continue;
        }
        ++observers;
        for (const auto& [key, listed_at] : known.listed_at_)
        {
            ++counts[key];
        }
    }
    for (const known_node* node : std::vector(nodes_.live()))
    {
        if (node->asked_at_ > node->heard_at_ &&
            now_ - node->asked_at_ >= answer_limit)
        {
            mark_dead(node->key_);
        }
    }
    for (const auto& [key, count] : counts)
    {
        known_node* node = nodes_.find(key);
        if (node != nullptr && node->live_ && node != &nodes_.self() &&
            now_ - node->recorded_at_ >= silence_limit && 2 * count > observers)
        {
            mark_dead(node->key_);
        }
    }
}

void load_exchange::mark_dead(node_key p_key)
{
    nodes_.mark_dead(p_key, now_);
    for (stripe& part : stripes_)
    {
        part.sum_changed_ |= part.reports_.erase(p_key) > 0;
    }
    observers_.erase(p_key);
}

void load_exchange::probe()
{
    nodes_.remove_expired(now_);
    std::vector<std::string> targets;
    // In turn, so that each address is tried before long.
    const std::size_t count =
        std::min(candidates_.size(), candidates_per_probe);
    const auto next = candidates_.begin() + static_cast<std::ptrdiff_t>(count);
    targets.assign(candidates_.begin(), next);
    std::rotate(candidates_.begin(), next, candidates_.end());
    const auto dead = nodes_.dead();
    if (!dead.empty())
    {
        targets.push_back(dead[++probed_ % dead.size()]->record_.address_);
    }
    for (const auto& address : targets)
    {
        send_own_record(address, true);
    }
}

void load_exchange::report_loads()
{
    for (std::uint32_t number = 0; number < stripe_count; ++number)
    {
        stripe& part = stripes_[number];
        const duration interval =
            part.own_changed_ ? report_interval : report_refresh;
        if (now_ - part.reported_at_ < interval)
        {
            continue;
        }
        part.sum_changed_ |= part.own_changed_;
        part.reported_at_ = now_;
        part.own_changed_ = false;
        part.reported_ = part.own_;
        if (part.home_ != nodes_.self().key_)
        {
            send({nodes_.find(part.home_)->record_.address_},
                 load_report{number, nodes_.self().record_.version_,
                             ++report_sequence_, part.own_});
        }
    }
}

void load_exchange::publish_totals()
{
    for (std::uint32_t number = 0;
         number < stripe_count && allowance_bytes_ > 0; ++number)
    {
        stripe& part = stripes_[number];
        const duration interval =
            part.sum_changed_ ? publication_interval : publication_refresh;
        if (part.home_ == nodes_.self().key_ &&
            now_ - part.published_at_ >= interval)
        {
            publish(number, part);
        }
    }
}

void load_exchange::publish(std::uint32_t p_number, stripe& r_stripe)
{
    std::erase_if(
        r_stripe.reports_, [this](const auto& p_item)
        { return now_ - p_item.second.received_at_ > report_lifetime; });
    load_publication publication;
    publication.stripe_ = p_number;
    publication.home_ = nodes_.self().key_;
    publication.version_ = {nodes_.self().record_.version_.started_ms_,
                            ++publication_sequence_};
    publication.loads_ = r_stripe.reported_;
    for (const auto& [key, report] : r_stripe.reports_)
    {
        for (const auto& [engine, load] : report.loads_)
        {
            publication.loads_[engine] += load;
        }
        publication.age_ =
            std::max(publication.age_, now_ - report.received_at_);
    }
    publication.has_loads_ = now_ - r_stripe.home_since_ >= home_hold_off;
    if (!publication.has_loads_)
    {
        publication.loads_.clear();
    }
    publication.observes_ = home_since_ && now_ - *home_since_ >= silence_limit;
    publication.silent_ = silent_nodes();
    for (const known_node* node : nodes_.dead())
    {
        if (publication.observes_ && now_ - node->died_at_ < dead_listing_time)
        {
            publication.silent_.push_back(node->key_);
        }
    }
    std::shuffle(publication.silent_.begin(), publication.silent_.end(),
                 random_);
    publication.silent_.resize(
        std::min(publication.silent_.size(), max_listed));
    publication.records_hash_ = nodes_.records_hash();
    r_stripe.published_at_ = now_;
    r_stripe.sum_changed_ = false;
    take_total(publication);
    send_to_all(std::move(publication), p_number);
}

std::optional<load_exchange::known_load>
load_exchange::total_load(std::uint32_t p_engine, time_point p_now) const
{
    const stripe& part = stripes_[p_engine % stripe_count];
    if (part.publisher_ == node_key{} || p_now - part.as_of_ > total_lifetime)
    {
        return std::nullopt;
    }
    const auto found = part.total_.find(p_engine);
    return known_load{found == part.total_.end() ? engine_load{}
                                                 : found->second,
                      part.as_of_};
}

std::optional<load_exchange::known_load>
load_exchange::peers_load(std::uint32_t p_engine, time_point p_now) const
{
    auto total = total_load(p_engine, p_now);
    const auto& reported = stripes_[p_engine % stripe_count].reported_;
    const auto own = reported.find(p_engine);
    if (total && own != reported.end())
    {
        // A report that the home hadn't yet summed must not make it negative.
        const auto subtract = [](std::uint32_t& r_from, std::uint32_t p_part)
        { r_from -= std::min(r_from, p_part); };
        subtract(total->load_.requests_, own->second.requests_);
        subtract(total->load_.kilotokens_, own->second.kilotokens_);
        subtract(total->load_.prefill_units_, own->second.prefill_units_);
        subtract(total->load_.tight_streams_, own->second.tight_streams_);
    }
    return total;
}

} // namespace peridotspar
