-- Half of the nodes see a live node as dead, so that two nodes act as the home
-- node of the same accounts; later a node is partitioned from its peers.
fleet { nodes = 9, seconds = 60, short_class = "question" }
pool { name = "small", engines = 10, slots = 8, step_ms = 20 }
class { name = "question", tier = 0, first_token_ms = 1800, inter_token_ms = 34, max_wait_ms = 1500 }
class { name = "reply", tier = 1, first_token_ms = 8000, inter_token_ms = 50, max_wait_ms = 8000 }
account { name = "flood", cap = 600, concurrent = 40 }
account { name = "flood2", cap = 400, concurrent = 40 }
account { name = "shop", cap = 5000, concurrent = 400 }
load { class = "question", account = "flood", rate = 40, output = 60, output_spread = 0.5, prompt = 200 }
load { class = "question", account = "flood2", rate = 30, output = 60, output_spread = 0.5, prompt = 200 }
load { class = "reply", account = "shop", rate = 45, output = 80, output_spread = 0.5, prompt = 200 }
fault { kind = "split", at = 10, target = 3 }
fault { kind = "split", at = 12, target = 6 }
fault { kind = "cut", at = 35, target = 2 }
expect { measure = "over_cap", at_most = 0.05 }
expect { measure = "longest_wait", at_most = 30 }
