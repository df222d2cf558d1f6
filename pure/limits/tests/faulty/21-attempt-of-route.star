limits("mix-video", deadline_ms = 2000)
route("north", of = "mix-video", zone = "oulu", attempt_ms = 2500)
