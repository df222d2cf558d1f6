limits(wait_ms = 60000)
