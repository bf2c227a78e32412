-- Demand of twice the capacity, in which the highest class changes its rate
-- threefold every three seconds.
fleet { nodes = 3, seconds = 60, short_class = "question" }
pool { name = "small", engines = 6, slots = 8, step_ms = 20 }
class { name = "question", tier = 0, first_token_ms = 1800, inter_token_ms = 34, max_wait_ms = 1500 }
class { name = "reply", tier = 2, first_token_ms = 5000, inter_token_ms = 50, max_wait_ms = 4000 }
class { name = "batch", tier = 5, first_token_ms = 25000, inter_token_ms = 100, max_wait_ms = 20000 }
account { name = "kerb" }
account { name = "shop" }
account { name = "night" }

local function swing(t)
  if t % 6 < 3 then return 36 end
  return 12
end
load { class = "question", account = "kerb", rate = swing, output = 40, output_spread = 0.5, prompt = 150 }
load { class = "reply", account = "shop", rate = 12, output = 100, output_spread = 0.6, prompt = 300 }
load { class = "batch", account = "night", rate = 6, output = 200, output_spread = 0.6, prompt = 300 }
expect { measure = "attainment_0", at_least = 0.95 }
expect { measure = "goodput", against = "steady_1x", at_least = 0.95 }
expect { measure = "wasted", at_most = 0.02 }
expect { measure = "longest_wait", at_most = 30 }
