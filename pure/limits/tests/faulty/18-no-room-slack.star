limits("formula-card", deadline_ms = 8)
