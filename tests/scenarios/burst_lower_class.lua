-- A burst of one class to five times the capacity for ten seconds. Refused
-- callers resend after the retry time; their resends must not cause a second
-- burst.
fleet { nodes = 3, seconds = 60, short_class = "question" }
pool { name = "small", engines = 6, slots = 8, step_ms = 20 }
class { name = "question", tier = 0, first_token_ms = 1800, inter_token_ms = 34, max_wait_ms = 1500 }
class { name = "reply", tier = 2, first_token_ms = 5000, inter_token_ms = 50, max_wait_ms = 4000 }
account { name = "kerb" }
account { name = "shop" }
load { class = "question", account = "kerb", rate = 10, output = 40, output_spread = 0.5, prompt = 150 }
load { class = "reply", account = "shop", rate = 4, output = 80, output_spread = 0.5, prompt = 200 }
load { class = "reply", account = "shop", from = 15, to = 25, rate = 100, output = 80, output_spread = 0.5, prompt = 200, resends = 3 }
expect { measure = "attainment_0", at_least = 0.95 }
expect { measure = "wasted", at_most = 0.02 }
expect { measure = "longest_wait", at_most = 30 }
