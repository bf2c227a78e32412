-- Engines crash under load while another engine is leaving, and a node is killed.
-- Some requests are orders, which are not idempotent and must run at most once.
fleet { nodes = 3, seconds = 40, short_class = "question" }
pool { name = "small", engines = 6, slots = 8, step_ms = 20 }
pool { name = "orders", engines = 3, slots = 32, engines_batch = false }
class { name = "question", tier = 0, first_token_ms = 1800, inter_token_ms = 34, max_wait_ms = 1500 }
class { name = "order", tier = 1, first_token_ms = 3000, inter_token_ms = 34, max_wait_ms = 2500 }
account { name = "kerb" }
load { class = "question", account = "kerb", rate = 15, output = 50, output_spread = 0.5, prompt = 200 }
load { class = "order", account = "kerb", pool = "orders", rate = 5, output = 3, prompt = 10, idempotent = false }
fault { kind = "crash", at = 8, target = 1 }
fault { kind = "crash", at = 8.2, target = 7 }
fault { kind = "leave", at = 15, target = 2 }
fault { kind = "crash", at = 16, target = 4 }
fault { kind = "crash", at = 22, target = 0 }
fault { kind = "kill", at = 30, target = 0 }
expect { measure = "second_runs", at_most = 0 }
expect { measure = "attainment_0", at_least = 0.95 }
