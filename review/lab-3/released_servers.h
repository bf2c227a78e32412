// A service of plain servers that are replaced one after the other, callers of
// all nodes, and the check of the rule DRAIN.

#pragma once

#include "lab.h"

namespace lab
{

constexpr int nodes = 6;
constexpr double drain_ms = 2000;
constexpr double stability_ms = 3000;
/// Servers go on for so long after the store has accepted their removal.
constexpr double linger_ms = 12000;
constexpr int callers_per_node = 8;
constexpr double request_interval_ms = 60;

struct run_state
{
    std::mutex mutex_;
    std::map<std::string, double> removed_at_; ///< By server.
    struct request
    {
        int node_ = 0;
        double sent_at_ = 0;
        std::string server_; ///< That ran it.
        double run_at_ = 0;
        int status_ = 0;
    };
    std::map<std::string, request> requests_; ///< By attempt.
    std::vector<double> disturbed_until_ = std::vector<double>(nodes + 1, 0);
    int answered_ = 0;
    int refused_ = 0;
    int runs_ = 0;
    int late_ = 0;
};

class plain_server
{
public:
    plain_server(const std::string& p_ip, int p_port, std::string p_id,
                 run_state& r_state, record& r_record)
        : id_(std::move(p_id)),
          state_(r_state),
          record_(r_record),
          server_(p_ip, p_port,
                  [this](const message& p_request) { return serve(p_request); })
    {
    }
    [[nodiscard]] bool is_open() const { return server_.is_open(); }
    void stop() { server_.stop(); }

private:
    std::string serve(const message& p_request)
    {
        const std::string attempt = p_request.header("attempt-id");
        if (attempt.empty())
        {
            return answer_text(200, "{}", "Instance-Id: " + id_ + "\r\n");
        }
        const std::string marks = "Attempt-Id: " + attempt +
                                  "\r\nResponse-Seal: s." + attempt + "\r\n";
        if (p_request.header("expect-instance") != id_)
        {
            return answer_text(421, "{}", marks + "Not-Executed: 1\r\n");
        }
        note_run(attempt);
        sleep_ms(20);
        return answer_text(200, "{\"done\":true}", marks);
    }
    void note_run(const std::string& p_attempt)
    {
        const double now = now_ms();
        const std::lock_guard lock(state_.mutex_);
        ++state_.runs_;
        auto& request = state_.requests_[p_attempt];
        request.server_ += (request.server_.empty() ? "" : "+") + id_;
        request.run_at_ = now;
        const int node = request.node_;
        const double sent = request.sent_at_;
        const auto removed = state_.removed_at_.find(id_);
        if (removed == state_.removed_at_.end())
        {
            return;
        }
        const double after = now - removed->second;
        const double calm =
            sent - state_.disturbed_until_[static_cast<std::size_t>(node)];
        const bool is_late = after > drain_ms && calm > stability_ms;
        state_.late_ += is_late ? 1 : 0;
        if (after > drain_ms)
        {
            char text[200];
            std::snprintf(
                text, sizeof(text),
                "run server=%s attempt=%s node=%d removed_ms_ago=%.0f "
                "node_calm_ms=%.0f%s",
                id_.c_str(), p_attempt.c_str(), node, after, calm,
                is_late ? " LATE" : "");
            record_.add(text);
        }
    }

    std::string id_;
    run_state& state_;
    record& record_;
    server server_;
};

/// Replaces the servers of the service one after the other.
class fleet
{
public:
    fleet(object_store& r_store, std::string p_ip, run_state& r_state,
          record& r_record)
        : store_(r_store),
          ip_(std::move(p_ip)),
          state_(r_state),
          record_(r_record)
    {
    }
    void add()
    {
        const int port = 20000 + next_;
        const std::string id = "s-" + std::to_string(next_++);
        running_[id] =
            std::make_unique<plain_server>(ip_, port, id, state_, record_);
        store_.put("servers", id,
                   "{\"service\":\"orders\",\"addr\":\"" + ip_ + ":" +
                       std::to_string(port) +
                       "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":6,"
                       "\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,"
                       "\"born\":" +
                       std::to_string(1700000000000 + next_) + "}");
        live_.push_back(id);
    }
    void replace_oldest()
    {
        add();
        const std::string id = live_.front();
        live_.erase(live_.begin());
        store_.remove("servers", id);
        {
            const std::lock_guard lock(state_.mutex_);
            state_.removed_at_[id] = now_ms();
        }
        leaving_.push_back({id, now_ms() + linger_ms});
        while (!leaving_.empty() && leaving_.front().second < now_ms())
        {
            running_[leaving_.front().first]->stop();
            leaving_.erase(leaving_.begin());
        }
    }

private:
    object_store& store_;
    std::string ip_;
    run_state& state_;
    record& record_;
    int next_ = 1;
    std::vector<std::string> live_;
    std::vector<std::pair<std::string, double>> leaving_;
    std::map<std::string, std::unique_ptr<plain_server>> running_;
};

inline void run_caller(const std::string& p_net, int p_node, int p_caller,
                       std::atomic<bool>& r_stop, run_state& r_state)
{
    int number = 0;
    while (!r_stop)
    {
        const std::string attempt = "c" + std::to_string(p_node) + "-" +
                                    std::to_string(p_caller) + "-" +
                                    std::to_string(++number);
        {
            const std::lock_guard lock(r_state.mutex_);
            r_state.requests_[attempt] = {p_node, now_ms(), {}, 0, 0};
        }
        const auto answer = call(
            p_net + "." + std::to_string(p_node), callers_port,
            "POST /orders/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: " + attempt +
                "\r\nDeadline-Ms: 2500\r\nAuthorization: Bearer key\r\n"
                "Content-Length: 5\r\n\r\nhello",
            2600);
        {
            const std::lock_guard lock(r_state.mutex_);
            r_state.requests_[attempt].status_ = answer.status();
            ++(answer.status() == 200 ? r_state.answered_ : r_state.refused_);
        }
        sleep_ms(request_interval_ms);
    }
}

inline const char* const config =
    "{\"version\":1,\"routes\":[{\"host\":\"h\",\"path_prefix\":\"/orders/\","
    "\"kind\":\"unsafe\",\"service\":\"orders\",\"max_attempts\":1,"
    "\"timeout_ms\":1200,\"slo_ms\":150,\"priority\":2}],"
    "\"services\":[{\"name\":\"orders\",\"health_path\":\"/healthz\","
    "\"max_conns\":100}],\"tenants\":[{\"name\":\"shop\",\"api_keys\":"
    "[\"key\"]}],\"limits\":{\"header_bytes\":16384,\"body_bytes\":1048576,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

/// How many servers serve at a time, and the time between two replacements.
struct service_size
{
    int live_servers_ = 0;
    double turnover_ms_ = 0;
};

/// The nodes, the servers and the callers, from the start to the end of a run.
class scene
{
public:
    scene(std::string p_program, std::string p_folder,
          const std::string& p_record, service_size p_size)
        : notes_(p_record),
          net_(find_network(callers_port)),
          store_(net_ + ".200", store_port, nodes + 1),
          servers_(store_, net_ + ".100", state_, notes_),
          program_(std::move(p_program)),
          folder_(std::move(p_folder)),
          size_(p_size)
    {
    }
    /// False if something doesn't start.
    bool start()
    {
        if (!store_.is_open())
        {
            return false;
        }
        store_.put("config", "main", config);
        for (int i = 0; i < size_.live_servers_; ++i)
        {
            servers_.add();
        }
        for (int i = 1; i <= nodes; ++i)
        {
            pids_[static_cast<std::size_t>(i)] =
                start_node(program_, net_, i, true, folder_);
        }
        for (int i = 1; i <= nodes; ++i)
        {
            while (!is_ready(ip(i)))
            {
                if (now_ms() > 15000)
                {
                    notes_.add("a node isn't ready");
                    stop_nodes();
                    return false;
                }
                sleep_ms(50);
            }
        }
        sleep_ms(2000);
        for (int i = 1; i <= nodes; ++i)
        {
            for (int caller = 1; caller <= callers_per_node; ++caller)
            {
                threads_.emplace_back(
                    [this, i, caller]
                    { run_caller(net_, i, caller, stop_, state_); });
            }
        }
        threads_.emplace_back(
            [this]
            {
                while (!stop_)
                {
                    if (replaces_servers_)
                    {
                        servers_.replace_oldest();
                    }
                    sleep_ms(size_.turnover_ms_);
                }
            });
        return true;
    }
    /// Ends all processes and writes the requests to the record. Returns the
    /// exit status of the script.
    int finish()
    {
        stop_ = true;
        stop_nodes();
        for (auto& thread : threads_)
        {
            thread.join();
        }
        for (const auto& [attempt, request] : state_.requests_)
        {
            char text[200];
            std::snprintf(text, sizeof(text),
                          "request attempt=%s node=%d sent=%.1f server=%s "
                          "run=%.1f status=%d",
                          attempt.c_str(), request.node_, request.sent_at_,
                          request.server_.c_str(), request.run_at_,
                          request.status_);
            notes_.add_untimed(text);
        }
        notes_.add(state_.late_ > 0 ? "DRAIN broken" : "DRAIN held");
        std::printf("late runs: %d\n", state_.late_);
        std::fflush(stdout);
        return state_.late_ > 0 ? 1 : 0;
    }
    /// Whether the releases go on.
    void replace_servers(bool p_on) { replaces_servers_ = p_on; }
    /// The node isn't in touch at this moment.
    void disturb(int p_node)
    {
        const std::lock_guard lock(state_.mutex_);
        state_.disturbed_until_[static_cast<std::size_t>(p_node)] = now_ms();
    }
    /// Stops a node for a time. `p_other` is disturbed as long, unless it is 0.
    void freeze(int p_node, double p_time_ms, int p_other)
    {
        const pid_t pid = pids_[static_cast<std::size_t>(p_node)];
        const double until = now_ms() + p_time_ms;
        ::kill(pid, SIGSTOP);
        while (now_ms() < until)
        {
            disturb(p_node);
            if (p_other > 0)
            {
                disturb(p_other);
            }
            sleep_ms(10);
        }
        ::kill(pid, SIGCONT);
        disturb(p_node);
    }
    /// The nodes that follow the store; `r_other` becomes one that doesn't, if
    /// there is one.
    std::vector<int> find_followers(int& r_other) const
    {
        std::vector<int> followers;
        for (int i = 1; i <= nodes; ++i)
        {
            if (entry_state(ip(i), "store_in_contact") > 0)
            {
                followers.push_back(i);
            }
            else
            {
                r_other = i;
            }
        }
        return followers;
    }
    void note(const std::string& p_text) { notes_.add(p_text); }
    void note_counts(const std::string& p_title)
    {
        const std::lock_guard lock(state_.mutex_);
        notes_.add(p_title + ": answered " + std::to_string(state_.answered_) +
                   ", other " + std::to_string(state_.refused_) + ", runs " +
                   std::to_string(state_.runs_) + ", late runs " +
                   std::to_string(state_.late_));
    }
    int late_runs()
    {
        const std::lock_guard lock(state_.mutex_);
        return state_.late_;
    }
    object_store& store() { return store_; }
    std::size_t random_below(std::size_t p_end) { return random_() % p_end; }

private:
    [[nodiscard]] std::string ip(int p_node) const
    {
        return net_ + "." + std::to_string(p_node);
    }
    void stop_nodes()
    {
        for (int i = 1; i <= nodes; ++i)
        {
            const pid_t pid = pids_[static_cast<std::size_t>(i)];
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
    }

    record notes_;
    std::string net_;
    run_state state_;
    object_store store_;
    fleet servers_;
    std::string program_;
    std::string folder_;
    service_size size_;
    std::vector<pid_t> pids_ = std::vector<pid_t>(nodes + 1, 0);
    std::vector<std::thread> threads_;
    std::atomic<bool> stop_{false};
    std::atomic<bool> replaces_servers_{false};
    std::mt19937 random_{std::random_device{}()};
};

inline bool has_trouble()
{
    const char* asked = std::getenv("TROUBLE");
    return asked == nullptr || std::string(asked) != "0";
}

} // namespace lab
