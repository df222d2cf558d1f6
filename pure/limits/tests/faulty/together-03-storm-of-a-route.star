budget("north", percent = 150, burst = 10)
limits("mix-video", attempts = 8)
route("north", of = "mix-video", zone = "oulu", budget = "north")
