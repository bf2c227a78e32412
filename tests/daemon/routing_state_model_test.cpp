// Nodes that learn of the servers from a store and from each other, with each
// answer held up for any time. Guards against nodes that keep what isn't true
// any more, or drop what is, as an answer came after newer news.

#include "daemon/routing_state.hpp"

#include <algorithm>
#include <optional>
#include <ostream>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace peridotspar;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t server_count = 3;
constexpr std::size_t node_count = 3;
constexpr int max_steps = 600;
constexpr unsigned action_count = 14;

std::string id_of(std::size_t p_number)
{
    return "i-" + std::to_string(p_number);
}

std::string document(std::uint64_t p_started)
{
    return R"({"service":"s","addr":"1.2.3.4:5","zone":"z","version":"v1",)"
           R"("slots":4,"state":"ready","born":)" +
           std::to_string(p_started) + "}";
}

using documents = std::map<std::string, std::string>; ///< By server id.

class model_store
{
public:
    void put(const std::string& p_id)
    {
        skip_revision();
        const std::string text = document(revision_);
        versions_.back()[p_id] = text;
        history_.push_back({{p_id, revision_, false, text}, false});
    }
    void remove(const std::string& p_id)
    {
        skip_revision();
        if (versions_.back().erase(p_id) > 0)
        {
            history_.push_back({{p_id, revision_, false, {}}, true});
        }
    }
    /// A change of another kind.
    void skip_revision()
    {
        ++revision_;
        versions_.push_back(versions_.back());
    }
    [[nodiscard]] object_list list() const
    {
        object_list list;
        list.revision_ = revision_;
        for (const auto& [id, text] : versions_.back())
        {
            list.objects_.push_back({id, 0, false, text});
        }
        return list;
    }
    [[nodiscard]] object_changes watch(std::uint64_t p_since) const
    {
        object_changes changes;
        changes.revision_ = revision_;
        for (const auto& change : history_)
        {
            if (change.object_.revision_ > p_since)
            {
                changes.changes_.push_back(change);
            }
        }
        return changes;
    }
    [[nodiscard]] const documents& documents_at(std::uint64_t p_revision) const
    {
        return versions_.at(p_revision);
    }

private:
    std::vector<documents> versions_ = std::vector<documents>(2);
    std::vector<object_change> history_;
    std::uint64_t revision_ = 1;
};

/// A node that follows the store at times and asks its peers at others. Each of
/// its calls has been answered, but the answer has yet to arrive.
class model_node
{
public:
    model_node()
        : state_({[](auto) {},
                  [this](const auto& p_servers) { servers_ = p_servers; }},
                 2s, 1200ms)
    {
    }
    void ask_for_list(const model_store& p_store)
    {
        watch_.reset();
        list_ = list_ ? list_ : p_store.list();
    }
    void ask_for_changes(const model_store& p_store)
    {
        if (watched_revision_ && !list_ && !watch_)
        {
            watch_ = p_store.watch(*watched_revision_);
        }
    }
    void ask_peer(const model_node& p_peer)
    {
        const auto own = state_.servers_revision();
        if (!fetched_ && p_peer.state_.servers_revision() > own)
        {
            fetched_ = p_peer.state_.changes_since(own);
        }
    }
    void receive_from_store()
    {
        if (const auto list = std::exchange(list_, std::nullopt))
        {
            watched_revision_ = list->revision_;
            state_.on_list("servers", *list);
        }
        if (const auto changes = std::exchange(watch_, std::nullopt))
        {
            watched_revision_ =
                std::max(*watched_revision_, changes->revision_);
            state_.on_changes("servers", *changes);
        }
    }
    void receive_from_peer()
    {
        if (const auto changes = std::exchange(fetched_, std::nullopt))
        {
            state_.update_servers(*changes);
        }
    }
    /// Whether the node uses and passes on what was true at the revision that
    /// it names.
    [[nodiscard]] bool is_right(const model_store& p_store)
    {
        if (state_.servers_revision() < last_revision_)
        {
            return false;
        }
        last_revision_ = state_.servers_revision();
        if (last_revision_ == 0)
        {
            return true;
        }
        state_.tick(boot_clock().now() + 1min);
        const auto known = state_.changes_since(0).documents_;
        const bool uses_same = std::equal(
            servers_.begin(), servers_.end(), known.begin(), known.end(),
            [](const auto& p_used, const auto& p_known)
            {
                return p_used.first == p_known.first &&
                       p_known.second ==
                           document(static_cast<std::uint64_t>(
                               p_used.second.instance_.started_ms_));
            });
        return uses_same && known == p_store.documents_at(last_revision_);
    }

private:
    routing::server_list::entries servers_;
    routing_state state_;
    std::uint64_t last_revision_ = 0;
    std::optional<std::uint64_t> watched_revision_;
    std::optional<object_list> list_;
    std::optional<object_changes> watch_;
    std::optional<server_changes> fetched_;
};

struct step
{
    unsigned action_ = 0;
    std::size_t server_ = 0;
    std::size_t node_ = 0;
    std::size_t peer_ = 0;
};

/// Shown with a failed case.
std::ostream& operator<<(std::ostream& r_stream, const step& p_step)
{
    return r_stream << "{" << p_step.action_ << ", " << p_step.server_ << ", "
                    << p_step.node_ << ", " << p_step.peer_ << "}";
}

void take(const step& p_step, model_store& r_store,
          std::vector<model_node>& r_nodes)
{
    model_node& node = r_nodes[p_step.node_];
    switch (p_step.action_)
    {
    case 0:
    case 1:
        return r_store.put(id_of(p_step.server_));
    case 2:
    case 3:
        return r_store.remove(id_of(p_step.server_));
    case 4:
        return r_store.skip_revision();
    case 5:
        return node.ask_for_list(r_store);
    case 6:
    case 7:
        return node.ask_for_changes(r_store);
    case 8:
    case 9:
        return node.ask_peer(r_nodes[p_step.peer_]);
    case 10:
    case 11:
        return node.receive_from_store();
    default:
        return node.receive_from_peer();
    }
}

} // namespace

TEST_CASE(
    "nodes hold what was true at their revision, however late answers are")
{
    // All values are as likely in the first cases as in later ones.
    const auto below = [](auto p_end)
    {
        return rc::gen::resize(rc::kNominalSize,
                               rc::gen::inRange(decltype(p_end){}, p_end));
    };
    const auto any_step =
        rc::gen::build<step>(rc::gen::set(&step::action_, below(action_count)),
                             rc::gen::set(&step::server_, below(server_count)),
                             rc::gen::set(&step::node_, below(node_count)),
                             rc::gen::set(&step::peer_, below(node_count)));
    const bool holds = rc::check(
        [&]
        {
            const auto steps = *rc::gen::resize(
                max_steps, rc::gen::container<std::vector<step>>(any_step));
            model_store store;
            std::vector<model_node> nodes(node_count);
            for (const step& each : steps)
            {
                take(each, store, nodes);
                RC_ASSERT(nodes[each.node_].is_right(store));
            }
        });
    CHECK(holds);
}
