limits("mix-video", backoff_ms = 20, backoff_factor = 1000)
