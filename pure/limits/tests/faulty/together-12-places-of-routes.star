limits("mix-video", adaptive = [10, 200])
route("north", of = "mix-video", zone = "oulu", attempts = 3)
route("east", of = "mix-video", zone = "kotka", attempts = 3)
