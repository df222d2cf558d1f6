limits("mix-video", places = 20, adaptive = [10, 20])
