limits("mix-video", adaptive = [0, 10])
