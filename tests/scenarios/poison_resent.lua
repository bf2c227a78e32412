-- Two requests crash each engine that runs them, and their callers resend them to
-- other nodes. The engines are half loaded with other requests.
fleet { nodes = 3, seconds = 40, short_class = "question" }
pool { name = "small", engines = 8, slots = 8, step_ms = 20 }
class { name = "question", tier = 0, first_token_ms = 1800, inter_token_ms = 34, max_wait_ms = 1500 }
account { name = "kerb" }
load { class = "question", account = "kerb", rate = 25, output = 50, output_spread = 0.5, prompt = 200 }
request { class = "question", account = "kerb", at = 10, output = 50, poison = true, resends = 8, node = 0 }
request { class = "question", account = "kerb", at = 25, output = 50, poison = true, resends = 8, node = 1 }
fault { kind = "slow", at = 9, target = 3, factor = 4 }
expect { measure = "crashes", at_most = 4 }
expect { measure = "attainment_0", at_least = 0.95 }
expect { measure = "wasted", at_most = 0.02 }
