limits("mix-record", deadline_ms = 800, places = 20, queue = 10, queue_age_ms = 300)
