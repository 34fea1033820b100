# The operator's file. `alderway serve --operator deploy/operator.star` reads it once, at the start; without it, and
# as it stands here, a router runs as on the platform. docs/operators.md says what each subject does.

# How many cores serve: a number, or "all" that the machine gives. More than one needs a machine with as many.
# cores(count = 4, node_connections = 16, evidence = True)

# Shards that split, merge and move as discovery tells; without it they lie in the configuration's ring.
# layouts(late_clients_ms = 2000, lagging_nodes_ms = 250)

# How the log is written: "text" or "json".
# log(form = "json")
