-- Steady demand at about the capacity: the reference for swing_2x.
fleet { nodes = 3, seconds = 60, short_class = "question" }
pool { name = "small", engines = 6, slots = 8, step_ms = 20 }
class { name = "question", tier = 0, first_token_ms = 1800, inter_token_ms = 34, max_wait_ms = 1500 }
class { name = "reply", tier = 2, first_token_ms = 5000, inter_token_ms = 50, max_wait_ms = 4000 }
class { name = "batch", tier = 5, first_token_ms = 25000, inter_token_ms = 100, max_wait_ms = 20000 }
account { name = "kerb" }
account { name = "shop" }
account { name = "night" }

load { class = "question", account = "kerb", rate = 12, output = 40, output_spread = 0.5, prompt = 150 }
load { class = "reply", account = "shop", rate = 6, output = 100, output_spread = 0.6, prompt = 300 }
load { class = "batch", account = "night", rate = 3, output = 200, output_spread = 0.6, prompt = 300 }
expect { measure = "attainment_0", at_least = 0.95 }
expect { measure = "longest_wait", at_most = 30 }
