route("north", of = "mix-record", zone = "oulu", window_ms = 5000)
