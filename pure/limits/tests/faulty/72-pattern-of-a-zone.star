route("north", of = "mix-video", zone = "*vaniemi", attempts = 3)
