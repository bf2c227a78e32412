// A node that begins to follow the store gets the store's list late, ceases to
// follow meanwhile, and goes on with that list. See review/12.

#include "released_servers.h"

using namespace lab;

namespace
{

constexpr int answer_delay_ms = 350;
constexpr double freeze_ms = 1000;
/// Of the freeze before, in which another node takes the place of a follower: a
/// node waits longer after an attempt to follow that had no success.
constexpr double long_freeze_ms = 2600;
constexpr double long_round_ms = 3800;
constexpr double round_ms = 8000;
constexpr double run_ms = 100000;

void sleep_until(double p_time_ms)
{
    sleep_ms(std::max(0.0, p_time_ms - now_ms()));
}

/// A follower freezes for so long that another node takes its place.
void change_followers(scene& r_scene, const std::string& p_title)
{
    int other = 0;
    const auto followers = r_scene.find_followers(other);
    const int node = followers[r_scene.random_below(followers.size())];
    r_scene.note(p_title + ": node " + std::to_string(node) + " freezes");
    const double begun = now_ms();
    r_scene.freeze(node, long_freeze_ms, 0);
    sleep_until(begun + long_round_ms);
}

/// A follower freezes while answers reach the node that doesn't follow late.
void delay_list(scene& r_scene, const std::string& p_title)
{
    int other = 0;
    const auto followers = r_scene.find_followers(other);
    if (other == 0 || followers.size() + 1 != nodes)
    {
        return;
    }
    const int frozen = followers[r_scene.random_below(followers.size())];
    r_scene.note(p_title + ": node " + std::to_string(frozen) +
                 " freezes, answers to node " + std::to_string(other) +
                 " are late");
    r_scene.store().set_delay(other, answer_delay_ms);
    r_scene.freeze(frozen, freeze_ms, other);
    const double until = now_ms() + 1000;
    while (now_ms() < until)
    {
        r_scene.disturb(other);
        sleep_ms(10);
    }
    r_scene.store().set_delay(other, 0);
    r_scene.disturb(other);
}

} // namespace

int main(int p_count, char** p_arguments)
{
    if (p_count != 4)
    {
        std::fprintf(stderr, "usage: stale_list NODE-PROGRAM FOLDER RECORD\n");
        return 2;
    }
    scene all(p_arguments[1], p_arguments[2], p_arguments[3], {8, 300});
    if (!all.start())
    {
        ::_exit(2);
    }
    all.replace_servers(true);
    for (int round = 1; now_ms() + long_round_ms + round_ms < run_ms; ++round)
    {
        const std::string title = "round " + std::to_string(round);
        if (has_trouble())
        {
            change_followers(all, title);
        }
        const double begun = now_ms();
        if (has_trouble())
        {
            delay_list(all, title);
        }
        sleep_until(begun + round_ms);
        all.note_counts(title + " over");
        if (all.late_runs() > 0)
        {
            break;
        }
    }
    ::_exit(all.finish());
}
