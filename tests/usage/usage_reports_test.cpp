#include "usage/usage_reports.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace peridotspar;
using namespace std::chrono_literals;

namespace
{

using totals = std::map<std::string, std::uint64_t>;

constexpr time_point start(1h);
constexpr duration window_length = 5s;
constexpr duration settle = 2s;

/// When a window is settled, in milliseconds of true time.
std::int64_t settled_ms(int p_window)
{
    return (p_window + 1) * 5000 + 2000;
}

void count(usage_collector& r_collector, int p_window, std::uint64_t p_requests,
           const std::string& p_account = "a")
{
    r_collector.record("n", "r",
                       {{window_id(p_window), p_account, p_requests}});
}

/// Sends all reports that may be sent, and returns them.
std::vector<usage_report> send_all(usage_reports& r_reports,
                                   const std::string& p_in_store)
{
    std::vector<usage_report> sent;
    while (const auto report = r_reports.next(p_in_store, start))
    {
        sent.push_back(*report);
        r_reports.on_sent(report->window_, report_result::done, start);
    }
    return sent;
}

std::vector<std::int64_t> windows_of(const std::vector<usage_report>& p_reports)
{
    std::vector<std::int64_t> windows;
    for (const usage_report& report : p_reports)
    {
        windows.push_back(report.window_.value());
    }
    return windows;
}

} // namespace

TEST_CASE("a window is fixed when it is settled and doesn't change afterwards")
{
    usage_collector collector;
    usage_reports reports(window_length, settle);
    count(collector, 200, 5);
    reports.tick(settled_ms(200) - 1, collector);
    CHECK(reports.payload().empty());
    reports.tick(settled_ms(200), collector);
    const std::string fixed = reports.payload();
    CHECK(nlohmann::json::parse(fixed)["windows"]["200"]["a"] == 5);
    count(collector, 200, 9);
    reports.tick(settled_ms(200) + 20, collector);
    reports.tick(settled_ms(200) - 9000, collector);
    CHECK(reports.payload() == fixed);
    const auto report = reports.next(fixed, start);
    REQUIRE(report);
    CHECK(report->window_ == window_id(200));
    CHECK(report->counts_ == totals{{"a", 5}});
}

TEST_CASE("a report is sent only if its exact content is in the store")
{
    usage_collector collector;
    usage_reports reports(window_length, settle);
    count(collector, 200, 5);
    reports.tick(settled_ms(200), collector);
    CHECK_FALSE(reports.next("", start));
    CHECK_FALSE(reports.next("nonsense", start));
    CHECK_FALSE(reports.next(R"({"windows":{}})", start));
    CHECK_FALSE(reports.next(R"({"windows":{"200":{"a":4}}})", start));
    CHECK_FALSE(reports.next(R"({"windows":{"200":{"a":5,"b":1}}})", start));
    CHECK(reports.next(R"({"done":1,"windows":{"200":{"a":5}}})", start));
}

TEST_CASE("reports go oldest first, one at a time")
{
    usage_collector collector;
    usage_reports reports(window_length, settle);
    count(collector, 200, 5);
    count(collector, 201, 6);
    reports.tick(settled_ms(201), collector);
    const std::string stored = reports.payload();
    REQUIRE(reports.next(stored, start)->window_ == window_id(200));
    CHECK_FALSE(reports.next(stored, start + 1h));
    reports.on_sent(window_id(200), report_result::done, start);
    CHECK(reports.next(stored, start)->window_ == window_id(201));
    reports.on_sent(window_id(201), report_result::done, start);
    CHECK_FALSE(reports.next(stored, start));
    const auto payload = nlohmann::json::parse(reports.payload());
    CHECK(payload["done"] == 201);
    CHECK(payload["windows"].empty());
}

TEST_CASE("retries wait for 300 ms, doubling up to 2 s; others don't wait")
{
    usage_collector collector;
    usage_reports reports(window_length, settle);
    for (int window = 200; window < 203; ++window)
    {
        count(collector, window, 5);
    }
    reports.tick(settled_ms(202), collector);
    const std::string stored = reports.payload();
    time_point now = start;
    const auto check_waits = [&](std::vector<duration> p_waits)
    {
        for (const duration wait : p_waits)
        {
            const auto report = reports.next(stored, now);
            REQUIRE(report);
            reports.on_sent(report->window_, report_result::retry, now);
            CHECK_FALSE(reports.next(stored, now + wait - 1us));
            now += wait;
        }
    };
    check_waits({300ms, 600ms, 1200ms, 2s, 2s});
    CHECK(reports.next(stored, now)->window_ == window_id(200));
    reports.on_sent(window_id(200), report_result::done, now);
    check_waits({300ms, 600ms});
    CHECK(reports.next(stored, now)->window_ == window_id(201));
    reports.on_sent(window_id(201), report_result::rejected, now);
    // A rejected report is not sent again.
    CHECK(reports.next(stored, now)->window_ == window_id(202));
}

TEST_CASE("a successor sends what was fixed, and nothing that was done")
{
    usage_collector collector;
    count(collector, 200, 5);
    count(collector, 201, 6);
    count(collector, 202, 7);
    usage_reports first(window_length, settle);
    first.tick(settled_ms(202), collector);
    REQUIRE(first.next(first.payload(), start));
    first.on_sent(window_id(200), report_result::done, start);

    usage_collector other;
    for (int window = 199; window < 204; ++window)
    {
        count(other, window, 99);
    }
    usage_reports second(window_length, settle);
    REQUIRE(second.load(first.payload()));
    second.tick(settled_ms(203), other);
    const auto sent = send_all(second, second.payload());
    CHECK(windows_of(sent) == std::vector<std::int64_t>{201, 202, 203});
    CHECK(sent[0].counts_ == totals{{"a", 6}});
    CHECK(sent[1].counts_ == totals{{"a", 7}});
    CHECK(sent[2].counts_ == totals{{"a", 99}});
}

// An earlier holder skipped or gave up the windows between those it fixed. It
// may have sent the latter.
TEST_CASE("a successor fixes no window before the last one in the record")
{
    usage_collector collector;
    for (int window = 200; window < 204; ++window)
    {
        count(collector, window, 9);
    }
    usage_reports reports(window_length, settle);
    REQUIRE(reports.load(
        R"({"done":199,"windows":{"201":{"a":1},"203":{"a":2}}})"));
    reports.tick(settled_ms(203), collector);
    CHECK(windows_of(send_all(reports, reports.payload())) ==
          std::vector<std::int64_t>{201, 203});
}

TEST_CASE("windows that ended before this node collected are reported")
{
    usage_collector collector;
    count(collector, 201, 5);
    usage_reports reports(window_length, settle);
    reports.set_collecting_since(203'000 * 5);
    REQUIRE(reports.load(R"({"done":200,"windows":{}})"));
    reports.tick(settled_ms(202), collector);
    CHECK(windows_of(send_all(reports, reports.payload())) ==
          std::vector<std::int64_t>{201});
}

TEST_CASE("an empty window is reported if it was collected as a whole")
{
    usage_collector collector;
    usage_reports reports(window_length, settle);
    reports.set_collecting_since(201 * 5000 + 1);
    reports.tick(settled_ms(203), collector);
    const auto sent = send_all(reports, reports.payload());
    CHECK(windows_of(sent) == std::vector<std::int64_t>{202, 203});
    CHECK(sent[0].counts_.empty());
    usage_reports exact(window_length, settle);
    exact.set_collecting_since(203 * 5000);
    exact.tick(settled_ms(203), collector);
    CHECK(windows_of(send_all(exact, exact.payload())) ==
          std::vector<std::int64_t>{203});
    usage_reports unknown(window_length, settle);
    unknown.tick(settled_ms(203), collector);
    CHECK(unknown.payload().empty());
}

// The record in the store is bounded also while the service is down.
TEST_CASE("at most 6 windows are fixed; the oldest are given up for good")
{
    usage_collector collector;
    usage_reports reports(window_length, settle);
    for (int window = 200; window < 220; ++window)
    {
        count(collector, window, 5);
        reports.tick(settled_ms(window), collector);
        CHECK(nlohmann::json::parse(reports.payload())["windows"].size() <= 6);
    }
    usage_reports successor(window_length, settle);
    REQUIRE(successor.load(reports.payload()));
    successor.tick(settled_ms(219), collector);
    CHECK(windows_of(send_all(successor, successor.payload())) ==
          std::vector<std::int64_t>{214, 215, 216, 217, 218, 219});
}

TEST_CASE("after a long gap only the last 6 windows are fixed")
{
    usage_collector collector;
    usage_reports reports(window_length, settle);
    REQUIRE(reports.load(R"({"done":100,"windows":{}})"));
    for (int window = 193; window <= 200; ++window)
    {
        count(collector, window, 5);
    }
    reports.tick(settled_ms(200), collector);
    CHECK(windows_of(send_all(reports, reports.payload())) ==
          std::vector<std::int64_t>{195, 196, 197, 198, 199, 200});
}

TEST_CASE("a malformed payload is ignored, told, and fixes nothing")
{
    usage_collector collector;
    count(collector, 199, 1);
    count(collector, 200, 1);
    for (const std::string payload :
         {"x", "[]", "{}", "null", R"({"windows":[]})",
          R"({"windows":{"200":5}})", R"({"windows":{"200":{"a":-1}}})",
          R"({"windows":{"200":{"a":1.5}}})",
          R"({"windows":{"200":{"a":"1"}}})", R"({"windows":{"x":{}}})",
          R"({"skipped":1.5,"windows":{}})", R"({"windows":{"200 ":{}}})",
          R"({"windows":{"":{}}})", R"({"done":"5","windows":{}})",
          R"({"windows":{"199":{"a":7},"200":{"a":null}}})",
          R"({"windows":{"99999999999999999999":{}}})",
          R"({"done":5,"windows":{}}x)", R"({"done":5,"windows":{})"})
    {
        CAPTURE(payload);
        usage_reports reports(window_length, settle);
        CHECK_FALSE(reports.load(payload));
        CHECK(reports.payload().empty());
        // An earlier holder may have sent these windows.
        reports.tick(settled_ms(200), collector);
        CHECK(nlohmann::json::parse(reports.payload())["windows"].empty());
        CHECK_FALSE(reports.next(payload, start));
        count(collector, 201, 3);
        reports.tick(settled_ms(201), collector);
        CHECK(windows_of(send_all(reports, reports.payload())) ==
              std::vector<std::int64_t>{201});
    }
}

TEST_CASE("a holder whose record was lost skips what may have been sent")
{
    usage_collector collector;
    count(collector, 200, 1);
    count(collector, 201, 1);
    usage_reports reports(window_length, settle);
    REQUIRE(reports.load(""));
    reports.skip_settled();
    reports.tick(settled_ms(200), collector);
    const std::string stored = reports.payload();
    reports.tick(settled_ms(201), collector);
    CHECK(windows_of(send_all(reports, reports.payload())) ==
          std::vector<std::int64_t>{201});
    // So does its successor, which doesn't know about the loss.
    usage_reports successor(window_length, settle);
    REQUIRE(successor.load(stored));
    successor.tick(settled_ms(201), collector);
    CHECK(windows_of(send_all(successor, successor.payload())) ==
          std::vector<std::int64_t>{201});
}

// The store came back from an older copy, and the same node holds the lease.
TEST_CASE("what a node sent isn't fixed anew after an older record is loaded")
{
    usage_collector collector;
    count(collector, 200, 1);
    usage_reports reports(window_length, settle);
    reports.tick(settled_ms(200), collector);
    REQUIRE(reports.next(reports.payload(), start));
    REQUIRE(reports.load(R"({"done":199,"windows":{}})"));
    count(collector, 200, 2);
    reports.tick(settled_ms(200), collector);
    CHECK(send_all(reports, reports.payload()).empty());
}

TEST_CASE("accounts that JSON cannot name are left out")
{
    usage_collector collector;
    count(collector, 200, 1, "\xff\xfe");
    count(collector, 200, 2, "quote\" and \xc3\xa9");
    usage_reports reports(window_length, settle);
    reports.tick(settled_ms(200), collector);
    const auto sent = send_all(reports, reports.payload());
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].counts_ == totals{{"quote\" and \xc3\xa9", 2}});
}

namespace
{

/// The record in the store, with conditional writes.
struct stored_record
{
    std::uint64_t revision_ = 0;
    std::string payload_;
};

/// A node that holds, or believes to hold, the duty.
struct holder
{
    int number_ = 0;
    usage_collector collector_;
    std::unique_ptr<usage_reports> reports_;
    stored_record seen_; ///< The record as last read or written.
};

/// A write that was sent, and takes effect later or never.
struct late_write
{
    std::uint64_t condition_;
    std::string payload_;
};

/// Two holders that work on one record, without regard to a lease: each acts
/// whenever it wants, from the record that it has seen last. Only the store's
/// conditional writes keep them apart, so that this is harder than reality.
class holder_change_model
{
public:
    holder_change_model()
    {
        for (int i = 0; i < 2; ++i)
        {
            holders_[i].number_ = i;
            take_over(holders_[i]);
        }
    }

    void step(unsigned p_event, unsigned p_value)
    {
        holder& one = holders_[p_event % 2];
        switch (p_event / 2 % 10)
        {
        case 0:
            now_ms_ += p_value % 4000;
            break;
        case 1:
            count_some(one, p_value);
            break;
        case 2:
            one.reports_->tick(now_ms_, one.collector_);
            break;
        case 3:
            write(one, p_value);
            break;
        case 4:
            apply_late_write(p_value);
            break;
        case 5:
        case 6:
            send(one, p_value);
            break;
        case 7:
            if (p_value % 4 == 0)
            {
                take_over(one);
            }
            break;
        case 8:
            if (p_value % 8 == 0)
            {
                restart(one);
            }
            break;
        default:
            if (p_value % 16 == 0)
            {
                restore_copy(p_value / 16);
            }
        }
    }

    [[nodiscard]] bool has_conflict() const { return has_conflict_; }
    [[nodiscard]] std::size_t accepted() const { return accepted_.size(); }

private:
    /// The holders collect different counts, so that a window that is fixed
    /// twice gets two contents.
    void count_some(holder& r_holder, unsigned p_value)
    {
        const window_id current = window_at(now_ms_, window_length);
        r_holder.collector_.set_current(current);
        for (int back = 0; back < 4; ++back)
        {
            r_holder.collector_.record(
                "n", "r" + std::to_string(r_holder.number_),
                {{window_after(current, -back), "a",
                  p_value % 100'000 + 1U +
                      static_cast<unsigned>(r_holder.number_)}});
        }
    }

    void write(holder& r_holder, unsigned p_value)
    {
        const std::string payload = r_holder.reports_->payload();
        if (p_value % 3 == 0)
        {
            late_.push_back({r_holder.seen_.revision_, payload});
            return;
        }
        if (r_holder.seen_.revision_ != record_.revision_)
        {
            return;
        }
        store(payload);
        if (p_value % 5 != 0) // Otherwise the answer was lost.
        {
            r_holder.seen_ = record_;
        }
    }

    void apply_late_write(unsigned p_value)
    {
        if (late_.empty())
        {
            return;
        }
        const std::size_t index = p_value % late_.size();
        const late_write write = late_[index];
        late_.erase(late_.begin() + static_cast<std::ptrdiff_t>(index));
        if (write.condition_ == record_.revision_)
        {
            store(write.payload_);
        }
    }

    void send(holder& r_holder, unsigned p_value)
    {
        const time_point now(std::chrono::milliseconds{now_ms_});
        const auto report =
            r_holder.reports_->next(r_holder.seen_.payload_, now);
        if (!report)
        {
            return;
        }
        const unsigned fate = p_value % 6;
        if (fate < 4) // It reaches the service.
        {
            accept(*report);
        }
        if (fate == 5)
        {
            return; // The holder never learns the result.
        }
        const bool is_done = fate < 2;
        r_holder.reports_->on_sent(
            report->window_,
            is_done ? report_result::done : report_result::retry, now);
    }

    void accept(const usage_report& p_report)
    {
        const auto [known, is_new] =
            accepted_.emplace(p_report.window_, p_report.counts_);
        has_conflict_ =
            has_conflict_ || (!is_new && known->second != p_report.counts_);
    }

    /// The store loses the record or comes back from an older copy of it. The
    /// lease tells the next holder, which knows the token.
    void restore_copy(unsigned p_value)
    {
        const std::size_t back = p_value % 8;
        ++record_.revision_;
        record_.payload_ = back < history_.size()
                               ? history_[history_.size() - 1 - back]
                               : std::string();
        is_restored_ = true;
    }

    void store(const std::string& p_payload)
    {
        history_.push_back(record_.payload_);
        record_ = {record_.revision_ + 1, p_payload};
    }

    /// Acquires the lease by a conditional write. It leaves the payload, except
    /// after a loss.
    void take_over(holder& r_holder)
    {
        if (!r_holder.reports_)
        {
            r_holder.reports_ =
                std::make_unique<usage_reports>(window_length, settle);
        }
        (void)r_holder.reports_->load(record_.payload_);
        std::string payload = record_.payload_;
        if (is_restored_)
        {
            r_holder.reports_->skip_settled();
            r_holder.reports_->tick(now_ms_, r_holder.collector_);
            payload = r_holder.reports_->payload();
            is_restored_ = false;
        }
        store(payload);
        r_holder.seen_ = record_;
    }

    void restart(holder& r_holder)
    {
        r_holder.collector_ = usage_collector();
        r_holder.reports_.reset();
        take_over(r_holder);
    }

    std::int64_t now_ms_ = 1'000'000;
    stored_record record_;
    holder holders_[2];
    std::vector<late_write> late_;
    std::vector<std::string> history_;
    bool is_restored_ = false;
    std::map<window_id, totals> accepted_;
    bool has_conflict_ = false;
};

} // namespace

// Guards against the worst fault: two accepted reports of one window that
// differ.
TEST_CASE("changes of holder never give a window two contents")
{
    std::size_t accepted = 0;
    // rapidcheck shortens a failing order of events.
    CHECK(rc::check(
        [&]
        {
            const auto event = rc::gen::pair(rc::gen::inRange(0U, 20U),
                                             rc::gen::inRange(0U, 100'000U));
            const auto events = *rc::gen::resize(
                rc::kNominalSize,
                rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
                    400, event));
            holder_change_model model;
            for (const auto& [kind, value] : events)
            {
                model.step(kind, value);
            }
            accepted += model.accepted();
            RC_ASSERT(!model.has_conflict());
        }));
    MESSAGE(accepted << " windows were accepted in the short runs");
    accepted = 0;
    for (unsigned seed = 1; seed <= 300; ++seed)
    {
        std::mt19937 random(seed);
        holder_change_model model;
        for (int i = 0; i < 3000; ++i)
        {
            const auto event = static_cast<unsigned>(random());
            model.step(event, static_cast<unsigned>(random()));
        }
        CAPTURE(seed);
        CHECK_FALSE(model.has_conflict());
        accepted += model.accepted();
    }
    MESSAGE(accepted << " windows were accepted in 300 long runs");
    CHECK(accepted > 300 * 20);
}
