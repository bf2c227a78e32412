#pragma once

#include "core/clock.hpp"
#include "core/strong_type.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

/// Finds what makes backend servers crash, and keeps it from them. Does no I/O
/// and reads no clock: callers pass the current time.
namespace peridotspar::quarantine
{

/// Identifies something that requests have in common and that may crash the
/// servers that run them: a part of their prompts, or their whole content.
using suspect_key = strong_type<struct suspect_key_tag, std::uint64_t>;
/// Identifies one run of a server.
using server_key = strong_type<struct server_key_tag, std::uint64_t>;

/// The key of a server's run with this text, which no other run has.
[[nodiscard]] server_key key_of(std::string_view p_run);

/// A key of a request.
struct suspect
{
    suspect_key key_;
    /// The more of a request a key stands for, the higher: the position of a
    /// part in the prompt, or `whole_request`.
    std::uint32_t rank_ = 0;
};
constexpr std::uint32_t whole_request = 1U << 30U;

/// A server's crash while it ran requests.
struct crash
{
    server_key server_;
    suspect_key request_; ///< The whole of one request that it ran.
    time_point at_{};
};

/// What a node knows of one key, for its peers.
struct suspect_report
{
    suspect suspect_;
    std::vector<crash> crashes_; ///< Not explained by another key.
    std::optional<time_point> cleared_at_;
    /// The last crash of a quarantined key.
    std::optional<time_point> quarantined_at_;
    /// Counts the key's quarantines that began and that ended. Of two reports
    /// the one with the higher number is newer: the times in them shift by the
    /// delay of each message that hands them on.
    std::uint32_t episode_ = 0;
    std::uint32_t trials_ = 0; ///< That ended in a crash.
    time_point last_used_{};   ///< The last crash or refusal.
};

/// A quarantine that began or ended.
struct quarantine_change
{
    suspect suspect_;
    bool began_ = false;
    std::size_t crashes_ = 0;
};

/// Attributes the crashes of servers to keys of the requests that they ran.
///
/// A crash makes suspects of all keys of the requests that a server hadn't
/// begun to answer. An answer that goes on clears the keys of its request of
/// all crashes before. A key with `crashes_to_quarantine` crashes is
/// quarantined: requests with it are refused, and its crashes count against no
/// other key. After a while one request is let through as a trial; its
/// answer ends the quarantine, and a crash prolongs it.
///
/// A part needs crashes under two different requests, as otherwise the request
/// explains them. A whole request explains no crashes of its parts, since it
/// may just have run beside the cause.
///
/// All nodes merge their reports; the result doesn't depend on order or
/// repetition. Not thread-safe.
class crash_attribution
{
public:
    static constexpr std::size_t crashes_to_quarantine = 3;

    /// Sets the nodes that share trials: only one of them makes the next trial
    /// of a key.
    void set_nodes(std::uint64_t p_self, std::vector<std::uint64_t> p_others);

    /// A server crashed that had not begun to answer a request with these keys.
    /// The last one is that of the whole request.
    void record_crash(server_key p_server,
                      const std::vector<suspect>& p_suspects, time_point p_now);
    /// A server that began to answer a request with these keys at `p_begun` is
    /// still sound at `p_now`.
    void record_answer(const std::vector<suspect>& p_suspects,
                       time_point p_begun, time_point p_now);

    /// A server responded at `p_now` on a connection that was opened at
    /// `p_opened`, so it didn't crash in between, whoever reports that. Another
    /// node may just not have reached it.
    void record_alive(server_key p_server, time_point p_opened,
                      time_point p_now);

    /// Whether a request with these keys must not be sent.
    [[nodiscard]] bool
    is_quarantined(const std::vector<suspect>& p_suspects) const;
    /// Admits a new request, maybe as a trial, or returns how long its caller
    /// should wait.
    [[nodiscard]] std::optional<duration>
    find_refusal(const std::vector<suspect>& p_suspects, time_point p_now);

    void merge(const suspect_report& p_report, time_point p_now);
    /// The reports that peers need next: what is new, most serious first, then
    /// what was reported longest ago. Messages are short, so all keys are
    /// reported only over several calls.
    [[nodiscard]] std::vector<suspect_report> reports(time_point p_now);
    /// Quarantines keys that are due and drops old entries. Call regularly.
    void tick(time_point p_now);

    /// Returns whether this node began or ended a quarantine, of which peers
    /// should learn at once, and resets that.
    [[nodiscard]] bool take_news();
    /// Returns whether this node saw a part in a further crash, of which peers
    /// should learn soon, and resets that.
    [[nodiscard]] bool take_fresh_suspect();
    /// Returns and forgets the quarantines that began or ended.
    [[nodiscard]] std::vector<quarantine_change> take_changes();
    [[nodiscard]] std::size_t quarantined_count() const;

private:
    struct entry
    {
        std::uint32_t rank_ = 0;
        std::vector<crash> crashes_;
        bool own_crash_ = false; ///< This node saw one of them.
        std::optional<time_point> cleared_at_;
        std::optional<time_point> quarantined_at_;
        std::uint32_t episode_ = 0; ///< Odd while the key is quarantined.
        std::uint32_t trials_ = 0;
        std::optional<time_point> trial_sent_at_;
        time_point last_used_{};  ///< The last crash or refusal.
        time_point changed_at_{}; ///< Peers should know.
        std::optional<time_point> reported_at_;
    };
    /// Whether peers were told of the last change, when, and the missing
    /// weight. The lowest comes first.
    using report_order = std::tuple<bool, time_point, std::size_t>;
    using entries = std::map<suspect_key, entry>;
    /// A time in which a server certainly lived.
    struct life
    {
        time_point since_{};
        time_point until_{};
    };

    static bool is_same(const crash& p_left, const crash& p_right);
    static bool contains(const std::vector<crash>& p_list,
                         const crash& p_crash);
    /// Whether a quarantine of one key explains that of another.
    static bool explains(const entry& p_entry, const entry& p_other);
    static bool is_due(const entry& p_entry, time_point p_now);
    static time_point next_trial_at(const entry& p_entry);
    [[nodiscard]] static bool needs_report(const entry& p_entry,
                                           time_point p_now);
    [[nodiscard]] static report_order order_of(const entry& p_entry);
    /// The crashes of a key that peers are told of.
    [[nodiscard]] static std::vector<crash>
    latest_crashes(const entry& p_entry);
    /// Whether this node makes the next trial of the key.
    [[nodiscard]] bool makes_trial(suspect_key p_key) const;
    [[nodiscard]] entry* find_quarantined(suspect_key p_key);
    entry* find_or_add(const suspect& p_suspect, time_point p_last_used);
    /// Adds a crash to a key, unless it is known, explained, or older than what
    /// cleared the key. Returns whether it was added.
    bool add_crash(entry& r_entry, const crash& p_crash);
    /// Takes the crashes up to `p_at` from a key.
    void clear(suspect_key p_key, time_point p_at, time_point p_now);
    /// Ends the quarantine of a key if it began before an answer that this node
    /// saw.
    void end_if_answered(suspect_key p_key, time_point p_answered,
                         time_point p_now);
    /// Takes over from a peer that a quarantine began, goes on or ended.
    void merge_quarantine(const suspect_report& p_report, time_point p_now);
    /// `p_crashes` are added to those known of the key.
    void begin_quarantine(suspect_key p_key, time_point p_at,
                          std::uint32_t p_trials,
                          const std::vector<crash>& p_crashes,
                          time_point p_now);
    void end_quarantine(suspect_key p_key, time_point p_now);
    /// Takes the crashes of a quarantined key from all others.
    void explain_crashes(const entry& p_entry);
    /// Ends quarantines whose crashes another one explains, after two nodes
    /// quarantined different keys for the same crashes.
    void end_explained_quarantines(time_point p_now);
    [[nodiscard]] std::optional<suspect_key> worst_due(time_point p_now) const;
    [[nodiscard]] std::optional<time_point>
    last_answer(suspect_key p_key) const;
    void remember_answer(suspect_key p_key, time_point p_begun);
    [[nodiscard]] bool is_refuted(const crash& p_crash) const;
    /// Drops crashes of servers that lived on, and ends quarantines for them.
    void drop_refuted(time_point p_now);
    void expire(time_point p_now);

    std::map<server_key, life> lives_;
    entries entries_;
    std::vector<crash> explained_; ///< Crashes of quarantined keys.
    /// When the last answer to a request with a key began. Two generations
    /// bound the memory.
    std::unordered_map<suspect_key, time_point> answered_;
    std::unordered_map<suspect_key, time_point> answered_before_;
    std::uint64_t self_ = 0;
    std::vector<std::uint64_t> others_;
    std::vector<quarantine_change> changes_;
    bool has_news_ = false;
    bool has_fresh_suspect_ = false;
};

} // namespace peridotspar::quarantine
