#include "bench/exchange_network.hpp"

#include "membership/exchange_codec.hpp"

#include <algorithm>
#include <ctime>

namespace peridotspar::bench
{

namespace
{

/// Adds the CPU time of its lifetime to a sum.
class cpu_meter
{
public:
    explicit cpu_meter(double& r_sum) : sum_(r_sum) {}
    cpu_meter(const cpu_meter&) = delete;
    cpu_meter& operator=(const cpu_meter&) = delete;
    ~cpu_meter()
    {
        sum_ += std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                              started_)
                    .count();
    }

private:
    double& sum_;
    std::chrono::steady_clock::time_point started_ =
        std::chrono::steady_clock::now();
};

} // namespace

traffic& traffic::operator-=(const traffic& p_earlier)
{
    datagrams_ -= p_earlier.datagrams_;
    bytes_ -= p_earlier.bytes_;
    domain_bytes_ -= p_earlier.domain_bytes_;
    cpu_s_ -= p_earlier.cpu_s_;
    return *this;
}

exchange_network::exchange_network(network_options p_options,
                                   std::uint64_t p_seed)
    : options_(p_options), random_(p_seed)
{
}

std::string exchange_network::address_of(std::size_t p_node)
{
    constexpr std::size_t per_network = 250;
    return "10.0." + std::to_string(p_node / per_network) + "." +
           std::to_string(p_node % per_network + 1) + ":7400";
}

std::size_t exchange_network::add(std::size_t p_failure_domain)
{
    const std::size_t number = nodes_.size();
    nodes_.emplace_back();
    nodes_.back().failure_domain_ = p_failure_domain;
    numbers_[address_of(number)] = number;
    return number;
}

void exchange_network::start(std::size_t p_node,
                             const std::vector<std::size_t>& p_seeds,
                             std::int64_t p_started_ms)
{
    node_record record;
    record.address_ = address_of(p_node);
    record.caller_address_ = record.address_;
    record.failure_domain_ = failure_domain_id(
        "fd" + std::to_string(nodes_[p_node].failure_domain_));
    record.version_ = {p_started_ms, 1};
    record.ready_ = true;
    auto& node = nodes_[p_node];
    node.exchange_ =
        std::make_unique<load_exchange>(record, now_, options_.spreading_);
    for (const std::size_t seed : p_seeds)
    {
        node.exchange_->add_candidate(address_of(seed));
    }
    const auto phase = std::uniform_int_distribution<duration::rep>(
        0, options_.tick_.count())(random_);
    schedule({now_ + duration(phase), 0, p_node, ++node.starts_, 0, nullptr});
}

void exchange_network::stop(std::size_t p_node)
{
    nodes_[p_node].exchange_.reset();
}

void exchange_network::set_cut(std::size_t p_from, std::size_t p_to, bool p_cut)
{
    if (p_cut)
    {
        cuts_.emplace(p_from, p_to);
    }
    else
    {
        cuts_.erase({p_from, p_to});
    }
}

bool exchange_network::happens(double p_probability)
{
    return p_probability > 0 &&
           std::bernoulli_distribution(p_probability)(random_);
}

void exchange_network::schedule(event p_event)
{
    p_event.number_ = ++next_event_;
    events_.push(std::move(p_event));
}

void exchange_network::run(duration p_time)
{
    const time_point end = now_ + p_time;
    while (!events_.empty() && events_.top().at_ <= end)
    {
        const event next = events_.top();
        events_.pop();
        now_ = next.at_;
        if (nodes_[next.node_].exchange_ == nullptr)
        {
            continue;
        }
        if (next.parcel_ != nullptr)
        {
            deliver(next);
        }
        else if (next.starts_ == nodes_[next.node_].starts_)
        {
            tick(next);
        }
    }
    now_ = end;
}

void exchange_network::tick(const event& p_event)
{
    auto& node = nodes_[p_event.node_];
    std::vector<outgoing_message> outgoing;
    {
        const cpu_meter meter(node.traffic_.cpu_s_);
        outgoing = node.exchange_->due(now_);
    }
    for (const auto& message : outgoing)
    {
        send(p_event.node_, message);
    }
    schedule(
        {now_ + options_.tick_, 0, p_event.node_, p_event.starts_, 0, nullptr});
}

void exchange_network::send(std::size_t p_from,
                            const outgoing_message& p_outgoing)
{
    auto& sender = nodes_[p_from];
    auto sent = std::make_shared<parcel>();
    if (options_.encodes_)
    {
        const cpu_meter meter(sender.traffic_.cpu_s_);
        sent->bytes_ = encode(p_outgoing.message_);
    }
    else
    {
        sent->message_ = p_outgoing.message_;
    }
    const std::size_t size = sent->bytes_.size();
    sender.traffic_.largest_ =
        std::max<std::uint64_t>(sender.traffic_.largest_, size);
    for (const auto& address : p_outgoing.to_)
    {
        ++sender.traffic_.datagrams_;
        sender.traffic_.bytes_ += size;
        sender.exchange_->record_sent_bytes(size);
        const auto to = numbers_.find(address);
        if (to == numbers_.end())
        {
            continue;
        }
        const bool leaves_domain =
            nodes_[to->second].failure_domain_ != sender.failure_domain_;
        sender.traffic_.domain_bytes_ += leaves_domain ? size : 0;
        if (cuts_.contains({p_from, to->second}) || happens(options_.loss_))
        {
            continue;
        }
        const int copies = happens(options_.duplicates_) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy)
        {
            duration delay = options_.delay_;
            delay += leaves_domain ? options_.domain_delay_ : duration{};
            delay += duration(std::uniform_int_distribution<duration::rep>(
                0, options_.jitter_.count())(random_));
            schedule({now_ + delay, 0, to->second, 0, p_from, sent});
        }
    }
}

void exchange_network::deliver(const event& p_event)
{
    auto& node = nodes_[p_event.node_];
    const std::string from = address_of(p_event.from_);
    if (options_.encodes_)
    {
        const cpu_meter meter(node.traffic_.cpu_s_);
        if (const auto message = decode_exchange(p_event.parcel_->bytes_))
        {
            node.exchange_->receive(from, *message, now_);
        }
    }
    else
    {
        node.exchange_->receive(from, p_event.parcel_->message_, now_);
    }
    if (on_received_)
    {
        on_received_(p_event.node_);
    }
}

} // namespace peridotspar::bench
