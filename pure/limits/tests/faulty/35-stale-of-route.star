route("north", of = "formula-card", front = "dns", stale_ms = 5000)
