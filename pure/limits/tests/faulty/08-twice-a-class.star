limits("mix-video", attempts = 3)
limits("mix-video", keep = 1)
