# deploy/foldmux.star a week later: the east offices are served through south, and east through south as well.

# The tree. A change needs a higher epoch; `instead_of = N` steps back from epoch N in service.
hierarchy(epoch = 5, domain = "fill.colour-office.example", overlap_ms = 5000)

archive("archive", address = "127.0.0.1:7100")

# Whom a hub asks, in this order. Hubs that ask the archive alone shield it: each object has one of them.
hub("south", parents = ["archive"], address = "127.0.0.1:7101", fills_per_s = 400)
hub("east", parents = ["south", "archive"], address = "127.0.0.1:7102", fills_per_s = 400)
hub("north", parents = ["archive"], address = "127.0.0.1:7103", fills_per_s = 400)

OFFICES = {
    "south": ["helsinki", "espoo", "turku", "porvoo"],
    "east": ["lahti", "kotka", "kuopio"],
    "north": ["oulu", "rovaniemi", "kemi"],
}

for home, offices in OFFICES.items():
    for office in offices:
        location(office, parents = ["south", "north"] if home == "east" else [home] + [hub for hub in OFFICES if hub != home][:1])

# What a hub that started lately may be given, all its callers together.
cold_start(from_percent = 6.7, over_ms = 21000, breaks_at = 2.0, window_ms = 3000, use_percent = 60.0)

# The bounds of our own hubs (`foldmux hub`).
relay(
    memory_mb = 256,
    connections = 1024,
    fetches = 512,
    waits = 8192,
    lease_ms = 500,
    attempts = 4,
    wait_ms = 5000,
    writes = ["mix-record"],
)
