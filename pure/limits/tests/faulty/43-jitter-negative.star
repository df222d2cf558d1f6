limits("mix-video", backoff_ms = 20, jitter_percent = -1)
