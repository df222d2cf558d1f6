route("north", of = "mix-record", zone = "oulu", group = "zone")
