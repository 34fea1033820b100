# A control machine that no router hears, with required keys only.
control(name = "c1", members = {"c1": "10.0.0.1:7100"}, doors = {"c1": "10.0.0.1:7200"}, data = "/var/lib/alderway")
