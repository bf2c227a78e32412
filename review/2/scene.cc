// Case 2: a configuration shortens a route's timeout while servers of a newer
// software version replace those of the older one.

#include "review/standins/scene.hh"

using namespace scene;

namespace
{

constexpr int streams = 24;
constexpr int events = 75;
constexpr int pause_ms = 100;
constexpr int deadline_ms = 8000;
constexpr int old_timeout_ms = 8000;
constexpr int new_timeout_ms = 1200;
/// Servers that are replaced, of nine.
constexpr int replaced = 5;
/// A replaced server serves for drain_ms and a little longer, and exits.
constexpr double exits_after_s = 6.2;

struct told
{
    std::string first_attempt_;
    std::set<std::string> versions_;
    int last_ = 0;
    int tries_ = 0;
    bool complete_ = false;
    bool in_order_ = true;
};

std::mutex told_mutex;
std::vector<told> all_told;

json survey(int p_version, int p_timeout_ms)
{
    json config = configuration(p_version);
    json route = config["routes"][2];
    route["name"] = "survey-read";
    route["path_prefix"] = "/survey/";
    route["resumable"] = true;
    route["max_attempts"] = 1;
    route["timeout_ms"] = p_timeout_ms;
    route["slo_ms"] = 800;
    route["itl_target_ms"] = 300;
    route["priority"] = 1;
    config["routes"].push_back(route);
    return config;
}

/// Reads the events of one answer; true if it is complete.
bool read_events(stream& r_stream, double p_until, told& r_told, int& r_status)
{
    message answer;
    std::string text;
    const bool whole = read_message(
        r_stream, p_until, answer,
        [&](const std::string& p_part)
        {
            text += p_part;
            std::size_t end = 0;
            while ((end = text.find("\n\n")) != std::string::npos)
            {
                const std::string event = text.substr(0, end);
                text.erase(0, end + 2);
                const int id = std::atoi(event.c_str() + 4);
                r_told.in_order_ = r_told.in_order_ && id == r_told.last_ + 1;
                r_told.last_ = id;
                r_told.versions_.insert(event.substr(event.rfind(' ') + 1));
            }
        });
    r_status = answer.status();
    return whole && answer.status() == 200;
}

/// Asks for a summary, and takes its stream up at another node when it breaks
/// off, as long as its deadline allows.
void ask(std::size_t p_first)
{
    std::vector<endpoint> usable;
    for (const node& each : nodes)
    {
        usable.push_back(each.callers());
    }
    std::rotate(usable.begin(),
                usable.begin() +
                    static_cast<std::ptrdiff_t>(p_first % usable.size()),
                usable.end());
    const double until = now() + deadline_ms / 1000.0;
    told mine;
    while (!mine.complete_ && now() < until - 0.05 && !usable.empty())
    {
        const endpoint to = usable.front();
        const std::string id = new_attempt();
        std::string more = "Model: m\r\nToken-Counts: 400,160\r\n"
                           "Prefix-Hash: " +
                           id.substr(0, 8) + ":350," + id.substr(8) + ":50\r\n";
        if (mine.last_ > 0)
        {
            more += "Last-Event-Id: " + std::to_string(mine.last_) +
                    "\r\nResumes: " + mine.first_attempt_ + "\r\n";
        }
        else
        {
            mine.first_attempt_ = id;
        }
        ++mine.tries_;
        stream connection;
        int status = 0;
        const int before = mine.last_;
        const bool sent =
            connection.connect(to, 1) &&
            connection.write(request_text(
                id, "/survey/x", static_cast<int>((until - now()) * 1000),
                json{{"events", events}, {"pause", pause_ms}}.dump(), more));
        mine.complete_ = sent && read_events(connection, until, mine, status);
        std::string versions;
        for (const auto& each : mine.versions_)
        {
            versions += each + " ";
        }
        record("stream %s, try %d at %s: status %d, events %d to %d, %s, "
               "versions so far: %s",
               mine.first_attempt_.c_str(), mine.tries_, to.text().c_str(),
               status, before + 1, mine.last_,
               mine.complete_ ? "complete" : "not complete", versions.c_str());
        if (!mine.complete_)
        {
            if (status != 503)
            {
                usable.erase(usable.begin()); // It has failed this caller.
            }
            sleep_s(0.2);
        }
    }
    const std::lock_guard lock(told_mutex);
    all_told.push_back(mine);
}

} // namespace

int main(int, char** p_arguments)
{
    begin(p_arguments[1]);
    store platform({"127.0.47.200", free_port("127.0.47.200")});
    platform.put("config", "main", survey(1, old_timeout_ms));
    std::list<engine> old_ones;
    std::list<engine> new_ones;
    for (int i = 1; i <= 9; ++i)
    {
        const std::string ip = "127.0.47." + std::to_string(100 + i);
        old_ones.emplace_back("i-old" + std::to_string(i), "peridot-pool",
                              endpoint{ip, free_port(ip)}, 64, "v1");
        platform.put("servers", old_ones.back().id(),
                     old_ones.back().entry("ready"));
    }
    start_nodes(47, 3, platform);
    sleep_s(5); // Longer than stability_ms; the nodes settle on v1.

    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < streams; ++i)
    {
        callers.emplace_back(ask, i);
        sleep_s(0.01);
    }
    sleep_s(0.3);
    const double released_at = now();
    int done = 0;
    for (auto& each : old_ones)
    {
        if (++done > replaced)
        {
            break;
        }
        const std::string ip = "127.0.47." + std::to_string(120 + done);
        new_ones.emplace_back("i-new" + std::to_string(done), "peridot-pool",
                              endpoint{ip, free_port(ip)}, 64, "v2");
        platform.put("servers", new_ones.back().id(),
                     new_ones.back().entry("ready"));
        platform.put("servers", each.id(), each.entry("draining"));
    }
    record("%d of 9 servers are replaced by version v2", replaced);
    sleep_s(0.3);
    if (has_trouble())
    {
        platform.put("config", "main", survey(2, new_timeout_ms));
        record("configuration 2: the timeout of survey-read is %d ms",
               new_timeout_ms);
    }
    sleep_s(released_at + exits_after_s - now());
    done = 0;
    for (auto& each : old_ones)
    {
        if (++done > replaced)
        {
            break;
        }
        platform.remove("servers", each.id());
        each.end();
    }
    record("the replaced servers exit");
    for (auto& each : callers)
    {
        each.join();
    }
    int joined = 0;
    int complete = 0;
    for (const told& each : all_told)
    {
        complete += each.complete_ ? 1 : 0;
        if (each.versions_.size() > 1)
        {
            ++joined;
            record("ORDER: stream %s holds events from two versions, %s",
                   each.first_attempt_.c_str(),
                   each.complete_ ? "and is complete" : "and isn't complete");
        }
    }
    record("streams: %zu, complete: %d, with two versions: %d", all_told.size(),
           complete, joined);
    std::cout << "streams " << all_told.size() << ", complete " << complete
              << ", with two versions " << joined << "\n";
    if (complete < 3)
    {
        could_not_run("too few streams were complete");
    }
    leave(joined > 2 ? 1 : 0);
}
