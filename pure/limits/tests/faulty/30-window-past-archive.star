limits("mix-record", window_ms = 2001)
