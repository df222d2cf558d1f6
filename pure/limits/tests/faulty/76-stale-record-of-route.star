route("north", of = "mix-record", zone = "oulu", stale_ms = 500)
