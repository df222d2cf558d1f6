limits("mix-record", attempt_ms = 700, attempts = 4)
