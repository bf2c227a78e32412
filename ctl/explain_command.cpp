// peridotsparctl explain ID LOG...

#include "ctl/command.hpp"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <map>
#include <set>

namespace peridotspar
{

namespace
{

/// One line of a node's log.
struct story_line
{
    std::string time_;
    std::string file_;
    std::string text_;
};

/// The value of a key in a line of key=value pairs; empty if it has none.
std::string value_of(const std::string& p_line, const std::string& p_key)
{
    const std::string field = " " + p_key + "=";
    const auto at = (" " + p_line).find(field);
    if (at == std::string::npos)
    {
        return {};
    }
    const auto first = at + field.size() - 1;
    return p_line.substr(first, p_line.find(' ', first) - first);
}

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
        const auto start = text.find("time=");
        if (start != std::string::npos)
        {
            text.erase(0, start);
            lines.push_back({value_of(text, "time"), p_path, text});
        }
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
        const std::string event = value_of(line.text_, "event");
        if (is_belief(event))
        {
            beliefs[event] = line;
        }
        const std::string server = value_of(line.text_, "server");
        const bool of_server =
            event.starts_with("server.") && servers.contains(server);
        const bool own = value_of(line.text_, "request") == p_id;
        if (!own && !of_server)
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

} // namespace

exit_code run_explain(const words& p_words)
{
    if (p_words.size() < 2 || p_words[0].starts_with("-"))
    {
        std::fputs("usage: peridotsparctl explain ID LOG...\n"
                   "Prints what nodes logged of a request, in order of time, "
                   "with what\neach node believed. Each LOG is one node's.\n",
                   stderr);
        return exit_code::usage;
    }
    std::vector<story_line> story;
    for (std::size_t i = 1; i < p_words.size(); ++i)
    {
        const auto lines = read_lines(p_words[i]);
        if (lines.empty())
        {
            std::fprintf(stderr, "peridotsparctl: %s has no log lines\n",
                         p_words[i].c_str());
        }
        const auto part = find_story(p_words[0], lines);
        story.insert(story.end(), part.begin(), part.end());
    }
    if (story.empty())
    {
        std::fprintf(stderr, "peridotsparctl: no log mentions request %s\n",
                     p_words[0].c_str());
        return exit_code::failed;
    }
    std::stable_sort(story.begin(), story.end(),
                     [](const story_line& p_left, const story_line& p_right)
                     { return p_left.time_ < p_right.time_; });
    for (const auto& line : story)
    {
        std::printf("%s: %s\n", line.file_.c_str(), line.text_.c_str());
    }
    return exit_code::ok;
}

} // namespace peridotspar
