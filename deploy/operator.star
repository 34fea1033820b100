# The operator's file. `alderway serve --operator deploy/operator.star` reads it once, at the start; without it, and
# as it stands here, a router runs as on the platform. docs/operators.md says what each subject does.

# How many cores serve: a number, or "all" that the machine gives. More than one needs a machine with as many.
# cores(count = 4, node_connections = 16, evidence = True)

# Shards that split, merge and move as discovery tells; without it they lie in the configuration's ring.
# layouts(late_clients_ms = 2000, lagging_nodes_ms = 250)

# Two levels: a program that decides for others, or one that asks them. docs/operators.md, 'Forwarders and planners'.
# planner(count = 2)
# forwarder(planners = ["10.0.0.5:6000", "10.0.0.6:6000"], count = 8, beat_ms = 50, patience_ms = 250)

# Routers that know each other: the same list at each, by the configuration's names. docs/peers.md.
# peers(members = {"n0": "10.0.0.1:7000", "n1": "10.0.0.2:7000", "n2": "10.0.0.3:7000"}, stale_ms = 2000, witnesses = 2)

# One of the machines that keep the order of configurations, in a file of its own: `alderway control --operator FILE`.
# docs/operators.md, 'Control machines'.
# control(name = "c1", data = "/var/lib/alderway", routers = "10.0.0.1:7300",
#     members = {"c1": "10.0.0.1:7100", "c2": "10.1.0.1:7100", "c3": "10.2.0.1:7100"},
#     doors = {"c1": "10.0.0.1:7200", "c2": "10.1.0.1:7200", "c3": "10.2.0.1:7200"})

# Control machines that tell this router its settings, version by version; `keep` where a disk lasts.
# docs/operators.md, 'Settings from control machines'.
# subscription(control = {"c1": ("10.0.0.1:7300", "z1"), "c2": ("10.1.0.1:7300", "z2")}, zone = "z1",
#              keep = "/var/lib/alderway/version", silent_ms = 3000, old_ms = 10000)

# How the log is written: "text" or "json".
# log(form = "json")
