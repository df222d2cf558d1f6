limits("mix-record", deadline_ms = 3500)
