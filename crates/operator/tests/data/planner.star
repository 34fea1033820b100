# A planner, with every key of `planner`.
planner(count = 2)
