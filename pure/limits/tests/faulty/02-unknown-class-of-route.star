route("north", of = "mix-vido", zone = "oulu", attempts = 3)
