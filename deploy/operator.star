# The operator's file. `alderway serve --operator deploy/operator.star` reads it once, at the start. Without the file, and
# with the file as it stands here, a router runs as on the platform. docs/operators.md describes each section.

# How many cores serve queries: a number, or "all" for the cores that are available. More than one needs a machine with as
# many.
# cores(count = 4, node_connections = 16, evidence = True)

# Shards that split, merge and move by layouts from discovery. Without this section they are placed by the configuration's
# ring.
# layouts(late_clients_ms = 2000, lagging_nodes_ms = 250)

# Two tiers: a planner makes the routing decisions for forwarders. docs/operators.md, 'Forwarders and planners'.
# planner(count = 2)
# forwarder(planners = ["10.0.0.5:6000", "10.0.0.6:6000"], count = 8, beat_ms = 50, patience_ms = 250)

# Routers that share observations of data nodes: the same list at each, by the names in their configurations. docs/peers.md.
# peers(members = {"n0": "10.0.0.1:7000", "n1": "10.0.0.2:7000", "n2": "10.0.0.3:7000"}, stale_ms = 2000, witnesses = 2)

# A control server, one of those that order the versions of the settings. It has a file of its own:
# `alderway control --operator FILE`. docs/operators.md, 'Control machines'.
# control(name = "c1", data = "/var/lib/alderway", routers = "10.0.0.1:7300",
#     members = {"c1": "10.0.0.1:7100", "c2": "10.1.0.1:7100", "c3": "10.2.0.1:7100"},
#     doors = {"c1": "10.0.0.1:7200", "c2": "10.1.0.1:7200", "c3": "10.2.0.1:7200"})

# Control servers from which this router receives its settings; `keep` is for machines with a persistent disk.
# docs/operators.md, 'Settings from control machines'.
# subscription(control = {"c1": ("10.0.0.1:7300", "z1"), "c2": ("10.1.0.1:7300", "z2")}, zone = "z1",
#              keep = "/var/lib/alderway/version", silent_ms = 3000, old_ms = 10000)

# The format of the log: "text" or "json".
# log(form = "json")
