-- One account sends far more than its cap to nine nodes while other accounts use
-- their caps; one node is killed.
fleet { nodes = 9, seconds = 60, short_class = "question" }
pool { name = "small", engines = 10, slots = 8, step_ms = 20 }
class { name = "question", tier = 0, first_token_ms = 1800, inter_token_ms = 34, max_wait_ms = 1500 }
class { name = "reply", tier = 1, first_token_ms = 8000, inter_token_ms = 50, max_wait_ms = 8000 }
account { name = "flood", cap = 600, concurrent = 40 }
account { name = "kerb", cap = 3000, concurrent = 200 }
account { name = "shop", cap = 3000, concurrent = 200 }
load { class = "question", account = "flood", rate = 60, output = 60, output_spread = 0.5, prompt = 200, resends = 2 }
load { class = "question", account = "kerb", rate = 20, output = 60, output_spread = 0.5, prompt = 200 }
load { class = "reply", account = "shop", rate = 30, output = 80, output_spread = 0.5, prompt = 200 }
fault { kind = "kill", at = 30, target = 4 }
expect { measure = "over_cap", at_most = 0.05 }
expect { measure = "attainment_0", at_least = 0.95 }
expect { measure = "longest_wait", at_most = 30 }
