# A pop cache that failed a request is not to be troubled again at once: a pause before the next attempt.
limits("mix-video", attempts = 3, backoff_ms = 2000, backoff_factor = 1.0, jitter_percent = 0)
