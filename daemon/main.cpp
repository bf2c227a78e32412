// peridotspard: the router's daemon, one on each entry VM.

#include "core/log.hpp"
#include "core/settings.hpp"
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

int run(const peridotspar::settings& p_settings)
{
    try
    {
        peridotspar::node(p_settings).run();
        return 0;
    }
    catch (const std::exception& error)
    {
        peridotspar::log_event(peridotspar::log_level::error, "node.failed")
            .with("error", error.what());
        return exit_failed;
    }
}

} // namespace

int main(int p_count, char** p_arguments)
{
    char* path = nullptr;
    int check = 0;
    poptOption options[] = {
        {"settings", 's', POPT_ARG_STRING, &path, 0, "settings file", "FILE"},
        {"check-settings", 0, POPT_ARG_NONE, &check, 0,
         "check the settings file and exit", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext(
        nullptr, p_count, const_cast<const char**>(p_arguments), options, 0);
    const int status = poptGetNextOpt(context);
    const bool usage_wrong =
        status < -1 || poptPeekArg(context) != nullptr || path == nullptr;
    if (usage_wrong)
    {
        std::fprintf(stderr, "peridotspard: %s\n",
                     status < -1 ? poptStrerror(status)
                                 : "takes --settings FILE and no arguments");
        return exit_usage;
    }
    const auto loaded = peridotspar::load_settings(path);
    poptFreeContext(context);
    if (!loaded)
    {
        std::fprintf(stderr, "peridotspard: %s\n", loaded.error().c_str());
        return exit_usage;
    }
    if (check != 0)
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
    signal(SIGPIPE, SIG_IGN);
    peridotspar::start_logging(level_of(loaded->log_level_));
    return run(*loaded);
}
