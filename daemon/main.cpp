// peridotspard: the router's daemon, one on each entry VM.

#include "core/entry_settings.hpp"
#include "core/log.hpp"
#include "core/settings.hpp"
#include "daemon/entry_node.hpp"
#include "daemon/node.hpp"

#include <csignal>
#include <cstdio>
#include <exception>
#include <map>

#include <popt.h>

namespace
{

constexpr int exit_usage = 2;
constexpr int exit_failed = 1;

peridotspar::log_level level_of(const std::string& p_name)
{
    using peridotspar::log_level;
    static const std::map<std::string, log_level> levels{
        {"debug", log_level::debug},
        {"info", log_level::info},
        {"warning", log_level::warning},
        {"error", log_level::error}};
    return levels.at(p_name);
}

/// Runs a node until it is told to leave; the process's exit status.
template <class Run>
int guard(Run p_run)
{
    try
    {
        p_run();
        return 0;
    }
    catch (const std::exception& error)
    {
        peridotspar::log_event(peridotspar::log_level::error, "node.failed")
            .with("error", error.what());
        return exit_failed;
    }
}

/// Says what is wrong with the settings; true if they may be used.
template <class Settings>
bool check(const tl::expected<Settings, std::string>& p_loaded)
{
    if (!p_loaded)
    {
        std::fprintf(stderr, "peridotspard: %s\n", p_loaded.error().c_str());
    }
    return p_loaded.has_value();
}

int run_node(const std::string& p_path, bool p_only_check)
{
    const auto loaded = peridotspar::load_settings(p_path);
    if (!check(loaded))
    {
        return exit_usage;
    }
    if (p_only_check)
    {
        std::puts("settings are valid");
        return 0;
    }
    // Blocked before any thread starts, so that only `run` receives them.
    sigset_t stops;
    sigemptyset(&stops);
    sigaddset(&stops, SIGTERM);
    sigaddset(&stops, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stops, nullptr);
    peridotspar::start_logging(level_of(loaded->log_level_));
    return guard([&] { peridotspar::node(*loaded).run(); });
}

int run_entry_node(const std::string& p_path, bool p_only_check)
{
    const auto loaded = peridotspar::load_entry_settings(p_path);
    if (!check(loaded))
    {
        return exit_usage;
    }
    if (p_only_check)
    {
        std::puts("settings are valid");
        return 0;
    }
    peridotspar::start_logging(level_of(loaded->log_level_));
    return guard([&] { peridotspar::entry_node(*loaded, p_path).run(); });
}

} // namespace

int main(int p_count, char** p_arguments)
{
    char* path = nullptr;
    char* entry_path = nullptr;
    int only_check = 0;
    poptOption options[] = {
        {"settings", 's', POPT_ARG_STRING, &path, 0, "settings file", "FILE"},
        {"entry-settings", 'e', POPT_ARG_STRING, &entry_path, 0,
         "settings file of a node on the cooperative platform", "FILE"},
        {"check-settings", 0, POPT_ARG_NONE, &only_check, 0,
         "check the settings file and exit", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext(
        nullptr, p_count, const_cast<const char**>(p_arguments), options, 0);
    const int status = poptGetNextOpt(context);
    const bool one_file = (path == nullptr) != (entry_path == nullptr);
    const bool usage_wrong =
        status < -1 || poptPeekArg(context) != nullptr || !one_file;
    if (usage_wrong)
    {
        std::fprintf(stderr, "peridotspard: %s\n",
                     status < -1 ? poptStrerror(status)
                                 : "takes --settings FILE or --entry-settings "
                                   "FILE and no arguments");
        return exit_usage;
    }
    poptFreeContext(context);
    signal(SIGPIPE, SIG_IGN);
    return path != nullptr ? run_node(path, only_check != 0)
                           : run_entry_node(entry_path, only_check != 0);
}
