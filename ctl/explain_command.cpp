// The commands peridotsparctl explain ID LOG... and
// peridotsparctl explain --sample COUNT SEED LOG...

#include "ctl/command.hpp"
#include "observe/request_diagnosis.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <fstream>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace peridotspar
{

namespace
{

/// A log line and the file that contains it.
struct file_log_line
{
    std::string file_;
    log_line line_;

    [[nodiscard]] std::string time() const { return line_.value("time"); }
};

/// Whether an event reports a change of the node itself, or of what it knows of
/// the configuration, the store and its peers.
bool is_node_state_event(const std::string& p_event)
{
    static const std::set<std::string> state_events{
        "config.in_force",   "store.lost",   "store.regained",
        "beliefs.from_peer", "node.started", "node.leaving"};
    return state_events.contains(p_event);
}

std::vector<file_log_line> read_lines(const std::string& p_path)
{
    std::vector<file_log_line> lines;
    std::ifstream file(p_path);
    for (std::string text; std::getline(file, text);)
    {
        if (auto line = log_line::parse(text, p_path))
        {
            lines.push_back({p_path, std::move(*line)});
        }
    }
    if (lines.empty())
    {
        std::fprintf(stderr, "peridotsparctl: %s contains no log lines\n",
                     p_path.c_str());
    }
    return lines;
}

/// The lines of one log file that explain a request: its own lines, later
/// events of the servers that it was sent to, and restarts of its node. The
/// latest line of each node state event comes before the request's first line.
std::vector<file_log_line>
find_related_lines(const std::string& p_id,
                   const std::vector<file_log_line>& p_lines)
{
    std::vector<file_log_line> related;
    std::map<std::string, file_log_line> state_events;
    std::set<std::string> servers;
    for (const auto& line : p_lines)
    {
        const std::string event = line.line_.value("event");
        if (is_node_state_event(event))
        {
            state_events.insert_or_assign(event, line);
        }
        const std::string server = line.line_.value("server");
        const bool is_server_event =
            event.starts_with("server.") && servers.contains(server);
        const bool is_restart =
            !related.empty() && event == "node.started" &&
            line.line_.node() == related.back().line_.node();
        const bool is_own = line.line_.value("request") == p_id;
        if (!is_own && !is_server_event && !is_restart)
        {
            continue;
        }
        if (is_own && related.empty())
        {
            for (const auto& [name, state_event] : state_events)
            {
                related.push_back(state_event);
            }
        }
        if (is_own && !server.empty())
        {
            servers.insert(server);
        }
        related.push_back(line);
    }
    return related;
}

void sort_by_time(std::vector<file_log_line>& r_lines)
{
    std::stable_sort(
        r_lines.begin(), r_lines.end(),
        [](const file_log_line& p_left, const file_log_line& p_right)
        { return p_left.time() < p_right.time(); });
}

std::vector<log_line> to_log_lines(const std::vector<file_log_line>& p_lines)
{
    std::vector<log_line> lines;
    lines.reserve(p_lines.size());
    for (const auto& line : p_lines)
    {
        lines.push_back(line.line_);
    }
    return lines;
}

exit_code explain_request(const std::string& p_id,
                          const argument_list& p_log_paths)
{
    std::vector<file_log_line> related;
    for (const auto& path : p_log_paths)
    {
        const auto part = find_related_lines(p_id, read_lines(path));
        related.insert(related.end(), part.begin(), part.end());
    }
    if (related.empty())
    {
        std::fprintf(stderr, "peridotsparctl: no log contains request %s\n",
                     p_id.c_str());
        return exit_code::failed;
    }
    sort_by_time(related);
    for (const auto& line : related)
    {
        std::printf("%s: %s\n", line.file_.c_str(), line.line_.text().c_str());
    }
    const auto requests = group_by_request(to_log_lines(related));
    const auto entry = requests.find(p_id);
    const auto diagnosis = diagnose_request(
        entry == requests.end() ? std::vector<log_line>{} : entry->second);
    std::printf("cause: %s\n",
                diagnosis.status_ == request_status::on_time
                    ? "none, the request was on time"
                : diagnosis.cause_.empty()
                    ? "unknown, the logs don't show how the request ended"
                    : diagnosis.cause_.c_str());
    return exit_code::ok;
}

/// Prints the causes of up to `p_count` requests that were not on time, chosen
/// at random from `p_seed`. Fails if a cause is unknown.
exit_code explain_sample(std::size_t p_count, unsigned p_seed,
                         const argument_list& p_log_paths)
{
    std::vector<file_log_line> all;
    for (const auto& path : p_log_paths)
    {
        const auto lines = read_lines(path);
        all.insert(all.end(), lines.begin(), lines.end());
    }
    sort_by_time(all);
    std::vector<std::pair<std::string, request_diagnosis>> unsuccessful;
    for (const auto& [id, lines] : group_by_request(to_log_lines(all)))
    {
        const auto diagnosis = diagnose_request(lines);
        if (diagnosis.status_ != request_status::on_time)
        {
            unsuccessful.emplace_back(id, diagnosis);
        }
    }
    std::mt19937 random(p_seed);
    std::shuffle(unsuccessful.begin(), unsuccessful.end(), random);
    unsuccessful.resize(std::min(unsuccessful.size(), p_count));
    std::size_t explained = 0;
    for (const auto& [id, diagnosis] : unsuccessful)
    {
        explained += diagnosis.cause_.empty() ? 0 : 1;
        std::printf("request=%s cause=\"%s\"\n", id.c_str(),
                    diagnosis.cause_.empty() ? "unknown"
                                             : diagnosis.cause_.c_str());
    }
    std::printf("seed=%u drawn=%zu explained=%zu\n", p_seed,
                unsuccessful.size(), explained);
    return explained == unsuccessful.size() ? exit_code::ok : exit_code::failed;
}

std::optional<unsigned> parse_number(const std::string& p_text)
{
    unsigned number = 0;
    const char* end = p_text.data() + p_text.size();
    const auto [stop, error] = std::from_chars(p_text.data(), end, number);
    return error == std::errc{} && stop == end ? std::optional<unsigned>(number)
                                               : std::nullopt;
}

exit_code print_usage()
{
    std::fputs("usage: peridotsparctl explain ID LOG...\n"
               "       peridotsparctl explain --sample COUNT SEED LOG...\n"
               "Prints the log lines about a request, sorted by time, with the "
               "state of\neach node, and why the request failed or was late; "
               "or chooses COUNT such\nrequests at random and prints the cause "
               "of each. A LOG may hold the lines\nof one node or of several "
               "nodes.\n",
               stderr);
    return exit_code::usage;
}

} // namespace

exit_code run_explain(const argument_list& p_arguments)
{
    const auto arguments_from = [&p_arguments](std::ptrdiff_t p_first_index)
    {
        return argument_list(p_arguments.begin() + p_first_index,
                             p_arguments.end());
    };
    constexpr std::size_t min_sample_arguments = 4;
    if (p_arguments.size() >= min_sample_arguments &&
        p_arguments[0] == "--sample")
    {
        const auto count = parse_number(p_arguments[1]);
        const auto seed = parse_number(p_arguments[2]);
        if (!count || !seed)
        {
            std::fprintf(stderr, "peridotsparctl: %s is not a number: %s\n",
                         count ? "SEED" : "COUNT",
                         (count ? p_arguments[2] : p_arguments[1]).c_str());
            return exit_code::usage;
        }
        return explain_sample(*count, *seed, arguments_from(3));
    }
    if (p_arguments.size() < 2 || p_arguments[0].starts_with("-"))
    {
        return print_usage();
    }
    return explain_request(p_arguments[0], arguments_from(1));
}

} // namespace peridotspar
