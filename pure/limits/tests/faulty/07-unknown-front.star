route("north", of = "mix-video", front = "http", attempts = 3)
