# Limits for a storm: few repeats, twice the places that a calm day needs, and records with places of their own.
budget("all", percent = 10, burst = 40)
budget("video", percent = 3, burst = 10, parent = "all")
budget("card", percent = 4, burst = 20, parent = "all")
budget("record", percent = 10, burst = 10, parent = "all")

limits(attempts = 3)
limits("mix-video", budget = "video", places = 20, queue = 24, queue_age_ms = 150)
limits("formula-card", budget = "card", places = 32, queue = 30, queue_age_ms = 100)
limits("mix-record", budget = "record", places = 8, queue = 16, queue_age_ms = 200)
