limits("mix-video", adaptive = [10, 5000])
