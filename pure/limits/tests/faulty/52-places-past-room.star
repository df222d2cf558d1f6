limits("mix-video", places = 5000)
