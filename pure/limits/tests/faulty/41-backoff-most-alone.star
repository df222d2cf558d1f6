limits("mix-video", backoff_most_ms = 100)
