// A node that has ceased to follow the store has a watch that still waits. It
// is partitioned from the store, and gets the watch's answer at the end of the
// cut. See review/11.

#include "released_servers.h"

using namespace lab;

namespace
{

/// In which another node takes the place of a follower.
constexpr double freeze_ms = 2600;
constexpr double settle_ms = 1200;
constexpr double cut_ms = 5500;
/// After the cut.
constexpr double observed_ms = 10500;

} // namespace

int main(int p_count, char** p_arguments)
{
    if (p_count != 4)
    {
        std::fprintf(stderr, "usage: stale_watch NODE-PROGRAM FOLDER RECORD\n");
        return 2;
    }
    scene all(p_arguments[1], p_arguments[2], p_arguments[3], {8, 400});
    if (!all.start())
    {
        ::_exit(2);
    }
    for (int round = 1; round <= 4 && all.late_runs() == 0; ++round)
    {
        const std::string title = "round " + std::to_string(round);
        int other = 0;
        const auto followers = all.find_followers(other);
        const int frozen = followers[all.random_below(followers.size())];
        if (has_trouble())
        {
            all.note(title + ": node " + std::to_string(frozen) + " freezes");
            all.freeze(frozen, freeze_ms, 0);
        }
        sleep_ms(settle_ms);
        other = 0;
        all.find_followers(other);
        all.replace_servers(true);
        if (has_trouble() && other > 0)
        {
            all.note(title + ": node " + std::to_string(other) +
                     " is partitioned from the store");
            all.store().set_cut(other, true);
            const double until = now_ms() + cut_ms;
            while (now_ms() < until)
            {
                all.disturb(other);
                sleep_ms(10);
            }
            all.store().set_cut(other, false);
            all.disturb(other);
        }
        else
        {
            sleep_ms(cut_ms);
        }
        sleep_ms(observed_ms);
        all.replace_servers(false);
        all.note_counts(title + " over");
        sleep_ms(3000);
    }
    ::_exit(all.finish());
}
