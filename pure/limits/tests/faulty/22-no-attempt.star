limits("mix-video", attempts = 0)
