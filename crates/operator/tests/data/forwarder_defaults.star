# A forwarder, with required keys only.
forwarder(planners = ["10.0.0.5:6000"], count = 3)
