-- Short questions alone: the reference for short_beside_long and
-- stragglers_same_tier.
fleet { nodes = 3, seconds = 60, short_class = "question" }
pool { name = "small", engines = 6, slots = 8, step_ms = 20 }
class { name = "question", tier = 0, first_token_ms = 1800, inter_token_ms = 34, max_wait_ms = 1500 }
class { name = "plan", tier = 1, first_token_ms = 10000, inter_token_ms = 50, max_wait_ms = 8000 }
account { name = "kerb" }
account { name = "office" }

load { class = "question", account = "kerb", rate = 10, output = 30, output_spread = 0.4, prompt = 150 }
