limits("mix-video", attempts = -3)
