limits("mix-record", backoff_ms = 900, backoff_most_ms = 900)
