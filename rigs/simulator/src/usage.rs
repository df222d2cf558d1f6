//! What the command says of itself.

pub const USAGE: &str = "\
foldmux-simulator, a model of what foldmux balances, in virtual time

  foldmux-simulator run SCENARIO [--json]                          beside the same day without a rewiring, and without shields;
                                                             a storm: with its limits, beside today's build
  foldmux-simulator sweep SCENARIO --field F --values A,B,… [--repeats N] [--json]
  foldmux-simulator plot SCENARIO --field F --values A,B,… [--repeats N] --out FILE.svg
  foldmux-simulator plot STORM --out FILE.svg                      worth by second, with limits and without
  foldmux-simulator fanout [--instances N] [--subscribers N] [--sites N] [--seconds N] [--seed N] [--patience-ms N] [--json] [--out FILE.svg]
                                                             a stream relayed by site, beside one poll each
  foldmux-simulator fleet [--seed N] [--instances N] [--seconds N] [--again FILE] [--out FILE]
                                                             a fleet's pure parts, with a fault at any message; what
                                                             breaks is shrunk
  foldmux-simulator help

The same scenario and seed give the same figures; repeats count the seed up.";
