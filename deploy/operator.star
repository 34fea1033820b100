# An example of an operator's file. `alderway serve --operator deploy/operator.star` reads the file once, at
# startup. All sections below are commented out, so that a router has the default values, as it has without an
# operator's file. docs/operators.md describes each section.

# The number of cores that serve queries, or "all" for all cores that are available to the process. The
# machine must have at least this number of cores.
# cores(count = 4, node_connections = 16, evidence = True)

# Places shards by layouts from discovery, which split, merge and move shards while queries run. Without this
# section, shards are placed by the hash ring of the configuration file.
# layouts(late_clients_ms = 2000, lagging_nodes_ms = 250)

# Makes the process a planner or a forwarder: planners select the data nodes for the queries of forwarders.
# docs/operators.md, 'Forwarders and planners'.
# planner(count = 2)
# forwarder(planners = ["10.0.0.5:6000", "10.0.0.6:6000"], count = 8, beat_ms = 50, patience_ms = 250)

# Routers that share observations of data nodes (outcomes, and which nodes are slow or unhealthy). Each router
# has the same list, with the router names of the configuration files. docs/peers.md.
# peers(members = {"n0": "10.0.0.1:7000", "n1": "10.0.0.2:7000", "n2": "10.0.0.3:7000"}, stale_ms = 2000, witnesses = 2)

# Makes the process a control server, which stores the settings of routers as numbered versions. This section
# can only be combined with `log`, and the file is started with `alderway control --operator FILE`.
# docs/operators.md, 'Control machines'.
# control(name = "c1", data = "/var/lib/alderway", routers = "10.0.0.1:7300",
#     members = {"c1": "10.0.0.1:7100", "c2": "10.1.0.1:7100", "c3": "10.2.0.1:7100"},
#     doors = {"c1": "10.0.0.1:7200", "c2": "10.1.0.1:7200", "c3": "10.2.0.1:7200"})

# The control servers from which this router receives its settings. `keep` is the file in which the router
# stores the latest settings; omit it on machines without a persistent disk. docs/operators.md, 'Settings from
# control machines'.
# subscription(control = {"c1": ("10.0.0.1:7300", "z1"), "c2": ("10.1.0.1:7300", "z2")}, zone = "z1",
#              keep = "/var/lib/alderway/version", silent_ms = 3000, old_ms = 10000)

# The format of log lines: "text" or "json".
# log(form = "json")
