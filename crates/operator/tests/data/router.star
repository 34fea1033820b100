# A router on several cores, with every key that goes with them.
cores(count = 4, node_connections = 16, evidence = False)
layouts(late_clients_ms = 1500, lagging_nodes_ms = 125)
subscription(
    control = {"c1": ("10.0.0.1:7300", "z1"), "c2": ("[2001:db8::2]:7300", "z2"), "c3": "10.2.0.1:7300"},
    zone = "z1",
    keep = "/var/lib/alderway/version",
    silent_ms = 2500,
    old_ms = 9000,
)
log(form = "json")
