route("north", of = "formula-card", zone = "oulu", deadline_ms = 3001)
