# A router that knows its peers, with required keys only.
peers(members = {"n0": "10.0.0.1:7000", "n1": "10.0.0.2:7000", "n2": "10.0.0.3:7000"})
