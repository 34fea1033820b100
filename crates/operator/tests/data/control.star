# A control machine, with every key of `control`.
control(
    name = "c1",
    members = {"c1": "10.0.0.1:7100", "c2": "10.1.0.1:7100", "c3": "10.2.0.1:7100"},
    doors = {"c1": "10.0.0.1:7200", "c2": "10.1.0.1:7200", "c3": "10.2.0.1:7200"},
    data = "/var/lib/alderway",
    routers = "10.0.0.1:7300",
)
log(form = "json")
