# A forwarder, with every key of `forwarder`.
forwarder(planners = ["10.0.0.5:6000", "10.0.0.6:6000"], count = 8, beat_ms = 25, patience_ms = 125)
