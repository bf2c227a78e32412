-- Short questions beside long plans of the same tier, so that the plans can't be
-- preempted. A few of the plans are stragglers with much longer answers.
fleet { nodes = 3, seconds = 60, short_class = "question" }
pool { name = "small", engines = 6, slots = 8, step_ms = 20 }
class { name = "question", tier = 0, first_token_ms = 1800, inter_token_ms = 34, max_wait_ms = 1500 }
class { name = "plan", tier = 0, first_token_ms = 10000, inter_token_ms = 50, max_wait_ms = 8000 }
account { name = "kerb" }
account { name = "office" }

load { class = "question", account = "kerb", rate = 10, output = 30, output_spread = 0.4, prompt = 150 }
load { class = "plan", account = "office", rate = 2, output = 400, output_spread = 0.5, prompt = 400, straggler_share = 0.03, straggler_factor = 8 }
expect { measure = "p99_first_token_short", against = "short_alone", at_most = 1.5 }
expect { measure = "longest_wait", at_most = 30 }
