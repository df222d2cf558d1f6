route("north", of = "mix-video", zone = "oulu", budget = "repeats")
