-- Ten engines at half load, without faults: the reference for fifth_slow.
fleet { nodes = 3, seconds = 120, short_class = "question" }
pool { name = "small", engines = 10, slots = 8, step_ms = 20 }
class { name = "question", tier = 0, first_token_ms = 1800, inter_token_ms = 34, max_wait_ms = 1500 }
account { name = "kerb" }

load { class = "question", account = "kerb", rate = 32, output = 50, output_spread = 0.5, prompt = 200 }
