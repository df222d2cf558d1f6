limits("mix-video", adaptive = [10])
