# Every subject that a router may have, with its required keys only.
cores(count = "all")
layouts()
subscription(control = {"c1": "10.0.0.1:7300"})
