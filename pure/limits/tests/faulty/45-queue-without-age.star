limits("mix-video", places = 20, queue = 10)
