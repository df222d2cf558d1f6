limits("formula-card", group = "zone")
