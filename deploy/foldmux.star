# The operator's file of foldmux: a Starlark script, read once at the start and again on SIGHUP. What is not called
# here is off. On the platform it is not named in `run`, and everything in it is off.
#
#   foldmux check-config --operator deploy/foldmux.star
#   foldmux plan deploy/foldmux.star NEW.star
#   foldmux hub --operator deploy/foldmux.star --name south

# The tree. A change needs a higher epoch; `instead_of = N` steps back from epoch N in service.
hierarchy(epoch = 4, domain = "fill.colour-office.example", overlap_ms = 5000)

archive("archive", address = "127.0.0.1:7100")

# Whom a hub asks, in this order. Hubs that ask the archive alone shield it: each object has one of them.
hub("south", parents = ["archive"], address = "127.0.0.1:7101", fills_per_s = 400)
hub("east", parents = ["archive"], address = "127.0.0.1:7102", fills_per_s = 400)
hub("north", parents = ["archive"], address = "127.0.0.1:7103", fills_per_s = 400)

OFFICES = {
    "south": ["helsinki", "espoo", "turku", "porvoo"],
    "east": ["lahti", "kotka", "kuopio"],
    "north": ["oulu", "rovaniemi", "kemi"],
}

for home, offices in OFFICES.items():
    for office in offices:
        location(office, parents = [home] + [hub for hub in OFFICES if hub != home][:1])

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

# DNS request routing, off: here is how it is set up.
# dns(
#     zone = "route.colour-office.example.",
#     udp = "127.0.0.1:5353",
#     tcp = "127.0.0.1:5353",
#     tls = "127.0.0.1:8853",
#     svid = "/run/spiffe/svid.pem",
#     key = "/run/spiffe/svid-key.pem",
#     bundle = "/run/spiffe/bundle.pem",
#     allowed = ["spiffe://colour-office.example/resolver"],
#     notify = ["127.0.0.1:5300"],
#     lease_ms = 2000,
#     patience_ms = 500,
# )

# The external processor, off: here is how it is set up (docs/extproc.md).
# ext_proc(
#     listen = "127.0.0.1:9002",
#     good_for_ms = 200,
#     strict = False,
# )
# ask("formula-card", path = "/cards/{name}", rewrite = True)
# ask("mix-video", path = "/v2/q/mix-video/{object}/{part}")
# ask("mix-record", method = "POST", path = "/records/{object}", key = "idempotency-key", rewrite = True)
# token_key(number = 1, secret = "at least 32 characters, the same at all instances")
# ledger("/var/lib/foldmux/ledger", entries = 100000, durable = "group")

# Limits by class and route, off: here is how they are set up (docs/limits.md).
# budget("all", percent = 10, burst = 40)
# budget("video", percent = 3, burst = 10, parent = "all")
# limits(attempts = 3)
# limits("mix-video", budget = "video", places = 16, queue = 16, queue_age_ms = 150)
# route("far", of = "mix-video", zone = "rovaniemi", attempt_ms = 1500)

# What the processes of a fleet share, off: here is how it is set up. A process takes part whose name (GW_NAME) is a peer's. The
# key file holds 64 hexadecimal digits, the same at all. Sites are zones of the settings.
# fleet(listen = "127.0.0.1:7300", key_file = "/run/foldmux/fleet.key", lease_ms = 500, drift_percent = 1.0)
# peer("n0", address = "127.0.0.1:7300", site = "helsinki")
# peer("n1", address = "127.0.0.1:7301", site = "helsinki")
# peer("n2", address = "127.0.0.1:7302", site = "oulu")
# [seat(name) for name in ["n0", "n1", "n2"]]
# cover("mix-record", uncovered = "run", unclaimed = "finish", keep_ms = 2000, terms = False)
# stream("journal", slow = "all", serve = "127.0.0.1:7400")
# pool("archive", slots = 64, by = "tenant")
# weight("studio", 3.0)
