limits(deadline_ms = 4000)
