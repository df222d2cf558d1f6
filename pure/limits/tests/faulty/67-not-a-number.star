limits("mix-video", attempts = "three")
