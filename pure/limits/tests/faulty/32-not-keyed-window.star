limits("mix-video", window_ms = 1000)
