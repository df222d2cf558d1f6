limits("mix-video", backoff_ms = 200, backoff_most_ms = 100)
