route("all", of = "mix-video", attempts = 3)
route("north", of = "mix-video", zone = "oulu", attempts = 2)
