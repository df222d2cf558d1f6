limits("mix-record", attempts = 6, backoff_ms = 100, backoff_factor = 3, backoff_most_ms = 1500)
