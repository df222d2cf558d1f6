limits("mix-record", stale_ms = 500)
