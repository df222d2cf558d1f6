limits("formula-card", deadline_ms = 4000)
