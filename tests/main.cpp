#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <fstream>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

namespace
{

constexpr std::string_view known_option = "--known=";
constexpr std::string_view unit_entry = "unit=";

/// The names of the test cases that a list of known faults names, from its
/// lines that start with "unit=". The names hold no commas.
std::vector<std::string> read_known_failures(const std::string& p_path)
{
    std::vector<std::string> names;
    std::ifstream file(p_path);
    for (std::string line; std::getline(file, line);)
    {
        if (line.starts_with(unit_entry))
        {
            names.push_back(line.substr(unit_entry.size()));
        }
    }
    return names;
}

/// Runs a test case that is expected to fail and prints its result. Returns
/// false if it passes, since its entry is then wrong.
bool run_known_failure(const std::string& p_name)
{
    doctest::Context context;
    context.setOption("test-case", p_name.c_str());
    context.setOption("no-breaks", true);
    const bool failed = context.run() != 0;
    std::cout << (failed ? "KNOWN RED unit: " : "KNOWN RED BUT PASSES unit: ")
              << p_name << '\n';
    return failed;
}

} // namespace

/// Runs all test cases. With `--known=FILE`, those listed in the file run last
/// and have to fail.
int main(int p_count, char** p_arguments)
{
    std::vector<std::string> known;
    for (int i = 1; i < p_count; ++i)
    {
        const std::string_view argument(p_arguments[i]);
        if (argument.starts_with(known_option))
        {
            known = read_known_failures(
                std::string(argument.substr(known_option.size())));
        }
    }
    doctest::Context context(p_count, p_arguments);
    for (const std::string& name : known)
    {
        context.addFilter("test-case-exclude", name.c_str());
    }
    int result = context.run();
    if (context.shouldExit())
    {
        return result;
    }
    for (const std::string& name : known)
    {
        result = run_known_failure(name) ? result : 1;
    }
    return result;
}
