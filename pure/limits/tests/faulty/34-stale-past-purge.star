limits("mix-video", stale_ms = 1001)
