# A router that knows its peers, with every key of `peers`.
cores(count = 1)
peers(
    members = {"n0": "10.0.0.1:7000", "n1": "10.0.0.2:7000", "n2": "10.0.0.3:7000", "n3": "[::1]:7000"},
    beat_ms = 50,
    pulse_ms = 500,
    stale_ms = 1500,
    witnesses = 3,
    verdicts = False,
)
log(form = "text")
