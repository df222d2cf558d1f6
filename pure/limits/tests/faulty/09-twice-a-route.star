route("north", of = "mix-video", zone = "oulu", attempts = 3)
route("north", of = "mix-video", zone = "kemi", attempts = 3)
