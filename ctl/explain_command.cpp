// peridotsparctl explain ID LOG... and explain --sample COUNT SEED LOG...

#include "ctl/command.hpp"
#include "observe/request_story.hpp"

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

/// One line of a node's log.
struct story_line
{
    std::string file_;
    log_line line_;

    [[nodiscard]] std::string time() const { return line_.value("time"); }
};

/// Events that change what a node believes of configuration and peers.
bool is_belief(const std::string& p_event)
{
    static const std::set<std::string> beliefs{
        "config.in_force",   "store.lost",   "store.regained",
        "beliefs.from_peer", "node.started", "node.leaving"};
    return beliefs.contains(p_event);
}

std::vector<story_line> read_lines(const std::string& p_path)
{
    std::vector<story_line> lines;
    std::ifstream file(p_path);
    for (std::string text; std::getline(file, text);)
    {
        if (auto line = log_line::read(text, p_path))
        {
            lines.push_back({p_path, std::move(*line)});
        }
    }
    if (lines.empty())
    {
        std::fprintf(stderr, "peridotsparctl: %s has no log lines\n",
                     p_path.c_str());
    }
    return lines;
}

/// The request's own lines, and before each node's first one the last word
/// of each belief that the node had.
std::vector<story_line> find_story(const std::string& p_id,
                                   const std::vector<story_line>& p_lines)
{
    std::vector<story_line> story;
    std::map<std::string, story_line> beliefs;
    std::set<std::string> servers;
    for (const auto& line : p_lines)
    {
        const std::string event = line.line_.value("event");
        if (is_belief(event))
        {
            beliefs.insert_or_assign(event, line);
        }
        const std::string server = line.line_.value("server");
        const bool of_server =
            event.starts_with("server.") && servers.contains(server);
        const bool ended_by = !story.empty() && event == "node.started" &&
                              line.line_.node() == story.back().line_.node();
        const bool own = line.line_.value("request") == p_id;
        if (!own && !of_server && !ended_by)
        {
            continue;
        }
        if (own && story.empty())
        {
            for (const auto& [name, belief] : beliefs)
            {
                story.push_back(belief);
            }
        }
        if (own && !server.empty())
        {
            servers.insert(server);
        }
        story.push_back(line);
    }
    return story;
}

void sort_by_time(std::vector<story_line>& r_lines)
{
    std::stable_sort(r_lines.begin(), r_lines.end(),
                     [](const story_line& p_left, const story_line& p_right)
                     { return p_left.time() < p_right.time(); });
}

std::vector<log_line> lines_of(const std::vector<story_line>& p_story)
{
    std::vector<log_line> lines;
    lines.reserve(p_story.size());
    for (const auto& each : p_story)
    {
        lines.push_back(each.line_);
    }
    return lines;
}

exit_code explain_one(const std::string& p_id, const words& p_logs)
{
    std::vector<story_line> story;
    for (const auto& path : p_logs)
    {
        const auto part = find_story(p_id, read_lines(path));
        story.insert(story.end(), part.begin(), part.end());
    }
    if (story.empty())
    {
        std::fprintf(stderr, "peridotsparctl: no log mentions request %s\n",
                     p_id.c_str());
        return exit_code::failed;
    }
    sort_by_time(story);
    for (const auto& each : story)
    {
        std::printf("%s: %s\n", each.file_.c_str(), each.line_.text().c_str());
    }
    const auto found = lines_by_request(lines_of(story));
    const auto own = found.find(p_id);
    const auto verdict =
        judge(own == found.end() ? std::vector<log_line>{} : own->second);
    std::printf("cause: %s\n", verdict.fate_ == request_fate::on_time
                                   ? "none, it was on time"
                               : verdict.cause_.empty()
                                   ? "unknown, the lines don't tell its end"
                                   : verdict.cause_.c_str());
    return exit_code::ok;
}

/// Draws requests that failed or were late, and tells the cause of each.
exit_code explain_sample(std::size_t p_count, unsigned p_seed,
                         const words& p_logs)
{
    std::vector<story_line> all;
    for (const auto& path : p_logs)
    {
        const auto lines = read_lines(path);
        all.insert(all.end(), lines.begin(), lines.end());
    }
    sort_by_time(all);
    std::vector<std::pair<std::string, request_verdict>> bad;
    for (const auto& [id, lines] : lines_by_request(lines_of(all)))
    {
        const auto verdict = judge(lines);
        if (verdict.fate_ != request_fate::on_time)
        {
            bad.emplace_back(id, verdict);
        }
    }
    std::mt19937 random(p_seed);
    std::shuffle(bad.begin(), bad.end(), random);
    bad.resize(std::min(bad.size(), p_count));
    std::size_t explained = 0;
    for (const auto& [id, verdict] : bad)
    {
        explained += verdict.cause_.empty() ? 0 : 1;
        std::printf("request=%s cause=\"%s\"\n", id.c_str(),
                    verdict.cause_.empty() ? "unknown"
                                           : verdict.cause_.c_str());
    }
    std::printf("seed=%u drawn=%zu explained=%zu\n", p_seed, bad.size(),
                explained);
    return explained == bad.size() ? exit_code::ok : exit_code::failed;
}

std::optional<unsigned> to_number(const std::string& p_word)
{
    unsigned number = 0;
    const char* end = p_word.data() + p_word.size();
    const auto [stop, error] = std::from_chars(p_word.data(), end, number);
    return error == std::errc{} && stop == end ? std::optional<unsigned>(number)
                                               : std::nullopt;
}

exit_code print_usage()
{
    std::fputs("usage: peridotsparctl explain ID LOG...\n"
               "       peridotsparctl explain --sample COUNT SEED LOG...\n"
               "Prints what nodes logged of a request, in order of time, with "
               "what each\nnode believed, and its cause; or draws requests "
               "that failed or were late\nand prints the cause of each. Each "
               "LOG is one node's, or several nodes'.\n",
               stderr);
    return exit_code::usage;
}

} // namespace

exit_code run_explain(const words& p_words)
{
    const auto from = [&p_words](std::ptrdiff_t p_first)
    { return words(p_words.begin() + p_first, p_words.end()); };
    constexpr std::size_t sample_words = 4;
    if (p_words.size() >= sample_words && p_words[0] == "--sample")
    {
        const auto count = to_number(p_words[1]);
        const auto seed = to_number(p_words[2]);
        if (!count || !seed)
        {
            std::fprintf(stderr, "peridotsparctl: %s isn't a number: %s\n",
                         count ? "SEED" : "COUNT",
                         (count ? p_words[2] : p_words[1]).c_str());
            return exit_code::usage;
        }
        return explain_sample(*count, *seed, from(3));
    }
    if (p_words.size() < 2 || p_words[0].starts_with("-"))
    {
        return print_usage();
    }
    return explain_one(p_words[0], from(1));
}

} // namespace peridotspar
