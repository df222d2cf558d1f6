limits("mix-video", adaptive = [50, 10])
