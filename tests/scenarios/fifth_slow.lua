-- A fifth of the engines run five times slower. Their load reports arrive three
-- seconds late and don't show the slowdown. One node is killed meanwhile.
fleet { nodes = 3, seconds = 120, report_lag_ms = 3000, short_class = "question" }
pool { name = "small", engines = 10, slots = 8, step_ms = 20 }
class { name = "question", tier = 0, first_token_ms = 1800, inter_token_ms = 34, max_wait_ms = 1500 }
account { name = "kerb" }

load { class = "question", account = "kerb", rate = 32, output = 50, output_spread = 0.5, prompt = 200 }
fault { kind = "slow", at = 20, target = 2, factor = 5 }
fault { kind = "slow", at = 20, target = 7, factor = 5 }
fault { kind = "kill", at = 70, target = 1 }
expect { measure = "attainment_0", at_least = 0.95 }
expect { measure = "p99_first_token_short", against = "none_slow", at_most = 1.5 }
